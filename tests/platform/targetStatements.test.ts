import t from 'tap';
import { sleep } from '../standins/http.js';
import type { RawRequest } from '../support/rawHttp.js';
import { RawFleet } from './rawFleet.js';

const fleet = new RawFleet();

/** Time after an answer from which on its statement binds, as the users' pages set it. */
const SETTLE_MS = 500;
const PAUSE_S = 2;
/** Requests that the users' pages allow nevertheless. */
const MAX_REQUESTS = 2;

const answer = ({ socket, id }: RawRequest, status: string, headers: string) =>
  socket.write(`HTTP/1.1 ${status}\r\nAttempt-Id: ${id}\r\n${headers}Content-Length: 2\r\n\r\nok`);
const SEALED = 'Server-Seal: s\r\n';
const REFUSAL = 'Not-Executed: 1\r\n';

const cases = [
  {
    name: 'that is leaving',
    status: '200 OK',
    headers: `${SEALED}Server-Leaving: 1\r\n`,
    durationMs: 3_000,
    isUsedLater: false,
  },
  {
    name: 'that is full and says for how long',
    status: '503 Service Unavailable',
    headers: `${REFUSAL}Retry-After: ${PAUSE_S}\r\n`,
    durationMs: PAUSE_S * 1_000,
    isUsedLater: true,
  },
] as const;

// Guards against requests to a target that told this node to send it nothing.
void t.test('a node heeds what a target says of itself', async (t) => {
  await fleet.start();
  t.teardown(() => {
    fleet.store.stop();
    setTimeout(() => process.exit(), 100);
  });
  const [speaker, other] = fleet.targets;

  for (const { name, status, headers, durationMs, isUsedLater } of cases) {
    await t.test(`a target ${name} gets no requests`, async (t) => {
      await fleet.setHandler((request) => {
        answer(request, '200 OK', SEALED);
      });
      let saidAtMs = Infinity;
      let requests = 0;
      let laterRequests = 0;
      speaker.handle = (request) => {
        const sinceMs = performance.now() - saidAtMs;
        if (sinceMs > durationMs) laterRequests++;
        else if (sinceMs > SETTLE_MS) requests++;
        if (saidAtMs === Infinity) saidAtMs = performance.now();
        if (sinceMs > durationMs) answer(request, '200 OK', SEALED);
        else answer(request, status, headers);
      };
      const startedAtMs = performance.now();
      const answers: Promise<{ readonly status: number }>[] = [];
      while (performance.now() - startedAtMs < durationMs + 1_000) {
        answers.push(fleet.send('/status/'));
        await sleep(20);
      }
      t.ok(
        (await Promise.all(answers)).every((answer) => answer.status === 200),
        'the other target serves',
      );
      t.ok(Number.isFinite(saidAtMs), 'the target was used before');
      t.ok(requests <= MAX_REQUESTS, `requests meanwhile: ${requests}`);
      t.equal(laterRequests > 0, isUsedLater, `requests afterwards: ${laterRequests}`);
      t.ok(other.requests.length > 0);
      speaker.crash();
      await fleet.startTarget(speaker);
      await sleep(900);
    });
  }
});
