import { createRandom, Loads, Router, type RoutingPolicy, Stragglers } from '@monsoonreach/core';
import { FakeGroup } from './fakeGroup.js';
import type { ResultRow, Scenario } from './scenario.js';
import { createHistogram, sampleExponential, Simulation, toPercentiles } from './simulation.js';

const GROUPS = 65;
const ENTRIES = 7;
const CONCURRENCY = 16;
const CONVERSATIONS = 900;
const REQUESTS_PER_SECOND = 150;
const TOKENS_PER_RESPONSE = 60;
const DURATION_S = 180;
const WARM_UP_S = 30;
/** Requests that begin later are not counted, since they may end after the run. */
const LAST_COUNTED_S = 150;
const REPORT_INTERVAL_MS = 1_000;
const REPORT_LAG_MS = 800;
const SLOW_GROUPS = 3;
const FIRST_TOKEN_TARGET_MS = 1_900;

async function runPolicy(policy: RoutingPolicy, seed: number, hasDomainOutage: boolean): Promise<ResultRow> {
  const simulation = new Simulation();
  const random = createRandom(seed);
  const groups = Array.from({ length: GROUPS }, (_, index) => {
    const slowFactor = index < SLOW_GROUPS ? 5 : 1;
    return new FakeGroup(
      { id: `g${index}`, region: 'r', concurrency: CONCURRENCY, cacheSize: 24, slowFactor },
      simulation,
    );
  });
  const byId = new Map(groups.map((group) => [group.options.id, group]));
  const entries = Array.from({ length: ENTRIES }, () => {
    const loads = new Loads(simulation.clock);
    const stragglers = new Stragglers(simulation.clock);
    return { loads, stragglers, router: new Router({ loads, stragglers, random, region: 'r', policy }) };
  });
  const firstTokenTimes = createHistogram();
  const responseTimes = createHistogram();
  let firstTokensInTime = 0;
  let offered = 0;

  const report = () => {
    for (const group of groups) {
      const { inFlight } = group;
      simulation.schedule(REPORT_LAG_MS, () => {
        for (const { loads } of entries) loads.report(group.options.id, inFlight, REPORT_LAG_MS);
      });
    }
    simulation.schedule(REPORT_INTERVAL_MS, report);
  };

  const arrive = () => {
    simulation.schedule(sampleExponential(1_000 / REQUESTS_PER_SECOND, random), arrive);
    const entry = entries[random.below(ENTRIES)];
    const prefix = `c${random.below(CONVERSATIONS)}`;
    const startedMs = simulation.clock.monotonic();
    const isCounted = startedMs > WARM_UP_S * 1_000 && startedMs < LAST_COUNTED_S * 1_000;
    if (isCounted) offered++;
    const attempt = (tried: ReadonlySet<string>) => {
      const candidates = groups.filter(({ isDown }) => !isDown).map(({ options }) => options);
      const chosen = entry?.router.choose(candidates, { affinityKey: prefix, tried });
      const group = chosen && byId.get(chosen.id);
      if (!entry || !group) {
        simulation.schedule(20, () => {
          attempt(tried);
        });
        return;
      }
      entry.loads.begin(group.options.id);
      const sentMs = simulation.clock.monotonic();
      group.submit(prefix, TOKENS_PER_RESPONSE, (answer) => {
        entry.loads.end(group.options.id);
        if (answer.kind === 'lost') {
          attempt(new Set([...tried, group.options.id]));
          return;
        }
        const nowMs = simulation.clock.monotonic();
        entry.stragglers.record(group.options.id, nowMs - sentMs);
        if (!isCounted) return;
        const firstMs = sentMs - startedMs + answer.firstTokenMs;
        firstTokenTimes.recordValue(firstMs);
        responseTimes.recordValue(nowMs - startedMs);
        if (firstMs <= FIRST_TOKEN_TARGET_MS) firstTokensInTime++;
      });
    };
    attempt(new Set());
  };

  report();
  arrive();
  if (hasDomainOutage) {
    simulation.schedule(90_000, () => {
      for (const [index, group] of groups.entries()) if (index % 6 === 5) group.fail();
    });
  }
  await simulation.run(DURATION_S * 1_000);
  const { p50 = 0, p95 = 0, p99 = 0 } = toPercentiles(firstTokenTimes);
  const responsePercentiles = toPercentiles(responseTimes);
  return {
    variant: policy,
    figures: {
      'first p50 ms': p50,
      'first p95 ms': p95,
      'first p99 ms': p99,
      'whole p50 ms': responsePercentiles['p50'] ?? 0,
      'whole p95 ms': responsePercentiles['p95'] ?? 0,
      'first <= 1.9 s': firstTokensInTime / Math.max(1, offered),
    },
  };
}

const POLICIES: readonly RoutingPolicy[] = ['round-robin', 'two-choices', 'affinity'];

/** Compares routing policies with delayed load reports, prefix caches and three groups 5 times slower. */
export const routingScenario: Scenario = {
  name: 'routing',
  question: `${GROUPS} groups, 3 of them 5 times slower, ${ENTRIES} entries, ${REQUESTS_PER_SECOND} req/s, load reports ${REPORT_LAG_MS} ms late`,
  run: (seed) => Promise.all(POLICIES.map((policy) => runPolicy(policy, seed, false))),
};

/** The same comparison, with an outage of one of six failure domains halfway through. */
export const domainOutageScenario: Scenario = {
  name: 'dark-domain',
  question: 'as routing, and one of six failure domains goes down halfway through',
  run: (seed) => Promise.all(POLICIES.map((policy) => runPolicy(policy, seed, true))),
};
