import { Evacuations, systemClock } from '@monsoonreach/core';
import type { ShardOwnership } from '@monsoonreach/node';
import t from 'tap';
import { sleep } from '../standins/http.js';
import { InstanceFleet } from '../platform/instanceStandin.js';
import { StoreStandin } from '../platform/storeStandin.js';
import { createMemberEntry, replaceList } from '../support/instanceList.js';
import { createPlanner } from '../support/planner.js';
import { RawTarget } from '../support/rawHttp.js';

// Orders decided on an outdated list were sent with the condition of a newer report, and took an open head.
for (const spareId of ['spare', 'a-spare']) {
  void t.test(
    `a planner that takes over leaves an open group alone that an outdated list shows as ready, beside ${spareId}`,
    async (t) => {
      const store = new StoreStandin();
      const address = await store.start();
      const fleet = new InstanceFleet(store, 1);
      t.teardown(() => {
        fleet.stop();
        store.stop();
      });
      const head = await fleet.add('head', 'engines', 'domain-1');
      const spare = await fleet.add(spareId, 'engines', 'domain-1');
      // The previous planner opened the group after the list was written; the list lacks the group's second member.
      head.setGroup({ name: 'old', epoch: 5, rank: 0, members: ['head', 'gone'], state: 'open' }, 2);
      spare.setGroup({ name: 'other', epoch: 4, rank: 0, members: [spareId], state: 'ready' }, 1);
      const { ownership, start, stop } = await createPlanner('node-1', address, [
        ['head', createMemberEntry(head.address, { rank: 0 })],
        [spareId, createMemberEntry(spare.address, { rank: 0, epoch: 4 })],
      ]);
      await start();
      await sleep(3_000);
      t.ok(ownership.isOwner);
      t.equal(head.group?.state, 'open', 'the open group is left alone');
      t.equal(head.group?.name, 'old');
      stop();
    },
  );
}

// Guards against a head that is told to close again and again while it finishes its requests.
void t.test('a head that serves without being listed is told to close once', async (t) => {
  const store = new StoreStandin();
  const address = await store.start();
  const fleet = new InstanceFleet(store, 20);
  fleet.pauseBefore = () => 100;
  const head = await fleet.add('head', 'engines', 'domain-1');
  const member = await fleet.add('member', 'engines', 'domain-1');
  const members = ['head', 'member'];
  head.setGroup({ name: 'old', epoch: 5, rank: 0, members, state: 'open' }, 2);
  member.setGroup({ name: 'old', epoch: 5, rank: 1, members, state: 'ready' }, 1);
  const memberEntry = ['member', createMemberEntry(member.address, { rank: 1 })] as const;
  const planner = await createPlanner('node-1', address, [
    ['head', createMemberEntry(head.address, { rank: 0, state: 'open' })],
    memberEntry,
  ]);
  const { ownership, list, heads, counters } = planner;
  t.teardown(() => {
    planner.stop();
    fleet.stop();
    store.stop();
  });
  await planner.start();
  while (!ownership.isOwner) await sleep(50);
  heads.tick();
  const stream = fetch(`http://${head.address}/`, { headers: { 'Attempt-Id': 'a' } });
  await sleep(200);
  replaceList(list, [memberEntry]);
  for (let ticks = 0; ticks < 25; ticks++) {
    heads.tick();
    await sleep(50);
  }
  t.equal(head.group?.state, 'closing');
  const closes = counters.expose().match(/^monsoonreach_orders_total\{.*kind="close".*\} \d+$/gm) ?? [];
  t.match(closes.join(), / 1$/, 'one order');
  t.equal(closes.length, 1);
  const answer = await stream;
  t.equal((await answer.text()).match(/^id: /gm)?.length, 20, 'the stream is complete');
});

