import {
  assignVacantShards,
  createGroupName,
  createStandbyName,
  type EvacuationPhase,
  findModelOfGroup,
  findShard,
  FormationPlanner,
  type FormationView,
  groupId,
  type InstanceOrder,
  NO_OWNERS,
  type TargetInstance,
  type UnlistedMemberState,
} from '@monsoonreach/core';
import t from 'tap';
import {
  createGroupMembers,
  createInstance,
  createView,
  LARGE_MODEL,
  SMALL_MODEL,
  TERM,
} from './fixtures.js';

const { fabricDomain: FABRIC_DOMAIN } = createInstance('any');

/** Formats each order as its kind and instance, sorted. */
function summarize(orders: readonly InstanceOrder[]): readonly string[] {
  return orders.map(({ kind, instance }) => `${kind} ${instance.id}`).sort();
}

const [head = createInstance('none'), second = head, third = head] = createGroupMembers('a', 7, LARGE_MODEL, [
  'open',
  'ready',
  'ready',
]);
const [currentTermHead = head, currentTermSecond = head] = createGroupMembers('b', 300_001, LARGE_MODEL, [
  'open',
  'ready',
]);
const standby = createInstance('standby', {
  stagedModels: ['large'],
  models: ['large'],
  membership: { group: createStandbyName('large', 2, FABRIC_DOMAIN), epoch: 2, rank: 0, state: 'ready' },
});

function withState(member: TargetInstance, state: 'ready' | 'open' | 'broken' | 'closing'): TargetInstance {
  return { ...member, membership: member.membership && { ...member.membership, state } };
}

/** Creates an instance that is loading weights, as its entry shows it until the weights are on the host. */
function createLoadingStandby(id: string, model: string): TargetInstance {
  const membership = {
    group: createStandbyName(model, 2, FABRIC_DOMAIN),
    epoch: 2,
    rank: 0,
    state: 'joining' as const,
  };
  return createInstance(id, { membership });
}

/** Creates instances in standby groups, with the weights loaded. */
function createStandbys(model: string, count: number): readonly TargetInstance[] {
  return Array.from({ length: count }, (_, index) =>
    createInstance(`${model}-standby-${index}`, {
      stagedModels: [model],
      models: [model],
      membership: {
        group: createStandbyName(model, 10 + index, FABRIC_DOMAIN),
        epoch: 10 + index,
        rank: 0,
        state: 'ready',
      },
    }),
  );
}

/** The instance after it has left its group. */
function withoutGroup(member: TargetInstance): TargetInstance {
  return { ...member, membership: undefined, models: [] };
}

/** The instance in the failure domain that `withEvacuation` evacuates. */
function inEvacuatedDomain(instance: TargetInstance): TargetInstance {
  return { ...instance, failureDomain: 'zone-2' };
}

function withEvacuation(phase: EvacuationPhase): Partial<FormationView> {
  return { findEvacuation: (failureDomain) => (failureDomain === 'zone-2' ? phase : undefined) };
}

/** The third member is missing from the list. */
function withUnlisted(state: UnlistedMemberState, isStalled = false): Partial<FormationView> {
  return { findUnlistedMembers: () => [{ id: 'a-2', state }], isGroupStalled: () => isStalled };
}

interface Case {
  readonly name: string;
  readonly instances: readonly TargetInstance[];
  readonly view?: Partial<FormationView>;
  readonly orders: readonly string[];
}

const FORMATION_JOINS = ['join a-1', 'join a-2', 'join standby'];

