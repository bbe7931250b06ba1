import t from 'tap';
import { sleep } from '../standins/http.js';
import { EVENT_INTERVAL_MS } from './instanceStandin.js';
import { PlatformFleet } from './platformFleet.js';

/** Duration of the pause in the streams of one node, in milliseconds. */
const HELD_MS = 900;

/** Which node finds all groups silent; the first one assigns the groups to requests. */
const cases: readonly { readonly name: string; readonly silentNode: 0 | 1 }[] = [
  { name: 'for the node that assigns them', silentNode: 0 },
  { name: 'for another node', silentNode: 1 },
];

void t.test('groups that are silent for one node only', async (t) => {
  t.teardown(() => setTimeout(() => process.exit(), 100));
  const fleet = new PlatformFleet();
  await fleet.start();
  const second = await fleet.startNode('node-2', { isFirstStart: false });
  const addresses = [fleet.address, second.address] as const;
  await sleep(2_000);
  fleet.fleet.pauseBefore = (requestId, eventId) =>
    requestId.startsWith('held') && eventId === 5 ? HELD_MS : EVENT_INTERVAL_MS;

  const send = async (id: string, address: string) => {
    const response = await fleet.send(`/stream/${id}`, { id, address });
    await response.text();
    return { id, status: response.status };
  };

  for (const { name, silentNode } of cases) {
    // Guards against requests that are refused by sound nodes since one node has lost its paths to the groups.
    await t.test(`serve the others: ${name}`, async (t) => {
      const [silent, sound] = silentNode === 0 ? addresses : [addresses[1], addresses[0]];
      const held = [1, 2, 3, 4].map((index) => send(`held-${silentNode}-${index}`, silent));
      await sleep(600);
      const others: ReturnType<typeof send>[] = [];
      for (let index = 0; index < 5; index++) {
        others.push(send(`other-${silentNode}-${index}`, sound));
        await sleep(50);
      }
      for (const { id, status } of await Promise.all([...others, ...held])) t.equal(status, 200, id);
      await sleep(1_500);
    });
  }
});
