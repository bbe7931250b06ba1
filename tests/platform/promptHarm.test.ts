import t from 'tap';
import { sleep } from '../standins/http.js';
import { PlatformFleet } from './platformFleet.js';

const REQUESTS = 6;

const platform = new PlatformFleet();
const { fleet, store } = platform;

// Guards against a node that fails with the setting, alone or beside one without it, and against choices that an
// operator cannot see.
void t.test(
  'nodes with and without prompt-harm serve together, and the unread tokens are shown',
  async (t) => {
    await platform.start();
    t.teardown(() => {
      fleet.stop();
      store.stop();
      setTimeout(() => process.exit(), 100);
    });
    const other = await platform.startNode('node-2', { routing: 'prompt-harm = yes' });
    await sleep(2_000);
    for (const address of [platform.address, other.address]) {
      const responses = await Promise.all(
        Array.from({ length: REQUESTS }, (_, index) =>
          platform.send('/stream/1', { id: `${address}-${index}`, address }),
        ),
      );
      for (const response of responses) {
        t.equal(response.status, 200);
        await response.text();
      }
    }
    const series = await Promise.all(
      [platform.metrics, other.metrics].map(async (metrics) => {
        const text = await (await fetch(`http://${metrics}/metrics`)).text();
        return Number(/^monsoonreach_unread_prompt_tokens_count (\d+)$/m.exec(text)?.[1] ?? 0);
      }),
    );
    const recorded = series.reduce((sum, count) => sum + count, 0);
    t.ok(recorded >= 2 * REQUESTS, `${recorded} choices recorded, by the nodes: ${series.join(', ')}`);
  },
);
