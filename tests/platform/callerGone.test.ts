import type { Socket } from 'node:net';
import t from 'tap';
import { sleep } from '../standins/http.js';
import { RawCaller, type RawHandler, type RawRequest, writeEndlessly } from '../support/rawHttp.js';
import { RawFleet, type RoutePrefix } from './rawFleet.js';

const fleet = new RawFleet();

/** Time within which the work of a target ends after its caller has left, in milliseconds. */
const MAX_WORK_MS = 400;

const toChunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
const CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n';

function begin({ socket, id }: RawRequest, framing: string): void {
  socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Seal: s\r\n${framing}`);
}

function waitForConnection(socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    if (socket.connecting) socket.once('connect', resolve);
    else resolve();
  });
}

interface State {
  readonly name: string;
  readonly prefixes: readonly RoutePrefix[];
  readonly handle: RawHandler;
}

const states: readonly State[] = [
  {
    name: 'before its answer',
    prefixes: ['/status/', '/order/', '/stream/', '/once/'],
    handle: () => undefined,
  },
  {
    name: 'in its plain answer',
    prefixes: ['/status/', '/order/'],
    handle: (request) => {
      begin(request, 'Content-Length: 9\r\n\r\nabc');
    },
  },
  {
    name: 'in its stream',
    prefixes: ['/stream/', '/once/'],
    handle: (request) => {
      begin(request, `${CHUNKED}${toChunk('id: 1\ndata: 1\n\n')}`);
    },
  },
  {
    name: 'in its unframed stream',
    prefixes: ['/stream/', '/once/'],
    handle: (request) => {
      begin(request, 'Connection: close\r\n\r\nid: 1\ndata: 1\n\n');
    },
  },
  {
    name: 'in its stream, which it does not read',
    prefixes: ['/stream/', '/once/'],
    handle: (request) => {
      begin(request, CHUNKED);
      writeEndlessly(request.socket, toChunk(`data: ${'x'.repeat(1_000)}\n\n`));
    },
  },
];

const departures = {
  closes: ({ socket }: RawCaller) => {
    socket.end();
    socket.destroy();
  },
  resets: ({ socket }: RawCaller) => socket.resetAndDestroy(),
} as const;

void t.test('callers that leave', async (t) => {
  await fleet.start();
  t.teardown(() => {
    fleet.store.stop();
    setTimeout(() => process.exit(), 100);
  });
  const requests = () => fleet.targets.flatMap((target) => target.requests);

  for (const { name, prefixes, handle } of states) {
    for (const prefix of prefixes) {
      for (const [departure, leave] of Object.entries(departures)) {
        // Guards against targets that work for callers that have left.
        await t.test(`a caller ${departure} ${name}: ${prefix}`, async (t) => {
          await fleet.setHandler(handle);
          const caller = new RawCaller(fleet.address);
          caller.socket.write(`${fleet.createHead(prefix)}{}`);
          caller.socket.pause();
          await sleep(100);
          t.equal(requests().length, 1);
          leave(caller);
          await sleep(MAX_WORK_MS);
          t.equal(requests().length, 1, 'nothing is sent for a caller that has left');
          t.ok(
            requests().every(({ socket }) => socket.destroyed),
            'the call is cancelled',
          );
        });
      }
    }
  }

  for (const [departure, leave] of Object.entries(departures)) {
    for (const headers of ['Content-Length: 9\r\n', 'Transfer-Encoding: chunked\r\n']) {
      await t.test(`a caller ${departure} in its request, ${headers.trim()}`, async (t) => {
        await fleet.setHandler(() => undefined);
        const caller = new RawCaller(fleet.address);
        caller.socket.write(`${fleet.createHead('/status/', { headers })}3\r\n`);
        await sleep(50);
        leave(caller);
        await sleep(MAX_WORK_MS);
        t.equal(requests().length, 0);
      });
    }

    await t.test(`a caller ${departure} with its request`, async (t) => {
      await fleet.setHandler(() => undefined);
      const caller = new RawCaller(fleet.address);
      await new Promise((resolve) => caller.socket.once('connect', resolve));
      caller.socket.write(`${fleet.createHead('/status/')}{}`);
      await new Promise((resolve) => setImmediate(resolve));
      leave(caller);
      await sleep(MAX_WORK_MS);
      t.ok(requests().every(({ socket }) => socket.destroyed));
    });
  }

  for (const prefix of ['/status/', '/order/', '/stream/', '/once/'] as const) {
    // Guards against work for callers that gave up while a busy node had not read their requests yet.
    await t.test(`a caller that left before its request was read: ${prefix}`, async (t) => {
      await fleet.setHandler(() => undefined);
      const callers = Array.from({ length: 20 }, () => new RawCaller(fleet.address));
      for (const { socket } of callers) await waitForConnection(socket);
      await sleep(50);
      for (const { socket } of callers) {
        socket.write(`${fleet.createHead(prefix)}{}`);
        socket.end();
      }
      await sleep(MAX_WORK_MS);
      t.equal(requests().length, 0);
    });
  }

  // Guards against a node that takes the end of a caller's requests for the wish to read on.
  await t.test('a caller that closes its half of the connection has left', async (t) => {
    await fleet.setHandler(() => undefined);
    const caller = new RawCaller(fleet.address);
    caller.socket.write(`${fleet.createHead('/status/')}{}`);
    await sleep(50);
    caller.socket.end();
    await sleep(MAX_WORK_MS);
    t.ok(requests().every(({ socket }) => socket.destroyed));
  });
});
