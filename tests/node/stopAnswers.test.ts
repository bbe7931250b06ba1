import type { Server } from 'node:http';
import type { Socket } from 'node:net';
import t from 'tap';
import { EVENTS_PER_STREAM, formatCall, PlatformFleet } from '../platform/platformFleet.js';
import { sleep } from '../standins/http.js';
import { holdWrites } from '../support/heldWrites.js';
import { RawCaller } from '../support/rawCaller.js';

const platform = new PlatformFleet();
const LAST_EVENT = `id: ${EVENTS_PER_STREAM}\n`;
/** Time after SIGTERM at which the listening socket is closed, in milliseconds. */
const CLOSE_MS = 2_600;

function runsOf(id: string): number {
  return platform.fleet.runs.filter(({ requestId }) => requestId === id).length;
}

// Guards against answers that are cut because they are still being sent, or share a connection, when their node stops.
void t.test(
  'a planned stop does not cut answers that are being sent or that share a connection',
  async (t) => {
    await platform.start();
    t.teardown(() => {
      platform.fleet.stop();
      platform.store.stop();
      setTimeout(() => process.exit(), 100);
    });
    const { _server: server } = (platform.node as unknown as { _front: { _server: Server } })._front;
    const sockets: Socket[] = [];
    server.on('connection', (socket) => sockets.push(socket));

    const slowReader = await RawCaller.connect(platform.address);
    await sleep(50);
    const slowSocket = sockets.at(-1);
    const pipelining = await RawCaller.connect(platform.address);
    const release = holdWrites(slowSocket);
    slowReader.write(formatCall('order', 'slow-reader'));

    const stoppedAtMs = Date.now();
    const draining = platform.node.drain();

    await t.test('pipelined requests that targets run are answered', async (t) => {
      pipelining.write(formatCall('stream', 'pipelined-1') + formatCall('stream', 'pipelined-2'));
      await pipelining.waitForClose();
      t.ok(runsOf('pipelined-2') > 0);
      t.equal(pipelining.received.split(LAST_EVENT).length - 1, 2, 'complete answers');
    });

    await t.test('an answer that has not left when listening ends is sent completely', async (t) => {
      await sleep(Math.max(0, stoppedAtMs + CLOSE_MS + 400 - Date.now()));
      t.equal(slowSocket?.destroyed, false, 'the connection is open while bytes remain');
      release();
      await slowReader.waitForClose();
      t.match(slowReader.received, /slow-reader:body-of-slow-reader$/);
    });

    await draining;
  },
);
