import t from 'tap';
import { sleep } from '../standins/http.js';
import type { RawRequest } from '../support/rawHttp.js';
import { RawFleet, type RoutePrefix } from './rawFleet.js';

const fleet = new RawFleet();

function createAnswer(id: string | undefined, body: string, status = '200 OK', headers = ''): string {
  const echo = id === undefined ? '' : `Attempt-Id: ${id}\r\n`;
  return `HTTP/1.1 ${status}\r\n${echo}Server-Seal: s\r\n${headers}Content-Length: ${body.length}\r\n\r\n${body}`;
}

const answer = ({ socket, id }: RawRequest) => socket.write(createAnswer(id, `to ${id}`));

interface Case {
  readonly name: string;
  /** Handles the first request of a connection. */
  readonly first: (request: RawRequest) => void;
  /** Handles a later request of a connection; answers it by default. */
  readonly later?: (request: RawRequest) => void;
  /** Whether the first connection may serve the second request. */
  readonly isReusable?: boolean;
}

const ORPHAN = createAnswer('another', 'to another');

const cases: readonly Case[] = [
  { name: 'nothing more', first: answer, isReusable: true },
  {
    name: 'the same answer once more',
    first: ({ socket, id }) => socket.write(createAnswer(id, `to ${id}`).repeat(2)),
  },
  {
    name: 'the same answer again a little later',
    first: (request) => {
      answer(request);
      setTimeout(() => answer(request), 20);
    },
  },
  {
    name: 'bytes that are no answer',
    first: ({ socket, id }) => socket.write(`${createAnswer(id, `to ${id}`)}garbage`),
  },
  {
    name: 'an interim answer',
    first: ({ socket, id }) =>
      socket.write(`${createAnswer(id, `to ${id}`)}HTTP/1.1 103 Early Hints\r\n\r\n`),
  },
  {
    name: 'a timeout of the idle connection',
    first: (request) => {
      answer(request);
      setTimeout(
        () =>
          request.socket.end(
            'HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n',
          ),
        20,
      );
    },
  },
  {
    name: 'a refusal of no request',
    first: (request) => {
      answer(request);
      setTimeout(
        () => request.socket.write(createAnswer(undefined, '', '503 Full', 'Not-Executed: 1\r\n')),
        20,
      );
    },
  },
  {
    name: 'another answer as the answer to the next request',
    first: answer,
    later: ({ socket }) => socket.write(ORPHAN),
  },
  {
    name: 'another answer before the answer to the next request',
    first: answer,
    later: ({ socket, id }) => socket.write(ORPHAN + createAnswer(id, `to ${id}`)),
  },
  {
    name: 'an answer without an id as the answer to the next request',
    first: answer,
    later: ({ socket }) => socket.write(createAnswer(undefined, 'to nobody')),
  },
  {
    name: 'a refusal without an id as the answer to the next request',
    first: answer,
    later: ({ socket }) => socket.write(createAnswer(undefined, '', '503 Full', 'Not-Executed: 1\r\n')),
  },
];

void t.test('answers that belong to no request, or to another one', async (t) => {
  await fleet.start();
  t.teardown(() => {
    fleet.store.stop();
    setTimeout(() => process.exit(), 100);
  });

  for (const { name, first, later = answer, isReusable = false } of cases) {
    for (const prefix of ['/status/', '/order/'] as const) {
      // Guards against a caller that gets the answer to another request.
      await t.test(`after an answer on a kept connection: ${name}: ${prefix}`, async (t) => {
        await fleet.setHandler((request) => {
          if (request.ordinal === 1) first(request);
          else later(request);
        });
        for (let count = 0; count < 4; count++) {
          const id = `${name}-${prefix}-${count}`.replace(/[^a-z0-9-]/g, '');
          const { status, body } = await fleet.sendAs(prefix, id);
          t.equal(status, 200);
          t.equal(body, `to ${id}`);
          await sleep(40);
        }
        const ordinals = fleet.targets.flatMap(({ requests }) => requests.map(({ ordinal }) => ordinal));
        t.equal(Math.max(...ordinals) > 1, prefix === '/status/' && (isReusable || later !== answer));
      });
    }
  }

  for (const prefix of [
    '/status/',
    '/order/',
    '/stream/',
    '/once/',
  ] as const satisfies readonly RoutePrefix[]) {
    await t.test(`only answers to other requests: ${prefix}`, async (t) => {
      await fleet.setHandler(({ socket }) => socket.write(ORPHAN));
      const { status } = await fleet.send(prefix);
      t.equal(status, 502);
      await sleep(20);
      t.ok(
        fleet.targets.every(({ requests }) => requests.every(({ socket }) => socket.destroyed)),
        'the connections are closed',
      );
    });
  }
});
