import type { Server } from 'node:http';
import type { Socket } from 'node:net';
import t from 'tap';
import { API_KEY, MODEL, PlatformFleet } from '../platform/platformFleet.js';
import { sleep } from '../standins/http.js';
import { holdWrites } from '../support/heldWrites.js';
import { formatRequest } from '../support/rawCaller.js';
import { type RawAnswer, RawCaller } from '../support/rawHttp.js';

const platform = new PlatformFleet();
/** Enough for the head of an answer and a part of its body. */
const PASSED_BYTES = 300;
const BODY = 'x'.repeat(1_000);

type Version = '1.0' | '1.1';

/** Starts a request, and resolves with its answer when the connection has ended. */
function send(
  path: string,
  options: { readonly version?: Version; readonly deadlineMs?: number; readonly method?: string } = {},
): Promise<RawAnswer> {
  const { version = '1.1', deadlineMs = 6_000, method = 'POST' } = options;
  const id = `${path}-${version}`;
  const request = formatRequest({
    method,
    path,
    headers: {
      'Attempt-Id': id,
      'Deadline-Ms': String(deadlineMs),
      Authorization: `Bearer ${API_KEY}`,
      Model: MODEL,
      'Token-Count': '100,40',
      Connection: 'close',
    },
    ...(method === 'POST' ? { body: BODY } : {}),
  });
  return new RawCaller(platform.address).exchange(request.replace('HTTP/1.1', `HTTP/${version}`), 10_000);
}

function getServer(): Server {
  return (platform.node as unknown as { _front: { _server: Server } })._front._server;
}

/** Resolves with the next connection of a caller, of which the node sends only the first bytes. */
function holdNextConnection(): Promise<Socket> {
  return new Promise((resolve) => {
    getServer().once('connection', (socket: Socket) => {
      holdWrites(socket, PASSED_BYTES);
      resolve(socket);
    });
  });
}

/** Closes a connection as the system does for a process that is killed: regularly, without another byte. */
function closeAsKilled(socket: Socket): void {
  socket.destroy();
}

void t.test('answers of targets that give no length', async (t) => {
  await platform.start({ drainTimeout: '3500ms' });
  t.teardown(() => {
    platform.fleet.stop();
    platform.store.stop();
    setTimeout(() => process.exit(), 100);
  });
  for (const instance of platform.fleet.instances.values()) instance.mode = 'unframed';

  for (const [route, isStream] of [
    ['stream', true],
    ['order', false],
  ] as const) {
    // Guards against an answer that looks complete when its node is killed, as the connection ends regularly.
    await t.test(`an answer to ${route} looks cut when the node is killed`, async (t) => {
      const held = holdNextConnection();
      const answered = send(`/${route}/killed`);
      const socket = await held;
      await sleep(300);
      closeAsKilled(socket);
      const { status, text, isComplete, ending } = await answered.then((answer) => ({
        ...answer,
        text: answer.head + answer.body,
      }));
      t.equal(status, 200);
      t.match(text, /server-seal/i);
      t.equal(ending, 'end');
      t.notOk(isComplete, text);
    });
    await t.test(`an answer to ${route} is passed on whole`, async (t) => {
      const { head, body, isComplete } = await send(`/${route}/whole`);
      t.match(head, isStream ? /transfer-encoding: chunked/i : /content-length: \d/i);
      t.ok(isComplete);
      if (isStream) t.match(body, /id: 40\n.*\n\n$/);
      else t.match(body, /:x{1000}$/);
    });
  }

  // Guards against answers that are broken off and look complete, as the connection ends regularly.
  await t.test('answers that are broken off', async (t) => {
    const versions = ['1.0', '1.1'] as const;
    platform.fleet.pauseBefore = (id, eventId) => (id.includes('stopped') && eventId > 5 ? 60_000 : 50);
    const timedOut = versions.map((version) => send('/stream/timed-out', { version, deadlineMs: 700 }));
    const stopped = versions.map((version) => send('/stream/stopped', { version, deadlineMs: 20_000 }));
    await sleep(50);
    const held = holdNextConnection();
    const unsent = send('/order/unsent', { deadlineMs: 1_500 });
    await held;
    await sleep(100);
    const draining = platform.node.drain();
    for (const [name, answers] of Object.entries({
      'by their time limit': timedOut,
      'by the stop': stopped,
    })) {
      for (const [index, version] of versions.entries()) {
        await t.test(`${name}, to a caller of HTTP/${version}`, async (t) => {
          const answer = await answers[index];
          t.match(answer?.body, /id: 1\n/);
          t.notMatch(answer?.head, /content-length/i);
          if (version === '1.0') t.notMatch(answer?.head, /transfer-encoding/i);
          t.notOk(answer?.isComplete, String(answer?.ending));
          // A caller of HTTP/1.0 has no other sign.
          if (version === '1.0') t.equal(answer?.ending, 'reset');
        });
      }
    }
    await t.test('with an answer of which bytes have not left at the end', async (t) => {
      const { isComplete, body } = await unsent;
      t.ok(!isComplete || body.endsWith(`unsent-1.1:${BODY}`), body);
    });
    await draining;
  });
});
