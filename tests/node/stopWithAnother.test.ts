import t from 'tap';
import { EVENTS_PER_STREAM, formatCall, PlatformFleet } from '../platform/platformFleet.js';
import { sleep } from '../standins/http.js';
import { RawCaller } from '../support/rawCaller.js';

const LAST_EVENT = `id: ${EVENTS_PER_STREAM}\n`;
/** Published pause between two events, in milliseconds, which targets keep: a stream takes 2.4 of the 3 s of the stop. */
const STEP_MS = 58;

interface Case {
  readonly name: string;
  readonly hasAnother: boolean;
  readonly isTaken: boolean;
}

const cases: readonly Case[] = [
  { name: 'is refused where another node accepts requests', hasAnother: true, isTaken: false },
  { name: 'is taken where its caller would find no other node', hasAnother: false, isTaken: true },
];

/** Starts another node of the failure domain, and waits until the first one knows it. */
async function addNode(platform: PlatformFleet): Promise<void> {
  await platform.startNode('node-2');
  const { _exchange: exchange } = platform.node as unknown as {
    readonly _exchange: { readonly listLive: () => readonly unknown[] };
  };
  while (exchange.listLive().length === 0) await sleep(20);
}

// Guards against streams that are taken in a stop with hardly more time than predicted, though another node had served
// them, and are cut as their target turns slower.
void t.test('in a stop, a stream that ends in time only at the pace predicted', async (t) => {
  const platforms: PlatformFleet[] = [];
  t.teardown(() => {
    for (const platform of platforms) {
      platform.fleet.stop();
      platform.store.stop();
    }
    setTimeout(() => process.exit(), 100);
  });
  for (const { name, hasAnother, isTaken } of cases) {
    await t.test(name, async (t) => {
      const platform = new PlatformFleet();
      platforms.push(platform);
      platform.fleet.pauseBefore = () => STEP_MS;
      await platform.start({ drainTimeout: '3500ms', stepMs: STEP_MS });
      if (hasAnother) await addNode(platform);
      const caller = await RawCaller.connect(platform.address);
      const draining = platform.node.drain();
      caller.write(formatCall('stream', 'close'));
      await caller.waitForClose();
      if (isTaken) {
        t.ok(caller.received.includes(LAST_EVENT), caller.received.slice(-200));
      } else {
        t.match(caller.received, /^HTTP\/1\.1 503 /);
        t.match(caller.received, /"reason":"stopping","run":"not-run"/);
        t.match(caller.received, /retry-after: 0\.00/i);
        t.equal(platform.fleet.runs.length, 0);
      }
      t.equal(await draining, 0, 'nothing is cut');
    });
  }
});
