import t, { type Test } from 'tap';
import { sleep } from '../standins/http.js';
import { type RawAnswer, type RawRequest } from '../support/rawHttp.js';
import { RawFleet, type RoutePrefix } from './rawFleet.js';

const fleet = new RawFleet();

const toChunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
const toEvent = (id: number) => `id: ${id}\ndata: ${id}\n\n`;
const UNFRAMED = 'Connection: close\r\n';
const CHUNKED = 'Transfer-Encoding: chunked\r\n';
const EVENTS = toEvent(1) + toEvent(2);
/** Time between two segments of an answer, and between its last bytes and its end, so that they arrive separately. */
const SEGMENT_DELAY_MS = 20;
/** Time by which an answer may exceed the timeout of its route, in milliseconds. */
const TIMEOUT_SLACK_MS = 250;
const TIMEOUT_MS: Readonly<Record<RoutePrefix, number>> = {
  '/status/': 1_500,
  '/order/': 1_500,
  '/stream/': 4_000,
  '/once/': 2_500,
};

const createStart = (id: string, status = '200 OK') =>
  `HTTP/1.1 ${status}\r\nAttempt-Id: ${id}\r\nServer-Seal: s\r\n`;

/** The bytes of a head that its target does not complete, as the segments in which they are sent. */
interface Cut {
  readonly name: string;
  readonly segments: (id: string) => readonly string[];
}

const cuts: readonly Cut[] = [
  { name: 'inside the version', segments: () => ['HTTP/1.'] },
  { name: 'inside the status', segments: () => ['HTTP/1.1 20'] },
  { name: 'after the status', segments: () => ['HTTP/1.1 200'] },
  { name: 'after the status line', segments: () => ['HTTP/1.1 200 OK\r\n'] },
  { name: 'inside the name of a header', segments: (id) => [`${createStart(id)}Content-Le`] },
  { name: 'after the name of a header', segments: (id) => [`${createStart(id)}Content-Length:`] },
  { name: 'inside a length', segments: (id) => [`${createStart(id)}Content-Length: 1`] },
  { name: 'after a length of zero', segments: (id) => [`${createStart(id)}Content-Length: 0\r\n`] },
  { name: 'inside a transfer coding', segments: (id) => [`${createStart(id)}Transfer-Encoding: chu`] },
  { name: 'after "Connection: close"', segments: (id) => [`${createStart(id)}${UNFRAMED}`] },
  {
    name: 'inside the line that ends the head',
    segments: (id) => [`${createStart(id)}${UNFRAMED}Content-Length: 0\r\n\r`],
  },
  { name: 'between two segments', segments: (id) => ['HTTP/1.1 200 OK\r\nAttempt-Id: ', `${id}\r\nSer`] },
  { name: 'in a failure', segments: (id) => [`${createStart(id, '500 Failed')}Content-Length: 0\r\n`] },
  {
    name: 'in a refusal',
    segments: (id) => [`${createStart(id, '503 Full')}Not-Executed: 1\r\nContent-Length: 0\r\n`],
  },
  { name: 'in an answer without a body', segments: (id) => [createStart(id, '204 No Content')] },
  { name: 'in an HTTP/1.0 answer', segments: (id) => [`HTTP/1.0 200 OK\r\nAttempt-Id: ${id}\r\n`] },
  { name: 'inside an interim answer', segments: () => ['HTTP/1.1 103 Early Hints\r\nLink: <a'] },
  { name: 'after an interim answer', segments: () => ['HTTP/1.1 103 Early Hints\r\n\r\n'] },
  {
    name: 'after an interim answer with "Connection: close"',
    segments: () => [`HTTP/1.1 103 Early Hints\r\n${UNFRAMED}\r\n`],
  },
  {
    name: 'after an interim answer, in another segment',
    segments: (id) => [`HTTP/1.1 103 Early Hints\r\n\r\n`, `${createStart(id)}${UNFRAMED}`],
  },
  {
    name: 'after an interim answer, in the same segment',
    segments: (id) => [`HTTP/1.1 103 Early Hints\r\n\r\n${createStart(id)}Content-Length: 0\r\n`],
  },
];

