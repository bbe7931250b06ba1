import { type CallerHandler, CallerServer } from '@monsoonreach/callers';
import { systemClock } from '@monsoonreach/core';
import t from 'tap';
import { sleep } from '../standins/http.js';
import { findFreePorts } from '../support/ports.js';
import { formatRequest, RawCaller } from '../support/rawCaller.js';

const EVENT_INTERVAL_MS = 20;
const EVENTS_PER_STREAM = 20;
/** Time for a connection to be closed, in milliseconds; node:http keeps idle ones for 5 s. */
const CLOSE_TIMEOUT_MS = 1_000;
const LAST_BYTES = '[DONE]';

async function* produceEvents() {
  for (let index = 0; index < EVENTS_PER_STREAM; index++) {
    await sleep(EVENT_INTERVAL_MS);
    yield { kind: 'event', data: String(index) } as const;
  }
}

const ANSWER = 'called';
/** Number of calls of services that the handler got. */
let calls = 0;
let isKeyKnown = true;

const handler: CallerHandler = {
  authenticate: () => (isKeyKnown ? 'workspace-1' : undefined),
  isReady: () => true,
  maxBodyBytes: () => 65_536,
  listModels: () => ['model-a'],
  complete: (_request, { undispatched }) =>
    Promise.resolve(undispatched.dispatch().answered({ kind: 'stream', events: produceEvents() } as const)),
  callService: (_request, { undispatched }) => {
    calls++;
    const answer = { status: 200, contentType: undefined, body: Buffer.from(ANSWER), isReplayed: false };
    return Promise.resolve(undispatched.dispatch().answered(answer));
  },
  onEnded: () => undefined,
};

const completion = formatRequest({
  path: '/v1/chat/completions',
  headers: { Authorization: 'Bearer key-1', 'Content-Type': 'application/json' },
  body: JSON.stringify({ model: 'model-a', messages: [{ role: 'user', content: 'hello' }], stream: true }),
});

const call = formatRequest({
  path: '/services/booking/orders',
  headers: { Authorization: 'Bearer key-1' },
  body: '{}',
});

async function startServer(): Promise<{ readonly server: CallerServer; readonly address: string }> {
  const [port = 0] = await findFreePorts(1);
  const address = `127.0.0.1:${port}`;
  const timeouts = { headerTimeoutMs: 5_000, requestTimeoutMs: 5_000 };
  const server = new CallerServer({ address, ...timeouts, clock: systemClock, handler });
  await server.listen();
  return { server, address };
}

// Guards against connections that bring requests to an entry that is about to end, because they turn idle late or were
// never used.
void t.test('a closing server closes each connection after its current answer', async (t) => {
  const { server, address } = await startServer();
  const unused = await RawCaller.connect(address);
  const streaming = await RawCaller.connect(address);
  streaming.write(completion);
  await streaming.waitForText('data: 0');

  server.startClosing();
  const closing = server.close();
  await unused.waitForClose(CLOSE_TIMEOUT_MS);
  t.equal(streaming.closedAtMs, undefined, 'the answer goes on');
  t.equal(server.inProgress, 1);
  await streaming.waitForText(LAST_BYTES);
  await streaming.waitForClose(CLOSE_TIMEOUT_MS);
  t.notMatch(streaming.received, /connection: close/i, 'its head was sent before');
  await closing;
  t.equal(server.inProgress, 0);
});

// Guards against a caller that sends its next request on a connection that is about to end, as the answer does not say so.
void t.test('an answer that begins after the server starts closing announces the end', async (t) => {
  const { server, address } = await startServer();
  const caller = await RawCaller.connect(address);
  caller.write(completion.slice(0, -1));
  while (server.inProgress === 0) await sleep(EVENT_INTERVAL_MS);
  server.startClosing();
  const closing = server.close();
  caller.write(completion.slice(-1));
  await caller.waitForText(LAST_BYTES);
  t.match(caller.received, /^connection: close\r$/im);
  await closing;
});

const pipelined = [
  { name: 'with the request before it', isTogether: true },
  { name: 'after the head of the answer before it', isTogether: false },
];

for (const { name, isTogether } of pipelined) {
  // Guards against a request that is run and whose connection ends with the answer to the request before it.
  void t.test(`a closing server answers what it runs: a request that arrives ${name}`, async (t) => {
    const { server, address } = await startServer();
    const caller = await RawCaller.connect(address);
    server.startClosing();
    calls = 0;
    caller.write(isTogether ? completion + call : completion);
    await caller.waitForText('data: 0');
    if (!isTogether) caller.write(call);
    await caller.waitForText(LAST_BYTES);
    await caller.waitForClose(CLOSE_TIMEOUT_MS);
    t.equal(caller.received.includes(ANSWER), calls === 1, `calls: ${calls}`);
    t.equal(calls, isTogether ? 1 : 0);
    await server.close();
    t.equal(server.inProgress, 0);
  });
}

// Guards against a key that is accepted because it was known at the request's head.
void t.test('a key that is revoked while the body is read is refused', async (t) => {
  const { server, address } = await startServer();
  t.teardown(() => server.close());
  for (const request of [completion, call]) {
    isKeyKnown = true;
    const callsBefore = calls;
    const caller = await RawCaller.connect(address);
    caller.write(request.slice(0, -1));
    await sleep(50);
    isKeyKnown = false;
    caller.write(request.slice(-1));
    await caller.waitForText('\r\n\r\n');
    t.match(caller.received, /^HTTP\/1\.1 401 /);
    t.equal(calls, callsBefore);
    caller.close();
  }
  isKeyKnown = true;
});

// Guards against a call that is run and never answered, as the connection ends with the answer before it.
void t.test('a call behind another answer is not run before that has been sent', async (t) => {
  const { server, address } = await startServer();
  t.teardown(() => server.close());
  const callsBefore = calls;
  const caller = await RawCaller.connect(address);
  caller.write(completion + call);
  await caller.waitForText('data: 0');
  await sleep(EVENT_INTERVAL_MS * 3);
  t.equal(calls, callsBefore, 'not run behind an answer in progress');
  await caller.waitForText(ANSWER);
  t.equal(calls, callsBefore + 1);
  caller.close();
  const leaving = await RawCaller.connect(address);
  leaving.write(completion + call);
  await leaving.waitForText('data: 0');
  leaving.close();
  await sleep(EVENT_INTERVAL_MS * EVENTS_PER_STREAM);
  t.equal(calls, callsBefore + 1, 'not run for a caller that left');
});

// Guards against an answer to a caller of HTTP/1.0 that looks complete when the entry is killed while it is sent.
void t.test('a plain answer has its length, whatever the version of HTTP', async (t) => {
  const { server, address } = await startServer();
  t.teardown(() => server.close());
  for (const version of ['1.0', '1.1']) {
    const caller = await RawCaller.connect(address);
    caller.write(call.replace('HTTP/1.1', `HTTP/${version}`));
    await caller.waitForText(ANSWER);
    t.match(caller.received, /content-length: 6\r\n/i, version);
    caller.close();
  }
});