const cases: readonly Case[] = [
  { name: 'a whole open group is left alone', instances: [head, second, third], orders: [] },
  {
    name: 'a whole ready group is opened',
    instances: [withState(head, 'ready'), second, third],
    orders: ['open a-0'],
  },
  {
    name: 'the head of a ready group that lacks a member leaves it, as a delayed order may still open it',
    instances: [withState(currentTermHead, 'ready'), currentTermSecond, standby],
    orders: ['leave b-0'],
  },
  {
    name: 'the same if the planner of an earlier term has formed the group',
    instances: [withState(head, 'ready'), second, standby],
    orders: ['leave a-0'],
  },
  {
    name: 'the same if the head is the only member that is listed',
    instances: [withState(head, 'ready'), standby],
    orders: ['leave a-0'],
  },
  {
    name: 'a ready group with a silent member is not opened',
    instances: [withState(head, 'ready'), second, third, standby],
    view: { silentInstances: new Set(['a-1']) },
    orders: ['leave a-0'],
  },
  {
    name: 'an open group that lacks a listed member is left alone: the member may be cut off from the store only',
    instances: [head, second, standby],
    orders: [],
  },
  {
    name: 'the head leaves an open group that lacks a listed member once several nodes find the group stalled',
    instances: [head, second, standby],
    view: { isGroupStalled: () => true },
    orders: ['leave a-0'],
  },
  {
    name: 'the head leaves an open group with a member that does not run any more before the other members are used',
    instances: [head, second, third, standby],
    view: {
      silentInstances: new Set(['a-2']),
      refusingInstances: new Set(['a-2']),
      goneInstances: new Set(['a-2']),
      isStallConfirmed: () => true,
    },
    orders: ['leave a-0'],
  },
  // Guards against a group that is cut off in its work since the planner's own path to a member refuses connections.
  {
    name: 'the head stays in an open group with a member that refuses this node only',
    instances: [head, second, third, standby],
    view: {
      silentInstances: new Set(['a-2']),
      refusingInstances: new Set(['a-2']),
      goneInstances: new Set(['a-2']),
    },
    orders: [],
  },
  {
    name: 'the same in a closing group',
    instances: [withState(head, 'closing'), second, third, standby],
    view: {
      silentInstances: new Set(['a-2']),
      refusingInstances: new Set(['a-2']),
      goneInstances: new Set(['a-2']),
    },
    orders: [],
  },
  {
    name: 'the same with a member that has been silent for long, once several nodes find the group stalled',
    instances: [head, second, third, standby],
    view: {
      silentInstances: new Set(['a-2']),
      goneInstances: new Set(['a-2']),
      isGroupStalled: () => true,
    },
    orders: ['leave a-0'],
  },
  {
    name: 'the head stays in an open group with a member that is silent for a moment',
    instances: [head, second, third, standby],
    view: { silentInstances: new Set(['a-2']), isGroupStalled: () => true },
    orders: [],
  },
  {
    name: 'the same with one that is silent for long, but for this node only',
    instances: [head, second, third, standby],
    view: { silentInstances: new Set(['a-2']), goneInstances: new Set(['a-2']) },
    orders: [],
  },
  {
    name: 'instances that have left their group form a group with the substitute',
    instances: [withoutGroup(head), withoutGroup(second), withoutGroup(third), standby],
    view: { silentInstances: new Set(['a-0']) },
    orders: FORMATION_JOINS,
  },
  {
    name: 'members of an open group are not used elsewhere',
    instances: [head, second, standby],
    orders: [],
  },
  // Guards against a group that is cut off in its work since a member left without having announced it.
  {
    name: 'an open group is closed once a member without an entry leaves',
    instances: [head, second],
    view: withUnlisted('leaving'),
    orders: ['close a-0'],
  },
  {
    name: 'a closing group goes on with its requests while a member without an entry leaves',
    instances: [withState(head, 'closing'), second],
    view: withUnlisted('leaving', true),
    orders: [],
  },
  {
    name: 'an open group is closed once a member without an entry is lost',
    instances: [head, second],
    view: withUnlisted('lost'),
    orders: ['close a-0'],
  },
  // Guards against a group that is cut off in its work since a member that drains has stopped listening.
  ...(['open', 'closing'] as const).map((state) => ({
    name: `requests of the ${state} head go on while a member that leaves has stopped listening`,
    instances: [withState(head, state), second, { ...third, state: 'leaving' as const }],
    view: {
      silentInstances: new Set(['a-2']),
      refusingInstances: new Set(['a-2']),
      goneInstances: new Set(['a-2']),
      isGroupStalled: () => true,
    },
    orders: state === 'open' ? ['close a-0'] : [],
  })),
  {
    name: 'the head leaves once a member that leaves has been silent for long and the group is stalled',
    instances: [withState(head, 'closing'), second, { ...third, state: 'leaving' }],
    view: {
      silentInstances: new Set(['a-2']),
      goneInstances: new Set(['a-2']),
      isGroupStalled: () => true,
    },
    orders: ['leave a-0'],
  },
  {
    name: 'the head leaves once a member without an entry is lost and the group is stalled',
    instances: [withState(head, 'closing'), second],
    view: withUnlisted('lost', true),
    orders: ['leave a-0'],
  },
  // Guards against a sound group that ends on a short silence since a member is cut off from the store.
  {
    name: 'an open group stays open, also while it is silent, while a member without an entry serves',
    instances: [head, second],
    view: withUnlisted('serving', true),
    orders: [],
  },
  {
    name: 'an open group stays open while it is not known what a member without an entry does',
    instances: [head, second],
    view: withUnlisted('unknown', true),
    orders: [],
  },
  {
    name: 'the head leaves once the group is stalled and a member was never known',
    instances: [head, second],
    view: { isGroupStalled: () => true },
    orders: ['leave a-0'],
  },
  {
    name: 'members of a closing group are not used elsewhere',
    instances: [withState(head, 'closing'), second, third, standby],
    orders: [],
  },
  {
    name: 'the members of a broken group leave it before they form another one',
    instances: [withState(head, 'broken'), second, standby],
    orders: ['leave a-0', 'leave a-1'],
  },
  {
    name: 'members whose head is not listed wait until it is known to be gone',
    instances: [second, third, standby],
    orders: [],
  },
  {
    name: 'members whose head is gone leave their group before they are used',
    instances: [second, third, standby],
    view: { isHeadGone: () => true },
    orders: ['leave a-1', 'leave a-2'],
  },
  {
    name: 'members that have left form another group',
    instances: [withoutGroup(second), withoutGroup(third), standby],
    view: { isHeadGone: () => true },
    orders: FORMATION_JOINS,
  },
  {
    name: 'members leave a listed head that has been silent for long once several nodes find the group stalled',
    instances: [head, second, third, standby],
    view: {
      silentInstances: new Set(['a-0']),
      goneInstances: new Set(['a-0']),
      isGroupStalled: () => true,
    },
    orders: ['leave a-1', 'leave a-2'],
  },
  {
    name: 'members stay with a head that is silent for a moment: it goes on with its requests',
    instances: [head, second, third, standby],
    view: { silentInstances: new Set(['a-0']), isGroupStalled: () => true },
    orders: [],
  },
  {
    name: 'members stay with a head that is silent for one node only: it may be cut off from that node',
    instances: [head, second, third, standby],
    view: { silentInstances: new Set(['a-0']) },
    orders: [],
  },
  {
    name: 'instances of fabric domains that another node plans get no orders',
    instances: [withState(head, 'ready'), second, third, createInstance('new')],
    view: { findTerm: () => undefined },
    orders: [],
  },
  {
    name: 'a head that serves without being listed is closed first',
    instances: [second, third, standby],
    view: { unlistedOpenHeads: [head] },
    orders: ['close a-0'],
  },
  {
    name: 'a head is not taken for gone while the list may lack entries',
    instances: [second, third, standby],
    view: { isHeadGone: () => true, isListSettled: false },
    orders: [],
  },
  {
    name: 'a group with a leaving member is closed when its requests have ended',
    instances: [head, second, { ...third, state: 'leaving' }],
    orders: ['close a-0'],
  },
  {
    name: 'a lone instance loads weights in a standby group',
    instances: [createInstance('new')],
    orders: ['join new'],
  },
  {
    name: 'an instance with staged weights joins a standby group to load them',
    instances: [createInstance('new', { stagedModels: ['large'] })],
    orders: ['join new'],
  },
  { name: 'an instance in a standby group gets no other join order', instances: [standby], orders: [] },
  {
    name: 'an instance that is loading weights gets no other order',
    instances: [createLoadingStandby('new', 'large'), ...createStandbys('small', 1)],
    orders: [],
  },
  {
    name: 'load pattern, a lost member: the others do not load the weights of a smaller group',
    instances: [...createStandbys('large', 2), ...createGroupMembers('s', 8, SMALL_MODEL, ['open', 'ready'])],
    orders: [],
  },
  {
    name: 'load pattern, a domain returns: instances group by the weights that they have',
    instances: [
      createInstance('l-1', { stagedModels: ['large'] }),
      createInstance('l-2', { stagedModels: ['large'] }),
      createInstance('l-3', { stagedModels: ['large'] }),
      createInstance('s-1', { stagedModels: ['small'] }),
    ],
    orders: ['join l-1', 'join l-2', 'join l-3', 'join s-1'],
  },
  {
    name: 'an instance with an order in progress gets no other',
    instances: [withState(head, 'ready'), second, third],
    view: { instancesWithPendingOrder: new Set(['a-0']) },
    orders: [],
  },
  // Guards against capacity that is taken away before it is provided elsewhere.
  {
    name: 'an open group with a member in an avoided domain stays open',
    instances: [head, second, inEvacuatedDomain(third)],
    view: withEvacuation('avoided'),
    orders: [],
  },
  // Guards against a group that fails as its domain is removed, although the order came in time.
  {
    name: 'an open group with a member in an excluded domain is closed',
    instances: [head, second, inEvacuatedDomain(third)],
    view: withEvacuation('excluded'),
    orders: ['close a-0'],
  },
  {
    name: 'an open group whose head is in an excluded domain is closed',
    instances: [inEvacuatedDomain(head), second, third],
    view: withEvacuation('excluded'),
    orders: ['close a-0'],
  },
  {
    name: 'requests of a closing group in an excluded domain go on',
    instances: [withState(inEvacuatedDomain(head), 'closing'), second, third],
    view: withEvacuation('excluded'),
    orders: [],
  },
  // Guards against groups and weight loads in a domain that is about to be removed.
  ...(['avoided', 'excluded'] as const).flatMap((phase) => [
    {
      name: `a ready group with a member in an ${phase} domain is not opened`,
      instances: [withState(head, 'ready'), second, inEvacuatedDomain(third)],
      view: withEvacuation(phase),
      orders: ['leave a-0'],
    },
    {
      name: `instances in an ${phase} domain form no group`,
      instances: [
        ...createStandbys('large', 2),
        inEvacuatedDomain(standby),
        ...createGroupMembers('s', 8, SMALL_MODEL, ['open', 'ready']),
      ],
      view: withEvacuation(phase),
      orders: [],
    },
    {
      name: `an instance in an ${phase} domain loads no weights`,
      instances: [inEvacuatedDomain(createInstance('new'))],
      view: withEvacuation(phase),
      orders: [],
    },
    // Guards against capacity elsewhere that is provided only after the domain is drained.
    {
      name: `spares elsewhere form a group at once while a group in an ${phase} domain still exists`,
      instances: [
        withState(inEvacuatedDomain(head), 'closing'),
        inEvacuatedDomain(second),
        inEvacuatedDomain(third),
        ...createStandbys('large', 3),
      ],
      view: withEvacuation(phase),
      orders: ['join large-standby-0', 'join large-standby-1', 'join large-standby-2'],
    },
  ]),
];

