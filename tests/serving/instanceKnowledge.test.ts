import {
  FormationPlanner,
  InstanceStateOverlay,
  type MemberState,
  type TargetInstance,
} from '@monsoonreach/core';
import t from 'tap';
import { createGroupMembers, createInstance, createView, LARGE_MODEL } from './fixtures.js';

const GROUP = 'group-8';
const EPOCH = 8;

function createHead(state: MemberState, epoch = EPOCH): TargetInstance {
  return createInstance('head', {
    stagedModels: [LARGE_MODEL.name],
    models: [LARGE_MODEL.name],
    membership: { group: GROUP, epoch, rank: 0, state },
  });
}

/** An order that the head has begun, or a report from it; `count` is the number of orders begun by then. */
type Step =
  | { readonly kind: 'open' | 'close'; readonly atMs: number; readonly count: number }
  | { readonly kind: 'report'; readonly atMs: number; readonly state: MemberState; readonly count: number };

interface Case {
  readonly name: string;
  readonly steps: readonly Step[];
  readonly listed: MemberState;
  readonly listChangedAtMs: number;
  readonly atMs: number;
  readonly state: MemberState;
}

const cases: readonly Case[] = [
  {
    name: 'a report from before the opening does not override a list that shows the head open',
    steps: [{ kind: 'report', atMs: 1_000, state: 'ready', count: 3 }],
    listed: 'open',
    listChangedAtMs: 900,
    atMs: 8_000,
    state: 'open',
  },
  {
    name: 'a head that has begun to open counts as serving while the list and reports still show it ready',
    steps: [
      { kind: 'open', atMs: 1_000, count: 4 },
      { kind: 'report', atMs: 1_300, state: 'ready', count: 4 },
    ],
    listed: 'ready',
    listChangedAtMs: 500,
    atMs: 8_000,
    state: 'open',
  },
  {
    name: 'a report with fewer orders than were begun is ignored',
    steps: [
      { kind: 'open', atMs: 1_000, count: 4 },
      { kind: 'report', atMs: 1_100, state: 'ready', count: 3 },
    ],
    listed: 'ready',
    listChangedAtMs: 500,
    atMs: 1_200,
    state: 'open',
  },
  {
    name: 'a head that broke after it was opened is broken',
    steps: [
      { kind: 'open', atMs: 1_000, count: 4 },
      { kind: 'report', atMs: 6_000, state: 'broken', count: 4 },
    ],
    listed: 'open',
    listChangedAtMs: 1_400,
    atMs: 6_100,
    state: 'broken',
  },
  {
    name: 'a closed head does not count as serving once it reports so',
    steps: [
      { kind: 'close', atMs: 1_000, count: 4 },
      { kind: 'report', atMs: 1_500, state: 'ready', count: 4 },
    ],
    listed: 'open',
    listChangedAtMs: 100,
    atMs: 1_600,
    state: 'ready',
  },
  {
    name: 'a head that has begun to close is closing while the list still shows it open',
    steps: [{ kind: 'close', atMs: 1_000, count: 4 }],
    listed: 'open',
    listChangedAtMs: 100,
    atMs: 1_100,
    state: 'closing',
  },
  {
    name: 'the list overrides a report from before its last change',
    steps: [{ kind: 'report', atMs: 1_000, state: 'ready', count: 4 }],
    listed: 'broken',
    listChangedAtMs: 1_400,
    atMs: 1_500,
    state: 'broken',
  },
];

function applyStep(knowledge: InstanceStateOverlay, step: Step): void {
  if (step.kind === 'report') {
    knowledge.recordReport(createHead(step.state), step.count, step.atMs);
    return;
  }
  const instance = createHead(step.kind === 'open' ? 'ready' : 'open');
  knowledge.recordOrderStart(
    { kind: step.kind, instance, group: GROUP, epoch: EPOCH },
    step.count,
    step.atMs,
  );
}

