import {
  chooseTarget,
  type ColdBound,
  computeColdRates,
  countMostArrivals,
  createRandom,
  getIncarnationKey,
  ManualClock,
  rankByRendezvous,
  TargetHealth,
  TargetLimits,
} from '@monsoonreach/core';
import fc from 'fast-check';
import t from 'tap';
import { createInstance, ENGINE_PROFILE, SMALL_MODEL } from './fixtures.js';

const ID = 'target#1';
/** The bound of the deployment: 17 x 1.5 + 5. */
const BOUND: ColdBound = { requestsPerS: 17, maxPerS: 30.5, hasOwner: true };
const NODES = 72;
const STEP_MS = 5;
const WINDOW_MS = 1_000;
/** Most time from the choice of a target to the arrival there that the bound allows for, in milliseconds. */
const MAX_DELAY_MS = 100;
const COLD_MS = 3_000;

interface Scenario {
  readonly seed: number;
  readonly bound: ColdBound;
  /** Time at which the target becomes cold. */
  readonly coldAtMs: number;
  /** Time after which the deciding nodes know it. */
  readonly noticeMs: number;
  /** Times between which each of the two owners is asked. */
  readonly owners: readonly (readonly [number, number])[];
  /** Times between which nodes choose by themselves. */
  readonly alone: readonly [number, number];
  /** Requests that are ready in each step, more than any bound allows. */
  readonly asked: number;
  readonly durationMs: number;
}

const NEVER = [Infinity, Infinity] as const;
const ALWAYS = [0, Infinity] as const;

/** Creates the limits of one node among all. */
function createLimits(clock: ManualClock, node: number): TargetLimits {
  const names = Array.from({ length: NODES }, (_, index) => `node-${index}`);
  const rank = rankByRendezvous(ID, names).indexOf(`node-${node}`);
  return new TargetLimits(
    clock,
    () => NODES,
    () => rank,
  );
}

/** Times at which requests arrive at the target, in order, where everyone sends whenever it may. */
function simulate(scenario: Scenario): readonly number[] {
  const clock = new ManualClock();
  const random = createRandom(scenario.seed);
  const nodes = Array.from({ length: NODES }, (_, index) => createLimits(clock, index));
  for (const limits of nodes) limits.setColdBounds(new Map([[ID, scenario.bound]]));
  const arrivals: number[] = [];
  const send = (nowMs: number) => arrivals.push(nowMs + random.next() * MAX_DELAY_MS);
  const isDuring = ([fromMs, untilMs]: readonly [number, number], nowMs: number) =>
    nowMs >= fromMs && nowMs < untilMs;
  for (let nowMs = 0; nowMs < scenario.durationMs; nowMs += STEP_MS) {
    if (nowMs === scenario.coldAtMs + scenario.noticeMs) {
      for (const limits of nodes) limits.recordCold(ID, scenario.coldAtMs + COLD_MS);
    }
    for (const [index, period] of scenario.owners.entries()) {
      const limits = nodes[index];
      if (!limits || !isDuring(period, nowMs)) continue;
      for (let asked = 0; asked < scenario.asked && !limits.listExhausted('fleet').has(ID); asked++) {
        limits.recordGrant(ID);
        send(nowMs);
      }
    }
    if (isDuring(scenario.alone, nowMs)) {
      for (const limits of nodes) {
        // Without an owner, a warm target's requests are not bounded.
        if (!limits.listCold().has(ID) || limits.listExhausted('node').has(ID)) continue;
        limits.recordRequest(ID);
        send(nowMs);
      }
    }
    clock.advance(STEP_MS);
  }
  return arrivals.sort((a, b) => a - b);
}