/** Cuts after which a target stays silent; few, so that all their requests find a place at the targets. */
const SILENT_CUTS: readonly string[] = [
  'inside the status',
  'after a length of zero',
  'after an interim answer',
];

const endings = ['fin', 'late fin', 'reset', 'open'] as const;
type Ending = (typeof endings)[number];

/** Writes a part of a head, and then ends the connection. */
async function writeCut({ socket, id }: RawRequest, { segments }: Cut, ending: Ending): Promise<void> {
  for (const [index, segment] of segments(id).entries()) {
    if (index > 0) await sleep(SEGMENT_DELAY_MS);
    socket.write(segment);
  }
  if (ending === 'open') return;
  if (ending !== 'fin') await sleep(SEGMENT_DELAY_MS);
  if (ending === 'reset') socket.resetAndDestroy();
  else socket.end();
}

/** Writes a whole answer, or its rest after the event that the caller has. */
function writeWhole({ socket, id }: RawRequest): void {
  socket.write(`${createStart(id)}Content-Length: ${EVENTS.length}\r\n\r\n${EVENTS}`);
}

const PREFIXES = ['/status/', '/order/', '/stream/', '/once/'] as const satisfies readonly RoutePrefix[];
const REPEATABLE: readonly RoutePrefix[] = ['/status/', '/stream/'];
/** Statuses that promise that the request was not run. */
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];

const countRuns = () => fleet.targets.reduce((sum, { requests }) => sum + requests.length, 0);

/** Whether a caller takes the answer to be a whole success. */
function isSuccess({ status, isComplete }: RawAnswer): boolean {
  return status >= 200 && status < 300 && isComplete;
}

/** Checks the answer to a request of which no target has sent a whole head. */
function checkUnanswered(t: Test, prefix: RoutePrefix, answer: RawAnswer): void {
  const seen = `${answer.ending} ${answer.head}`;
  t.notOk(isSuccess(answer), seen);
  t.notOk(NOT_RUN_STATUSES.includes(answer.status), seen);
  t.equal(answer.status, 502, seen);
  t.notMatch(answer.head, /server-seal/i);
  t.not(answer.ending, 'none');
  if (REPEATABLE.includes(prefix)) t.ok(countRuns() >= 1 && countRuns() <= 2);
  else t.equal(countRuns(), 1);
}

