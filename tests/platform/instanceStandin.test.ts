import t, { type Test } from 'tap';
import { sleep } from '../standins/http.js';
import { InstanceFleet, type InstanceStandin, type Membership } from './instanceStandin.js';
import { StoreStandin } from './storeStandin.js';

const EVENTS_PER_STREAM = 10;
const MEMBERS = ['head', 'member'];
const GROUP = { group: 'old', epoch: 5 };
const OTHER_JOIN = {
  operation: 'join',
  group: 'new',
  epoch: 6,
  model: 'model-a',
  members: ['member', 'head'],
};
const REJOIN = { ...OTHER_JOIN, ...GROUP, members: MEMBERS };

interface Pair {
  readonly head: InstanceStandin;
  readonly member: InstanceStandin;
}

type Order = Readonly<Record<string, unknown>>;

/** Starts the head and the member of a group. */
async function createPair(t: Test, state: Membership['state']) {
  const fleet = new InstanceFleet(new StoreStandin(), EVENTS_PER_STREAM);
  t.teardown(() => {
    fleet.stop();
  });
  const head = await fleet.add('head', 'engines', 'domain-1');
  const member = await fleet.add('member', 'engines', 'domain-1');
  head.setGroup({ name: 'old', epoch: 5, rank: 0, members: MEMBERS, state }, 1);
  member.setGroup({ name: 'old', epoch: 5, rank: 1, members: MEMBERS, state: 'ready' }, 1);
  return { fleet, head, member };
}

async function send(instance: InstanceStandin, order: Order): Promise<number> {
  const response = await fetch(`http://${instance.address}/v1/order`, {
    method: 'POST',
    body: JSON.stringify(order),
  });
  return response.status;
}

async function readOrderCount(instance: InstanceStandin): Promise<number> {
  const response = await fetch(`http://${instance.address}/v1/report`);
  return ((await response.json()) as { readonly seqNo: number }).seqNo;
}

async function startStream(
  instance: InstanceStandin,
  headers: Readonly<Record<string, string>> = {},
): Promise<Response> {
  return fetch(`http://${instance.address}/stream/1`, {
    method: 'POST',
    headers: { 'Attempt-Id': '1', ...headers },
  });
}

function checkHealth(instance: InstanceStandin): Promise<Response> {
  return fetch(`http://${instance.address}/healthz`);
}

async function isRefusingConnections(instance: InstanceStandin): Promise<boolean> {
  return checkHealth(instance).then(
    () => false,
    () => true,
  );
}

const joinCases: readonly {
  readonly name: string;
  readonly state: Membership['state'];
  readonly joins: keyof Pair;
  readonly order?: Order;
  readonly prepare?: (pair: Pair) => unknown;
  readonly violation?: RegExp;
}[] = [
  { name: 'a member, while its head is open', state: 'open', joins: 'member', violation: /of head was open/ },
  { name: 'a head that is open itself', state: 'open', joins: 'head', violation: /of head was open/ },
  {
    name: 'a member, while its head is closing',
    state: 'closing',
    joins: 'member',
    violation: /was closing/,
  },
  { name: 'a head that is closing itself', state: 'closing', joins: 'head', violation: /was closing/ },
  {
    name: 'a member, while its open head is silent',
    state: 'open',
    joins: 'member',
    prepare: ({ head }) => (head.mode = 'dark'),
    violation: /was open/,
  },
  {
    name: 'a head whose member left, before it is broken',
    state: 'open',
    joins: 'head',
    prepare: ({ member }) => send(member, { operation: 'leave', ...GROUP }),
    violation: /was open/,
  },
  {
    name: 'a head whose member crashed, before it is broken',
    state: 'open',
    joins: 'head',
    prepare: ({ member }) => {
      member.stopAnswering(10);
    },
    violation: /was open/,
  },
  {
    name: 'a head whose member crashed, once it is broken',
    state: 'open',
    joins: 'head',
    prepare: async ({ head, member }) => {
      member.stopAnswering(10);
      await startStream(head).catch(() => undefined);
    },
  },
  {
    name: 'a member that left',
    state: 'open',
    joins: 'member',
    prepare: ({ member }) => send(member, { operation: 'leave', ...GROUP }),
  },
  {
    name: 'a member, after its head left',
    state: 'open',
    joins: 'member',
    prepare: ({ head }) => send(head, { operation: 'leave', ...GROUP }),
  },
  {
    name: 'a member, after its head crashed',
    state: 'open',
    joins: 'member',
    prepare: ({ head }) => {
      head.stopAnswering(10);
    },
  },
  {
    name: 'a member, after its head closed',
    state: 'open',
    joins: 'member',
    prepare: ({ head }) => send(head, { operation: 'close', ...GROUP }),
  },
  { name: 'a member, while its head is ready', state: 'ready', joins: 'member' },
  { name: 'a member, while its head is broken', state: 'broken', joins: 'member' },
  { name: 'a member, into its own group', state: 'open', joins: 'member', order: REJOIN },
];

