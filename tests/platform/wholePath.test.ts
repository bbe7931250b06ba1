import t from 'tap';
import { sleep } from '../standins/http.js';
import type { InstanceMode } from './instanceStandin.js';
import { createConfiguration, EVENTS_PER_STREAM, API_KEY, PlatformFleet } from './platformFleet.js';

const platform = new PlatformFleet();
const { fleet, store } = platform;

function runsOf(id: string) {
  return fleet.runs.filter(({ requestId }) => requestId === id);
}

function readIds(text: string): readonly number[] {
  return [...text.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
}

const ALL_IDS = Array.from({ length: EVENTS_PER_STREAM }, (_, index) => index + 1);

function setMode(service: 'plain', mode: InstanceMode): void {
  for (const [id, instance] of fleet.instances) if (id.startsWith(service)) instance.mode = mode;
}

interface PlainCase {
  readonly name: string;
  readonly path: string;
  readonly mode: InstanceMode;
  readonly key?: string;
  readonly status: number;
  readonly runs: number;
  readonly hasRetryAfter?: boolean;
}

const plainCases: readonly PlainCase[] = [
  { name: 'an order is answered', path: '/order/1', mode: 'well', status: 200, runs: 1 },
  {
    name: 'an order that may have run is not retried',
    path: '/order/2',
    mode: 'resets',
    status: 502,
    runs: 1,
  },
  {
    name: 'an answer with the request id of another order is not forwarded',
    path: '/order/3',
    mode: 'wrong-echo',
    status: 502,
    runs: 1,
  },
  {
    name: 'an order that the targets reject is answered as not run',
    path: '/order/4',
    mode: 'full',
    status: 503,
    runs: 0,
    hasRetryAfter: true,
  },
  { name: 'a failed look-up is retried once', path: '/status/1', mode: 'resets', status: 502, runs: 2 },
  {
    name: 'a look-up that the targets reject is answered as not run',
    path: '/status/2',
    mode: 'full',
    status: 503,
    runs: 0,
    hasRetryAfter: true,
  },
  {
    name: 'a request with an unknown key is refused',
    path: '/order/5',
    mode: 'well',
    key: 'stranger',
    status: 401,
    runs: 0,
  },
  {
    name: 'a route without authentication accepts any key',
    path: '/open/1',
    mode: 'well',
    key: 'stranger',
    status: 200,
    runs: 1,
  },
  { name: 'a request without a route is refused', path: '/nowhere/1', mode: 'well', status: 404, runs: 0 },
];

async function silenceOtherMember(head: string | undefined, members: readonly string[]): Promise<void> {
  const memberId = members.find((id) => id !== head);
  fleet.instances.get(memberId ?? '')?.stopAnswering(3_600);
  await sleep(0);
}

void t.test('a node serves requests on the platform', async (t) => {
  await platform.start();
  t.teardown(() => {
    fleet.stop();
    store.stop();
    setTimeout(() => process.exit(), 100);
  });

  for (const [index, testCase] of plainCases.entries()) {
    await t.test(testCase.name, async (t) => {
      setMode('plain', testCase.mode);
      const id = `plain-${index}`;
      const response = await platform.send(testCase.path, {
        id,
        ...(testCase.key === undefined ? {} : { key: testCase.key }),
      });
      const text = await response.text();
      t.equal(response.status, testCase.status);
      t.equal(runsOf(id).length, testCase.runs);
      if (testCase.status === 200) t.equal(text, `${id}:body-of-${id}`);
      if (testCase.status === 200) t.equal(response.headers.get('attempt-id'), id);
      t.equal(response.headers.has('retry-after'), testCase.hasRetryAfter === true);
    });
  }

  await t.test('an answer without a length is forwarded with its own', async (t) => {
    setMode('plain', 'unframed');
    const response = await platform.send('/status/3', { id: 'unframed' });
    const text = await response.text();
    t.equal(response.headers.get('content-length'), String(text.length));
    t.equal(response.headers.get('transfer-encoding'), null);
    t.equal(text, 'unframed:body-of-unframed');
    setMode('plain', 'well');
  });

  await t.test('a stream is complete and run by a whole group, which is told the workspace', async (t) => {
    const response = await platform.send('/stream/1', { id: 'stream-1' });
    t.same(readIds(await response.text()), ALL_IDS);
    t.match(runsOf('stream-1'), [{ isWhole: true, workspace: 'workspace-1' }]);
  });

  await t.test('a stream whose group loses a member is resumed at another group', async (t) => {
    const response = await platform.send('/stream/2', { id: 'stream-2' });
    await sleep(100);
    const [run] = runsOf('stream-2');
    const head = fleet.instances.get(run?.instance ?? '');
    await silenceOtherMember(head?.id, head?.group?.members ?? []);
    t.same(readIds(await response.text()), ALL_IDS);
    t.equal(runsOf('stream-2').length, 2);
    t.equal(
      response.headers.get('server-seal'),
      `seal-of-${head?.id ?? ''}`,
      'the headers are those of the first target',
    );
  });

  await t.test(
    'a broken group is formed again with a substitute, and only whole groups run requests',
    async (t) => {
      await sleep(2_000);
      const open = [...fleet.instances.values()].filter(({ group }) => group?.state === 'open');
      t.equal(open.length, 2);
      t.ok(fleet.runs.every(({ isWhole }) => isWhole));
    },
  );

  await t.test('an order never runs twice', (t) => {
    const counts = new Map<string, number>();
    for (const { requestId } of fleet.runs) counts.set(requestId, (counts.get(requestId) ?? 0) + 1);
    for (const [index, testCase] of plainCases.entries()) {
      if (testCase.path.startsWith('/order/')) t.ok((counts.get(`plain-${index}`) ?? 0) <= 1);
    }
    t.end();
  });

  await t.test('a leaving target gets no new requests', async (t) => {
    fleet.instances.get('plain-1')?.startDraining();
    await sleep(1_500);
    for (const id of ['left-1', 'left-2', 'left-3', 'left-4']) await platform.send('/order/6', { id });
    t.ok(
      fleet.runs
        .filter(({ requestId }) => requestId.startsWith('left-'))
        .every(({ instance }) => instance === 'plain-2'),
    );
  });

  await t.test('a revoked key is refused, also after an older configuration is written', async (t) => {
    store.put('keyed.op', 'config', createConfiguration(3, ['key-2']));
    store.put('keyed.op', 'config', createConfiguration(2, [API_KEY]));
    await sleep(500);
    t.equal((await platform.send('/order/7', { id: 'revoked' })).status, 401);
    t.equal((await platform.send('/order/7', { id: 'granted', key: 'key-2' })).status, 200);
  });

  await t.test('a compacted topic is read again from the newest values', async (t) => {
    store.compact('keyed.op');
    store.compact('keyed.servers');
    store.put('keyed.op', 'config', createConfiguration(4));
    await sleep(2_500);
    t.equal((await platform.send('/order/8', { id: 'compacted' })).status, 200);
  });

  await t.test('keys are not trusted while the store has been unreachable for too long', async (t) => {
    store.mode = 'silent';
    await sleep(5_000);
    const response = await platform.send('/order/9', { id: 'stale' });
    t.equal(response.status, 503);
    t.ok(response.headers.has('retry-after'));
    t.equal((await platform.send('/open/2', { id: 'open-stale' })).status, 200);
    store.mode = 'well';
    await sleep(3_000);
    t.equal((await platform.send('/order/9', { id: 'fresh' })).status, 200);
  });
});
