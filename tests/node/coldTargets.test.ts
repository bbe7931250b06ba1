import {
  Counters,
  getIncarnationKey,
  ManualClock,
  type ServingConfiguration,
  TargetLimits,
} from '@monsoonreach/core';
import { ColdTargets, countColdSkip, rankNode } from '@monsoonreach/node';
import t from 'tap';
import { createInstance, SERVICE } from '../serving/fixtures.js';
import { createInstanceList, createMemberEntry, replaceList } from '../support/instanceList.js';

const ID = 'i-1';
const INCARNATION = getIncarnationKey({ id: ID, startedAtMs: 1 });
const COLD_MS = 3_000;
const BOUNDS = { 'cold-overrun': 1.5, 'cold-slack': 5 };
const COLD_SERVICE = { coldRequestsPerS: 17, coldStartMs: 3_000 };

function createFixture(
  service: Partial<typeof COLD_SERVICE>,
  bounds: { readonly 'cold-overrun': number | undefined; readonly 'cold-slack': number | undefined },
) {
  const clock = new ManualClock();
  const { list, log, counters } = createInstanceList({ clock });
  const limits = new TargetLimits(clock, () => 1);
  const configuration: ServingConfiguration = {
    version: 1,
    routes: [],
    services: new Map([[SERVICE.name, { ...SERVICE, ...service }]]),
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    workspaces: undefined,
  };
  const targets = new ColdTargets({
    bounds,
    list,
    limits,
    counters,
    log,
    configuration: () => configuration,
  });
  const read = ({ rank = 0, ...fields }: { readonly rank?: number; readonly [field: string]: unknown }) => {
    const entry = createMemberEntry('127.0.0.1:1', { rank }) as object;
    replaceList(list, [[ID, { ...entry, ...fields }]]);
    targets.update();
  };
  return { clock, limits, counters, targets, read };
}

interface BoundCase {
  readonly name: string;
  readonly service: Partial<typeof COLD_SERVICE>;
  readonly bounds: Parameters<typeof createFixture>[1];
  readonly isBounded: boolean;
}

const boundCases: readonly BoundCase[] = [
  { name: 'service and settings', service: COLD_SERVICE, bounds: BOUNDS, isBounded: true },
  { name: 'a service without a rate', service: {}, bounds: BOUNDS, isBounded: false },
  {
    name: 'a service that is never cold',
    service: { ...COLD_SERVICE, coldStartMs: 0 },
    bounds: BOUNDS,
    isBounded: false,
  },
  {
    name: 'settings without the bound',
    service: COLD_SERVICE,
    bounds: { 'cold-overrun': undefined, 'cold-slack': undefined },
    isBounded: false,
  },
  {
    name: 'settings without the fixed part',
    service: COLD_SERVICE,
    bounds: { 'cold-overrun': 1.5, 'cold-slack': undefined },
    isBounded: true,
  },
];

// Guards against bounds on deployments and services that have no cold targets.
for (const { name, service, bounds, isBounded } of boundCases) {
  void t.test(`what bounds the requests to a cold target: ${name}`, (t) => {
    const { clock, limits, counters, targets, read } = createFixture(service, bounds);
    read({ seqNo: 1, coldRemainingMs: COLD_MS });
    t.equal(limits.isBounded(INCARNATION), isBounded);
    t.equal(limits.listCold().has(INCARNATION), isBounded);
    const hasGauge = (value: number) => counters.expose().includes(`monsoonreach_cold_targets ${value}\n`);
    t.equal(hasGauge(1), isBounded, 'gauge while it is cold');
    clock.advance(COLD_MS + 1);
    targets.update();
    t.equal(limits.listCold().size, 0);
    t.equal(hasGauge(0), isBounded, 'gauge when it is warm');
    t.end();
  });
}

// Guards against work for members of groups, which get no requests, and against a group whose new head is not bounded.
void t.test('only heads of groups are bounded', (t) => {
  const { limits, read } = createFixture(COLD_SERVICE, BOUNDS);
  read({ seqNo: 1, rank: 1, coldRemainingMs: COLD_MS });
  t.equal(limits.isBounded(INCARNATION), false, 'a member');
  read({ seqNo: 2, rank: 0 });
  t.equal(limits.listCold().has(INCARNATION), true, 'the head of a new group');
  t.end();
});

const skipCases = [
  { name: 'no target is left out', exhausted: [], isChosen: true, expected: undefined },
  {
    name: 'a target of another service is left out',
    exhausted: ['c#1'],
    isChosen: true,
    expected: undefined,
  },
  { name: 'another target takes the request', exhausted: ['a#1'], isChosen: true, expected: 'moved' },
  { name: 'no other target has capacity', exhausted: ['a#1'], isChosen: false, expected: 'refused' },
] as const;

// Guards against a metric that does not show what the bound costs.
for (const { name, exhausted, isChosen, expected } of skipCases) {
  void t.test(`choices for which cold targets were left out: ${name}`, (t) => {
    const counters = new Counters();
    const candidates = ['a', 'b'].map((key) => ({
      key,
      instance: createInstance(key),
      slots: 1,
      engine: undefined,
      load: { requests: 0, contextTokens: 0, pendingPromptTokens: 0 },
    }));
    const [candidate] = candidates;
    const choice =
      isChosen && candidate
        ? { kind: 'chosen' as const, candidate, predictedMs: 1 }
        : { kind: 'none' as const, reason: 'all-full' as const };
    countColdSkip(counters, choice, candidates, new Set(exhausted));
    for (const result of ['moved', 'refused']) {
      const count = counters.count('monsoonreach_cold_target_skips_total', { result });
      t.equal(count, result === expected ? 1 : 0, result);
    }
    t.end();
  });
}

// Guards against two nodes that take the same share of a cold target, also if they do not reach each other.
void t.test('each node has another rank for a target', (t) => {
  const names = Array.from({ length: 72 }, (_, index) => `node-${index}`);
  const ranks = names.map((name) =>
    rankNode(INCARNATION, name, names.filter((other) => other !== name).reverse()),
  );
  t.same(
    ranks.sort((a, b) => a - b),
    names.map((_, index) => index),
  );
  t.end();
});
