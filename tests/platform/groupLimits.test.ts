import t from 'tap';
import { sleep } from '../standins/http.js';
import { PlatformFleet } from './platformFleet.js';

/** Time after which a named limit binds, and the window in which requests are counted, as the users' pages set them. */
const STABLE_WINDOW_MS = 3_000;
const COUNT_WINDOW_MS = 4_000;
const LIMIT_PER_S = 2;
const ALLOWED_IN_WINDOW = 1.5 * LIMIT_PER_S * (COUNT_WINDOW_MS / 1_000) + 5;
const SEND_INTERVAL_MS = 60;
const SEND_MS = 9_000;

const platform = new PlatformFleet();
const { fleet, store } = platform;

// Guards against groups whose owner does not learn the limits that they named to other nodes.
void t.test(
  'groups get no more requests than the limit that they named to a node that does not own them',
  async (t) => {
    await platform.start();
    t.teardown(() => {
      fleet.stop();
      store.stop();
      setTimeout(() => process.exit(), 100);
    });
    const { address } = await platform.startNode('node-2');
    await sleep(2_000);
    for (const instance of fleet.instances.values()) instance.requestsPerS = LIMIT_PER_S;
    const startedAtMs = Date.now();
    const answers: Promise<number>[] = [];
    for (let index = 0; Date.now() - startedAtMs < SEND_MS; index++) {
      const answer = platform.send('/stream/1', { id: `request-${index}`, address });
      answers.push(
        answer.then(async (response) => {
          await response.text();
          return response.status;
        }),
      );
      await sleep(SEND_INTERVAL_MS);
    }
    const statuses = await Promise.all(answers);
    const bound = fleet.runs.filter(({ atMs }) => atMs >= startedAtMs + STABLE_WINDOW_MS);
    const heads = new Set(bound.map(({ instance }) => instance));
    t.ok(heads.size >= 2, `heads: ${[...heads].join(' ')}`);
    for (const head of heads) {
      const timesMs = bound.flatMap(({ instance, atMs }) => (instance === head ? [atMs] : []));
      const count = Math.max(
        ...timesMs.map(
          (fromMs) => timesMs.filter((atMs) => atMs >= fromMs && atMs < fromMs + COUNT_WINDOW_MS).length,
        ),
      );
      t.ok(
        count <= ALLOWED_IN_WINDOW,
        `${head}: ${count} in ${COUNT_WINDOW_MS} ms, allowed ${ALLOWED_IN_WINDOW}`,
      );
      t.ok(count >= LIMIT_PER_S, `${head} is still used`);
    }
    t.same(
      [...new Set(statuses)].sort((a, b) => a - b),
      [200, 503],
    );
  },
);
