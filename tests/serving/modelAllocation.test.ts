import {
  allocateEmptyInstances,
  countSurvivingGroups,
  type DomainInstances,
  findReload,
  ModelAssignment,
  type TargetInstance,
} from '@monsoonreach/core';
import t from 'tap';
import { createInstance, ENGINE_PROFILE, LARGE_MODEL, SMALL_MODEL } from './fixtures.js';

const MODELS = [LARGE_MODEL, SMALL_MODEL];

function createDomain(
  fabricDomain: string,
  options: {
    readonly empty?: number;
    readonly byModel?: Readonly<Record<string, number>>;
    readonly idleByModel?: Readonly<Record<string, number>>;
  },
): DomainInstances {
  return {
    fabricDomain,
    empty: options.empty ?? 0,
    byModel: new Map(Object.entries(options.byModel ?? {})),
    idleByModel: new Map(Object.entries(options.idleByModel ?? {})),
  };
}

void t.test('surviving groups: instances beyond whole groups replace lost members', (t) => {
  for (const { instances, groupSize, atLeast, atMost } of [
    { instances: 4, groupSize: 4, atLeast: 0.6, atMost: 0.7 },
    { instances: 5, groupSize: 4, atLeast: 0.9, atMost: 0.95 },
    { instances: 3, groupSize: 4, atLeast: 0, atMost: 0 },
    { instances: 16, groupSize: 16, atLeast: 0.15, atMost: 0.25 },
    { instances: 19, groupSize: 16, atLeast: 0.85, atMost: 0.9 },
    { instances: 8, groupSize: 1, atLeast: 7.19, atMost: 7.21 },
  ]) {
    const expected = countSurvivingGroups(instances, groupSize);
    t.ok(expected >= atLeast && expected <= atMost, `${instances} for groups of ${groupSize}: ${expected}`);
  }
  t.end();
});

interface AllocationCase {
  readonly name: string;
  readonly domains: readonly DomainInstances[];
  readonly neededGroups: Readonly<Record<string, number>>;
  /** Loads by domain: instances for the large model, then for the small one. */
  readonly loads: Readonly<Record<string, readonly [large: number, small: number]>>;
}

const allocationCases: readonly AllocationCase[] = [
  {
    name: 'load pattern, a lost member: a new instance completes the group that lacks one',
    domains: [createDomain('a', { byModel: { large: 2, small: 2 }, empty: 1 })],
    neededGroups: { large: 1, small: 1 },
    loads: { a: [1, 0] },
  },
  {
    name: 'load pattern, losses: a new instance becomes a spare of the only large group',
    domains: [createDomain('a', { byModel: { large: 3, small: 4 }, empty: 1 })],
    neededGroups: { large: 1, small: 1 },
    loads: { a: [1, 0] },
  },
  {
    name: 'load pattern, a fall of one kind: new instances serve the model that is needed',
    domains: [createDomain('a', { byModel: { large: 6, small: 2 }, empty: 2 })],
    neededGroups: { large: 0.25, small: 3 },
    loads: { a: [0, 2] },
  },
];

for (const { name, domains, neededGroups, loads } of allocationCases) {
  void t.test(name, (t) => {
    const allocation = allocateEmptyInstances({
      models: MODELS,
      domains,
      neededGroups: new Map(Object.entries(neededGroups)),
    });
    for (const [domain, expected] of Object.entries(loads)) {
      t.same(
        MODELS.map((model) => allocation.get(domain)?.get(model.name)),
        expected,
      );
    }
    t.end();
  });
}

void t.test('load pattern, the start: each model has groups left while one fabric domain is out', (t) => {
  const domains = Array.from({ length: 6 }, (_, index) => createDomain(`domain-${index}`, { empty: 8 }));
  const allocation = allocateEmptyInstances({
    models: MODELS,
    domains,
    neededGroups: new Map([
      ['large', 4],
      ['small', 4],
    ]),
  });
  for (const { fabricDomain: out } of domains) {
    for (const model of MODELS) {
      const groups = [...allocation]
        .filter(([domain]) => domain !== out)
        .reduce((sum, [, counts]) => sum + Math.floor((counts.get(model.name) ?? 0) / model.groupSize), 0);
      t.ok(groups >= 4, `${groups} groups of ${model.name} without ${out}`);
    }
  }
  t.end();
});

interface ReloadCase {
  readonly name: string;
  readonly domains: readonly DomainInstances[];
  readonly neededGroups: Readonly<Record<string, number>>;
  readonly reload: ReturnType<typeof findReload>;
}

const reloadCases: readonly ReloadCase[] = [
  {
    name: 'the rest of a lost group keeps its weights while others need no more groups',
    domains: [
      createDomain('a', { byModel: { large: 2, small: 4 }, idleByModel: { large: 2 } }),
      createDomain('b', { byModel: { large: 6, small: 4 } }),
    ],
    neededGroups: { large: 1, small: 1 },
    reload: undefined,
  },
  {
    name: 'load pattern, a model without groups: idle instances of another load its weights',
    domains: [
      createDomain('a', { byModel: { large: 2, small: 7 }, idleByModel: { large: 2, small: 1 } }),
      createDomain('b', { byModel: { small: 8 } }),
    ],
    neededGroups: { large: 2, small: 1 },
    reload: { fabricDomain: 'a', from: 'small', to: 'large', count: 1 },
  },
];

for (const { name, domains, neededGroups, reload } of reloadCases) {
  void t.test(name, (t) => {
    const options = { models: MODELS, domains, neededGroups: new Map(Object.entries(neededGroups)) };
    t.same(findReload(options), reload);
    t.end();
  });
}

void t.test('instances of a domain that comes back do not load other weights before all are there', (t) => {
  const assignment = new ModelAssignment();
  const findLoads = (instances: readonly TargetInstance[], nowMs: number) =>
    assignment.findLoads({
      nowMs,
      engine: ENGINE_PROFILE,
      instances,
      freeIds: new Set(instances.map(({ id }) => id)),
      findFormingModel: () => undefined,
      demand: new Map(),
    });
  const known = createInstance('known', { stagedModels: ['large'], fabricDomain: 'other' });
  const first = createInstance('first');
  t.equal(findLoads([known], 0).size, 0);
  t.equal(findLoads([known, first], 100).size, 0, 'another may follow');
  t.equal(findLoads([known, first, createInstance('second')], 900).size, 0, 'another may follow');
  t.same(
    [...findLoads([known, first, createInstance('second')], 2_000).keys()],
    ['first', 'second'],
    'both load',
  );
  t.end();
});
