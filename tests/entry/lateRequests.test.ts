import t from 'tap';
import { v7 as uuidv7 } from 'uuid';
import { sleep } from '../standins/http.js';
import { LocalFleet, TOKENS } from '../support/localFleet.js';
import { formatRequest, RawCaller } from '../support/rawCaller.js';

/** Time after SIGTERM at which the entry cuts what is left, in milliseconds: the balancer's delay and the drain. */
const CUT_AFTER_MS = 4_300;
/** Time after SIGTERM at which a request still ends before the cut, and at which it does not, in milliseconds. */
const EARLY_MS = 800;
const LATE_MS = 3_300;
/** Time after SIGTERM at which the log slows down, and at which a request ends in time only if it is sent on at once. */
const SLOW_LOG_MS = 1_300;
const MIDDLE_MS = 1_800;
/** Delay of the log before and after each append, in milliseconds. */
const LOG_DELAY_MS = 800;
/** Time within which a request is refused that waits for nothing, in milliseconds. */
const REFUSAL_MS = 500;

const fleet = new LocalFleet({
  entries: 1,
  stewards: 1,
  engines: 2,
  services: 1,
  groups: 1,
  drainTimeout: '4s',
  service: { delayMs: 1_500 },
  engine: { tokenMs: 250 },
});

/** A route whose idempotent calls have a body, which may arrive late. */
const IDEMPOTENT_ROUTE = `[route.hours]
service = booking
method = PUT
path = /hours
idempotent = yes
`;

const createHeaders = (headers: Readonly<Record<string, string>> = {}) => ({
  Authorization: `Bearer ${TOKENS.fitters}`,
  'Content-Type': 'application/json',
  ...headers,
});

const formatOrder = (key: string) =>
  formatRequest({
    path: '/services/booking/orders',
    headers: createHeaders({ 'Idempotency-Key': key }),
    body: '{}',
  });

const completion = formatRequest({
  path: '/v1/chat/completions',
  headers: createHeaders(),
  body: JSON.stringify({ model: 'assistant', messages: [{ role: 'user', content: 'flue' }], stream: true }),
});

interface Case {
  readonly name: string;
  /** Time after SIGTERM at which the last byte of the request is sent, in milliseconds; 0 for one sent just before. */
  readonly atMs: number;
  readonly request: string;
  readonly isAnswered: boolean;
  readonly key?: string;
  /** Time for which a refused request waits for the log, in milliseconds. */
  readonly waitMs?: number;
}

const [earlyKey, middleKey, lateKey] = [uuidv7(), uuidv7(), uuidv7()];

const cases: readonly Case[] = [
  { name: 'a stream in progress is completed', atMs: 0, request: completion, isAnswered: true },
  {
    name: 'an order that arrives early in the stop is answered',
    atMs: EARLY_MS,
    request: formatOrder(earlyKey),
    isAnswered: true,
    key: earlyKey,
  },
  {
    name: 'an order that waits for its claim until late in the stop is refused as not run',
    atMs: MIDDLE_MS,
    request: formatOrder(middleKey),
    isAnswered: false,
    key: middleKey,
    waitMs: 2 * LOG_DELAY_MS,
  },
  {
    name: 'an order that arrives late in the stop is refused as not run',
    atMs: LATE_MS,
    request: formatOrder(lateKey),
    isAnswered: false,
    key: lateKey,
  },
  {
    name: 'an idempotent call that arrives late in the stop is refused as not run',
    atMs: LATE_MS,
    request: formatRequest({
      method: 'PUT',
      path: '/services/booking/hours',
      headers: createHeaders(),
      body: '{}',
    }),
    isAnswered: false,
  },
  {
    name: 'a completion that arrives late in the stop is refused as not run',
    atMs: LATE_MS,
    request: completion,
    isAnswered: false,
  },
];

interface Received {
  readonly text: string;
  /** Time from the last byte of the request to the end of its connection, in milliseconds. */
  readonly closedAfterMs: number;
}

const received = new Map<string, Received>();
let exitCode: number | null = null;

/** Sends all but the last byte of a request before `stopped` and the rest at its time. */
async function send({ name, request, atMs }: Case, stopped: Promise<void>, address: string): Promise<void> {
  const caller = await RawCaller.connect(address);
  caller.write(request.slice(0, -1));
  if (atMs > 0) await stopped.then(() => sleep(atMs));
  caller.write(request.slice(-1));
  const sentAtMs = Date.now();
  await caller.waitForClose(CUT_AFTER_MS + 5_000);
  received.set(name, { text: caller.received, closedAfterMs: (caller.closedAtMs ?? Infinity) - sentAtMs });
}

t.before(async () => {
  await fleet.start();
  const [entry] = fleet.entries;
  if (!entry) throw new Error('The fleet has no entry.');
  const position = await fleet.publish(fleet.createConfiguration() + IDEMPOTENT_ROUTE);
  await fleet.waitUntil(
    'the configuration',
    async () => (await fleet.readStatus(entry))['configuration'] === position,
  );
  await fleet.waitUntil('a group to serve', async () => (await fleet.readServingGroups(entry)).length === 1);
  const exited = new Promise<number | null>((resolve) => entry.child.once('exit', resolve));
  const stopped = sleep(300).then(() => {
    fleet.sendSignal(entry, 'SIGTERM');
  });
  const slowed = stopped
    .then(() => sleep(SLOW_LOG_MS))
    .then(() =>
      fetch(`http://${fleet.log.address}/faults`, {
        method: 'POST',
        body: JSON.stringify({ delayMs: LOG_DELAY_MS }),
      }),
    );
  await Promise.all([slowed, ...cases.map((each) => send(each, stopped, entry.address))]);
  exitCode = await exited;
});
t.teardown(() => fleet.stop());

for (const { name, isAnswered, key, waitMs = 0 } of cases) {
  // Guards against requests that an entry takes late in its stop, passes on and cuts at its end without an answer.
  void t.test(name, (t) => {
    const { text, closedAfterMs } = received.get(name) ?? { text: '', closedAfterMs: Infinity };
    if (isAnswered) {
      t.match(text, /^HTTP\/1\.1 200 /);
      t.match(text, key === undefined ? /\[DONE\]/ : /"orders":/);
    } else {
      t.match(text, /^HTTP\/1\.1 503 /);
      t.match(text, /^retry-after: \d+\r$/im);
      t.match(text, /^connection: close\r$/im);
      t.match(text, /"run":"not-run","reason":"stopping"/);
      t.ok(closedAfterMs < waitMs + REFUSAL_MS, `closed after ${closedAfterMs} ms`);
    }
    const orders = fleet.readJournal().filter((event) => event['key'] === key && event['event'] === 'order');
    if (key !== undefined) t.equal(orders.length, isAnswered ? 1 : 0);
    t.end();
  });
}

void t.test('the stop cuts no request', (t) => {
  t.equal(exitCode, 0);
  t.end();
});