for (const { name, steps, listed, listChangedAtMs, atMs, state } of cases) {
  void t.test(name, (t) => {
    const knowledge = new InstanceStateOverlay();
    for (const step of steps) applyStep(knowledge, step);
    const instances = new Map([['head', createHead(listed)]]);
    const merged = knowledge.merge({ instances, changedAtMs: () => listChangedAtMs, currentAtMs: atMs });
    t.equal(merged.get('head')?.membership?.state, state);
    t.end();
  });
}

void t.test('reports of an instance from before its restart are discarded', (t) => {
  const knowledge = new InstanceStateOverlay();
  knowledge.recordReport(createHead('open'), 4, 1_000);
  const restarted = { ...createHead('ready'), startedAtMs: 2, membership: undefined };
  const merged = knowledge.merge({
    instances: new Map([['head', restarted]]),
    changedAtMs: () => 500,
    currentAtMs: 1_100,
  });
  t.equal(merged.get('head')?.membership, undefined);
  t.equal(knowledge.getOrderCount(restarted), undefined);
  t.end();
});

void t.test('the effect of an order holds as long as the store is out, as the list cannot show it', (t) => {
  const knowledge = new InstanceStateOverlay();
  const idle = { ...createHead('ready'), membership: undefined };
  const join = { kind: 'join' as const, instance: idle, group: GROUP, epoch: EPOCH };
  knowledge.recordOrderStart({ ...join, model: LARGE_MODEL, members: ['head'] }, 1, 1_000);
  const instances = new Map([['head', idle]]);
  const findGroup = (currentAtMs: number) =>
    knowledge.merge({ instances, changedAtMs: () => 500, currentAtMs }).get('head')?.membership?.group;
  const listContradicted = (currentAtMs: number) =>
    knowledge.listContradicted({ instances, changedAtMs: () => 500, currentAtMs });
  t.equal(findGroup(900), GROUP, 'the list was last read before the order');
  t.same(listContradicted(900), []);
  t.equal(findGroup(10_000), GROUP, 'an entry that was read before the order does not show its effect');
  t.same(listContradicted(10_000), ['head'], 'the instance is asked once the list should show it');
  t.end();
});

/** The instance in a group of this epoch, or in no group. */
const inGroup = (epoch: number | undefined): TargetInstance =>
  epoch === undefined
    ? { ...createHead('ready'), membership: undefined }
    : createInstance('head', {
        stagedModels: [LARGE_MODEL.name],
        models: [LARGE_MODEL.name],
        membership: { group: `group-${epoch}`, epoch, rank: 1, state: 'ready' },
      });

interface OtherGroupCase {
  readonly name: string;
  /** How the state was learnt, at 1,000 ms; the instance has begun four orders then. */
  readonly known:
    | { readonly kind: 'joined'; readonly from: number | undefined; readonly epoch: number }
    | { readonly kind: 'left'; readonly epoch: number }
    | { readonly kind: 'reported'; readonly epoch: number | undefined };
  /** Epoch of the group in the entry of the list; undefined for none. */
  readonly listed: number | undefined;
  readonly listChangedAtMs: number;
  /** Epoch of the group that counts. */
  readonly epoch: number | undefined;
  /** Whether an order that is decided on it may be sent at once. */
  readonly isBound: boolean;
  /** Whether the instance is asked what holds. */
  readonly isAsked?: boolean;
}

