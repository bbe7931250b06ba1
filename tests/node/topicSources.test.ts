import { randomBytes } from 'node:crypto';
import { Counters, systemClock } from '@monsoonreach/core';
import { TopicMirror, TopicServer } from '@monsoonreach/node';
import t from 'tap';
import type { FaultProxy } from '../soak/faultProxy.js';
import { sleep } from '../standins/http.js';
import { findFreePorts } from '../support/ports.js';
import { createFleet, DOMAIN, TOPIC, toStoredText } from './topicFleet.js';

void t.test('load pattern: two of five nodes read the store, and all get each change', async (t) => {
  const { nodes, put, stop } = await createFleet(5);
  t.teardown(stop);
  const before = nodes.map(({ store }) => store.callCount);
  put('a', '2');
  await sleep(300);
  put('b', '3');
  await sleep(1_200);
  t.equal(nodes.filter(({ store }, index) => store.callCount - (before[index] ?? 0) > 1).length, 2);
  for (const { values } of nodes)
    t.same(
      [...values],
      [
        ['a', toStoredText('2')],
        ['b', toStoredText('3')],
      ],
    );
});

// Guards against keys that are trusted for longer than the last contact allows, and ages that no peer accepts.
void t.test('an empty answer that comes early proves no later contact', async (t) => {
  const { nodes, stop } = await createFleet(1);
  t.teardown(stop);
  const [node] = nodes;
  const leadsMs: number[] = [];
  for (let change = 0; change < 20; change++) {
    node?.store.put('keyed.other', 'a', String(change));
    await sleep(50);
    leadsMs.push((node?.contactAtMs ?? Infinity) - systemClock.monotonic());
  }
  t.ok(Math.max(...leadsMs) <= 0, `the contact is ${Math.round(Math.max(...leadsMs))} ms in the future`);
});

const failures = [
  { name: 'answers 503', mood: 'busy' },
  { name: 'does not answer', mood: 'silent' },
] as const;

for (const { name, mood } of failures) {
  void t.test(
    `a node whose store ${name} gets each change from a peer, and its contact stays recent`,
    async (t) => {
      const { nodes, put, stop } = await createFleet(4);
      t.teardown(stop);
      const reader = [...nodes].sort((a, b) => b.store.callCount - a.store.callCount)[0];
      if (!reader) throw new Error('Expected one of the nodes to read the store.');
      reader.store.mode = mood;
      await sleep(2_500);
      put('a', '4');
      await sleep(1_000);
      for (const { values } of nodes) t.equal(values.get('a'), toStoredText('4'));
      for (const { contactAtMs } of nodes) t.ok(systemClock.monotonic() - contactAtMs < 2_500);
    },
  );
}

interface PathFault {
  readonly name: string;
  /** What befalls the way to each node that reads the store. */
  readonly strike: (link: FaultProxy) => void;
  readonly isSkipped: boolean;
}

const pathFaults: readonly PathFault[] = [
  {
    name: 'reset once',
    strike: (link) => {
      link.resetConnections();
    },
    isSkipped: false,
  },
  {
    name: 'refused',
    strike: (link) => {
      link.close();
    },
    isSkipped: true,
  },
  {
    name: 'silent',
    strike: (link) => {
      link.setState({ kind: 'silent' });
    },
    isSkipped: true,
  },
];

// Guards against a reader that is not asked for seconds, and calls to the store instead, as one connection broke.
for (const { name, strike, isSkipped } of pathFaults) {
  void t.test(`a reader is ${isSkipped ? '' : 'not '}skipped when its connections are ${name}`, async (t) => {
    const { nodes, put, stop } = await createFleet(4);
    t.teardown(stop);
    const [readers, followers] = [nodes.slice(0, 2), nodes.slice(2)];
    const before = followers.map(({ store }) => store.callCount);
    for (const { link } of readers) strike(link);
    await sleep(700);
    const failures = followers.map(({ counters }) => counters.count('monsoonreach_topic_reads_failed_total'));
    t.ok(
      failures.every((count) => count > 0 === isSkipped),
      `failed reads: ${failures.join(', ')}`,
    );
    put('a', '2');
    await sleep(isSkipped ? 2_000 : 200);
    for (const { values } of nodes) t.equal(values.get('a'), toStoredText('2'));
    if (isSkipped) return;
    t.same(
      followers.map(({ store }) => store.callCount),
      before,
      'no follower calls the store',
    );
  });
}

