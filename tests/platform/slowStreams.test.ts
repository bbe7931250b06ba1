import t from 'tap';
import { sleep } from '../standins/http.js';
import {
  RawCaller,
  type RawHandler,
  type RawRequest,
  readHeader,
  writeEndlessly,
} from '../support/rawHttp.js';
import { RawFleet } from './rawFleet.js';

const fleet = new RawFleet();

/** Time for which a target that refuses asks to be left alone. */
const PAUSE_S = 4;
const EMPTY = 'Server-Seal: s\r\nContent-Length: 0\r\n\r\n';

const HEAD_END = 'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n';
const toChunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
const toEvent = (id: number) => `id: ${id}\ndata: ${id}\n\n`;

function begin({ socket, id }: RawRequest): void {
  socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Seal: s\r\n${HEAD_END}`);
}

function readLastId({ head }: RawRequest): number {
  return Number(readHeader(head, 'last-event-id') ?? 0);
}

/** Sends the events after the last one that the caller has, one each `intervalMs`. */
async function sendEvents(request: RawRequest, count: number, intervalMs: number): Promise<void> {
  for (let id = readLastId(request) + 1; id <= count && !request.socket.destroyed; id++) {
    request.socket.write(toChunk(toEvent(id)));
    await sleep(intervalMs);
  }
  request.socket.write('0\r\n\r\n');
}

/** Sends `text` in pieces of one byte, one each `intervalMs`, until the connection is closed. */
function trickle(request: RawRequest, text: string, intervalMs: number): void {
  let at = 0;
  const timer = setInterval(() => {
    if (request.socket.writable) request.socket.write(toChunk(text[at++ % text.length] ?? ''));
    else clearInterval(timer);
  }, intervalMs);
}

const allEvents = (count: number) => Array.from({ length: count }, (_, index) => toEvent(index + 1)).join('');

const countRuns = () => fleet.targets.reduce((sum, { requests }) => sum + requests.length, 0);

interface StalledCase {
  readonly name: string;
  readonly stall: RawHandler;
}

const stalledCases: readonly StalledCase[] = [
  { name: 'sends nothing more', stall: () => undefined },
  {
    name: 'sends a byte of an event now and then',
    stall: (request) => {
      trickle(request, 'data: 1234567890', 50);
    },
  },
  {
    name: 'sends comments',
    stall: (request) => {
      trickle(request, ': alive\n\n', 10);
    },
  },
];

void t.test('slow and stalled streams', async (t) => {
  await fleet.start();
  t.teardown(() => {
    fleet.store.stop();
    setTimeout(() => process.exit(), 100);
  });

  for (const { name, stall } of stalledCases) {
    for (const beginsWith of [0, 2]) {
      // Guards against stalled streams that are kept alive by bytes which bring the caller nothing.
      await t.test(`a target that ${name} after ${beginsWith} events is left for another`, async (t) => {
        let runs = 0;
        await fleet.setHandler((request) => {
          begin(request);
          if (++runs > 1) {
            void sendEvents(request, 4, 10);
            return;
          }
          for (let id = 1; id <= beginsWith; id++) request.socket.write(toChunk(toEvent(id)));
          stall(request);
        });
        const answer = await fleet.send('/stream/');
        t.equal(answer.body, allEvents(4));
        t.ok(answer.isComplete);
        t.ok(answer.durationMs < 1_500, `ended after ${Math.round(answer.durationMs)} ms`);
        t.equal(runs, 2);
      });
    }
  }

  // Guards against streams that are moved from target to target only because all are slow.
  await t.test('streams of slow targets stay there once their pace is known', async (t) => {
    const sendSlowly: RawHandler = (request) => {
      if (request.head.includes('/status/')) {
        request.socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${request.id}\r\n${EMPTY}`);
        return;
      }
      begin(request);
      void sendEvents(request, 6, 400);
    };
    const refuse: RawHandler = ({ socket, id }) =>
      socket.write(
        `HTTP/1.1 503 Full\r\nAttempt-Id: ${id}\r\nNot-Executed: 1\r\nRetry-After: ${PAUSE_S}\r\n${EMPTY}`,
      );
    // Streams stay at a target whose pace is not known yet only if there is no other.
    for (const learned of fleet.targets) {
      await fleet.setHandler(refuse);
      learned.handle = sendSlowly;
      while (fleet.targets.some(({ requests }) => requests.length === 0)) {
        await Promise.all(Array.from({ length: 20 }, () => fleet.send('/status/')));
      }
      await Promise.all([fleet.send('/stream/'), fleet.send('/stream/')]);
      await sleep(PAUSE_S * 1_000);
    }
    await fleet.setHandler(sendSlowly);
    const runsBefore = countRuns();
    const answers = await Promise.all(Array.from({ length: 4 }, () => fleet.send('/stream/')));
    t.ok(answers.every(({ body, isComplete }) => isComplete && body === allEvents(6)));
    t.equal(countRuns() - runsBefore, 4);
  });

  for (const prefix of ['/stream/', '/once/'] as const) {
    // Guards against targets that are blamed, and streams that are moved, because their caller reads slowly.
    await t.test(`a caller that stops reading keeps its target: ${prefix}`, async (t) => {
      const silences = await fleet.readCounter('monsoonreach_silent_targets_total');
      const event = `data: ${'x'.repeat(1_000)}\n\n`;
      await fleet.setHandler((request) => {
        begin(request);
        writeEndlessly(request.socket, toChunk(event));
      });
      const caller = new RawCaller(fleet.address);
      const exchange = caller.exchange(`${fleet.createHead(prefix)}{}`, 2_300);
      await sleep(100);
      caller.socket.pause();
      await sleep(1_500);
      const requests = fleet.targets.flatMap((target) => target.requests);
      t.equal(requests.length, 1);
      const [first] = requests;
      const beforeBytes = first?.socket.bytesWritten ?? 0;
      await sleep(200);
      t.equal(first?.socket.bytesWritten, beforeBytes, 'the node reads no more than its caller does');
      const hasReadOn = () => (first?.socket.bytesWritten ?? 0) > beforeBytes;
      caller.socket.resume();
      // The caller first reads what is buffered on the way.
      while (!hasReadOn() && caller.socket.bytesRead < beforeBytes && !caller.socket.destroyed)
        await sleep(10);
      await sleep(200);
      t.ok(hasReadOn(), 'the node reads on');
      t.equal(await fleet.readCounter('monsoonreach_silent_targets_total'), silences);
      t.notOk((await exchange).isComplete);
    });
  }
});
