import type { AddressInfo } from 'node:net';
import { systemClock } from '@monsoonreach/core';
import t from 'tap';
import { listen, sleep } from '../standins/http.js';
import { createFleet, DOMAIN, type TopicNode, toStoredText } from './topicFleet.js';

/** Time after which a change has to be in force at all nodes that the store serves, in milliseconds: the users' target. */
const IN_FORCE_MS = 2_000;
/** The same for nodes that the store turns away; a key may be accepted for so long after its end. */
const TURNED_AWAY_MS = 5_000;
/** Wait of the nodes' reads, in milliseconds; as for the configuration. */
const WAIT_MS = 1_100;
const FLEET_SIZE = 6;
/** Moments of a read's wait at which the readers fail, in milliseconds after the last change. */
const PHASES_MS = [100, 500, 900];

interface ReaderFault {
  readonly kind: 'busy' | 'silent' | 'hangs';
  /** Time from the failure of the first reader to this one's, in milliseconds. */
  readonly afterMs: number;
}

interface Case {
  readonly name: string;
  /** Faults of the two readers. */
  readonly faults: readonly ReaderFault[];
  /** Time from the last fault to the change, in milliseconds. */
  readonly changeAfterMs: number;
  /** Interval of other changes before and after it, in milliseconds. */
  readonly otherChangesMs?: number;
}

const busy = { kind: 'busy', afterMs: 0 } as const;
const silent = { kind: 'silent', afterMs: 0 } as const;
const hangs = { kind: 'hangs', afterMs: 0 } as const;

const cases: readonly Case[] = [
  { name: 'the store refuses the reads of one reader', faults: [busy], changeAfterMs: 50 },
  { name: 'the store refuses the reads of both readers', faults: [busy, busy], changeAfterMs: 50 },
  { name: 'the store does not answer one reader', faults: [silent], changeAfterMs: 50 },
  { name: 'the store does not answer both readers', faults: [silent, silent], changeAfterMs: 50 },
  { name: 'one reader hangs', faults: [hangs], changeAfterMs: 50 },
  { name: 'both readers hang', faults: [hangs, hangs], changeAfterMs: 50 },
  {
    name: 'one reader hangs and the store does not answer the other',
    faults: [hangs, silent],
    changeAfterMs: 50,
  },
  {
    name: 'the store refuses one reader after the other',
    faults: [busy, { kind: 'busy', afterMs: 700 }],
    changeAfterMs: 50,
  },
  {
    name: 'the store does not answer one reader, then the other',
    faults: [silent, { kind: 'silent', afterMs: 700 }],
    changeAfterMs: 50,
  },
  {
    name: 'the store does not answer both readers among other changes',
    faults: [silent, silent],
    changeAfterMs: 50,
    otherChangesMs: 270,
  },
  {
    name: 'one reader after the other is not answered among other changes',
    faults: [silent, { kind: 'silent', afterMs: 400 }],
    changeAfterMs: 250,
    otherChangesMs: 330,
  },
];

function fail(node: TopicNode, { kind }: ReaderFault): void {
  if (kind === 'hangs') node.link.setState({ kind: 'silent' });
  else node.store.mode = kind;
}

/** Returns when each node had the value, in milliseconds after now; Infinity if it did not within `maxMs`. */
async function awaitValue(nodes: readonly TopicNode[], key: string, text: string, maxMs: number) {
  const startMs = systemClock.monotonic();
  const delays = new Map<TopicNode, number>();
  while (delays.size < nodes.length && systemClock.monotonic() - startMs < maxMs) {
    for (const node of nodes) {
      if (!delays.has(node) && node.values.get(key) === toStoredText(text))
        delays.set(node, systemClock.monotonic() - startMs);
    }
    await sleep(5);
  }
  return nodes.map((node) => ({ node, delayMs: delays.get(node) ?? Infinity }));
}

async function measure({ faults, changeAfterMs, otherChangesMs }: Case, phaseMs: number) {
  const { nodes, put, stop } = await createFleet(FLEET_SIZE, WAIT_MS);
  put('a', 'before');
  await sleep(phaseMs);
  const otherChanges =
    otherChangesMs &&
    setInterval(() => {
      put('b', String(systemClock.monotonic()));
    }, otherChangesMs);
  const [first, second] = nodes;
  const [firstFault, secondFault] = faults;
  if (first && firstFault) fail(first, firstFault);
  await sleep(secondFault?.afterMs ?? 0);
  if (second && secondFault) fail(second, secondFault);
  await sleep(changeAfterMs);
  put('a', 'after');
  const delays = await awaitValue(nodes, 'a', 'after', TURNED_AWAY_MS + 1_000);
  clearInterval(otherChanges);
  stop();
  return delays;
}