for (const { name, instances, view, orders } of cases) {
  void t.test(name, (t) => {
    const planner = new FormationPlanner();
    t.same(summarize(planner.plan(createView(instances, view))), orders);
    t.end();
  });
}

void t.test(
  'the join orders of one formation name the same members, and a higher epoch than all before',
  (t) => {
    const planner = new FormationPlanner();
    const orders = planner.plan(createView([withoutGroup(head), withoutGroup(second), standby]));
    const joins = orders.flatMap((order) => (order.kind === 'join' ? [order] : []));
    t.equal(new Set(joins.map(({ group, epoch, members }) => `${group} ${epoch} ${members.join()}`)).size, 1);
    t.ok(joins.every(({ epoch }) => epoch > 7));
    t.end();
  },
);

// Guards against a group that opens in a domain whose evacuation was ordered while it formed.
void t.test('a formation is given up when the domain of a member is evacuated', (t) => {
  const planner = new FormationPlanner();
  const instances = [withoutGroup(head), withoutGroup(second), inEvacuatedDomain(withoutGroup(third))];
  const joins = planner.plan(createView(instances));
  t.equal(joins.length, 3);
  const [join] = joins;
  const group = join?.kind === 'join' ? join.group : '';
  const epoch = join?.kind === 'join' ? join.epoch : 0;
  const joined = instances.map((instance) => {
    const rank = join?.kind === 'join' ? join.members.indexOf(instance.id) : -1;
    return { ...instance, models: ['large'], membership: { group, epoch, rank, state: 'ready' as const } };
  });
  t.same(
    summarize(new FormationPlanner().plan(createView(joined))),
    [`open ${joined.find(({ membership }) => membership.rank === 0)?.id}`],
    'without an evacuation the group is opened',
  );
  t.same(
    summarize(planner.plan(createView(joined, withEvacuation('avoided')))).map(
      (order) => order.split(' ')[0],
    ),
    ['leave'],
  );
  t.notOk(planner.isForming);
  t.end();
});