// Guards against health checks, which run as requests, that reach an evacuated domain after the bound.
for (const { name, domains, isChecked } of [
  { name: 'no domain is excluded', domains: [], isChecked: true },
  { name: 'another domain is excluded', domains: ['zone-9'], isChecked: true },
  { name: 'its domain is excluded', domains: ['zone-1'], isChecked: false },
]) {
  void t.test(
    `a member that is missing from the list is ${isChecked ? '' : 'not '}checked if ${name}`,
    async (t) => {
      const store = new StoreStandin();
      const address = await store.start();
      const fleet = new InstanceFleet(store, 1);
      const head = await fleet.add('head', 'engines', 'domain-1');
      const member = new RawTarget();
      await member.start();
      const evacuations = new Evacuations(systemClock);
      evacuations.applySnapshot(domains.map((failureDomain) => ({ failureDomain, offset: 1 })));
      const headEntry = ['head', createMemberEntry(head.address, { rank: 0, state: 'open' })] as const;
      const memberEntry = ['member', createMemberEntry(member.address, { rank: 1 })] as const;
      const planner = await createPlanner('node-1', address, [headEntry, memberEntry], { evacuations });
      t.teardown(() => {
        planner.stop();
        fleet.stop();
        store.stop();
        member.crash();
      });
      await planner.start();
      while (!planner.ownership.isOwner) await sleep(50);
      replaceList(planner.list, [headEntry]);
      await sleep(1_000);
      t.equal(
        member.requests.some(({ head: text }) => text.includes('/healthz')),
        isChecked,
      );
    },
  );
}

/** Creates nodes that know each other, with a store. */
async function createFleet(size: number) {
  const store = new StoreStandin();
  const address = await store.start();
  const nodes = await Promise.all(
    Array.from({ length: size }, (_, index) => createPlanner(`node-${index}`, address, [])),
  );
  const members = nodes.map(({ self }) => self);
  for (const { exchange, start } of nodes) {
    exchange.addMembers(members);
    await start();
  }
  return { store, nodes };
}

const countOwners = (nodes: readonly { readonly ownership: ShardOwnership }[]) =>
  nodes.filter(({ ownership }) => ownership.isOwner).length;

void t.test('exactly one of a few nodes that start at the same time owns the shards', async (t) => {
  const { store, nodes } = await createFleet(5);
  await sleep(3_000);
  t.equal(countOwners(nodes), 1);
  t.equal(new Set(nodes.map(({ ownership }) => ownership.stamp)).size, 1, 'all know the same owners');
  for (const { stop } of nodes) stop();
  store.stop();
});

void t.test('an owner that stops hands its shards over, also while the store is out', async (t) => {
  const { store, nodes } = await createFleet(3);
  await sleep(2_500);
  store.mode = 'busy';
  const owner = nodes.find(({ ownership }) => ownership.isOwner);
  const others = nodes.filter((node) => node !== owner);
  owner?.planning.stop();
  owner?.ownership.stop();
  await sleep(300);
  t.equal(owner?.ownership.isOwner, false);
  t.equal(countOwners(others), 1);
  for (const { stop } of nodes) stop();
  store.stop();
});

void t.test(
  'a node that is asked directly answers as long as it runs, and as the start that it is',
  async (t) => {
    const { store, nodes } = await createFleet(3);
    const [first, second, third] = nodes;
    if (!first || !second || !third) throw new Error('Expected three nodes.');
    third.exchange.stop();
    const cases = [
      { name: 'a running node', asked: second.self, isAnswered: true },
      { name: 'an earlier start of it', asked: { ...second.self, id: 'node-1#0' }, isAnswered: false },
      { name: 'a node that is lost', asked: third.self, isAnswered: false },
    ];
    for (const { name, asked, isAnswered } of cases) {
      t.equal(await first.exchange.probe(asked), isAnswered, name);
    }
    third.planning.stop();
    third.ownership.stop();
    first.stop();
    second.stop();
    store.stop();
  },
);

void t.test('the shards of a node that is lost get another owner', async (t) => {
  const { store, nodes } = await createFleet(3);
  await sleep(2_500);
  const owner = nodes.find(({ ownership }) => ownership.isOwner);
  const others = nodes.filter((node) => node !== owner);
  // A lost node sends nothing; it doesn't hand over.
  owner?.exchange.stop();
  await sleep(4_500);
  t.equal(countOwners(others), 1);
  for (const { planning, ownership } of nodes) {
    planning.stop();
    ownership.stop();
  }
  store.stop();
  setTimeout(() => process.exit(), 200);
});