// Guards against followers that wait, at one reader after the other, for a store that the readers cannot read.
for (const testCase of cases) {
  void t.test(`a change is in force in time when ${testCase.name}`, async (t) => {
    const results = await Promise.all(PHASES_MS.map((phaseMs) => measure(testCase, phaseMs)));
    for (const [index, delays] of results.entries()) {
      for (const { node, delayMs } of delays) {
        const maxMs = node.store.mode === 'well' ? IN_FORCE_MS : TURNED_AWAY_MS;
        const label = `${node.name}, phase ${PHASES_MS[index]} ms: after ${Math.round(delayMs)} ms`;
        t.ok(delayMs < maxMs, label);
      }
    }
  });
}

// Guards against nodes that take a healthy reader for one that cannot read, as what it read last waited long for a change.
void t.test('the contact of a node that reads the store stays recent among changes', async (t) => {
  const { nodes, put, stop } = await createFleet(1, WAIT_MS);
  t.teardown(stop);
  const ages: number[] = [];
  for (let sample = 0; sample < 500; sample++) {
    if (sample % 95 === 0) put('a', String(sample));
    await sleep(10);
    for (const { contactAtMs } of nodes) ages.push(systemClock.monotonic() - contactAtMs);
  }
  t.ok(Math.max(...ages) < WAIT_MS + 300, `the contact was ${Math.round(Math.max(...ages))} ms old`);
});

// Guards against a wait at each reader of an earlier version, which refuses a read only at the end of its wait.
void t.test('a change is in force in time while readers of an earlier version cannot read', async (t) => {
  const { nodes, put, stop } = await createFleet(1, WAIT_MS);
  t.teardown(stop);
  const readers = await Promise.all(
    ['earlier-1', 'earlier-2'].map(async (node) => {
      const server = await listen(async (_request, response, url) => {
        await sleep(Number(url.searchParams.get('wait') ?? 0));
        response.writeHead(409).end();
      }, 0);
      const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
      return { node, failureDomain: DOMAIN, address, storeAgeMs: 0, isFirstHand: true };
    }),
  );
  for (const node of nodes) node.peers = () => readers;
  for (let change = 0; change < 6; change++) {
    await sleep(600);
    put('a', `change-${change}`);
    for (const { delayMs } of await awaitValue(nodes, 'a', `change-${change}`, 2 * IN_FORCE_MS))
      t.ok(delayMs < IN_FORCE_MS, `after ${Math.round(delayMs)} ms`);
  }
});

// Guards against all nodes of a fleet reading a store whose calls are limited, as long as it turns the readers away.
void t.test(
  'load pattern: while both readers are turned away, only their substitutes read the store',
  async (t) => {
    const { nodes, stop } = await createFleet(12, WAIT_MS);
    t.teardown(stop);
    for (const { store } of nodes.slice(0, 2)) store.mode = 'busy';
    await sleep(4_500);
    const before = nodes.map(({ store }) => store.callCount);
    await sleep(2_500);
    const reading = nodes.filter(({ store }, index) => store.callCount > (before[index] ?? 0));
    t.same(
      reading.map(({ name }) => name),
      ['node-0', 'node-1', 'node-10', 'node-11'],
    );
  },
);

void t.test('nodes return to their readers once the store serves these again', async (t) => {
  const { nodes, stop } = await createFleet(FLEET_SIZE, WAIT_MS);
  t.teardown(stop);
  for (const { store } of nodes.slice(0, 2)) store.mode = 'busy';
  await sleep(3_000);
  for (const { store } of nodes.slice(0, 2)) store.mode = 'well';
  await sleep(5_000);
  const before = nodes.map(({ store }) => store.callCount);
  await sleep(2 * WAIT_MS);
  const reading = nodes.filter(({ store }, index) => store.callCount > (before[index] ?? 0));
  t.same(
    reading.map(({ name }) => name),
    ['node-0', 'node-1'],
  );
  t.teardown(() => setTimeout(() => process.exit(), 100));
});