// Guards against a domain whose instances stay unused after it has returned.
void t.test('instances of a domain are used again when its evacuation is revoked', (t) => {
  const planner = new FormationPlanner();
  const instances = [withoutGroup(head), withoutGroup(second), inEvacuatedDomain(standby)];
  planner.plan(createView(instances, { ...withEvacuation('excluded'), nowMs: 0 }));
  const orders = planner.plan(createView(instances, { nowMs: 5_000 }));
  t.same(summarize(orders), ['join a-0', 'join a-1', 'join standby']);
  t.ok(
    orders.every((order) => order.kind === 'join' && order.members.length === 3),
    'in one group',
  );
  t.end();
});

// Guards against a group that is not closed since the entry of its member in the domain is missing.
void t.test('a group is closed if a member that is no longer listed is in an excluded domain', (t) => {
  const planner = new FormationPlanner();
  planner.plan(createView([head, second, inEvacuatedDomain(third)]));
  const orders = planner.plan(createView([head, second], withEvacuation('excluded')));
  t.match(orders, [{ kind: 'close', cause: { reason: 'domain-evacuated' } }]);
  t.end();
});

void t.test('a later term uses higher epochs', (t) => {
  const epochOf = (term: number) => {
    const view = createView([withoutGroup(head), withoutGroup(second), standby], { findTerm: () => term });
    const [order] = new FormationPlanner().plan(view);
    return order?.kind === 'join' ? order.epoch : 0;
  };
  t.ok(epochOf(4) > epochOf(3) + 10_000);
  t.end();
});

