import t from 'tap';
import { sleep } from '../standins/http.js';
import { createConfiguration, PlatformFleet } from './platformFleet.js';

const COLD_PER_S = 4;
const OVERRUN = 1.5;
const SLACK = 5;
const ALLOWED_PER_S = COLD_PER_S * OVERRUN + SLACK;
const COLD_MS = 10_000;
/** Time until the nodes have read the configuration, and that heads are cold. */
const NOTICE_MS = 1_500;
const WINDOW_MS = 1_000;
/** Interval between two requests to each of two nodes; two groups get more than the bound each. */
const SEND_INTERVAL_MS = 50;
const SEND_MS = 4_000;
const BOUNDS = [`cold-overrun = ${OVERRUN}`, `cold-slack = ${SLACK}`];

const platform = new PlatformFleet();
const { fleet, store } = platform;
await platform.start({ bounds: BOUNDS });
const { address } = await platform.startNode('node-2', { bounds: BOUNDS });
await sleep(2_000);
t.teardown(() => {
  fleet.stop();
  store.stop();
  setTimeout(() => process.exit(), 100);
});

function configure(version: number, fields: object): void {
  const configuration = createConfiguration(version) as { readonly services: readonly object[] };
  const [engines, ...services] = configuration.services;
  store.put('keyed.op', 'config', { ...configuration, services: [{ ...engines, ...fields }, ...services] });
}

const cases = [
  { name: 'a service without a rate is not bounded', fields: {}, isBounded: false },
  {
    name: 'one with a rate is',
    fields: { coldPerS: COLD_PER_S, coldStartS: 3 },
    isBounded: true,
  },
] as const;

// Guards against an owner that assigns more requests of all nodes to a cold group than it tolerates.
void t.test('requests that reach the cold heads of groups', async (t) => {
  for (const [index, { name, fields, isBounded }] of cases.entries()) {
    await t.test(name, async (t) => {
      configure(index + 2, fields);
      for (const instance of fleet.instances.values()) instance.coldUntilMs = performance.now() + COLD_MS;
      await sleep(NOTICE_MS);
      const startedAtMs = Date.now();
      const answers: Promise<number>[] = [];
      for (let count = 0; Date.now() - startedAtMs < SEND_MS; count++) {
        for (const node of [platform.address, address]) {
          const answer = platform.send('/stream/1', { id: `${index}-${count}-${node}`, address: node });
          answers.push(
            answer.then(async (response) => {
              await response.text();
              return response.status;
            }),
          );
        }
        await sleep(SEND_INTERVAL_MS);
      }
      const statuses = await Promise.all(answers);
      const runs = fleet.runs.filter(({ atMs }) => atMs >= startedAtMs);
      const heads = [...new Set(runs.map(({ instance }) => instance))];
      t.ok(heads.length >= 2, `heads: ${heads.join(' ')}`);
      for (const head of heads) {
        const timesMs = runs.flatMap(({ instance, atMs }) => (instance === head ? [atMs] : []));
        const counts = timesMs.map(
          (fromMs) => timesMs.filter((atMs) => atMs >= fromMs && atMs < fromMs + WINDOW_MS).length,
        );
        const most = Math.max(...counts);
        t.equal(most <= ALLOWED_PER_S, isBounded, `${head}: ${most} in a second, bound ${ALLOWED_PER_S}`);
      }
      // The groups are near their capacity, so that some requests are refused in any case.
      t.ok(
        statuses.every((status) => status === 200 || status === 503),
        `statuses: ${[...new Set(statuses)].join(' ')}`,
      );
    });
  }
});