/** Most arrivals in any second that lies between the two times. */
function countFullestSecond(arrivals: readonly number[], fromMs: number, untilMs: number): number {
  const counted = arrivals.filter((atMs) => atMs >= fromMs && atMs < untilMs);
  let first = 0;
  let most = 0;
  for (const [index, atMs] of counted.entries()) {
    while (atMs - (counted[first] ?? atMs) >= WINDOW_MS) first++;
    most = Math.max(most, index - first + 1);
  }
  return most;
}

const BASE: Scenario = {
  seed: 1,
  bound: BOUND,
  coldAtMs: 2_000,
  noticeMs: 0,
  owners: [ALWAYS],
  alone: NEVER,
  asked: 20,
  durationMs: 6_000,
};

const scenarios: readonly { readonly name: string; readonly change: Partial<Scenario> }[] = [
  { name: 'one owner, which knows at once', change: {} },
  { name: 'one owner, which learns of it after a second', change: { noticeMs: 1_000 } },
  { name: 'one owner, which never learns of it', change: { noticeMs: 100_000 } },
  {
    name: 'the old and the new owner both assign',
    change: { owners: [ALWAYS, [2_500, 4_000]], coldAtMs: 0 },
  },
  { name: 'both owners assign all the time', change: { owners: [ALWAYS, ALWAYS], coldAtMs: 0 } },
  { name: 'some nodes choose without the owner', change: { alone: ALWAYS, coldAtMs: 0 } },
  { name: 'they do so from when it becomes cold', change: { alone: ALWAYS } },
  {
    name: 'the owner hands over while neither knows',
    change: {
      owners: [
        [0, 2_500],
        [2_500, Infinity],
      ],
      noticeMs: 1_000,
    },
  },
  { name: 'two owners and nodes without', change: { owners: [ALWAYS, ALWAYS], alone: ALWAYS, coldAtMs: 0 } },
  { name: 'no owner', change: { owners: [], alone: ALWAYS, coldAtMs: 0 } },
  { name: 'a late owner, and nodes without it that know', change: { alone: ALWAYS, noticeMs: 600 } },
];

// Guards against more requests in some second than a cold target tolerates, so that it crashes.
for (const { name, change } of scenarios) {
  void t.test(`arrivals at a cold target stay in the bound: ${name}`, (t) => {
    const scenario = { ...BASE, ...change };
    const arrivals = simulate(scenario);
    const most = countFullestSecond(arrivals, scenario.coldAtMs, scenario.coldAtMs + COLD_MS);
    t.ok(most <= BOUND.maxPerS, `${most} in a second, allowed ${BOUND.maxPerS}`);
    t.ok(most >= 1, 'the target is used');
    t.end();
  });
}

// Guards against a bound that holds only for the figures of one deployment.
void t.test('arrivals stay in any bound, whoever assigns them', (t) => {
  fc.assert(
    fc.property(
      fc.record({
        seed: fc.integer({ min: 1, max: 1_000_000 }),
        bound: fc
          .record({
            requestsPerS: fc.double({ min: 2, max: 40, noNaN: true }),
            overrun: fc.double({ min: 1, max: 2, noNaN: true }),
            slack: fc.double({ min: 1, max: 10, noNaN: true }),
            hasOwner: fc.boolean(),
          })
          .map(({ requestsPerS, overrun, slack, hasOwner }) => ({
            requestsPerS,
            maxPerS: requestsPerS * overrun + slack,
            hasOwner,
          })),
        second: fc.integer({ min: 0, max: 2_000 }),
        lastMs: fc.integer({ min: 1, max: 3_000 }),
        aloneAtMs: fc.integer({ min: 0, max: 2_000 }),
        asked: fc.integer({ min: 1, max: 40 }),
      }),
      ({ seed, bound, second, lastMs, aloneAtMs, asked }) => {
        const owners = bound.hasOwner ? [ALWAYS, [second, second + lastMs] as const] : [];
        const alone = [bound.hasOwner ? aloneAtMs : 0, Infinity] as const;
        const scenario = { ...BASE, seed, bound, owners, alone, asked, coldAtMs: 0, durationMs: COLD_MS };
        return countFullestSecond(simulate(scenario), 0, COLD_MS) <= bound.maxPerS;
      },
    ),
    { numRuns: 60 },
  );
  t.end();
});

