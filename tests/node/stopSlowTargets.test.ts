import t from 'tap';
import { EVENTS_PER_STREAM, formatCall, PlatformFleet } from '../platform/platformFleet.js';
import { sleep } from '../standins/http.js';
import { RawCaller } from '../support/rawCaller.js';

const LAST_EVENT = `id: ${EVENTS_PER_STREAM}\n`;
/** Published duration of one decode step, and so of the pause between two events, in milliseconds. */
const STEP_MS = 45;
/** Interval of the events that targets keep, in milliseconds. */
const INTERVAL_MS = 93;
/** Last event that the caller of the short stream already has. */
const RESUMED_AFTER = 24;

const platform = new PlatformFleet();

async function connectAndSend(id: string, lastEventId = 0): Promise<RawCaller> {
  const caller = await RawCaller.connect(platform.address);
  const answerTokens = EVENTS_PER_STREAM - lastEventId;
  caller.write(formatCall('stream', id, { lastEventId, answerTokens }));
  return caller;
}

// Guards against streams that are taken in a stop by the published pace, though their target is slow, and are cut.
void t.test('a stopping node takes streams by the pace that their target keeps', async (t) => {
  await platform.start({ drainTimeout: '3500ms', stepMs: STEP_MS });
  t.teardown(() => {
    platform.fleet.stop();
    platform.store.stop();
    setTimeout(() => process.exit(), 100);
  });
  platform.fleet.pauseBefore = () => INTERVAL_MS;
  const before = await Promise.all(['a', 'b', 'c', 'd'].map((id) => connectAndSend(`before-${id}`)));
  for (const caller of before) await caller.waitForText(LAST_EVENT);
  const targets = platform.fleet.runs.map(({ instance }) => instance);
  t.equal(new Set(targets).size, 2, 'both targets have shown their pace');

  const draining = platform.node.drain();
  await sleep(50);
  const long = await connectAndSend('long');
  const short = await connectAndSend('short', RESUMED_AFTER);

  await t.test('a stream that the pace makes too long is refused as not run', async (t) => {
    await long.waitForClose();
    t.match(long.received, /^HTTP\/1\.1 503 /);
    t.match(long.received, /"reason":"stopping","run":"not-run"/);
    t.match(long.received, /retry-after: 0\.00/i);
    t.notOk(platform.fleet.runs.some(({ requestId }) => requestId === 'long'));
  });
  await t.test('a stream that ends in time at this pace is served', async (t) => {
    await short.waitForClose();
    t.ok(short.received.includes(LAST_EVENT), short.received);
  });
  t.equal(await draining, 0, 'nothing is cut');
});