// Guards against instances that join a group while their own still serves, unnoticed by the tests and the soak.
void t.test('the stand-in detects a join while the head of the present group serves', async (t) => {
  for (const { name, state, joins, order = OTHER_JOIN, prepare, violation } of joinCases) {
    await t.test(name, async (t) => {
      const { fleet, ...pair } = await createPair(t, state);
      await prepare?.(pair);
      await send(pair[joins], order);
      if (violation) t.match(fleet.violations, [violation]);
      else t.same(fleet.violations, []);
    });
  }
});

const OPEN = { operation: 'open', ...GROUP };
const CLOSE = { operation: 'close', ...GROUP };
const LEAVE = { operation: 'leave', ...GROUP };

const orderCases: readonly {
  readonly name: string;
  readonly state?: Membership['state'];
  readonly to?: keyof Pair;
  /** An order to the instance before the one under test. */
  readonly before?: Order;
  readonly order: Order;
  readonly status: number;
  readonly isCounted?: boolean;
}[] = [
  { name: 'a join', order: OTHER_JOIN, status: 202, isCounted: true },
  { name: 'a join that is in progress', before: OTHER_JOIN, order: OTHER_JOIN, status: 202 },
  { name: 'a join that is done', order: REJOIN, status: 200 },
  { name: 'a join of its group with other members', order: { ...OTHER_JOIN, ...GROUP }, status: 412 },
  { name: 'a join of an earlier epoch', order: { ...OTHER_JOIN, epoch: 4 }, status: 412 },
  { name: 'open', order: OPEN, status: 202, isCounted: true },
  { name: 'open, while it opens', before: OPEN, order: OPEN, status: 202 },
  { name: 'open, when it is open', state: 'open', order: OPEN, status: 200 },
  { name: 'open, while it joins', state: 'joining', order: OPEN, status: 409 },
  { name: 'open, to a member', to: 'member', order: OPEN, status: 409 },
  { name: 'open of another group', order: { ...OPEN, epoch: 6 }, status: 409 },
  { name: 'close', state: 'open', order: CLOSE, status: 202, isCounted: true },
  { name: 'close, when it is ready', order: CLOSE, status: 200 },
  { name: 'close, to a member', to: 'member', order: CLOSE, status: 409 },
  { name: 'leave', order: LEAVE, status: 200, isCounted: true },
  { name: 'leave of a group that it has left', before: LEAVE, order: LEAVE, status: 200 },
  { name: 'leave of another group', order: { ...LEAVE, group: 'new' }, status: 200 },
  { name: 'leave with an earlier count', order: { ...LEAVE, expected: 0 }, status: 409 },
];

