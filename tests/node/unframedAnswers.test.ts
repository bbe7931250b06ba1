import type { Server } from 'node:http';
import { connect, type Socket } from 'node:net';
import t from 'tap';
import { API_KEY, MODEL, PlatformFleet } from '../platform/platformFleet.js';
import { sleep } from '../standins/http.js';
import { holdWrites } from '../support/heldWrites.js';
import { formatRequest } from '../support/rawCaller.js';

const platform = new PlatformFleet();
/** Enough for the head of an answer and a part of its body. */
const PASSED_BYTES = 130;

interface Ending {
  readonly received: string;
  readonly kind: 'end' | 'reset';
}

/** Sends a request and resolves with how the connection ended. */
function send(kind: 'stream' | 'order', id: string, deadlineMs: number): Promise<Ending> {
  const [host = '', port = ''] = platform.address.split(':');
  return new Promise((resolve) => {
    let received = '';
    const socket = connect({ host, port: Number(port) });
    socket.on('data', (chunk: Buffer) => (received += chunk.toString('latin1')));
    socket.on('end', () => {
      resolve({ received, kind: 'end' });
    });
    socket.on('error', () => {
      resolve({ received, kind: 'reset' });
    });
    socket.write(
      formatRequest({
        path: `/${kind}/${id}`,
        headers: {
          'Attempt-Id': id,
          'Deadline-Ms': String(deadlineMs),
          Authorization: `Bearer ${API_KEY}`,
          Model: MODEL,
          'Token-Count': '100,40',
        },
        body: 'x',
      }),
    );
  });
}

// Guards against answers without length or chunks that are broken off and look complete, as its connection ends regularly.
void t.test('an unframed answer that is broken off is reset', async (t) => {
  await platform.start({ drainTimeout: '3500ms' });
  t.teardown(() => {
    platform.fleet.stop();
    platform.store.stop();
    setTimeout(() => process.exit(), 100);
  });
  for (const instance of platform.fleet.instances.values()) instance.mode = 'unframed';
  const { _server: server } = (platform.node as unknown as { _front: { _server: Server } })._front;
  const timedOut = send('stream', 'timed-out', 700);
  const stopped = send('stream', 'stopped', 20_000);
  await sleep(50);
  // Only the head of the answer and the first bytes of its body leave.
  server.once('connection', (socket: Socket) => {
    holdWrites(socket, PASSED_BYTES);
  });
  const unsent = send('order', 'unsent', 1_500);
  await sleep(100);
  for (const instance of platform.fleet.instances.values()) instance.mode = 'dark';
  const draining = platform.node.drain();
  await t.test('by its time limit', async (t) => {
    const { received, kind } = await timedOut;
    t.match(received, /id: 1\n/);
    t.notMatch(received, /transfer-encoding|content-length/i);
    t.equal(kind, 'reset');
  });
  await t.test('by the stop', async (t) => {
    const { received, kind } = await stopped;
    t.match(received, /id: 1\n/);
    t.equal(kind, 'reset');
  });
  await t.test('with an answer of which bytes have not left at the end', async (t) => {
    const { received, kind } = await unsent;
    t.ok(kind === 'reset' || received.endsWith('unsent:x'), `${kind} after ${JSON.stringify(received)}`);
  });
  await draining;
});
