import t from 'tap';
import { sleep } from '../standins/http.js';
import { RawCaller } from '../support/rawHttp.js';
import { createConfiguration, createEntry, RawFleet } from './rawFleet.js';

/** Rate of a cold target, and the bound that follows from the settings. */
const COLD_PER_S = 6;
const OVERRUN = 1.5;
const SLACK = 3;
const ALLOWED_PER_S = COLD_PER_S * OVERRUN + SLACK;
const COLD_MS = 20_000;
/** Time until all nodes have read that targets are cold. */
const NOTICE_MS = 1_500;
const WINDOW_MS = 1_000;
/** Interval between two requests to each node; all together send far more than the bound to each target. */
const SEND_INTERVAL_MS = 40;
const SEND_MS = 4_500;

const fleet = new RawFleet();
fleet.bounds = [`cold-overrun = ${OVERRUN}`, `cold-slack = ${SLACK}`];
const addresses = await fleet.startNodes(3);
let version = 1;
let sequence = 1;
t.teardown(() => {
  fleet.store.stop();
  setTimeout(() => process.exit(), 100);
});

function configure(fields: object): void {
  const services = [{ name: 'plain', maxConnections: 50, ...fields }];
  version++;
  fleet.store.put('keyed.op', 'config', { ...(createConfiguration(version) as object), services });
}

function announce(index: number, coldRemainingMs: number): void {
  const target = fleet.targets[index];
  if (!target) return;
  sequence++;
  const entry = { ...(createEntry(target.address, sequence) as object), slots: 1_000, coldRemainingMs };
  fleet.store.put('keyed.servers', `plain-${index + 1}`, entry);
}

/** Sends requests to all nodes; returns the answers and the times at which each target got one, from the start. */
async function load(durationMs: number) {
  const arrivals = fleet.targets.map((): number[] => []);
  await fleet.setHandler(() => undefined);
  const startedAtMs = performance.now();
  for (const [index, target] of fleet.targets.entries()) {
    target.handle = ({ socket, id }) => {
      arrivals[index]?.push(performance.now() - startedAtMs);
      socket.write(`HTTP/1.1 200 OK\r\nServer-Seal: s\r\nAttempt-Id: ${id}\r\nContent-Length: 2\r\n\r\nok`);
    };
  }
  const answers: Promise<{ readonly status: number; readonly head: string }>[] = [];
  while (performance.now() - startedAtMs < durationMs) {
    for (const address of addresses) {
      const request = `${fleet.createHead('/status/')}{}`;
      answers.push(new RawCaller(address).exchange(request).then(({ status, head }) => ({ status, head })));
    }
    await sleep(SEND_INTERVAL_MS);
  }
  return { arrivals, answers: await Promise.all(answers) };
}

function countFullestSecond(arrivals: readonly number[]): number {
  const counts = arrivals.map(
    (fromMs) => arrivals.filter((atMs) => atMs >= fromMs && atMs < fromMs + WINDOW_MS).length,
  );
  return Math.max(0, ...counts);
}

interface Case {
  readonly name: string;
  readonly service: object;
  readonly cold: readonly boolean[];
  /** Whether the requests to cold targets are bounded, and whether some are refused for it. */
  readonly isBounded: boolean;
  readonly isRefusing: boolean;
}

const BOUNDED = { coldPerS: COLD_PER_S, coldStartS: 3 };
const cases: readonly Case[] = [
  {
    name: 'a service whose targets are never cold is not bounded',
    service: {},
    cold: [true, true],
    isBounded: false,
    isRefusing: false,
  },
  {
    name: 'one target is cold, the other one serves',
    service: BOUNDED,
    cold: [true, false],
    isBounded: true,
    isRefusing: false,
  },
  {
    name: 'two targets become cold at once',
    service: BOUNDED,
    cold: [true, true],
    isBounded: true,
    isRefusing: true,
  },
];

// Guards against cold targets that get more requests in some second than they tolerate, from many nodes together, and
// against requests that are refused although another target would take them.
void t.test('requests that reach cold targets', async (t) => {
  for (const { name, service, cold, isBounded, isRefusing } of cases) {
    await t.test(name, async (t) => {
      configure(service);
      for (const [index, isCold] of cold.entries()) announce(index, isCold ? COLD_MS : 0);
      await sleep(NOTICE_MS);
      const { arrivals, answers } = await load(SEND_MS);
      for (const [index, isCold] of cold.entries()) {
        if (!isCold) continue;
        const count = countFullestSecond(arrivals[index] ?? []);
        t.equal(count <= ALLOWED_PER_S, isBounded, `${count} in a second, bound ${ALLOWED_PER_S}`);
        // It is slower, so that it gets requests only if the other one is busy or cold.
        if (isRefusing) t.ok(count >= 1, 'the target is still used');
      }
      const refused = answers.filter(({ status }) => status === 503);
      t.equal(refused.length > 0, isRefusing, `${refused.length} of ${answers.length} refused`);
      t.ok(
        refused.every(({ head }) => /^retry-after: /im.test(head)),
        'each refusal says when to come again',
      );
      t.ok(
        answers.every(({ status }) => status === 200 || status === 503),
        'no request fails',
      );
      const skips = await fleet.readCounter('monsoonreach_cold_target_skips_total', '{result="refused"}');
      t.equal(skips > 0, isRefusing, `counted: ${skips}`);
      const coldTargets = isBounded ? cold.filter(Boolean).length : 0;
      t.equal(await fleet.readCounter('monsoonreach_cold_targets'), coldTargets, 'gauge');
    });
  }
});

const repeatCases = [
  { name: 'a bounded target gets no request twice', service: BOUNDED, isRepeated: false },
  { name: 'another one gets it again on a new connection', service: {}, isRepeated: true },
];

// Guards against repeats on new connections that nobody counts: a target that closes its connections gets them all.
void t.test('requests whose reused connection is closed', async (t) => {
  // Another start after a closed connection would be a crash.
  for (const index of fleet.targets.keys()) announce(index, 0);
  for (const { name, service, isRepeated } of repeatCases) {
    await t.test(name, async (t) => {
      configure(service);
      await sleep(NOTICE_MS);
      await fleet.setHandler(() => undefined);
      const received: string[] = [];
      for (const [index, target] of fleet.targets.entries()) {
        target.handle = ({ socket, id, ordinal }) => {
          received.push(`${index} ${id}`);
          const head = `HTTP/1.1 200 OK\r\nServer-Seal: s\r\nAttempt-Id: ${id}\r\nContent-Length: 2\r\n`;
          if (ordinal === 1) socket.write(`${head}\r\nok`);
          else socket.resetAndDestroy();
        };
      }
      const requests = 12;
      for (let count = 0; count < requests; count++) t.equal((await fleet.send('/status/')).status, 200);
      t.ok(received.length > requests, `${received.length} requests received`);
      t.equal(new Set(received).size < received.length, isRepeated);
    });
  }
});