// Orders were decided on one state of an instance and sent with the condition of another one.
const otherGroupCases: readonly OtherGroupCase[] = [
  {
    name: 'an entry that shows the group before a join is older, whenever it arrives',
    known: { kind: 'joined', from: 7, epoch: 8 },
    listed: 7,
    listChangedAtMs: 9_000,
    epoch: 8,
    isBound: true,
  },
  {
    name: 'an entry that shows the group that was left is older, whenever it arrives',
    known: { kind: 'left', epoch: 8 },
    listed: 8,
    listChangedAtMs: 9_000,
    epoch: undefined,
    isBound: true,
  },
  {
    name: 'an entry without a group soon after a join may be older',
    known: { kind: 'joined', from: undefined, epoch: 8 },
    listed: undefined,
    listChangedAtMs: 2_000,
    epoch: 8,
    isBound: true,
  },
  {
    name: 'an entry without a group long after a join may have been written before it: the instance is asked',
    known: { kind: 'joined', from: undefined, epoch: 8 },
    listed: undefined,
    listChangedAtMs: 2_400,
    epoch: 8,
    isBound: true,
    isAsked: true,
  },
  {
    name: 'an entry of a group of a higher epoch is newer, and says nothing of the number of orders',
    known: { kind: 'left', epoch: 8 },
    listed: 9,
    listChangedAtMs: 1_100,
    epoch: 9,
    isBound: false,
  },
  {
    name: 'an entry that was read before a report is older',
    known: { kind: 'reported', epoch: undefined },
    listed: 8,
    listChangedAtMs: 600,
    epoch: undefined,
    isBound: true,
  },
  {
    name: 'an entry that changed after a report counts, and the instance is asked again',
    known: { kind: 'reported', epoch: undefined },
    listed: 8,
    listChangedAtMs: 1_100,
    epoch: 8,
    isBound: false,
  },
  {
    name: 'an entry of a lower epoch than reported is older, whenever it arrives',
    known: { kind: 'reported', epoch: 8 },
    listed: 7,
    listChangedAtMs: 9_000,
    epoch: 8,
    isBound: true,
  },
];

function learn(knowledge: InstanceStateOverlay, known: OtherGroupCase['known']): void {
  switch (known.kind) {
    case 'joined': {
      const order = { kind: 'join' as const, instance: inGroup(known.from), members: ['other', 'head'] };
      const group = { group: `group-${known.epoch}`, epoch: known.epoch, model: LARGE_MODEL };
      knowledge.recordOrderStart({ ...order, ...group }, 4, 1_000);
      return;
    }
    case 'left':
      knowledge.recordOrderStart(
        { kind: 'leave', instance: inGroup(known.epoch), group: `group-${known.epoch}`, epoch: known.epoch },
        4,
        1_000,
      );
      return;
    case 'reported':
      knowledge.recordReport(inGroup(known.epoch), 4, 1_000);
  }
}

for (const { name, known, listed, listChangedAtMs, epoch, isBound, isAsked } of otherGroupCases) {
  void t.test(name, (t) => {
    const knowledge = new InstanceStateOverlay();
    learn(knowledge, known);
    const entries = {
      instances: new Map([['head', inGroup(listed)]]),
      changedAtMs: () => listChangedAtMs,
      currentAtMs: 9_000,
    };
    const merged = knowledge.merge(entries).get('head');
    if (isAsked !== undefined) t.same(knowledge.listContradicted(entries), isAsked ? ['head'] : []);
    t.equal(merged?.membership?.epoch, epoch);
    t.equal(merged && knowledge.getOrderCount(merged), isBound ? 4 : undefined);
    t.end();
  });
}

// An entry from before a member's join that arrived late showed the member as one that had left, which ended the group.
void t.test('an entry from before a join that arrives late does not end a sound group', (t) => {
  const knowledge = new InstanceStateOverlay();
  const planner = new FormationPlanner();
  const [head, second, third] = createGroupMembers('a', EPOCH, LARGE_MODEL, ['open', 'ready', 'ready']);
  if (!head || !second || !third) throw new Error('Expected three members.');
  const idle = { ...second, membership: undefined };
  const members = [head.id, second.id, third.id];
  knowledge.recordOrderStart(
    { kind: 'join', instance: idle, group: 'a', epoch: EPOCH, model: LARGE_MODEL, members },
    2,
    1_000,
  );
  knowledge.recordReport(second, 2, 1_300);
  const instances = new Map([head, idle, third].map((entry) => [entry.id, entry]));
  const plan = (changedAtMs: number, currentAtMs: number) =>
    planner.plan(
      createView([...knowledge.merge({ instances, changedAtMs: () => changedAtMs, currentAtMs }).values()]),
    );
  t.same(plan(900, 1_400), []);
  t.same(plan(4_000, 4_100), [], 'the store was out in between');
  t.end();
});