// Guards against shares that add up to more than the bound, where the simulation does not meet the worst case.
void t.test('the shares add up to less than the bound', (t) => {
  const rates = computeColdRates(BOUND, NODES);
  const owner = countMostArrivals(rates.owner);
  const alone = rates.nodes * countMostArrivals(rates.node);
  const warm = countMostArrivals(rates.warmOwner);
  t.comment(
    `owner ${owner.toFixed(2)} (${rates.owner.requestsPerS.toFixed(2)}/s), without owner ${alone.toFixed(2)}, ` +
      `warm ${warm.toFixed(2)} (${rates.warmOwner.requestsPerS.toFixed(2)}/s)`,
  );
  t.ok(2 * owner + alone + 1 <= BOUND.maxPerS + 1e-9, 'two owners, nodes without, one repeat');
  t.ok(warm + alone + 1 <= BOUND.maxPerS + 1e-9, 'one owner that does not know yet, and nodes without');
  t.end();
});

interface SourceCase {
  readonly name: string;
  readonly stated: number | undefined;
  readonly isCold: boolean;
  /** Requests in 2 s from one owner, give or take one. */
  readonly expected: number;
}

const sourceCases: readonly SourceCase[] = [
  { name: 'a stated limit below the cold one', stated: 3, isCold: true, expected: 6 },
  { name: 'a stated limit above the cold one', stated: 200, isCold: true, expected: 22 },
  { name: 'a stated limit of a warm target', stated: 3, isCold: false, expected: 6 },
  { name: 'a cold target that states none', stated: undefined, isCold: true, expected: 22 },
];

// Guards against one source of a limit that replaces the other one.
for (const { name, stated, isCold, expected } of sourceCases) {
  for (const order of ['stated first', 'cold first'] as const) {
    void t.test(`the lower limit applies: ${name}, ${order}`, (t) => {
      const clock = new ManualClock();
      const limits = createLimits(clock, 0);
      const nowMs = clock.monotonic();
      limits.setColdBounds(new Map([[ID, BOUND]]));
      const state = () => {
        limits.record(ID, { requestsPerS: stated, namedAtMs: nowMs });
      };
      if (order === 'stated first') state();
      if (isCold) limits.recordCold(ID, nowMs + COLD_MS);
      if (order === 'cold first') state();
      let requests = 0;
      for (let elapsedMs = 0; elapsedMs < 2_000; elapsedMs += STEP_MS) {
        clock.advance(STEP_MS);
        while (!limits.listExhausted('fleet').has(ID)) {
          limits.recordGrant(ID);
          requests++;
        }
      }
      t.ok(Math.abs(requests - expected) <= 1, `${requests}, expected ${expected}`);
      limits.setColdBounds(new Map());
      t.equal(limits.list().has(ID), stated !== undefined, 'the stated limit is kept without the bound');
      t.end();
    });
  }
}

// Guards against all waiting requests being sent in the moment in which a target is warm again.
void t.test('the rate rises step by step after the cold time', (t) => {
  const clock = new ManualClock();
  const limits = createLimits(clock, 0);
  limits.setColdBounds(new Map([[ID, BOUND]]));
  limits.recordCold(ID, COLD_MS);
  const perHalfSecond: number[] = [];
  for (let nowMs = 0; nowMs < COLD_MS + 4_000; nowMs += STEP_MS) {
    clock.advance(STEP_MS);
    const index = Math.floor(nowMs / 500);
    perHalfSecond[index] ??= 0;
    while (!limits.listExhausted('fleet').has(ID)) {
      limits.recordGrant(ID);
      perHalfSecond[index]++;
    }
  }
  const { owner, warmOwner } = computeColdRates(BOUND, NODES);
  t.comment(perHalfSecond.join(' '));
  t.ok(Math.abs((perHalfSecond[4] ?? 0) - owner.requestsPerS / 2) <= 1.5, 'cold');
  t.ok((perHalfSecond[6] ?? 0) < warmOwner.requestsPerS / 2 - 2, 'just warm');
  t.ok(Math.abs((perHalfSecond[12] ?? 0) - warmOwner.requestsPerS / 2) <= 1.5, 'warm for long');
  t.same(limits.listCold(), new Set());
  t.end();
});