// One record gives several owners the same term; their groups had the same names, so that one of two heads got no requests.
void t.test('owners that were assigned their shards together form groups of different names', (t) => {
  const ownership = assignVacantShards({
    ownership: NO_OWNERS,
    candidates: ['a', 'b'].map((id) => ({ id, address: id })),
    ownerCount: 2,
    term: TERM,
  });
  const instances = Array.from({ length: 24 }, (_, index) =>
    createInstance(`i-${index}`, { fabricDomain: `fabric-${index >> 2}`, stagedModels: ['large'] }),
  );
  const groups = ['a', 'b'].map((id) => {
    const findTerm = (fabricDomain: string) => {
      const owner = ownership?.[findShard(fabricDomain)];
      return owner?.id === id ? owner.term : undefined;
    };
    const orders = new FormationPlanner().plan(createView(instances, { findTerm }));
    return new Set(orders.flatMap((order) => (order.kind === 'join' ? [groupId(order)] : [])));
  });
  const [first = new Set<string>(), second = new Set<string>()] = groups;
  t.ok(first.size > 1 && second.size > 1);
  t.same(
    [...first].filter((id) => second.has(id)),
    [],
  );
  t.end();
});

void t.test('the name of a group tells its model, also of one that was named without its shard', (t) => {
  t.equal(findModelOfGroup(createGroupName('model-3.1', 300_001, FABRIC_DOMAIN)), 'model-3.1');
  t.equal(findModelOfGroup(createStandbyName('model-3.1', 300_001, FABRIC_DOMAIN)), 'model-3.1');
  t.equal(findModelOfGroup('model-3.1.300001'), 'model-3.1');
  t.equal(findModelOfGroup('standby.model-3.1.300001'), 'model-3.1');
  t.equal(findModelOfGroup('other'), undefined);
  t.end();
});

