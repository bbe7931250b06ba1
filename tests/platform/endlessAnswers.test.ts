import t from 'tap';
import { sleep } from '../standins/http.js';
import { type RawHandler, type RawRequest, writeEndlessly } from '../support/rawHttp.js';
import { RawFleet, type RoutePrefix } from './rawFleet.js';

const fleet = new RawFleet();

/** Bytes that one target may send before the node closes the connection: a buffered answer and full socket buffers. */
const MAX_ENDLESS_BYTES = 16_777_216;

const createAnswerHead = ({ id }: RawRequest, headers = '') =>
  `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Seal: s\r\n${headers}`;
const CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n';
const toChunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;

interface EndlessCase {
  readonly name: string;
  readonly prefixes: readonly RoutePrefix[];
  readonly handle: RawHandler;
}

const ALL: readonly RoutePrefix[] = ['/status/', '/order/', '/stream/', '/once/'];

const endlessCases: readonly EndlessCase[] = [
  {
    name: 'header lines',
    prefixes: ALL,
    handle: (request) => {
      request.socket.write(createAnswerHead(request));
      writeEndlessly(request.socket, 'X-Filler: 0123456789\r\n');
    },
  },
  {
    name: 'the value of a header',
    prefixes: ALL,
    handle: (request) => {
      request.socket.write(createAnswerHead(request, 'X-Filler: '));
      writeEndlessly(request.socket, '0123456789');
    },
  },
  {
    name: 'the reason of the status',
    prefixes: ALL,
    handle: ({ socket }) => {
      socket.write('HTTP/1.1 200 ');
      writeEndlessly(socket, 'abcdefgh ');
    },
  },
  {
    name: 'interim answers',
    prefixes: ALL,
    handle: ({ socket }) => {
      writeEndlessly(socket, 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n');
    },
  },
  {
    name: 'a body without a length',
    prefixes: ['/status/', '/order/'],
    handle: (request) => {
      request.socket.write(createAnswerHead(request, 'Connection: close\r\n\r\n'));
      writeEndlessly(request.socket, 'body');
    },
  },
  {
    name: 'a body in chunks',
    prefixes: ['/status/', '/order/'],
    handle: (request) => {
      request.socket.write(createAnswerHead(request, CHUNKED));
      writeEndlessly(request.socket, toChunk('0123456789'));
    },
  },
  {
    name: 'an extension of a chunk',
    prefixes: ALL,
    handle: (request) => {
      request.socket.write(createAnswerHead(request, `${CHUNKED}4;`));
      writeEndlessly(request.socket, 'extension');
    },
  },
  {
    name: 'trailers',
    prefixes: ALL,
    handle: (request) => {
      request.socket.write(createAnswerHead(request, `${CHUNKED}${toChunk('data: 1\n\n')}0\r\n`));
      writeEndlessly(request.socket, 'X-Filler: 0123456789\r\n');
    },
  },
  {
    name: 'one event without a length',
    prefixes: ['/stream/', '/once/'],
    handle: (request) => {
      request.socket.write(createAnswerHead(request, 'Connection: close\r\n\r\nid: 1\ndata: '));
      writeEndlessly(request.socket, '0123456789');
    },
  },
  {
    name: 'one event in chunks',
    prefixes: ['/stream/', '/once/'],
    handle: (request) => {
      request.socket.write(createAnswerHead(request, CHUNKED));
      writeEndlessly(request.socket, toChunk('data: 0123456789\n'));
    },
  },
  {
    name: 'a comment of a stream',
    prefixes: ['/stream/', '/once/'],
    handle: (request) => {
      request.socket.write(createAnswerHead(request, CHUNKED));
      writeEndlessly(request.socket, toChunk(': comment\n'));
    },
  },
  {
    name: 'comments that end like events',
    prefixes: ['/stream/', '/once/'],
    handle: (request) => {
      request.socket.write(createAnswerHead(request, CHUNKED));
      writeEndlessly(request.socket, toChunk(': comment\n\n'));
    },
  },
];

void t.test('answers without end', async (t) => {
  await fleet.start();
  t.teardown(() => {
    fleet.store.stop();
    setTimeout(() => process.exit(), 100);
  });

  for (const { name, prefixes, handle } of endlessCases) {
    for (const prefix of prefixes) {
      // Guards against targets that occupy a node's memory and processor with bytes that never make an answer.
      await t.test(`${name}: ${prefix}`, async (t) => {
        await fleet.setHandler(handle);
        const answer = await fleet.send(prefix);
        t.not(answer.ending, 'none', 'the caller gets an end');
        t.notOk(answer.status === 200 && answer.isComplete, 'the answer does not look complete');
        t.match(answer.status, /^(502|504|200)$/);
        await sleep(50);
        for (const target of fleet.targets) {
          t.equal(target.openConnections, 0, 'the connection is closed');
          t.ok(target.bytesWritten < MAX_ENDLESS_BYTES, `${target.bytesWritten} bytes were read`);
        }
        t.ok(answer.durationMs < 1_000, `ended after ${Math.round(answer.durationMs)} ms`);
      });
    }
  }
});
