import { Counters, createMemberId, createRandom, systemClock, type TargetInstance } from '@monsoonreach/core';
import {
  DecisionLog,
  HeadMonitor,
  InstanceList,
  PeerExchange,
  Planning,
  ShardOwnership,
  StoreHistory,
} from '@monsoonreach/node';
import { decodeConfiguration, StoreClient } from '@monsoonreach/platform';
import t from 'tap';
import { sleep } from '../standins/http.js';
import { findFreePorts } from '../support/ports.js';
import { createConfiguration } from '../platform/platformFleet.js';
import { InstanceFleet } from '../platform/instanceStandin.js';
import { StoreStandin } from '../platform/storeStandin.js';

/** Creates the planner of one node, with an instance list that holds the given entries. */
async function createPlanner(name: string, store: string, entries: readonly [string, unknown][]) {
  const counters = new Counters();
  const log = new DecisionLog(name, 'hidden', systemClock, counters);
  const [port = 0] = await findFreePorts(1);
  const configuration = decodeConfiguration(Buffer.from(JSON.stringify(createConfiguration(1))));
  const contact = {
    reconnectedAtMs: -Infinity,
    restoredAtMs: -Infinity,
    get currentAtMs() {
      return systemClock.monotonic();
    },
  };
  const list = new InstanceList(systemClock, log, counters, contact);
  list.replaceAll(entries.map(([key, value]) => ({ key, value: Buffer.from(JSON.stringify(value)) })));
  const self = {
    node: name,
    id: createMemberId(name, '1'),
    address: `127.0.0.1:${port}`,
    failureDomain: 'zone-1',
    capacity: 1,
  };
  const common = { clock: systemClock, random: createRandom(port), counters, log };
  const exchange: PeerExchange = new PeerExchange({
    ...common,
    self,
    owners: () => ownership.listAddresses(),
    describeState: () => ({
      storeAgeMs: 0,
      isFirstHand: true,
      configurationVersion: 1,
      isLeaving: false,
      hasTraffic: true,
      ...ownership.describe(),
      crashes: [],
    }),
    onDigest: (digest, from) => {
      ownership.answerDigest(digest, from);
    },
    onMessage: (message) => {
      if (message.kind === 'ownership') ownership.receive(message);
    },
  });
  const ownership: ShardOwnership = new ShardOwnership({
    ...common,
    self,
    store: new StoreClient(store),
    history: new StoreHistory({ clock: systemClock, log }),
    exchange,
    countInstances: () => 10,
    onOwner: () => undefined,
  });
  const heads = new HeadMonitor({
    node: name,
    list,
    clock: systemClock,
    log,
    configuration: () => configuration,
    peers: () => [],
    isOwned: () => true,
    onFinding: () => undefined,
  });
  const planning = new Planning({
    ...common,
    list,
    ownership,
    configuration: () => configuration,
    isListSettled: () => true,
    demand: () => new Map(),
    hasTraffic: () => true,
    heads,
    countNodes: () => 1,
  });
  const start = async () => {
    await exchange.start();
    void ownership.run();
    void planning.run();
  };
  const stop = () => {
    planning.stop();
    ownership.stop();
    exchange.stop();
  };
  return { self, planning, ownership, exchange, list, start, stop };
}

function createEntry(
  id: string,
  address: string,
  group: Partial<NonNullable<TargetInstance['membership']>>,
): unknown {
  return {
    service: 'engines',
    address,
    zone: 'zone-1',
    state: 'ready',
    domain: 'domain-1',
    staged: ['model-a'],
    models: [{ name: 'model-a' }],
    group: { name: 'old', epoch: 5, state: 'ready', ...group },
    born: 1,
    id,
  };
}

void t.test(
  'a planner that takes over leaves an open group alone that an outdated list shows as ready',
  async (t) => {
    const store = new StoreStandin();
    const address = await store.start();
    const fleet = new InstanceFleet(store, 1);
    t.teardown(() => {
      fleet.stop();
      store.stop();
    });
    const head = await fleet.add('head', 'engines', 'domain-1');
    const spare = await fleet.add('spare', 'engines', 'domain-1');
    // The previous planner opened the group after the list was written; the list lacks the group's second member.
    head.setGroup({ name: 'old', epoch: 5, rank: 0, members: ['head', 'gone'], state: 'open' }, 2);
    spare.setGroup({ name: 'other', epoch: 4, rank: 0, members: ['spare'], state: 'ready' }, 1);
    const { ownership, start, stop } = await createPlanner('node-1', address, [
      ['head', createEntry('head', head.address, { rank: 0 })],
      ['spare', { ...(createEntry('spare', spare.address, { rank: 0, epoch: 4 }) as object) }],
    ]);
    await start();
    await sleep(3_000);
    t.ok(ownership.isOwner);
    t.equal(head.group?.state, 'open', 'the open group is left alone');
    t.equal(head.group?.name, 'old');
    stop();
  },
);

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
