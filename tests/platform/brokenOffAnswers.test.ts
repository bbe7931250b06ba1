import t from 'tap';
import { RawCaller, type RawAnswer, type RawRequest, readHeader } from '../support/rawHttp.js';
import { RawFleet, type RoutePrefix } from './rawFleet.js';

const fleet = new RawFleet();

const toChunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
const toEvent = (id: number) => `id: ${id}\ndata: ${id}\n\n`;
const LAST_CHUNK = '0\r\n\r\n';
const CHUNKED = 'Transfer-Encoding: chunked\r\n';
const UNFRAMED = 'Connection: close\r\n';
/** Time between the bytes and the end of an answer, so that they arrive separately. */
const END_DELAY_MS = 30;

type Ending = 'fin' | 'reset' | 'open';

interface Part {
  readonly framing: string;
  readonly body: string;
  readonly ending: Ending;
}

/** Writes an answer, and then ends its connection. */
function write({ socket, id }: RawRequest, { framing, body, ending }: Part): void {
  socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Seal: s\r\n${framing}\r\n${body}`);
  if (ending === 'open') return;
  setTimeout(() => {
    if (ending === 'fin') socket.end();
    else socket.resetAndDestroy();
  }, END_DELAY_MS);
}

interface Case {
  readonly name: string;
  readonly prefixes: readonly RoutePrefix[];
  /** Answers to the first and to later requests; the last is repeated. */
  readonly parts: readonly Part[];
  readonly isComplete: boolean;
  readonly body?: string;
}

const STREAMS: readonly RoutePrefix[] = ['/stream/', '/once/'];
const PLAIN: readonly RoutePrefix[] = ['/status/', '/order/'];
const [first, second] = [toEvent(1), toEvent(2)];

const cases: readonly Case[] = [
  {
    name: 'an unframed stream that is closed after an event',
    prefixes: STREAMS,
    parts: [{ framing: UNFRAMED, body: first, ending: 'fin' }],
    isComplete: true,
    body: first,
  },
  {
    name: 'an unframed stream that is closed inside an event',
    prefixes: STREAMS,
    parts: [{ framing: UNFRAMED, body: `${first}id: 2\nda`, ending: 'fin' }],
    isComplete: false,
  },
  {
    name: 'an unframed stream that is closed inside its first event',
    prefixes: STREAMS,
    parts: [{ framing: UNFRAMED, body: 'id: 1\nda', ending: 'fin' }],
    isComplete: false,
  },
  {
    name: 'an unframed stream that is reset after an event',
    prefixes: STREAMS,
    parts: [{ framing: UNFRAMED, body: first, ending: 'reset' }],
    isComplete: false,
  },
  {
    name: 'an unframed stream that is reset inside an event',
    prefixes: STREAMS,
    parts: [{ framing: UNFRAMED, body: `${first}id: 2\nda`, ending: 'reset' }],
    isComplete: false,
  },
  {
    name: 'an unframed stream that goes silent after an event',
    prefixes: STREAMS,
    parts: [{ framing: UNFRAMED, body: first, ending: 'open' }],
    isComplete: false,
  },
  {
    name: 'a chunked stream without its last chunk',
    prefixes: STREAMS,
    parts: [{ framing: CHUNKED, body: toChunk(first), ending: 'fin' }],
    isComplete: false,
  },
  {
    name: 'a chunked stream that ends inside an event',
    prefixes: STREAMS,
    parts: [{ framing: CHUNKED, body: `${toChunk(`${first}id: 2`)}${LAST_CHUNK}`, ending: 'open' }],
    isComplete: false,
  },
  {
    name: 'a stream with a length that is not reached',
    prefixes: STREAMS,
    parts: [{ framing: 'Content-Length: 100\r\n', body: first, ending: 'fin' }],
    isComplete: false,
  },
  {
    name: 'a stream with its length',
    prefixes: STREAMS,
    parts: [{ framing: `Content-Length: ${first.length}\r\n`, body: first, ending: 'open' }],
    isComplete: true,
    body: first,
  },
  {
    name: 'a chunked stream that goes on unframed, and is closed after an event',
    prefixes: ['/stream/'],
    parts: [
      { framing: CHUNKED, body: toChunk(first), ending: 'reset' },
      { framing: UNFRAMED, body: second, ending: 'fin' },
    ],
    isComplete: false,
  },
  {
    name: 'an unframed stream that goes on in chunks to its end',
    prefixes: ['/stream/'],
    parts: [
      { framing: UNFRAMED, body: first, ending: 'reset' },
      { framing: CHUNKED, body: `${toChunk(second)}${LAST_CHUNK}`, ending: 'open' },
    ],
    isComplete: true,
    body: first + second,
  },
  {
    name: 'an unframed stream that goes on in chunks without the last one',
    prefixes: ['/stream/'],
    parts: [
      { framing: UNFRAMED, body: first, ending: 'reset' },
      { framing: CHUNKED, body: toChunk(second), ending: 'fin' },
    ],
    isComplete: false,
  },
  {
    name: 'an unframed answer that is closed',
    prefixes: PLAIN,
    parts: [{ framing: UNFRAMED, body: 'abc', ending: 'fin' }],
    isComplete: true,
    body: 'abc',
  },
  {
    name: 'an unframed answer that is reset',
    prefixes: PLAIN,
    parts: [{ framing: UNFRAMED, body: 'abc', ending: 'reset' }],
    isComplete: false,
  },
  {
    name: 'an answer that is shorter than its length',
    prefixes: PLAIN,
    parts: [{ framing: 'Content-Length: 9\r\n', body: 'abc', ending: 'fin' }],
    isComplete: false,
  },
  {
    name: 'an answer with bytes beyond its length',
    prefixes: PLAIN,
    parts: [{ framing: 'Content-Length: 3\r\n', body: 'abcdef', ending: 'open' }],
    isComplete: true,
    body: 'abc',
  },
  {
    name: 'an answer without its last chunk',
    prefixes: PLAIN,
    parts: [{ framing: CHUNKED, body: toChunk('abc'), ending: 'fin' }],
    isComplete: false,
  },
  {
    name: 'an answer with a length and in chunks',
    prefixes: [...PLAIN, ...STREAMS],
    parts: [
      { framing: `Content-Length: 3\r\n${CHUNKED}`, body: `${toChunk(first)}${LAST_CHUNK}`, ending: 'fin' },
    ],
    isComplete: false,
  },
  {
    name: 'an answer with two lengths',
    prefixes: PLAIN,
    parts: [{ framing: 'Content-Length: 3\r\nContent-Length: 6\r\n', body: 'abcdef', ending: 'fin' }],
    isComplete: false,
  },
  {
    name: 'an answer with an unreadable length',
    prefixes: PLAIN,
    parts: [{ framing: 'Content-Length: 3,3\r\n', body: 'abc', ending: 'fin' }],
    isComplete: false,
  },
];

/** Whether a caller that reads events takes the answer to be complete: a stream must not end inside an event. */
function looksComplete({ status, isComplete, body }: RawAnswer, isStream: boolean): boolean {
  return status === 200 && isComplete && (!isStream || body === '' || body.endsWith('\n\n'));
}

void t.test('answers that are broken off', async (t) => {
  await fleet.start();
  t.teardown(() => {
    fleet.store.stop();
    setTimeout(() => process.exit(), 100);
  });

  for (const { name, prefixes, parts, isComplete, body } of cases) {
    for (const prefix of prefixes) {
      // Guards against a truncated answer that its caller takes to be whole.
      await t.test(`${name}: ${prefix}`, async (t) => {
        let requestCount = 0;
        await fleet.setHandler((request) => {
          const part = parts[Math.min(requestCount++, parts.length - 1)];
          if (part) write(request, part);
        });
        const answer = await fleet.send(prefix, 6_000);
        t.equal(
          looksComplete(answer, STREAMS.includes(prefix)),
          isComplete,
          `${answer.ending} ${answer.head}`,
        );
        t.not(answer.ending, 'none');
        if (body !== undefined) t.equal(answer.body, body);
        if (prefix === '/order/' || prefix === '/once/') t.equal(requestCount, 1);
      });
    }
  }

  // Guards against a HEAD that tells another length than its target.
  await t.test('the answer to HEAD has no body', async (t) => {
    await fleet.setHandler(({ socket, id }) => {
      socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Seal: s\r\nContent-Length: 900\r\n\r\n`);
    });
    const head = fleet.createHead('/status/', { headers: 'Connection: close\r\n' }).replace('POST', 'HEAD');
    const answer = await new RawCaller(fleet.address).exchange(head);
    t.equal(answer.status, 200);
    t.equal(answer.body, '');
    t.equal(readHeader(answer.head, 'content-length'), '900');
  });
});
