import t from 'tap';
import { sleep } from '../standins/http.js';
import { type RawRequest, readHeader } from '../support/rawHttp.js';
import { RawFleet } from './rawFleet.js';

const fleet = new RawFleet();

const toEvent = (id: number) => `id: ${id}\ndata: ${id}\n\n`;
const toChunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
const ERROR_TEXT = '{"error":"overloaded"}';
const ERROR_HEAD = `HTTP/1.1 500 Internal Server Error\r\nContent-Length: ${ERROR_TEXT.length}\r\n\r\n${ERROR_TEXT}`;
const BEGINNING = toEvent(1) + toEvent(2);

interface Answer {
  readonly status: string;
  readonly headers?: string;
  readonly body: string;
}

function write({ socket, id }: RawRequest, { status, headers = 'Server-Seal: s\r\n', body }: Answer): void {
  const length = `Content-Length: ${body.length}\r\n`;
  socket.write(`HTTP/1.1 ${status}\r\nAttempt-Id: ${id}\r\n${headers}${length}\r\n${body}`);
}

/** Sends the first events of a stream and breaks it off. */
async function begin({ socket, id }: RawRequest): Promise<void> {
  const headers = `Attempt-Id: ${id}\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n`;
  socket.write(`HTTP/1.1 200 OK\r\n${headers}\r\n${toChunk(BEGINNING)}`);
  await sleep(50);
  socket.resetAndDestroy();
}

const cases: readonly (Answer & { readonly name: string })[] = [
  { name: 'a failure', status: '500 Internal Server Error', body: ERROR_TEXT },
  { name: 'a failure that looks like an event', status: '500 Internal Server Error', body: toEvent(3) },
  { name: 'an answer of another kind', status: '404 Not Found', body: ERROR_TEXT },
  { name: 'an answer that no target vouches for', status: '200 OK', headers: '', body: toEvent(3) },
  { name: 'the text of an error', status: '200 OK', body: ERROR_TEXT },
  { name: 'the text of an error, and an empty line', status: '200 OK', body: `${ERROR_TEXT}\n\n` },
  { name: 'a whole head', status: '200 OK', body: ERROR_HEAD },
  { name: 'a whole head and more events', status: '200 OK', body: `${ERROR_HEAD}\n\n${toEvent(3)}` },
  { name: 'the stream from its beginning', status: '200 OK', body: BEGINNING + toEvent(3) },
  { name: 'the last event once more', status: '200 OK', body: toEvent(2) + toEvent(3) },
];

// Guards against streams in the middle of which callers find an error, or events twice.
void t.test('a stream that was broken off is not continued by something else', async (t) => {
  await fleet.start();
  t.teardown(() => {
    fleet.store.stop();
    setTimeout(() => process.exit(), 100);
  });
  for (const { name, ...answer } of cases) {
    await t.test(name, async (t) => {
      await fleet.setHandler((request) => {
        if (readHeader(request.head, 'last-event-id') === undefined) void begin(request);
        else write(request, answer);
      });
      const { status, body, isComplete } = await fleet.send('/stream/');
      t.equal(status, 200);
      t.equal(body, BEGINNING);
      t.notOk(isComplete, 'the stream does not look complete');
      t.equal(fleet.targets.flatMap(({ requests }) => requests).length, 2);
    });
  }
  await t.test('the rest of the stream continues it', async (t) => {
    await fleet.setHandler((request) => {
      if (readHeader(request.head, 'last-event-id') === undefined) void begin(request);
      else write(request, { status: '200 OK', body: toEvent(3) });
    });
    const { body, isComplete } = await fleet.send('/stream/');
    t.equal(body, BEGINNING + toEvent(3));
    t.ok(isComplete);
  });
});