void t.test('load pattern: loads from the weight store start no faster than its rate', (t) => {
  const planner = new FormationPlanner();
  const instances = Array.from({ length: 30 }, (_, index) =>
    createInstance(`i-${String(index).padStart(2, '0')}`),
  );
  let loads = 0;
  for (let nowMs = 0; nowMs <= 5_000; nowMs += 100) {
    loads += planner.plan(createView(instances, { nowMs })).length;
  }
  t.ok(loads <= 5.5 * 5 + 3, `${loads} loads in 5 s`);
  t.ok(loads >= 5.5 * 5 - 1);
  t.end();
});

// Each owner of shards used the whole rate of the weight store.
void t.test('load pattern: several owners together start loads no faster than its rate', (t) => {
  const ownerCount = 4;
  const ownership = assignVacantShards({
    ownership: NO_OWNERS,
    candidates: Array.from({ length: ownerCount }, (_, index) => ({ id: `${index}`, address: `${index}` })),
    ownerCount,
    term: TERM,
  });
  const instances = Array.from({ length: 320 }, (_, index) =>
    createInstance(`i-${index}`, { fabricDomain: `fabric-${index % 24}` }),
  );
  let loads = 0;
  for (let owner = 0; owner < ownerCount; owner++) {
    const planner = new FormationPlanner();
    const findTerm = (fabricDomain: string) =>
      ownership?.[findShard(fabricDomain)]?.id === `${owner}` ? TERM : undefined;
    for (let nowMs = 0; nowMs <= 5_000; nowMs += 100) {
      loads += planner.plan(createView(instances, { nowMs, findTerm, plannerCount: ownerCount })).length;
    }
  }
  t.ok(loads <= 5.5 * 5 * 1.1 + 3, `${loads} loads in 5 s`);
  t.ok(loads >= 5.5 * 5 - ownerCount);
  t.end();
});

void t.test('load pattern: the first plan gives each model groups and leaves few instances over', (t) => {
  const planner = new FormationPlanner();
  const instances = Array.from({ length: 4 }, (_, domain) =>
    Array.from({ length: 6 }, (_, index) =>
      createInstance(`i-${domain}-${index}`, { fabricDomain: `fabric-${domain}` }),
    ),
  ).flat();
  const orders = planner.plan(createView(instances, { hasTraffic: false }));
  const groups = new Map<string, { readonly model: string; readonly domains: Set<string> }>();
  for (const order of orders) {
    if (order.kind !== 'join') continue;
    const group = groups.get(order.group) ?? { model: order.model.name, domains: new Set<string>() };
    group.domains.add(order.instance.fabricDomain);
    groups.set(order.group, group);
  }
  t.ok(
    [...groups.values()].every(({ domains }) => domains.size === 1),
    'no group spans fabric domains',
  );
  for (const model of [LARGE_MODEL, SMALL_MODEL]) {
    t.ok([...groups.values()].some((group) => group.model === model.name));
  }
  t.ok(orders.filter(({ kind }) => kind === 'join').length >= 20);
  t.end();
});

