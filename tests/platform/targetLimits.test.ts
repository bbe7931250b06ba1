import t from 'tap';
import { sleep } from '../standins/http.js';
import { RawCaller } from '../support/rawHttp.js';
import { RawFleet } from './rawFleet.js';

/** Time after which a named limit binds, and the window in which requests are counted, as the users' pages set them. */
const STABLE_WINDOW_MS = 3_000;
const COUNT_WINDOW_MS = 4_000;
const LIMIT_PER_S = 3;
const ALLOWED_IN_WINDOW = 1.5 * LIMIT_PER_S * (COUNT_WINDOW_MS / 1_000) + 5;
/** Interval between two requests to each node. */
const SEND_INTERVAL_MS = 100;
const SEND_MS = 9_000;

const fleet = new RawFleet();

const addresses = await fleet.startNodes(3);
t.teardown(() => {
  fleet.store.stop();
  setTimeout(() => process.exit(), 100);
});

/** Sends requests to all nodes; returns the statuses and the times at which each target got one, from the start. */
async function load(limits: readonly (number | undefined)[], durationMs: number) {
  const arrivals = fleet.targets.map((): number[] => []);
  const startedAtMs = performance.now();
  await fleet.setHandler(() => undefined);
  for (const [index, target] of fleet.targets.entries()) {
    const limit = limits[index] === undefined ? '' : `Server-Limit: ${limits[index]}\r\n`;
    target.handle = ({ socket, id }) => {
      arrivals[index]?.push(performance.now() - startedAtMs);
      const headers = `Server-Seal: s\r\nAttempt-Id: ${id}\r\n${limit}Content-Length: 2\r\n`;
      socket.write(`HTTP/1.1 200 OK\r\n${headers}\r\nok`);
    };
  }
  const answers: Promise<number>[] = [];
  while (performance.now() - startedAtMs < durationMs) {
    for (const address of addresses) {
      const request = `${fleet.createHead('/status/')}{}`;
      answers.push(new RawCaller(address).exchange(request).then(({ status }) => status));
    }
    await sleep(SEND_INTERVAL_MS);
  }
  return { arrivals, statuses: await Promise.all(answers) };
}

/** Most requests in any window once the limit binds. */
function countFullestWindow(arrivals: readonly number[]): number {
  const bound = arrivals.filter((atMs) => atMs >= (arrivals[0] ?? 0) + STABLE_WINDOW_MS);
  const counts = bound.map(
    (fromMs) => bound.filter((atMs) => atMs >= fromMs && atMs < fromMs + COUNT_WINDOW_MS).length,
  );
  return Math.max(0, ...counts);
}

const cases = [
  { name: 'one target names a limit, the other serves the rest', limits: [LIMIT_PER_S, undefined] },
  { name: 'all targets name a limit', limits: [LIMIT_PER_S, LIMIT_PER_S] },
] as const;

// Guards against a target that gets far more requests than the limit that it named, from many nodes.
void t.test('targets get no more requests than the limit that they named', async (t) => {
  for (const { name, limits } of cases) {
    await t.test(name, async (t) => {
      const { arrivals, statuses } = await load(limits, SEND_MS);
      for (const [index, limit] of limits.entries()) {
        if (limit === undefined) continue;
        const count = countFullestWindow(arrivals[index] ?? []);
        t.ok(count <= ALLOWED_IN_WINDOW, `${count} in ${COUNT_WINDOW_MS} ms, allowed ${ALLOWED_IN_WINDOW}`);
        t.ok(count >= LIMIT_PER_S, `the target is still used: ${count}`);
      }
      const isOtherFree = limits.some((limit) => limit === undefined);
      t.ok(
        statuses.every((status) => status === 200 || (status === 503 && !isOtherFree)),
        `statuses: ${[...new Set(statuses)].join(' ')}`,
      );
    });
  }
  await t.test('limits that are not repeated end', async (t) => {
    await load([undefined, undefined], 2_000);
    const { statuses } = await load([undefined, undefined], 1_000);
    t.ok(statuses.every((status) => status === 200));
  });
});
