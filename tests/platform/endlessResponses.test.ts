import { Counters, systemClock } from '@monsoonreach/core';
import { DecisionLog, StoreHistory, TopicSources } from '@monsoonreach/node';
import { readReport, sendOrder, StoreClient } from '@monsoonreach/platform';
import t from 'tap';
import { sleep } from '../standins/http.js';
import { type RawHandler, RawTarget, writeEndlessly } from '../support/rawHttp.js';

/** Bytes that a response without end may have before its connection is closed, with full socket buffers. */
const MAX_ENDLESS_BYTES = 33_554_432;

const HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n';
const chunked: RawHandler = ({ socket }) => {
  socket.write(`${HEAD}Transfer-Encoding: chunked\r\n\r\n`);
  writeEndlessly(socket, `${(1_024).toString(16)}\r\n${'x'.repeat(1_024)}\r\n`);
};
const unframed: RawHandler = ({ socket }) => {
  socket.write(`${HEAD}Connection: close\r\n\r\n`);
  writeEndlessly(socket, 'x');
};

const store = (address: string) => new StoreClient(address);
const log = new DecisionLog('node-2', 'hidden', systemClock, new Counters());
const peer = (address: string) =>
  new TopicSources({
    self: { node: 'node-2', address: '127.0.0.1:1', failureDomain: 'zone-1' },
    store: new StoreClient('127.0.0.1:1'),
    history: new StoreHistory({ clock: systemClock, log }),
    clock: systemClock,
    counters: new Counters(),
    log,
    nodes: () => [{ node: 'node-2', address: '127.0.0.1:1', failureDomain: 'zone-1' }],
    peers: () => [{ node: 'node-1', address, failureDomain: 'zone-1', storeAgeMs: 0, isFirstHand: true }],
    owners: () => new Set(),
  });

interface Call {
  readonly name: string;
  readonly send: (address: string) => Promise<unknown>;
}

const calls: readonly Call[] = [
  {
    name: 'a long poll of the store',
    send: (address) =>
      store(address).read({ topic: 'a', from: 0, waitMs: 5_000, signal: new AbortController().signal }),
  },
  { name: 'the newest records of the store', send: (address) => store(address).readNewest('a') },
  { name: 'an append to the store', send: (address) => store(address).append('a', Buffer.from('b'), 0) },
  { name: 'the newest records of a peer', send: (address) => peer(address).readNewest('a') },
  {
    name: 'changes of a peer',
    send: (address) =>
      peer(address).read({
        topic: 'a',
        from: { era: 0, offset: 0 },
        waitMs: 5_000,
        peerWaitMs: 5_000,
        signal: new AbortController().signal,
      }),
  },
  { name: 'the report of an instance', send: (address) => readReport({ id: 'i', address }, 5_000) },
];

void t.test('responses without end', async (t) => {
  const target = new RawTarget();
  await target.start();
  t.teardown(() => setTimeout(() => process.exit(), 100));

  for (const { name, send } of calls) {
    for (const [framing, handle] of Object.entries({ chunked, unframed })) {
      // Guards against a node that runs out of memory because another program answers without end.
      await t.test(`${name}, ${framing}`, async (t) => {
        target.reset(handle);
        const startedAtMs = performance.now();
        await t.rejects(send(target.address));
        t.ok(performance.now() - startedAtMs < 1_000, 'the call fails before its timeout');
        await sleep(50);
        t.ok(target.requests.length > 0);
        t.ok(
          target.requests.every(({ socket }) => socket.destroyed),
          'the connection is closed',
        );
        t.ok(target.bytesWritten < MAX_ENDLESS_BYTES, `${target.bytesWritten} bytes were read`);
      });
    }
  }

  // Guards against a node that reads the same page of the store again and again and keeps all that it has read.
  await t.test('pages without end', async (t) => {
    target.reset(({ socket }) => {
      const page = JSON.stringify({ items: [{ key: 'a', value: 'YQ==' }], hasMore: true, end: 1 });
      socket.write(`${HEAD}Content-Length: ${page.length}\r\n\r\n${page}`);
    });
    await t.rejects(store(target.address).readNewest('a'));
    t.ok(target.requests.length < 5, `${target.requests.length} pages were read`);
  });

  await t.test('the answer to an order', async (t) => {
    target.reset(chunked);
    const order = {
      kind: 'stage',
      instance: { id: 'i', address: target.address },
      model: 'm',
    } as unknown as Parameters<typeof sendOrder>[0];
    await sendOrder(order, { fencingToken: 1, expectedOrderCount: 0, timeoutMs: 2_000 });
    await sleep(50);
    t.ok(target.bytesWritten < MAX_ENDLESS_BYTES, `${target.bytesWritten} bytes were read`);
  });
});