/** A step of a formation of two standbys and an instance: what they show, and the orders that follow. */
interface FormationStep {
  readonly instances: readonly TargetInstance[];
  readonly view?: Partial<FormationView>;
  readonly orders: readonly string[];
}

const [formed = standby, formedSecond = standby] = createStandbys('large', 2);
const joinedNow = (
  instance: TargetInstance,
  rank: number,
  state: 'joining' | 'ready' | 'open' = 'joining',
) => ({
  ...instance,
  membership: { group: createGroupName('large', 300_001, FABRIC_DOMAIN), epoch: 300_001, rank, state },
});
const inOlderGroup = (instance: TargetInstance, rank: number, state: 'ready' | 'open' | 'closing') => ({
  ...instance,
  membership: { group: 'large.200009', epoch: 200_009, rank, state },
});
const allJoins = ['join large-standby-0', 'join large-standby-1', 'join standby'];
const allFree: FormationStep = { instances: [formed, formedSecond, standby], orders: allJoins };

const formationCases: readonly { readonly name: string; readonly steps: readonly FormationStep[] }[] = [
  // A member that was free when the formation began was joined whatever it turned out to be.
  ...(['open', 'closing', 'ready'] as const).map((state) => ({
    name: `a formation ends if a member turns out to be the ${state} head of an older group`,
    steps: [
      { ...allFree, view: { isListSettled: true } },
      {
        instances: [formed, inOlderGroup(formedSecond, 0, state), standby],
        view: { instancesWithPendingOrder: new Set([formed.id, standby.id]) },
        orders: state === 'ready' ? [`leave ${formedSecond.id}`] : [],
      },
    ],
  })),
  {
    name: 'a formation ends if a member turns out to be a member of an older group',
    steps: [
      allFree,
      {
        instances: [formed, inOlderGroup(formedSecond, 1, 'ready'), standby],
        view: { instancesWithPendingOrder: new Set([formed.id, standby.id]) },
        orders: [],
      },
    ],
  },
  {
    name: 'a formation goes on while the outcome of an order to a member is not known',
    steps: [
      allFree,
      {
        instances: [joinedNow(formed, 0), formedSecond, joinedNow(standby, 2)],
        view: { instancesWithPendingOrder: new Set([formedSecond.id]) },
        orders: [],
      },
      {
        instances: [joinedNow(formed, 0), formedSecond, joinedNow(standby, 2)],
        orders: [`join ${formedSecond.id}`],
      },
    ],
  },
  {
    name: 'the members of a formation that is given up leave its group, the head first',
    steps: [
      allFree,
      {
        instances: [joinedNow(formed, 0), formedSecond, joinedNow(standby, 2)],
        view: { silentInstances: new Set([formedSecond.id]) },
        orders: [`leave ${formed.id}`],
      },
      {
        instances: [withoutGroup(formed), formedSecond, joinedNow(standby, 2)],
        view: { silentInstances: new Set([formedSecond.id]) },
        orders: [`leave ${standby.id}`, `join ${formed.id}`].sort(),
      },
    ],
  },
  // Members of a group that is never opened waited for its head, which did not answer.
  {
    name: 'the members of a formation that is given up leave its group if its head is silent',
    steps: [
      allFree,
      {
        instances: [joinedNow(formed, 0), joinedNow(formedSecond, 1), joinedNow(standby, 2)],
        view: { silentInstances: new Set([formed.id]) },
        orders: [`leave ${formedSecond.id}`, `leave ${standby.id}`],
      },
    ],
  },
  {
    name: 'the members of a formation that is given up leave its group if its head never joined it',
    steps: [
      allFree,
      {
        instances: [formed, joinedNow(formedSecond, 1), joinedNow(standby, 2)],
        view: { silentInstances: new Set([formed.id]) },
        orders: [`leave ${formedSecond.id}`, `leave ${standby.id}`],
      },
    ],
  },
  // A head whose join order took longer than its members' counted as one that had left, so that they were told to leave.
  {
    name: 'members stay in the group of a formation in progress that its head has not joined yet',
    steps: [
      allFree,
      {
        instances: [withoutGroup(formed), joinedNow(formedSecond, 1), joinedNow(standby, 2)],
        view: { instancesWithPendingOrder: new Set([formed.id]) },
        orders: [],
      },
      {
        instances: [withoutGroup(formed), joinedNow(formedSecond, 1), joinedNow(standby, 2)],
        orders: [`join ${formed.id}`],
      },
    ],
  },
  // A head that answered again after its members had left counted as free while it was open.
  {
    name: 'a head that answers again without its members leaves its group before it is used',
    steps: [
      { instances: [head, second, third, standby], orders: [] },
      {
        instances: [head, second, third, standby],
        view: {
          silentInstances: new Set(['a-0']),
          goneInstances: new Set(['a-0']),
          isGroupStalled: () => true,
        },
        orders: ['leave a-1', 'leave a-2'],
      },
      {
        instances: [head, withoutGroup(second), withoutGroup(third), standby],
        orders: [...FORMATION_JOINS, 'leave a-0'],
      },
    ],
  },
  // Who was in a group was forgotten with its last listed member, so that a head that came back alone stayed open.
  {
    name: 'the same if the head was not listed meanwhile, and none of its members is in the group any more',
    steps: [
      { instances: [head, second, third], orders: [] },
      {
        instances: [second, third],
        view: { isHeadGone: () => true },
        orders: ['leave a-1', 'leave a-2'],
      },
      {
        instances: [withoutGroup(second), withoutGroup(third)],
        orders: ['join a-1', 'join a-2'],
      },
      {
        instances: [head, withoutGroup(second), withoutGroup(third)],
        view: { nowMs: 10_000, instancesWithPendingOrder: new Set(['a-1', 'a-2']) },
        orders: ['leave a-0'],
      },
    ],
  },
  {
    name: 'a member that joins a group late, after the formation was given up, leaves it as its head is elsewhere',
    steps: [
      {
        instances: [withoutGroup(formed), withoutGroup(formedSecond), withoutGroup(standby)],
        orders: allJoins,
      },
      {
        instances: [withoutGroup(formed), withoutGroup(formedSecond)],
        view: { instancesWithPendingOrder: new Set([formed.id, formedSecond.id]) },
        orders: [],
      },
      {
        instances: [withoutGroup(formed), joinedNow(formedSecond, 1)],
        view: { nowMs: 10_000, instancesWithPendingOrder: new Set([formed.id]) },
        orders: [`leave ${formedSecond.id}`],
      },
    ],
  },
  {
    name: 'a member that answers again after its head has left leaves the group before it is used',
    steps: [
      { instances: [head, second, third, standby], orders: [] },
      {
        instances: [withoutGroup(head), withoutGroup(second), third],
        orders: ['join a-0', 'join a-1', 'leave a-2'],
      },
    ],
  },
  {
    name: 'members stay with a head that is not listed, as it may be cut off from the store only',
    steps: [
      { instances: [head, second, third], orders: [] },
      { instances: [second, third], orders: [] },
    ],
  },
  {
    name: 'the head leaves its group if a member has restarted',
    steps: [
      { instances: [head, second, third], orders: [] },
      {
        instances: [head, second, { ...withoutGroup(third), startedAtMs: 2, stagedModels: ['large'] }],
        orders: ['join a-2', 'leave a-0'],
      },
    ],
  },
];

for (const { name, steps } of formationCases) {
  void t.test(name, (t) => {
    const planner = new FormationPlanner();
    for (const [index, { instances, view, orders }] of steps.entries()) {
      t.same(summarize(planner.plan(createView(instances, view))), [...orders].sort(), `step ${index}`);
    }
    t.end();
  });
}
