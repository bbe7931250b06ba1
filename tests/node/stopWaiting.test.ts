import t from 'tap';
import { formatCall, PlatformFleet } from '../platform/platformFleet.js';
import { sleep } from '../standins/http.js';
import { RawCaller } from '../support/rawCaller.js';

/** Time after SIGTERM at which the request arrives, in milliseconds; its target refuses it after the rotation has ended. */
const ARRIVAL_MS = 1_800;

const platform = new PlatformFleet();

function setModes(mode: 'well' | 'refuses-late'): void {
  for (const instance of platform.fleet.instances.values()) instance.mode = mode;
}

// Guards against requests that are taken in time, wait for their target, and begin with too little time left.
void t.test('a request that finds its target too late in a stop is refused as not run', async (t) => {
  await platform.start({ drainTimeout: '5s' });
  t.teardown(() => {
    platform.fleet.stop();
    platform.store.stop();
    setTimeout(() => process.exit(), 100);
  });
  platform.fleet.pauseBefore = () => 60;
  const caller = await RawCaller.connect(platform.address);
  const draining = platform.node.drain();
  await sleep(ARRIVAL_MS);
  setModes('refuses-late');
  caller.write(formatCall('once', 'waiting', { body: 'body' }));
  await sleep(300);
  setModes('well');
  await caller.waitForClose();
  t.match(caller.received, /^HTTP\/1\.1 503 /);
  t.match(caller.received, /"reason":"stopping","run":"not-run"/);
  t.match(caller.received, /retry-after: 0\.00/i);
  t.notOk(platform.fleet.runs.some(({ requestId }) => requestId === 'waiting'));
  t.equal(await draining, 0, 'nothing is cut');
});