// Guards against tests that pass with engines that answer orders otherwise than those in use.
void t.test('the stand-in answers and counts orders as engines do', async (t) => {
  for (const { name, state = 'ready', to = 'head', before, order, status, isCounted = false } of orderCases) {
    await t.test(name, async (t) => {
      const { [to]: instance } = await createPair(t, state);
      if (before) await send(instance, before);
      const count = await readOrderCount(instance);
      t.equal(await send(instance, order), status);
      t.equal(await readOrderCount(instance), isCounted ? count + 1 : count);
    });
  }
});

void t.test('a head opens some time after the order, and closes when its requests have ended', async (t) => {
  const { head, member } = await createPair(t, 'ready');
  await send(head, OPEN);
  t.equal(head.group?.state, 'ready');
  await sleep(200);
  t.equal(head.group?.state, 'open');
  t.equal((await startStream(member)).status, 421);
  const response = await startStream(head);
  await send(head, CLOSE);
  t.equal(head.group?.state, 'closing');
  t.equal((await startStream(head)).status, 503);
  await response.text();
  await sleep(20);
  t.equal(head.group?.state, 'ready');
});

const refusalCases: readonly {
  readonly name: string;
  readonly to?: keyof Pair;
  readonly headers?: Readonly<Record<string, string>>;
  readonly prepare?: (pair: Pair) => unknown;
  readonly status: number;
  readonly atFault: keyof Pair;
}[] = [
  { name: 'a head that is full', prepare: ({ head }) => (head.slots = 0), status: 503, atFault: 'head' },
  {
    name: 'a head that is not open',
    prepare: ({ head }) => send(head, CLOSE),
    status: 503,
    atFault: 'head',
  },
  { name: 'a member', to: 'member', status: 421, atFault: 'member' },
  { name: 'another instance', headers: { 'Expect-Instance': 'other' }, status: 421, atFault: 'head' },
  {
    name: 'a head whose member has left and exited',
    prepare: ({ member }) => member.leaveUnlisted(0),
    status: 503,
    atFault: 'member',
  },
  {
    name: 'a head whose group is broken',
    prepare: async ({ head, member }) => {
      member.stopAnswering(10);
      await startStream(head).catch(() => undefined);
    },
    status: 503,
    atFault: 'member',
  },
];

// Guards against tests in which a refusal names no instance, so that one that names the head itself is never tried.
void t.test('the stand-in names the instance at fault when it refuses a request', async (t) => {
  for (const { name, to = 'head', headers, prepare, status, atFault } of refusalCases) {
    await t.test(name, async (t) => {
      const pair = await createPair(t, 'open');
      await prepare?.(pair);
      const response = await startStream(pair[to], headers);
      t.equal(response.status, status);
      t.equal(response.headers.get('At-Server'), pair[atFault].publicAddress);
    });
  }
});

void t.test('a member leaves unlisted: it serves on while its head has requests, then exits', async (t) => {
  const { fleet, head, member } = await createPair(t, 'open');
  member.announce();
  t.equal((await checkHealth(member)).status, 200);
  fleet.pauseBefore = () => 60;
  const stream = await startStream(head);
  const left = member.leaveUnlisted(100);
  t.notOk(fleet.store.listKeys('keyed.servers').includes('member'));
  const health = await checkHealth(member);
  t.equal(health.status, 503);
  t.equal(health.headers.get('Replica-Id'), 'member');
  t.equal(health.headers.get('Connection'), 'close');
  await sleep(200);
  t.equal(await readOrderCount(member), 1, 'it still answers reports');
  t.equal((await stream.text()).match(/^id:/gm)?.length, EVENTS_PER_STREAM, 'the stream is complete');
  await left;
  t.ok(await isRefusingConnections(member));
  t.notOk(fleet.store.listKeys('keyed.servers').includes('member'));
});

void t.test(
  'a health check of a full head is refused as a request, and that of its member is not',
  async (t) => {
    const { head, member } = await createPair(t, 'open');
    head.slots = 0;
    const response = await checkHealth(head);
    t.equal(response.status, 503);
    t.equal(response.headers.get('Not-Executed'), '1');
    t.equal((await checkHealth(member)).status, 200);
  },
);
