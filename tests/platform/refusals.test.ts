import t from 'tap';

import { type RawRequest, readHeader } from '../support/rawHttp.js';
import { RawFleet, type RoutePrefix } from './rawFleet.js';

const fleet = new RawFleet();

function reply({ socket, id }: RawRequest, status: string, headers = ''): void {
  socket.write(`HTTP/1.1 ${status}\r\nAttempt-Id: ${id}\r\n${headers}Content-Length: 2\r\n\r\nno`);
}

const SEAL = 'Server-Seal: s\r\n';
const toChunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;

type Behaviour = (request: RawRequest) => void;

const succeed: Behaviour = (request) => {
  reply(request, '200 OK', SEAL);
};
const refuse: Behaviour = (request) => {
  reply(request, '503 Full', `Not-Executed: 1\r\n${SEAL}`);
};
const lose: Behaviour = ({ socket }) => setTimeout(() => socket.resetAndDestroy(), 30);
const respond =
  (status: string): Behaviour =>
  (request) => {
    reply(request, status, SEAL);
  };
const beginStream: Behaviour = ({ socket, id }) => {
  socket.write(
    `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\n${SEAL}Transfer-Encoding: chunked\r\n\r\n${toChunk('id: 1\ndata: 1\n\n')}`,
  );
  setTimeout(() => socket.resetAndDestroy(), 30);
};

interface Case {
  readonly name: string;
  readonly prefixes: readonly RoutePrefix[];
  /** What the targets do with the first dispatch of a request, the second and so on. */
  readonly behaviours: readonly Behaviour[];
  readonly status: number;
  readonly dispatches: number;
  /** Whether the answer is the target's own. */
  readonly isSealed?: boolean;
}

const ALL: readonly RoutePrefix[] = ['/status/', '/order/', '/stream/', '/once/'];
const REPEATABLE: readonly RoutePrefix[] = ['/status/', '/stream/'];
const SINGLE: readonly RoutePrefix[] = ['/order/', '/once/'];

const cases: readonly Case[] = [
  {
    name: 'refused by both targets',
    prefixes: ALL,
    behaviours: [refuse, refuse],
    status: 503,
    dispatches: 2,
  },
  {
    name: 'refused and then answered',
    prefixes: ['/status/', '/order/'],
    behaviours: [refuse, succeed],
    status: 200,
    dispatches: 2,
    isSealed: true,
  },
  {
    name: 'lost, and then refused',
    prefixes: REPEATABLE,
    behaviours: [lose, refuse],
    status: 502,
    dispatches: 2,
  },
  { name: 'refused, and then lost', prefixes: ALL, behaviours: [refuse, lose], status: 502, dispatches: 2 },
  { name: 'lost', prefixes: SINGLE, behaviours: [lose, succeed], status: 502, dispatches: 1 },
  ...['503 Unavailable', '429 Too Many Requests', '408 Request Timeout'].flatMap(
    (status): readonly Case[] => [
      {
        name: `answered ${status} without a statement that it was not run`,
        prefixes: REPEATABLE,
        behaviours: [respond(status), respond(status)],
        status: 502,
        dispatches: 2,
      },
      {
        name: `answered ${status} without a statement that it was not run`,
        prefixes: SINGLE,
        behaviours: [respond(status), succeed],
        status: 502,
        dispatches: 1,
      },
    ],
  ),
  {
    name: 'failed by its target',
    prefixes: SINGLE,
    behaviours: [respond('500 Error'), succeed],
    status: 500,
    dispatches: 1,
    isSealed: true,
  },
];

void t.test('answers that state that a request was not run', async (t) => {
  await fleet.start();
  t.teardown(() => {
    fleet.store.stop();
    setTimeout(() => process.exit(), 100);
  });

  async function setBehaviours(behaviours: readonly Behaviour[]): Promise<() => number> {
    let dispatches = 0;
    await fleet.setHandler((request) => {
      behaviours[dispatches++]?.(request);
    });
    return () => dispatches;
  }

  for (const { name, prefixes, behaviours, status, dispatches, isSealed = false } of cases) {
    for (const prefix of prefixes) {
      // Guards against work that is run twice, or that is called not run though it may have been.
      await t.test(`${name}: ${prefix}`, async (t) => {
        const countDispatches = await setBehaviours(behaviours);
        const answer = await fleet.send(prefix);
        t.equal(answer.status, status);
        t.equal(countDispatches(), dispatches);
        t.equal(readHeader(answer.head, 'server-seal') !== undefined, isSealed);
        t.equal(readHeader(answer.head, 'retry-after') !== undefined, status === 503);
      });
    }
  }

  // Guards against a stream that is refused after its beginning was delivered.
  await t.test('a stream whose continuation is refused is broken off', async (t) => {
    const countDispatches = await setBehaviours([beginStream, refuse]);
    const answer = await fleet.send('/stream/');
    t.equal(answer.status, 200);
    t.notOk(answer.isComplete);
    t.equal(countDispatches(), 2);
  });

  // Guards against a request that may have been run on a closing connection and is called not run.
  await t.test(
    'a request that is lost on a kept connection and then refused may have been run',
    async (t) => {
      for (const target of fleet.targets) target.reset(succeed);
      for (let count = 0; count < 6; count++) await fleet.send('/status/');
      let resets = 0;
      for (const target of fleet.targets) {
        target.handle = (request) => {
          if (request.ordinal > 1) {
            resets++;
            request.socket.resetAndDestroy();
          } else {
            refuse(request);
          }
        };
      }
      const answer = await fleet.send('/status/');
      t.ok(resets > 0);
      t.equal(answer.status, 502);
    },
  );
});
