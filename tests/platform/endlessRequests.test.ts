import type { Socket } from 'node:net';
import t from 'tap';
import { RawCaller, writeEndlessly } from '../support/rawHttp.js';
import { LIMITS, RawFleet } from './rawFleet.js';

const fleet = new RawFleet();

/** Bytes that a caller may send before the node closes its connection: a body and full socket buffers. */
const MAX_ENDLESS_BYTES = 16_777_216;
/** Time after the limit of a head until its connection is closed, in milliseconds. */
const HEAD_SLACK_MS = 3_500;

interface EndlessCase {
  readonly name: string;
  readonly begin: string;
  /** Sent again and again. */
  readonly rest: string;
  readonly statuses: readonly number[];
}

const CHUNKED = 'Transfer-Encoding: chunked\r\n';

const endlessCases: readonly EndlessCase[] = [
  { name: 'a path', begin: 'GET /status/', rest: 'abc', statuses: [431] },
  {
    name: 'header lines',
    begin: 'GET /status/ HTTP/1.1\r\n',
    rest: 'X-Filler: 0123456789\r\n',
    statuses: [431],
  },
  {
    name: 'the value of a header',
    begin: 'GET /status/ HTTP/1.1\r\nX-Filler: ',
    rest: 'abc',
    statuses: [431],
  },
  {
    name: 'a body with a length',
    begin: fleet.createHead('/order/', { headers: 'Content-Length: 99999999999\r\n' }),
    rest: 'body',
    statuses: [413],
  },
  {
    name: 'a body in chunks',
    begin: fleet.createHead('/order/', { headers: CHUNKED }),
    rest: '4\r\nbody\r\n',
    statuses: [413],
  },
  {
    name: 'an extension of a chunk',
    begin: `${fleet.createHead('/order/', { headers: CHUNKED })}4;`,
    rest: 'extension',
    statuses: [400, 413],
  },
  {
    name: 'trailers',
    begin: `${fleet.createHead('/order/', { headers: CHUNKED })}4\r\nbody\r\n0\r\n`,
    rest: 'X-Filler: 0123456789\r\n',
    statuses: [400, 431],
  },
];

const slowCases: readonly (EndlessCase & { readonly withinMs: number })[] = [
  {
    name: 'header lines',
    begin: 'GET /status/ HTTP/1.1\r\n',
    rest: 'X: 1\r\n',
    statuses: [408],
    withinMs: LIMITS.headerTimeoutMs + HEAD_SLACK_MS,
  },
  {
    name: 'empty lines before a request',
    begin: '',
    rest: '\r\n',
    statuses: [408],
    withinMs: LIMITS.headerTimeoutMs + HEAD_SLACK_MS,
  },
  {
    name: 'a body with a length, until the timeout of its route',
    begin: fleet.createHead('/order/', { headers: 'Content-Length: 60000\r\n' }),
    rest: 'b',
    statuses: [408],
    withinMs: 2_000,
  },
  {
    name: 'a body in chunks, until the timeout of its route',
    begin: fleet.createHead('/status/', { headers: CHUNKED }),
    rest: '1\r\nb\r\n',
    statuses: [408],
    withinMs: 2_000,
  },
];

function writeSlowly(socket: Socket, text: string): void {
  const timer = setInterval(() => {
    if (socket.writable) socket.write(text);
    else clearInterval(timer);
  }, 50);
}

void t.test('requests without end', async (t) => {
  await fleet.start();
  t.teardown(() => {
    fleet.store.stop();
    setTimeout(() => process.exit(), 100);
  });
  await fleet.setHandler(({ socket }) => socket.destroy());

  for (const { name, begin, rest, statuses } of endlessCases) {
    // Guards against callers that occupy a node's memory and processor with a request that never ends.
    await t.test(`sent at full speed: ${name}`, async (t) => {
      const caller = new RawCaller(fleet.address);
      const exchange = caller.exchange(begin);
      writeEndlessly(caller.socket, rest);
      const answer = await exchange;
      t.not(answer.ending, 'none', 'the connection is closed');
      t.ok(statuses.includes(answer.status), `status ${answer.status}`);
      t.ok(caller.socket.bytesWritten < MAX_ENDLESS_BYTES, `${caller.socket.bytesWritten} bytes were sent`);
      t.ok(fleet.targets.every(({ requests }) => requests.length === 0));
    });
  }

  for (const { name, begin, rest, statuses, withinMs } of slowCases) {
    // Guards against callers that keep a node's connections for ever.
    await t.test(`sent slowly: ${name}`, async (t) => {
      const caller = new RawCaller(fleet.address);
      const exchange = caller.exchange(begin, withinMs + 2_000);
      writeSlowly(caller.socket, rest);
      const answer = await exchange;
      t.not(answer.ending, 'none', 'the connection is closed');
      t.ok(statuses.includes(answer.status), `status ${answer.status}`);
      t.ok(answer.durationMs < withinMs, `ended after ${Math.round(answer.durationMs)} ms`);
      t.ok(fleet.targets.every(({ requests }) => requests.length === 0));
    });
  }
});