void t.test('answers that are broken off in their heads', async (t) => {
  await fleet.start();
  t.teardown(() => {
    fleet.store.stop();
    setTimeout(() => process.exit(), 100);
  });

  for (const cut of cuts) {
    for (const prefix of ['/status/', '/stream/'] as const) {
      // Guards against a truncated head that is not recognized, so that another target is not asked.
      await t.test(`${cut.name}, then a whole answer: ${prefix}`, async (t) => {
        let requestCount = 0;
        await fleet.setHandler((request) => {
          if (requestCount++ === 0) void writeCut(request, cut, 'fin');
          else writeWhole(request);
        });
        const answer = await fleet.send(prefix);
        t.ok(isSuccess(answer), answer.head);
        t.equal(answer.body, EVENTS);
        t.equal(requestCount, 2);
      });
    }
  }

  for (const framing of [UNFRAMED, CHUNKED]) {
    for (const cut of cuts) {
      // Guards against a stream that ends as complete because the target that resumes it stops in its head.
      await t.test(`${cut.name}, in a stream with ${JSON.stringify(framing)} that is resumed`, async (t) => {
        let requestCount = 0;
        await fleet.setHandler((request) => {
          if (requestCount++ > 0) {
            void writeCut(request, cut, 'fin');
            return;
          }
          const event = framing === CHUNKED ? toChunk(toEvent(1)) : toEvent(1);
          request.socket.write(`${createStart(request.id)}${framing}\r\n${event}`);
          setTimeout(() => request.socket.resetAndDestroy(), SEGMENT_DELAY_MS);
        });
        const answer = await fleet.send('/stream/');
        t.equal(requestCount, 2);
        t.equal(answer.status, 200);
        t.equal(answer.body, toEvent(1));
        t.notOk(answer.isComplete);
        t.not(answer.ending, 'none');
      });
    }
  }

  for (const cut of cuts) {
    for (const prefix of PREFIXES) {
      for (const ending of endings.filter((ending) => ending !== 'open')) {
        // Guards against a success without its whole answer, framed as whole, after a target stopped in its head.
        await t.test(`${cut.name}, ${ending}: ${prefix}`, async (t) => {
          await fleet.setHandler((request) => void writeCut(request, cut, ending));
          checkUnanswered(t, prefix, await fleet.send(prefix));
        });
      }
    }
  }

  for (const cut of cuts) {
    for (const ending of ['fin', 'late fin'] as const) {
      // Guards against the state of an earlier answer that completes a truncated head on the same connection, and against
      // a third attempt, as if the connection had been closed before the request.
      await t.test(`${cut.name}, ${ending}, on a kept connection`, async (t) => {
        await fleet.setHandler((request) => {
          if (request.ordinal === 1 && countRuns() === 1) writeWhole(request);
          else void writeCut(request, cut, ending);
        });
        t.ok(isSuccess(await fleet.send('/status/')));
        await sleep(SEGMENT_DELAY_MS);
        const answer = await fleet.send('/status/');
        t.equal(answer.status, 502, answer.head);
        t.ok(fleet.targets.some(({ requests }) => requests.some(({ ordinal }) => ordinal === 2)));
        t.equal(countRuns(), 3, 'one whole answer and two attempts');
      });
    }
  }

  // Guards against requests that are held past the timeout of their route, as their targets stop without closing.
  await t.test('heads that are never completed', async (t) => {
    const silent = cuts.filter(({ name }) => SILENT_CUTS.includes(name));
    await fleet.setHandler((request) => {
      const cut = silent[Number(request.id.split('-')[0])];
      if (cut) void writeCut(request, cut, 'open');
    });
    const answers = silent.flatMap(({ name }, index) =>
      PREFIXES.map(async (prefix) => ({
        prefix,
        name,
        answer: await fleet.sendAs(prefix, `${index}-${prefix.slice(1, -1)}`),
      })),
    );
    for (const { prefix, name, answer } of await Promise.all(answers)) {
      const { status, durationMs, head } = answer;
      t.ok(status === 504 || status === 502, `${name}: ${prefix}: ${head}`);
      t.ok(durationMs < TIMEOUT_MS[prefix] + TIMEOUT_SLACK_MS, `${name}: ${prefix}: ${durationMs} ms`);
    }
  });

  const wholeHead = (id: string) => `${createStart(id)}${UNFRAMED}Content-Length: 0\r\n\r\n`;
  for (const prefix of ['/order/', '/once/'] as const) {
    // Guards against a single position in a head at which its end is not noticed.
    await t.test(`after each byte of a head: ${prefix}`, async (t) => {
      const id = 'request';
      for (let length = 0; length < wholeHead(id).length; length++) {
        await fleet.setHandler(({ socket }) => socket.end(wholeHead(id).slice(0, length)));
        const answer = await fleet.sendAs(prefix, id);
        t.equal(answer.status, 502, `${length} bytes: ${answer.head}`);
        t.equal(countRuns(), 1);
      }
      await fleet.setHandler(({ socket }) => socket.end(wholeHead(id)));
      t.ok(isSuccess(await fleet.sendAs(prefix, id)), 'the whole head is an answer');
    });
  }
});
