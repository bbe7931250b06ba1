import t from 'tap';
import { EVENTS_PER_STREAM, formatCall, PlatformFleet } from '../platform/platformFleet.js';
import { RawCaller } from '../support/rawCaller.js';

const LAST_EVENT = `id: ${EVENTS_PER_STREAM}\n`;
/** Pause before the last event of a stream that does not end in the stop, in milliseconds. */
const ENDLESS_MS = 30_000;

const platform = new PlatformFleet();

// Guards against streams that are cut a few events before their end, while the node only waits for last answers to leave.
void t.test('a stream that has begun goes on until the process ends', async (t) => {
  await platform.start({ drainTimeout: '3500ms' });
  t.teardown(() => {
    platform.fleet.stop();
    platform.store.stop();
    setTimeout(() => process.exit(), 100);
  });
  let endStream: () => void = () => undefined;
  const whenEnding = new Promise<void>((resolve) => (endStream = resolve));
  platform.fleet.pauseBefore = async (id, eventId) => {
    if (eventId < EVENTS_PER_STREAM) return 15;
    if (id === 'ending') await whenEnding;
    return id === 'ending' ? 0 : ENDLESS_MS;
  };
  const [ending, endless, reading] = await Promise.all([
    RawCaller.connect(platform.address),
    RawCaller.connect(platform.address),
    RawCaller.connect(platform.address),
  ]);
  ending.write(formatCall('once', 'ending'));
  endless.write(formatCall('once', 'endless'));
  reading.write(formatCall('stream', 'reading').slice(0, -4));
  await Promise.all([ending, endless].map((caller) => caller.waitForText(`id: ${EVENTS_PER_STREAM - 1}\n`)));

  const draining = platform.node.drain();
  await t.test('a request that is not read completely is refused as not run', async (t) => {
    await reading.waitForText('"run":"not-run"');
    t.match(reading.received, /^HTTP\/1\.1 503 /);
    endStream();
  });
  await t.test('a stream that ends before the process is complete', async (t) => {
    await ending.waitForClose();
    t.ok(ending.received.includes(LAST_EVENT), ending.received.slice(-200));
    t.match(ending.received, /\r\n0\r\n\r\n$/);
  });
  await t.test('a stream that does not is broken off and does not look complete', async (t) => {
    await endless.waitForClose();
    t.notMatch(endless.received, /\r\n0\r\n\r\n$/);
  });
  await t.test('each request is counted once', async (t) => {
    t.equal(await draining, 2);
  });
});
