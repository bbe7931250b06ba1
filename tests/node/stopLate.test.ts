import t from 'tap';
import { EVENTS_PER_STREAM, formatCall, PlatformFleet } from '../platform/platformFleet.js';
import { RawCaller } from '../support/rawCaller.js';

const LAST_EVENT = `id: ${EVENTS_PER_STREAM}\n`;
/** Published duration of one decode step, in milliseconds. */
const STEP_MS = 75;
/** Pause between two events at about this pace; a stream that begins before the stop ends after the rotation. */
const INTERVAL_MS = 80;
/** Last event that the callers of late streams have; the published pace predicts 0.8 s for the rest. */
const RESUMED_AFTER = 30;

const platform = new PlatformFleet();

function format(
  kind: 'stream' | 'order',
  id: string,
  options: { readonly deadlineMs?: number | undefined; readonly lastEventId?: number } = {},
): string {
  const { deadlineMs, lastEventId = 0 } = options;
  return formatCall(kind, id, {
    deadlineMs,
    lastEventId,
    answerTokens: EVENTS_PER_STREAM - lastEventId,
  });
}

/** Time before an event, in milliseconds, by the request's id. */
const pauses: Readonly<Record<string, (eventId: number) => number>> = {
  silent: (eventId) => (eventId === 35 ? 1_200 : INTERVAL_MS),
  slow: () => 200,
  short: () => 5,
};

interface Case {
  readonly name: string;
  readonly id: string;
  readonly kind: 'stream' | 'order';
  readonly deadlineMs?: number;
  readonly isTaken: boolean;
}

const cases: readonly Case[] = [
  { name: 'a stream whose target falls silent for a second', id: 'silent', kind: 'stream', isTaken: false },
  { name: 'a stream that is slower than predicted', id: 'slow', kind: 'stream', isTaken: false },
  {
    name: 'a stream whose caller gives up before the end of the process',
    id: 'short',
    kind: 'stream',
    deadlineMs: 700,
    isTaken: true,
  },
  { name: 'an order that may last longer than the process', id: 'long-order', kind: 'order', isTaken: false },
  {
    name: 'an order whose caller gives up before the end of the process',
    id: 'order',
    kind: 'order',
    deadlineMs: 700,
    isTaken: true,
  },
];

// Guards against requests that arrive late in a planned stop, on a connection that is still open, and are taken and cut.
void t.test('a request that arrives late in a calm stop is finished or refused as not run', async (t) => {
  await platform.start({ drainTimeout: '5s', stepMs: STEP_MS });
  t.teardown(() => {
    platform.fleet.stop();
    platform.store.stop();
    setTimeout(() => process.exit(), 100);
  });
  platform.fleet.pauseBefore = (id, eventId) => pauses[id]?.(eventId) ?? INTERVAL_MS;
  const carriers = await Promise.all(
    cases.map(async ({ id }) => {
      const carrier = await RawCaller.connect(platform.address);
      carrier.write(format('stream', `carrier.${id}`));
      await carrier.waitForText('id: 1\n');
      return carrier;
    }),
  );
  const stoppedAtMs = Date.now();
  const draining = platform.node.drain();

  const answers = await Promise.all(
    cases.map(async ({ id, kind, deadlineMs }, index) => {
      const caller = carriers[index];
      if (!caller) throw new Error('There is a carrier for each case.');
      await caller.waitForText(`${LAST_EVENT}data: {"n":${EVENTS_PER_STREAM}}\n\n\r\n0\r\n\r\n`);
      const sentAtMs = Date.now();
      caller.write(format(kind, id, { deadlineMs, lastEventId: kind === 'stream' ? RESUMED_AFTER : 0 }));
      await caller.waitForClose();
      const text = caller.received.slice(caller.received.lastIndexOf('HTTP/1.1'));
      return { text, msAfterStop: sentAtMs - stoppedAtMs };
    }),
  );

  for (const [index, { name, id, kind, isTaken }] of cases.entries()) {
    await t.test(name, (t) => {
      const { text = '', msAfterStop = 0 } = answers[index] ?? {};
      t.ok(msAfterStop > 2_700, `sent ${msAfterStop} ms after SIGTERM, when the node has left the rotation`);
      const runs = platform.fleet.runs.filter(({ requestId }) => requestId === id).length;
      if (isTaken) {
        t.equal(runs, 1);
        t.match(text, /^HTTP\/1\.1 200 /);
        t.ok(kind === 'stream' ? text.includes(LAST_EVENT) : text.endsWith(`${id}:body-of-${id}`));
      } else {
        t.equal(runs, 0);
        t.match(text, /^HTTP\/1\.1 503 /);
        t.match(text, /"reason":"stopping","run":"not-run"/);
        t.match(text, /retry-after: 0\.00/i);
        t.match(text, /connection: close/i);
      }
      t.end();
    });
  }

  t.equal(await draining, 0, 'nothing is cut');
});