// A report that lagged behind an entry counted for as long as the entry did not change, so that a group was never opened.
for (const [reported, listed] of [
  ['joining', 'ready'],
  ['open', 'broken'],
  ['closing', 'ready'],
] as const) {
  void t.test(`an instance is asked again if it may be ${reported} or ${listed}`, (t) => {
    const knowledge = new InstanceStateOverlay();
    const entries = {
      instances: new Map([['head', createHead(listed)]]),
      changedAtMs: () => 900,
      currentAtMs: 1_100,
    };
    const findState = () => knowledge.merge(entries).get('head')?.membership?.state;
    knowledge.recordReport(createHead(reported), 4, 1_000);
    t.equal(findState(), reported);
    t.same(knowledge.listContradicted(entries), ['head']);
    knowledge.recordReport(createHead(listed), 4, 1_300);
    t.equal(findState(), listed);
    t.same(knowledge.listContradicted(entries), []);
    t.end();
  });
}

void t.test('an instance is not asked again if its report is newer than an entry with another state', (t) => {
  const knowledge = new InstanceStateOverlay();
  knowledge.recordReport(createHead('ready'), 4, 1_000);
  const instances = new Map([['head', createHead('joining')]]);
  t.same(knowledge.listContradicted({ instances, changedAtMs: () => 600, currentAtMs: 1_100 }), []);
  t.end();
});

// An instance that refused an order was forgotten, so that an older entry of it ended a sound group.
for (const rank of [0, 1]) {
  void t.test(
    `what is known of the group of a member of rank ${rank} holds when it refuses an order`,
    (t) => {
      const knowledge = new InstanceStateOverlay();
      const planner = new FormationPlanner();
      const group = createGroupMembers('a', EPOCH, LARGE_MODEL, ['open', 'ready', 'ready']);
      const joined = group[rank] ?? createHead('ready');
      const idle = { ...joined, membership: undefined };
      const members = group.map(({ id }) => id);
      knowledge.recordOrderStart(
        { kind: 'join', instance: idle, group: 'a', epoch: EPOCH, model: LARGE_MODEL, members },
        2,
        1_000,
      );
      knowledge.recordReport(joined, 2, 1_300);
      const entries = {
        instances: new Map(group.map((member) => [member.id, member === joined ? idle : member])),
        changedAtMs: () => 900,
        currentAtMs: 1_400,
      };
      const plan = (pending: readonly string[]) =>
        planner.plan(
          createView([...knowledge.merge(entries).values()], { instancesWithPendingOrder: new Set(pending) }),
        );
      t.same(plan([]), []);
      knowledge.recordRefusal(joined.id);
      t.same(plan([joined.id]), []);
      t.equal(knowledge.getOrderCount(joined), undefined, 'it is asked before it gets another order');
      knowledge.recordReport(joined, 1, 1_700);
      t.equal(knowledge.getOrderCount(joined), 1);
      t.end();
    },
  );
}

// A head that is cut off from the store was never closed: the number of its orders was forgotten before each order.
void t.test('the state of an instance that is no longer listed is kept for orders to it', (t) => {
  const knowledge = new InstanceStateOverlay();
  knowledge.recordReport(createHead('open'), 4, 1_000);
  knowledge.merge({ instances: new Map(), changedAtMs: () => -Infinity, currentAtMs: 5_000 });
  t.equal(knowledge.getOrderCount(createHead('open')), 4);
  knowledge.merge({ instances: new Map(), changedAtMs: () => -Infinity, currentAtMs: 70_000 });
  t.equal(knowledge.getOrderCount(createHead('open')), undefined);
  t.end();
});

void t.test('an entry of a start before the reported one is older', (t) => {
  const knowledge = new InstanceStateOverlay();
  const restarted = { ...createHead('ready'), startedAtMs: 2, membership: undefined };
  knowledge.recordReport(restarted, 0, 1_000);
  const merged = knowledge.merge({
    instances: new Map([['head', createHead('open')]]),
    changedAtMs: () => 1_200,
    currentAtMs: 1_300,
  });
  t.equal(merged.get('head')?.membership, undefined);
  t.equal(merged.get('head')?.startedAtMs, 2);
  t.end();
});
