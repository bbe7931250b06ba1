import t from 'tap';
import { API_KEY, MODEL, PlatformFleet } from '../platform/platformFleet.js';
import { formatRequest, RawCaller } from '../support/rawCaller.js';

const platform = new PlatformFleet();

function format(path: string, id: string): string {
  return formatRequest({
    path,
    headers: {
      'Attempt-Id': id,
      Authorization: `Bearer ${API_KEY}`,
      Model: MODEL,
      'Token-Count': '100,40',
    },
    body: `body-of-${id}`,
  });
}

// Guards against requests that get no answer at all because the process ends while they are in progress.
void t.test('a stop that runs out of time answers truthfully what it has not finished', async (t) => {
  await platform.start({ drainTimeout: '3500ms' });
  t.teardown(() => {
    platform.fleet.stop();
    platform.store.stop();
    setTimeout(() => process.exit(), 100);
  });
  const [reading, streaming, stalled] = await Promise.all([
    RawCaller.connect(platform.address),
    RawCaller.connect(platform.address),
    RawCaller.connect(platform.address),
  ]);
  streaming.write(format('/stream/1', 'streaming'));
  await streaming.waitForText('id: 1\n');
  for (const instance of platform.fleet.instances.values()) instance.mode = 'dark';
  stalled.write(format('/stream/2', 'stalled'));
  reading.write(format('/stream/3', 'reading').slice(0, -4));

  const draining = platform.node.drain();
  await t.test('a request that is not read completely is refused as not run', async (t) => {
    await reading.waitForClose();
    t.match(reading.received, /^HTTP\/1\.1 503 /);
    t.match(reading.received, /"reason":"stopping","run":"not-run"/);
  });
  await t.test('a request that a target may have run is in doubt', async (t) => {
    await stalled.waitForClose();
    t.match(stalled.received, /^HTTP\/1\.1 502 /);
    t.match(stalled.received, /"run":"in-doubt"/);
  });
  await t.test('a stream that has begun is broken off', async (t) => {
    await streaming.waitForClose();
    t.match(streaming.received, /id: 1\n/);
    t.notMatch(streaming.received, /\r\n0\r\n\r\n$/);
  });
  await t.test('all are counted', async (t) => {
    t.equal(await draining, 3);
  });
});
