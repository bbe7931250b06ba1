import {
  type InstanceHealth,
  type MemberState,
  observeGroups,
  type TargetInstance,
  UnlistedMembers,
  type UnlistedMemberState,
} from '@monsoonreach/core';
import t from 'tap';
import { createGroupMembers, createInstance, LARGE_MODEL, SERVICE } from './fixtures.js';

const GROUP = 'a@7';

function createMembers(headState: MemberState): readonly TargetInstance[] {
  return createGroupMembers('a', 7, LARGE_MODEL, [headState, 'ready', 'ready']);
}

const [head = createInstance('none'), second = head, third = head] = createMembers('open');

/** Tracks the members that are removed while the others are listed. */
function track(listed: readonly TargetInstance[], removed: readonly TargetInstance[]): UnlistedMembers {
  const members = new UnlistedMembers();
  members.update(observeGroups(SERVICE, listed), removed, 0);
  return members;
}

const [closingHead = head] = createMembers('closing');
const [readyHead = head] = createMembers('ready');

const trackingCases: readonly {
  readonly name: string;
  readonly listed: readonly TargetInstance[];
  readonly removed: readonly TargetInstance[];
  readonly asked: readonly string[];
}[] = [
  { name: 'a member of an open group is asked', listed: [head, second], removed: [third], asked: ['a-2'] },
  {
    name: 'a member of a closing group is asked',
    listed: [closingHead, second],
    removed: [third],
    asked: ['a-2'],
  },
  {
    name: 'a member of a group that does not serve is not',
    listed: [readyHead, second],
    removed: [third],
    asked: [],
  },
  { name: 'a head is not', listed: [second, third], removed: [head], asked: [] },
  {
    name: 'an earlier holder of a rank is not',
    listed: [head, second, { ...third, id: 'other' }],
    removed: [third],
    asked: [],
  },
  { name: 'an instance of no group is not', listed: [head], removed: [createInstance('free')], asked: [] },
];

for (const { name, listed, removed, asked } of trackingCases) {
  void t.test(name, (t) => {
    const due = track(listed, removed).takeDue(0);
    t.same(
      due.map(({ id }) => id),
      asked,
    );
    t.end();
  });
}

// Guards against a member that leaves unannounced and is taken for one that is cut off from the store, and the reverse.
const stateCases: readonly {
  readonly name: string;
  /** Answers with the time at which they arrive, in milliseconds. */
  readonly answers: readonly (readonly [number, InstanceHealth])[];
  readonly atMs: number;
  readonly state: UnlistedMemberState;
}[] = [
  { name: 'one that was not asked is unknown', answers: [], atMs: 5_000, state: 'unknown' },
  { name: 'one that serves', answers: [[100, 'serving']], atMs: 200, state: 'serving' },
  { name: 'one that leaves', answers: [[100, 'leaving']], atMs: 200, state: 'leaving' },
  {
    name: 'one that is silent for a second is still unknown',
    answers: [
      [100, 'serving'],
      [600, 'silent'],
      [1_100, 'silent'],
    ],
    atMs: 1_500,
    state: 'unknown',
  },
  {
    name: 'one that is silent for longer is lost',
    answers: [
      [100, 'serving'],
      [600, 'silent'],
      [1_600, 'silent'],
    ],
    atMs: 1_700,
    state: 'lost',
  },
  {
    name: 'one that leaves and falls silent leaves',
    answers: [
      [100, 'leaving'],
      [600, 'silent'],
    ],
    atMs: 700,
    state: 'leaving',
  },
  { name: 'one that refuses is lost', answers: [[100, 'refused']], atMs: 200, state: 'lost' },
  // Guards against a group that is cut off in its work since a member that drains has stopped listening.
  {
    name: 'one that leaves and stops listening leaves',
    answers: [
      [100, 'leaving'],
      [600, 'refused'],
      [3_000, 'refused'],
    ],
    atMs: 3_100,
    state: 'leaving',
  },
];

for (const { name, answers, atMs, state } of stateCases) {
  void t.test(name, (t) => {
    const members = track([head, second], [third]);
    for (const [answeredAtMs, health] of answers) members.recordHealth(third, health, answeredAtMs);
    t.same(members.list(GROUP, atMs), [{ id: 'a-2', state }]);
    t.same(members.list('b@7', atMs), [], 'another group');
    t.end();
  });
}

void t.test('a member whose last entry says that it leaves leaves once it has stopped listening', (t) => {
  const leaving = { ...third, state: 'leaving' as const };
  const members = track([head, second], [leaving]);
  members.recordHealth(leaving, 'refused', 100);
  t.same(members.list(GROUP, 200), [{ id: 'a-2', state: 'leaving' }]);
  t.end();
});

void t.test('a member is asked again after a while, and no longer once it is listed', (t) => {
  const members = track([head, second], [third]);
  t.equal(members.takeDue(0).length, 1);
  t.equal(members.takeDue(100).length, 0);
  t.equal(members.takeDue(400).length, 1);
  members.update(observeGroups(SERVICE, [head, second, third]), [], 500);
  t.equal(members.takeDue(1_000).length, 0);
  t.same(members.list(GROUP, 1_000), []);
  t.end();
});

void t.test('an answer of a member that is no longer tracked is ignored', (t) => {
  const members = track([head, second, third], []);
  members.recordHealth(third, 'leaving', 0);
  t.same(members.list(GROUP, 0), []);
  t.end();
});
