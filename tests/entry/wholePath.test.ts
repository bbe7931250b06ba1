import OpenAI from 'openai';
import t from 'tap';
import { v4 as uuidv4, v7 as uuidv7 } from 'uuid';
import { LocalFleet, TOKENS } from '../support/localFleet.js';

const fleet = new LocalFleet({ entries: 3, stewards: 2, engines: 5 });
t.before(async () => {
  await fleet.start();
  for (const entry of fleet.entries) {
    await fleet.waitUntil(
      'two groups to serve',
      async () => (await fleet.readServingGroups(entry)).length === 2,
      60_000,
    );
  }
});
t.teardown(() => fleet.stop());

const entryAddress = (index: number) => fleet.entries[index]?.address ?? '';
const createHeaders = (token: string) => ({
  authorization: `Bearer ${token}`,
  'content-type': 'application/json',
});

void t.test('streams and whole answers reach the OpenAI client unchanged', async (t) => {
  const client = new OpenAI({
    baseURL: `http://${entryAddress(0)}/v1`,
    apiKey: TOKENS.fitters,
    maxRetries: 0,
  });
  const stream = await client.chat.completions.create({
    model: 'assistant',
    stream: true,
    messages: [{ role: 'user', content: 'flue' }],
  });
  let text = '';
  for await (const chunk of stream) text += chunk.choices[0]?.delta.content ?? '';
  t.equal(text, Array.from({ length: 12 }, (_, index) => `flue#${index} `).join(''));
  const whole = await client.chat.completions.create({
    model: 'assistant',
    messages: [{ role: 'user', content: 'roof' }],
  });
  t.match(whole.choices[0]?.message.content, /^roof#0 .*roof#11 $/);
  t.same(
    (await client.models.list()).data.map(({ id }) => id),
    ['assistant'],
  );
});

const refusals = [
  {
    name: 'no token',
    path: '/v1/models',
    method: 'GET',
    headers: {},
    body: undefined,
    status: 401,
    reason: 'unauthenticated',
  },
  {
    name: 'a wrong token',
    path: '/v1/models',
    method: 'GET',
    headers: createHeaders('x'),
    body: undefined,
    status: 401,
    reason: 'unauthenticated',
  },
  {
    name: 'invalid JSON',
    path: '/v1/chat/completions',
    method: 'POST',
    headers: createHeaders(TOKENS.fitters),
    body: '{',
    status: 400,
    reason: 'bad-request',
  },
  {
    name: 'no messages',
    path: '/v1/chat/completions',
    method: 'POST',
    headers: createHeaders(TOKENS.fitters),
    body: '{"model":"assistant"}',
    status: 400,
    reason: 'bad-request',
  },
  {
    name: 'an unknown model',
    path: '/v1/chat/completions',
    method: 'POST',
    headers: createHeaders(TOKENS.fitters),
    body: '{"model":"x","messages":[1]}',
    status: 404,
    reason: 'not-found',
  },
  {
    name: 'a body that is too large',
    path: '/v1/chat/completions',
    method: 'POST',
    headers: createHeaders(TOKENS.fitters),
    body: 'x'.repeat(1_100_000),
    status: 413,
    reason: 'body-too-large',
  },
  {
    name: 'an unknown path',
    path: '/nowhere',
    method: 'GET',
    headers: createHeaders(TOKENS.fitters),
    body: undefined,
    status: 404,
    reason: 'not-found',
  },
  {
    name: 'an order without an idempotency key',
    path: '/services/booking/orders',
    method: 'POST',
    headers: createHeaders(TOKENS.fitters),
    body: '{}',
    status: 400,
    reason: 'key-missing',
  },
  {
    name: 'an order whose key is a random UUID',
    path: '/services/booking/orders',
    method: 'POST',
    headers: { ...createHeaders(TOKENS.fitters), 'idempotency-key': uuidv4() },
    body: '{}',
    status: 400,
    reason: 'key-malformed',
  },
  {
    name: 'an order whose key has expired',
    path: '/services/booking/orders',
    method: 'POST',
    headers: { ...createHeaders(TOKENS.fitters), 'idempotency-key': uuidv7({ msecs: 1_000 }) },
    body: '{}',
    status: 409,
    reason: 'key-expired',
  },
] as const;

for (const { name, path, method, headers, body, status, reason } of refusals) {
  void t.test(`a request is refused as not run: ${name}`, async (t) => {
    const response = await fetch(`http://${entryAddress(0)}${path}`, { method, headers, body: body ?? null });
    t.equal(response.status, status);
    t.equal(response.headers.get('content-type'), 'application/problem+json');
    t.match(await response.json(), {
      run: 'not-run',
      reason,
      requestId: response.headers.get('x-request-id'),
    });
  });
}

async function placeOrder(entry: number, key: string, body: string, token: string = TOKENS.fitters) {
  const headers = { ...createHeaders(token), 'idempotency-key': key };
  const response = await fetch(`http://${entryAddress(entry)}/services/booking/orders`, {
    method: 'POST',
    headers,
    body,
  });
  return {
    status: response.status,
    body: await response.text(),
    isReplayed: response.headers.has('idempotency-replayed'),
  };
}

const countRuns = (key: string) =>
  fleet.readJournal().filter((line) => line['event'] === 'order' && line['key'] === key).length;

void t.test('an order runs once, whichever entries its copies go through', async (t) => {
  const key = uuidv7();
  const answers = await Promise.all(
    [0, 1, 2, 0, 1, 2].map((entry) => placeOrder(entry, key, '{"cowl":"H"}')),
  );
  t.same(
    answers.filter(({ status }) => status !== 200),
    [],
    'all copies are answered',
  );
  t.equal(new Set(answers.map(({ body }) => body)).size, 1, 'all copies get the same answer');
  t.equal(answers.filter(({ isReplayed }) => !isReplayed).length, 1);
  t.equal(countRuns(key), 1);
});

void t.test('an idempotency key is bound to its request and its workspace', async (t) => {
  const key = uuidv7();
  t.equal((await placeOrder(0, key, '{"n":1}')).status, 200);
  const other = await placeOrder(1, key, '{"n":2}');
  t.equal(other.status, 422);
  t.match(JSON.parse(other.body), { run: 'not-run', reason: 'key-reused' });
  const ofOtherWorkspace = await placeOrder(2, key, '{"n":1}', TOKENS.members);
  t.equal(ofOtherWorkspace.isReplayed, false, 'the same key of another workspace is a separate key');
  t.equal(countRuns(key), 2);
});

void t.test("a caller's cancellation reaches the engine", async (t) => {
  for (const engine of fleet.engines) await fetch(`http://${engine.address}/slow?factor=20`);
  const content = `cancelled-${uuidv7()}`;
  const body = JSON.stringify({ model: 'assistant', stream: true, messages: [{ role: 'user', content }] });
  const controller = new AbortController();
  const url = `http://${entryAddress(1)}/v1/chat/completions`;
  const { signal } = controller;
  const response = await fetch(url, { method: 'POST', headers: createHeaders(TOKENS.fitters), body, signal });
  t.equal(response.status, 200);
  controller.abort();
  const isCancelled = () =>
    Promise.resolve(
      fleet.readJournal().some((line) => line['event'] === 'cancelled' && line['body'] === body),
    );
  await fleet.waitUntil('the engine to see the cancellation', isCancelled, 60_000);
  for (const engine of fleet.engines) await fetch(`http://${engine.address}/slow?factor=1`);
});

void t.test('an entry finishes its streams on SIGTERM and exits with code 0', async (t) => {
  const [entry] = fleet.entries;
  if (!entry) throw new Error('Expected the fleet to have at least one entry.');
  const body = JSON.stringify({
    model: 'assistant',
    stream: true,
    messages: [{ role: 'user', content: 'last' }],
  });
  const streams = Array.from({ length: 5 }, () =>
    fetch(`http://${entry.address}/v1/chat/completions`, {
      method: 'POST',
      headers: createHeaders(TOKENS.fitters),
      body,
    }),
  );
  const responses = await Promise.all(streams);
  const exited = new Promise((resolve) => entry.child.once('exit', resolve));
  fleet.sendSignal(entry, 'SIGTERM');
  const texts = await Promise.all(responses.map((response) => response.text()));
  t.ok(texts.every((text) => text.trimEnd().endsWith('[DONE]')));
  t.equal(await exited, 0);
});
