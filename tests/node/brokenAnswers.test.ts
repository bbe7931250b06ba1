import type { PlacementCriteria } from '@monsoonreach/node';
import t from 'tap';
import { sleep } from '../standins/http.js';
import type { RawHandler } from '../support/rawHttp.js';
import { CHUNKED, GroupFixture, REQUEST, toChunk, toEvent } from './groupFixture.js';

const withId = (id: string) => REQUEST.replace('Attempt-Id: a', `Attempt-Id: ${id}`);

const answerWhole: RawHandler = ({ socket, id }) => {
  const head = `HTTP/1.1 200 OK\r\n${CHUNKED.replace('Attempt-Id: a', `Attempt-Id: ${id}`)}`;
  socket.write(`${head}${toChunk(toEvent(1))}0\r\n\r\n`);
};
const breakOff: RawHandler = ({ socket }) => socket.resetAndDestroy();
const breakOffLater: RawHandler = ({ socket }) => setTimeout(() => socket.resetAndDestroy(), 100);
const endEarly: RawHandler = ({ socket }) => socket.end(`HTTP/1.1 200 OK\r\n${CHUNKED}5\r\nid`);
const garble: RawHandler = ({ socket }) => socket.write('no answer\r\n\r\n');

/** How the first group, which each request is sent to first, treats successive rounds of requests. */
const cases: readonly {
  readonly name: string;
  readonly rounds: readonly { readonly handle: RawHandler; readonly requests: number }[];
  readonly isReported: boolean;
}[] = [
  {
    name: 'one connection breaks',
    rounds: [{ handle: breakOff, requests: 1 }],
    isReported: false,
  },
  {
    name: 'several connections break together',
    rounds: [{ handle: breakOffLater, requests: 3 }],
    isReported: false,
  },
  {
    name: 'a new connection breaks after another one',
    rounds: [
      { handle: breakOff, requests: 1 },
      { handle: breakOff, requests: 1 },
    ],
    isReported: true,
  },
  {
    name: 'connections break with an answer between them',
    rounds: [
      { handle: breakOff, requests: 1 },
      { handle: answerWhole, requests: 1 },
      { handle: breakOff, requests: 1 },
    ],
    isReported: false,
  },
  {
    name: 'it ends in the middle of an answer',
    rounds: [{ handle: endEarly, requests: 1 }],
    isReported: false,
  },
  {
    name: 'it sends bytes that are no answer once',
    rounds: [{ handle: garble, requests: 1 }],
    isReported: false,
  },
  {
    name: 'it sends bytes that are no answer again and again',
    rounds: [
      { handle: garble, requests: 1 },
      { handle: garble, requests: 1 },
    ],
    isReported: true,
  },
];

void t.test('groups that break off their answers', async (t) => {
  t.teardown(() => setTimeout(() => process.exit(), 100));

  for (const { name, rounds, isReported } of cases) {
    // Guards against a group that breaks each connection, or garbles its answers, and gets the first attempt of every request.
    await t.test(`${isReported ? 'reported' : 'not reported'} as silent: ${name}`, async (t) => {
      const fixture = new GroupFixture();
      await fixture.start();
      fixture.place = ({ tried }: PlacementCriteria, onChoice) => {
        onChoice(fixture.choose(tried.has('group-0') ? 1 : 0));
      };
      fixture.targets[1].reset(answerWhole);
      for (const { handle, requests } of rounds) {
        fixture.targets[0].reset(handle);
        const ids = Array.from({ length: requests }, (_, index) => `a${index}`);
        const answers = await Promise.all(ids.map((id) => fixture.caller().exchange(withId(id))));
        for (const { body } of answers) t.equal(body, toEvent(1));
        await sleep(10);
      }
      t.same(fixture.reported, isReported ? ['group-0'] : []);
    });
  }
});