// Guards against a node without any source for seconds, as the connection to its only peer broke while the store refuses it.
void t.test(
  'a node that the store refuses reads on through its peer when their connection is reset',
  async (t) => {
    const { nodes, put, stop } = await createFleet(2);
    t.teardown(stop);
    const [node, peer] = nodes;
    if (!node || !peer) throw new Error('Expected the fleet to have two nodes.');
    node.store.mode = 'busy';
    await sleep(2_500);
    peer.link.resetConnections();
    await sleep(50);
    put('a', '2');
    await sleep(500);
    t.equal(node.values.get('a'), toStoredText('2'));
  },
);

const outages = [
  { name: 'turned away alone', isForAll: false },
  { name: 'turned away with all others', isForAll: true },
];

for (const { name, isForAll } of outages) {
  void t.test(`a reader that was ${name} knows whether the store was out`, async (t) => {
    const { nodes, stop } = await createFleet(4);
    t.teardown(stop);
    const reader = [...nodes].sort((a, b) => b.store.callCount - a.store.callCount)[0];
    const affected = isForAll ? nodes : nodes.filter((node) => node === reader);
    for (const { store } of affected) store.mode = 'busy';
    await sleep(3_500);
    for (const { store } of affected) store.mode = 'well';
    await sleep(3_000);
    t.equal(reader?.hasSeenOutage, isForAll);
  });
}

const restores = [
  { name: 'the same number of records is written again', lost: ['a'], rewritten: ['b'] },
  { name: 'fewer records are written than were lost', lost: ['a', 'a', 'a'], rewritten: ['b'] },
  { name: 'more records are written than were lost', lost: ['a'], rewritten: ['b', 'c', 'd'] },
];

// Guards against changes that nodes never read because their offsets had been given out before the restore.
for (const { name, lost, rewritten } of restores) {
  void t.test(`all nodes get what is written to a store that was restored, when ${name}`, async (t) => {
    const { nodes, put, restoreAfter, stop } = await createFleet(5);
    t.teardown(stop);
    const restore = restoreAfter(() => {
      for (const [index, key] of lost.entries()) put(key, `lost-${index}`);
    });
    await sleep(1_000);
    restore();
    await sleep(200);
    for (const key of rewritten) put(key, 'rewritten');
    await sleep(3_500);
    for (const { name: node, values } of nodes) {
      for (const key of rewritten) t.equal(values.get(key), toStoredText('rewritten'), `${node}: ${key}`);
    }
  });
}

// Guards against nodes of earlier versions that read all records again and again through an upgraded one.
void t.test('a read that names no era is answered from the era that this node has', async (t) => {
  const [port = 0] = await findFreePorts(1);
  const mirror = new TopicMirror(systemClock);
  mirror.replaceAll([], { era: 1, offset: 4 });
  mirror.confirm(systemClock.monotonic(), undefined, true);
  const server = new TopicServer({
    address: `127.0.0.1:${port}`,
    mirrors: new Map([[TOPIC, mirror]]),
    counters: new Counters(),
    members: () => [],
    onMembers: () => undefined,
  });
  await server.start();
  const read = async (query: string) =>
    (await fetch(`http://127.0.0.1:${port}/topics/${TOPIC}?from=4&wait=50${query}`)).status;
  t.equal(await read(''), 200);
  t.equal(await read('&era=1'), 200);
  t.equal(await read('&era=0'), 410);
});

void t.test('a node reads the store itself when the node that reads for it is unreachable', async (t) => {
  const { nodes, put, stop } = await createFleet(2);
  t.teardown(stop);
  const unreachable = ['9', '10'].map((port) => ({
    node: `a-${port}`,
    failureDomain: DOMAIN,
    address: `127.0.0.1:${port}`,
    storeAgeMs: 0,
    isFirstHand: true,
  }));
  for (const node of nodes) node.peers = () => unreachable;
  put('a', '5');
  await sleep(1_000);
  for (const { values } of nodes) t.equal(values.get('a'), toStoredText('5'));
});

void t.test('an answer that is too large for the link between nodes is read from the store', async (t) => {
  const { nodes, put, stop } = await createFleet(4);
  t.teardown(stop);
  const text = randomBytes(150_000).toString('hex');
  put('large', text);
  await sleep(1_000);
  for (const { values } of nodes) t.equal(values.get('large')?.length, text.length + 2);
  t.teardown(() => setTimeout(() => process.exit(), 100));
});
