import t from 'tap';
import { PlatformFleet } from '../platform/platformFleet.js';

const platform = new PlatformFleet();

// Guards against streams that are refused as without target because the owner of the targets stops and has no successor.
void t.test('a node that stops without a successor still assigns requests to its targets', async (t) => {
  await platform.start();
  t.teardown(() => {
    platform.fleet.stop();
    platform.store.stop();
    setTimeout(() => process.exit(), 100);
  });
  void platform.node.drain();
  const response = await platform.send('/stream/1', { id: 'stream-in-stop' });
  await response.text();
  t.equal(response.status, 200);
});
