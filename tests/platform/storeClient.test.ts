import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { StoreClient, StoreUnavailableError } from '@monsoonreach/platform';
import t from 'tap';

const TOPIC = 'topic-1';

const calls = {
  readNewest: (store: StoreClient) => store.readNewest(TOPIC),
  read: (store: StoreClient) => store.read({ topic: TOPIC, from: 0, waitMs: 0 }),
  append: (store: StoreClient) => store.append(TOPIC, Buffer.from('record'), 0),
  appendKeyed: (store: StoreClient) => store.appendKeyed(TOPIC, 'key', 'value'),
} as const;

type Call = keyof typeof calls;

/** A read response with one record of 4 bytes, of which some bytes at the end are missing. */
function createTruncatedSlice(missingBytes: number): Buffer {
  const slice = Buffer.alloc(16 + 4 + 4);
  slice.writeBigUInt64BE(1n, 0);
  slice.writeUInt32BE(4, 16);
  return slice.subarray(0, slice.length - missingBytes);
}

interface Answer {
  readonly name: string;
  readonly calls: readonly Call[];
  readonly status: number;
  readonly body: string | Buffer;
}

const JSON_CALLS = ['readNewest', 'append', 'appendKeyed'] as const;
const ALL_CALLS = [...JSON_CALLS, 'read'] as const;

const answers: readonly Answer[] = [
  { name: 'an empty body', calls: ALL_CALLS, status: 200, body: '' },
  { name: 'a body that is no answer of a store', calls: ALL_CALLS, status: 200, body: 'It works!' },
  { name: 'truncated JSON', calls: JSON_CALLS, status: 200, body: '{"offset":1,"items":[{"key":"a"' },
  { name: 'JSON of another kind', calls: JSON_CALLS, status: 200, body: '{"items":7,"offset":"1"}' },
  { name: 'a record cut within its length', calls: ['read'], status: 200, body: createTruncatedSlice(6) },
  { name: 'a record cut within its bytes', calls: ['read'], status: 200, body: createTruncatedSlice(1) },
  { name: 'status 410 with a body that is no JSON', calls: ['read'], status: 410, body: 'gone' },
  { name: 'status 412 with a body that is no JSON', calls: ['append'], status: 412, body: 'no' },
  { name: 'a status that is not in the protocol', calls: ALL_CALLS, status: 204, body: '' },
];

// Guards against a call that fails in a way that its callers do not expect, which ended the process.
for (const { name, calls: names, status, body } of answers) {
  for (const call of names) {
    void t.test(`${call}: ${name} counts as no answer`, async (t) => {
      const server = createServer((request, response) => {
        request.resume();
        response.writeHead(status).end(body);
      });
      await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
      const store = new StoreClient(`127.0.0.1:${(server.address() as AddressInfo).port}`);
      await t.rejects(async () => void (await calls[call](store)), {
        name: StoreUnavailableError.name,
        hasNoEffect: false,
      });
      await store.close();
      server.close();
    });
  }
}

const eras = [
  { name: 'names an era', header: { 'Store-Era': '3' }, era: 3, observed: [3] },
  { name: 'names none', header: {}, era: 0, observed: [] },
  { name: 'names one that is no number', header: { 'Store-Era': 'x' }, era: 0, observed: [] },
  {
    name: 'names one that cannot be counted on from',
    header: { 'Store-Era': '1e300' },
    era: 0,
    observed: [],
  },
] as const;

// Guards against offsets that are taken for those of another era, and restores that did not happen.
for (const { name, header, era, observed } of eras) {
  void t.test(`an answer that ${name} belongs to era ${era}`, async (t) => {
    const server = createServer((request, response) => {
      request.resume();
      response.writeHead(200, header).end('{"offset":7,"items":[],"end":8}');
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const observedEras: number[] = [];
    const store = new StoreClient(`127.0.0.1:${(server.address() as AddressInfo).port}`, {
      onEra: (observedEra) => observedEras.push(observedEra),
    });
    t.same(await store.append(TOPIC, Buffer.from('record'), 7), { era, offset: 7 });
    t.same(observedEras, observed);
    t.same((await store.readNewest(TOPIC)).end, { era, offset: 8 });
    await store.close();
    server.close();
  });
}

interface BreakCase {
  readonly call: Call;
  readonly broken: number;
  /** Requests that reach the store. */
  readonly sent: number;
  readonly isAnswered: boolean;
}

const breaks: readonly BreakCase[] = [
  { call: 'readNewest', broken: 1, sent: 2, isAnswered: true },
  { call: 'read', broken: 1, sent: 2, isAnswered: true },
  { call: 'read', broken: 2, sent: 2, isAnswered: false },
  { call: 'append', broken: 1, sent: 1, isAnswered: false },
  { call: 'appendKeyed', broken: 1, sent: 1, isAnswered: false },
];

// Guards against a store that counts as failed, for this node and all that read through it, as one connection broke.
for (const { call, broken, sent, isAnswered } of breaks) {
  void t.test(`"${call}" is sent ${sent} times when ${broken} of its connections break`, async (t) => {
    let received = 0;
    const server = createServer((request, response) => {
      request.resume();
      received++;
      if (received <= broken) request.socket.resetAndDestroy();
      else response.end(call === 'read' ? createTruncatedSlice(0) : '{"offset":7,"items":[],"end":8}');
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const store = new StoreClient(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    const answer: Promise<unknown> = calls[call](store);
    if (isAnswered) await t.resolves(answer);
    else await t.rejects(answer, StoreUnavailableError);
    t.equal(received, sent);
    await store.close();
    server.close();
  });
}
