import t from 'tap';
import { formatCall, PlatformFleet } from '../platform/platformFleet.js';
import { sleep } from '../standins/http.js';
import { RawCaller } from '../support/rawCaller.js';

/** Time after SIGTERM at which the balancer has left the node, in milliseconds. */
const LATE_MS = 3_100;
/** Interval of the events of a stream that lasts longer than the process, in milliseconds. */
const SLOW_INTERVAL_MS = 200;

const platform = new PlatformFleet();

// Guards against orders that are run late in a stop, though their answers have to wait for another one on the connection.
void t.test('a pipelined order that arrives late in a stop is not run behind a slow stream', async (t) => {
  await platform.start({ drainTimeout: '5s' });
  t.teardown(() => {
    platform.fleet.stop();
    platform.store.stop();
    setTimeout(() => process.exit(), 100);
  });
  platform.fleet.pauseBefore = () => SLOW_INTERVAL_MS;
  const caller = await RawCaller.connect(platform.address);
  caller.write(formatCall('stream', 'carrier'));
  await caller.waitForText('id: 1\n');
  const draining = platform.node.drain();
  await sleep(LATE_MS);
  caller.write(formatCall('order', 'late-order', { deadlineMs: 1_000 }));
  await caller.waitForClose();
  t.notOk(platform.fleet.runs.some(({ requestId }) => requestId === 'late-order'));
  await draining;
});
