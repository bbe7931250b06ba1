import type { AddressInfo } from 'node:net';
import { readEvents, TargetCallError, TargetClient } from '@monsoonreach/targets';
import t from 'tap';
import { type Handler, listen, readText } from '../standins/http.js';

const encodeEvent = (id: number) => `id: ${id}\ndata: {"n":${id}}\n\n`;

async function withTarget<Result>(
  handler: Handler,
  run: (client: TargetClient) => Promise<Result>,
  guards = { checksEcho: true },
): Promise<Result> {
  const server = await listen(handler, 0);
  const client = new TargetClient(`127.0.0.1:${(server.address() as AddressInfo).port}`, { guards });
  try {
    return await run(client);
  } finally {
    await client.close();
    server.closeAllConnections();
    server.close();
  }
}

function call(client: TargetClient, requestId: string) {
  return client.call({
    method: 'POST',
    path: '/',
    headers: {},
    body: '{}',
    requestId,
    firstByteTimeoutMs: 5_000,
    idleTimeoutMs: 5_000,
    signal: new AbortController().signal,
  });
}

async function collectEvents(
  client: TargetClient,
  guards?: { readonly needsTerminalEvent: boolean },
): Promise<readonly string[]> {
  const events: string[] = [];
  for await (const { data } of readEvents(await call(client, 'r1'), guards)) events.push(data);
  return events;
}

const streamCases = [
  {
    name: 'a complete stream is read',
    text: `${encodeEvent(0)}${encodeEvent(1)}data: [DONE]\n\n`,
    reason: undefined,
  },
  { name: 'a stream without a final event is rejected', text: encodeEvent(0), reason: 'truncated' },
  { name: 'an empty stream is rejected', text: '', reason: 'truncated' },
] as const;

for (const { name, text, reason } of streamCases) {
  void t.test(name, async (t) => {
    const handler: Handler = async (request, response) => {
      await readText(request);
      response.setHeader('x-request-id', String(request.headers['x-request-id']));
      response.end(text);
    };
    if (reason === undefined) {
      t.same(await withTarget(handler, (client) => collectEvents(client)), ['{"n":0}', '{"n":1}']);
      return;
    }
    const error = await withTarget(handler, (client) => collectEvents(client)).catch(
      (caught: unknown) => caught,
    );
    t.match(error, { reason });
    const eventsWithoutGuard = await withTarget(handler, (client) =>
      collectEvents(client, { needsTerminalEvent: false }),
    );
    t.ok(Array.isArray(eventsWithoutGuard), 'without the guard the truncated stream counts as complete');
  });
}

void t.test('an answer to another request is rejected', async (t) => {
  const handler: Handler = async (request, response) => {
    await readText(request);
    response.setHeader('x-request-id', 'somebody-else');
    response.end('theirs');
  };
  const error = await withTarget(handler, (client) => call(client, 'mine')).catch(
    (caught: unknown) => caught,
  );
  t.match(error, { reason: 'wrong-echo', isProvenUnsent: false });
  const status = await withTarget(handler, async (client) => (await call(client, 'mine')).status, {
    checksEcho: false,
  });
  t.equal(status, 200, 'without the guard the wrong answer is accepted');
});

void t.test('a refused connection proves that the request was not sent', async (t) => {
  const client = new TargetClient('127.0.0.1:1');
  const error = await call(client, 'r').catch((caught: unknown) => caught);
  t.ok(error instanceof TargetCallError && error.isProvenUnsent);
  await client.close();
});

void t.test('a connection closed after the request does not prove that it was not sent', async (t) => {
  const handler: Handler = async (request, response) => {
    await readText(request);
    response.destroy();
  };
  const error = await withTarget(handler, (client) => call(client, 'r')).catch((caught: unknown) => caught);
  t.ok(error instanceof TargetCallError && !error.isProvenUnsent);
});
