import t from 'tap';
import { sleep } from '../standins/http.js';
import { PlatformFleet } from './platformFleet.js';

/** Time in which the instances write their entries again, in milliseconds. */
const REWRITE_MS = 1_900;
/** Time in which a node that starts would have given its first orders, in milliseconds. */
const OBSERVED_MS = 4_000;
/** An epoch from before those of the groups that the fleet has formed. */
const EARLIER_EPOCH = 1_500_000;

const platform = new PlatformFleet();

/** Fields of an instance's entry while it was in an earlier group. */
function createEarlierEntry(name: string, epoch: number, rank: number, state: 'open' | 'ready'): object {
  return {
    staged: ['model-a'],
    models: [{ name: 'model-a', version: 1, adapters: [] }],
    group: { name, epoch, rank, state },
  };
}

const earlierEntries: Readonly<Record<string, object>> = {
  'engine-1': createEarlierEntry(`model-a.${EARLIER_EPOCH}`, EARLIER_EPOCH, 0, 'open'),
  'engine-4': createEarlierEntry(`model-a.${EARLIER_EPOCH}`, EARLIER_EPOCH, 1, 'ready'),
  'engine-2': createEarlierEntry(`standby.model-a.${EARLIER_EPOCH + 1}`, EARLIER_EPOCH + 1, 0, 'ready'),
  'engine-5': createEarlierEntry(`standby.model-a.${EARLIER_EPOCH + 2}`, EARLIER_EPOCH + 2, 0, 'ready'),
};

// Guards against instances that join another group while their group is open, as a restored list shows neither.
void t.test('a node that starts after a restore does not plan from the older list', async (t) => {
  t.teardown(() => {
    platform.fleet.stop();
    platform.store.stop();
    setTimeout(() => process.exit(), 100);
  });
  await platform.start({ drainTimeout: '600ms' });
  await platform.node.drain();
  const { fleet, store } = platform;
  for (const [id, fields] of Object.entries(earlierEntries)) {
    const instance = fleet.instances.get(id);
    store.put('keyed.servers', id, { ...instance?.describeEntry(), ...fields, seqNo: 1 });
  }
  store.put('keyed.servers', 'engine-3', undefined);
  store.restore(store.copy());
  setTimeout(() => {
    for (const instance of fleet.instances.values()) instance.announce();
  }, REWRITE_MS);
  const { node } = await platform.startNode('node-2', { isFirstStart: false, drainTimeout: '600ms' });
  await sleep(OBSERVED_MS);
  t.same(fleet.violations, []);
  await node.drain();
});