// Guards against bounds that remain after the configuration no longer has them, and against any without.
void t.test('without a bound, cold targets are not limited', (t) => {
  const clock = new ManualClock();
  const limits = createLimits(clock, 0);
  limits.recordCold(ID, COLD_MS);
  t.equal(limits.listExhausted('fleet').size + limits.listExhausted('node').size, 0);
  t.equal(limits.listCold().size, 0);
  t.equal(limits.isBounded(ID), false);
  limits.setColdBounds(new Map([[ID, BOUND]]));
  limits.recordCold(ID, COLD_MS);
  t.equal(limits.listExhausted('fleet').size, 1, 'starts without tokens');
  limits.setColdBounds(new Map());
  t.equal(limits.listExhausted('fleet').size, 0);
  t.end();
});

interface ChoiceCase {
  readonly name: string;
  readonly cold: readonly string[];
  readonly exhausted: readonly string[];
  readonly loads: Readonly<Record<string, number>>;
  readonly isContinuing?: boolean;
  readonly chosen: string;
}

const choiceCases: readonly ChoiceCase[] = [
  {
    name: 'the warm one of two equal targets',
    cold: ['a'],
    exhausted: [],
    loads: { a: 2, b: 2 },
    chosen: 'b',
  },
  {
    name: 'a cold target if the other is full',
    cold: ['a'],
    exhausted: [],
    loads: { a: 2, b: 23 },
    chosen: 'a',
  },
  {
    name: 'a request beyond the rate goes to another target',
    cold: ['a'],
    exhausted: ['a'],
    loads: { a: 0, b: 15 },
    chosen: 'b',
  },
  {
    name: 'it is refused only if none has capacity',
    cold: ['a'],
    exhausted: ['a'],
    loads: { a: 0, b: 23 },
    chosen: 'all-full',
  },
  {
    name: 'a resumed stream counts as a request',
    cold: ['a', 'b'],
    exhausted: ['a', 'b'],
    loads: { a: 0, b: 0 },
    isContinuing: true,
    chosen: 'all-full',
  },
];

// Guards against requests that wait at slow targets, or are sent beyond the rate although others are free.
for (const { name, cold, exhausted, loads, isContinuing = false, chosen } of choiceCases) {
  void t.test(`choice among cold targets: ${name}`, (t) => {
    const toIncarnations = (ids: readonly string[]) =>
      new Set(ids.map((id) => getIncarnationKey({ id, startedAtMs: 1 })));
    const candidates = Object.entries(loads).map(([key, requests]) => ({
      key,
      instance: createInstance(key),
      slots: ENGINE_PROFILE.slots,
      engine: { profile: ENGINE_PROFILE, model: SMALL_MODEL },
      load: { requests, contextTokens: requests * 1_000, pendingPromptTokens: 0 },
    }));
    const choice = chooseTarget(candidates, {
      nowMs: 0,
      random: createRandom(1),
      health: new TargetHealth(),
      failureDomain: 'zone-1',
      size: { promptTokens: 700, answerTokens: 150 },
      tried: new Set(),
      cold: toIncarnations(cold),
      unavailable: toIncarnations(exhausted),
      isContinuing,
    });
    t.equal(choice.kind === 'chosen' ? choice.candidate.key : choice.reason, chosen);
    t.end();
  });
}
