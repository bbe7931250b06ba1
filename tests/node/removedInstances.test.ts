import { ManualClock } from '@monsoonreach/core';
import { RemovedInstances } from '@monsoonreach/node';
import { decodeConfiguration } from '@monsoonreach/platform';
import t from 'tap';
import { createConfiguration } from '../platform/platformFleet.js';
import { InstanceFleet } from '../platform/instanceStandin.js';
import { StoreStandin } from '../platform/storeStandin.js';
import { sleep } from '../standins/http.js';
import { createInstanceList, createMemberEntry, replaceList } from '../support/instanceList.js';
import { createPlanner } from '../support/planner.js';

const CONFIGURATION = decodeConfiguration(Buffer.from(JSON.stringify(createConfiguration(1))));

const HEAD_ADDRESS = '127.0.0.1:9';
const MEMBER_ADDRESS = '127.0.0.1:10';
const HEAD = ['head', createMemberEntry(HEAD_ADDRESS, { rank: 0, state: 'open' })] as const;
const IDLE_HEAD = ['head', createMemberEntry(HEAD_ADDRESS, { rank: 0 })] as const;
const MEMBER = ['member', createMemberEntry(MEMBER_ADDRESS, { rank: 1 })] as const;
const FORMER_MEMBER = ['other', createMemberEntry(MEMBER_ADDRESS, { rank: 1, epoch: 4 })] as const;

/** Creates what one node knows, with the entries that it lists. */
function createNode(clock: ManualClock, entries: readonly (readonly [string, unknown])[]) {
  const { list } = createInstanceList({ clock });
  const removed = new RemovedInstances({ list, clock, configuration: () => CONFIGURATION });
  replaceList(list, entries);
  return { list, removed };
}

const cases: readonly {
  readonly name: string;
  /** Entries before and after the removal. */
  readonly before: readonly (readonly [string, unknown])[];
  readonly after: readonly (readonly [string, unknown])[];
  readonly told: readonly string[];
}[] = [
  { name: 'a member of a group that serves', before: [HEAD, MEMBER], after: [HEAD], told: ['member'] },
  { name: 'a member of an earlier group', before: [HEAD, FORMER_MEMBER], after: [HEAD], told: [] },
  { name: 'a member of a group that is not open', before: [IDLE_HEAD, MEMBER], after: [IDLE_HEAD], told: [] },
  { name: 'a member of a group without a head', before: [HEAD, MEMBER], after: [], told: [] },
  { name: 'an instance that is listed', before: [HEAD, MEMBER], after: [HEAD, MEMBER], told: [] },
];

// Guards against members that only nodes that have ended since have read, which a new planner then cannot ask.
for (const { name, before, after, told } of cases) {
  void t.test(`a node tells its peers, and they tell others, of ${name} that was removed`, (t) => {
    const clock = new ManualClock();
    const { list, removed } = createNode(clock, before);
    replaceList(list, after);
    const listIds = (rows: readonly { readonly id: string }[]) => rows.map(({ id }) => id);
    t.same(listIds(removed.describe()), told);
    const peer = createNode(clock, after).removed;
    peer.recordPeer(removed.describe());
    t.same(listIds(peer.list()), told);
    t.same(listIds(peer.describe()), told);
    t.end();
  });
}

// Guards against nodes that go on telling each other of an instance that each has heard of from another.
void t.test('what peers tell is forgotten a while after the removal', (t) => {
  const clock = new ManualClock();
  const { list, removed } = createNode(clock, [HEAD, MEMBER]);
  replaceList(list, [HEAD]);
  const peers = [createNode(clock, [HEAD]).removed, createNode(clock, [HEAD]).removed] as const;
  for (let second = 0; second < 70; second++) {
    if (second === 0) peers[0].recordPeer(removed.describe());
    peers[1].recordPeer(peers[0].describe());
    peers[0].recordPeer(peers[1].describe());
    const count = second <= 60 ? 1 : 0;
    for (const peer of peers) t.equal(peer.list().length, count, `${second} s after the removal`);
    clock.advance(1_000);
  }
  t.end();
});

// Guards against an entry that is read again and counts as removed since a peer has not read it yet.
void t.test('an instance that the node lists does not count as removed', (t) => {
  const clock = new ManualClock();
  const { list, removed } = createNode(clock, [HEAD, MEMBER]);
  replaceList(list, [HEAD]);
  const peer = createNode(clock, [HEAD, MEMBER]).removed;
  peer.recordPeer(removed.describe());
  t.same(peer.list(), []);
  t.same(peer.describe(), []);
  t.end();
});

const planningCases: readonly {
  readonly name: string;
  readonly isLeaving: boolean;
  readonly epoch: number;
  readonly isClosed: boolean;
}[] = [
  { name: 'a member that leaves', isLeaving: true, epoch: 5, isClosed: true },
  { name: 'a member that is only cut off from the store', isLeaving: false, epoch: 5, isClosed: false },
  { name: 'a member of an earlier group that leaves', isLeaving: true, epoch: 4, isClosed: false },
];

// Guards against a group that stays open while a member leaves whose entry its planner has never read.
for (const { name, isLeaving, epoch, isClosed } of planningCases) {
  void t.test(`a node that plans since a moment ago is told by a peer of ${name}`, async (t) => {
    const store = new StoreStandin();
    const storeAddress = await store.start();
    const fleet = new InstanceFleet(store, 1);
    const head = await fleet.add('head', 'engines', 'domain-1');
    const member = await fleet.add('member', 'engines', 'domain-1');
    const members = ['head', 'member'];
    head.setGroup({ name: 'old', epoch: 5, rank: 0, members, state: 'open' }, 2);
    member.setGroup({ name: 'old', epoch: 5, rank: 1, members, state: 'ready' }, 1);
    const { address } = member;
    const planner = await createPlanner('node-1', storeAddress, [
      ['head', createMemberEntry(head.address, { rank: 0, state: 'open' })],
    ]);
    t.teardown(() => {
      planner.stop();
      fleet.stop();
      store.stop();
    });
    const left = isLeaving ? member.leaveUnlisted(2_000) : undefined;
    await planner.start();
    while (!planner.ownership.isOwner) await sleep(50);
    planner.removed.recordPeer([
      {
        id: 'member',
        address,
        service: 'engines',
        fabricDomain: 'domain-1',
        startedAtMs: 1,
        state: 'ready',
        membership: { group: 'old', epoch, rank: 1 },
        ageMs: 1_000,
      },
    ]);
    await sleep(700);
    t.equal(head.group?.state !== 'open', isClosed, `the head is ${head.group?.state ?? 'free'}`);
    await left;
  });
}
