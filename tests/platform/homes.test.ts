import { type AskMessage, Placement, type ReportMessage, type GrantMessage } from '@monsoonreach/node';
import t from 'tap';
import { sleep } from '../standins/http.js';
import { type RawHandler, RawCaller, RawTarget, readHeader } from '../support/rawHttp.js';
import { createConfiguration, createEntry, RawFleet, type RoutePrefix } from './rawFleet.js';

const MODEL = 'model-a';
const NORTH_ONLY_KEY = 'key-north';
const EAST_ONLY_KEY = 'key-east';
const REGIONS = { 'zone-1': 'north', 'zone-2': 'north', 'zone-3': 'south' };
/** Targets at home are in this failure domain; the nodes and the others are in `zone-3`, which nodes prefer. */
const HOME_DOMAIN = 'zone-1';
const OTHER_DOMAIN = 'zone-3';

/** The routes of a raw fleet, and `/engine/` for groups; those below `/home/` have the home region `north`. */
function createHomesConfiguration(): unknown {
  const configuration = createConfiguration(1);
  const [, , stream] = configuration.routes;
  const engine = { ...stream, name: 'engine', pathPrefix: '/engine/', service: 'engines' };
  const routes = [...configuration.routes, engine];
  const homes = routes.map((route) => ({
    ...route,
    name: `home${route.name}`,
    pathPrefix: `/home${route.pathPrefix}`,
    allowedRegions: ['north'],
  }));
  return {
    ...configuration,
    routes: [...routes, ...homes],
    services: [
      ...configuration.services,
      {
        name: 'engines',
        maxConnections: 50,
        engine: {
          slots: 8,
          kvCapacityTokens: 100_000,
          models: [{ name: MODEL, size: 1 }],
          step_ms: 5,
          per_seq_ms: 0.1,
          context_per_k: 0,
          read_per_s: 50_000,
          usual: { prompt: 100, answer: 40 },
        },
      },
    ],
    tenants: [
      ...configuration.tenants,
      { name: 'workspace-north', apiKeys: [NORTH_ONLY_KEY], allowedRegions: ['north'] },
      { name: 'workspace-east', apiKeys: [EAST_ONLY_KEY], allowedRegions: ['east'] },
    ],
  };
}

const fleet = new RawFleet({
  configuration: createHomesConfiguration(),
  nodeDomain: OTHER_DOMAIN,
  regions: REGIONS,
});
const other = new RawTarget();
/** Heads of groups of one instance each: two at home, and one elsewhere. */
const heads = [new RawTarget(), new RawTarget(), new RawTarget()] as const;
const [, , otherHead] = heads;

const toHead = (id: string) => `HTTP/1.1 200 OK\r\nServer-Seal: s\r\nAttempt-Id: ${id}\r\n`;
const toEvent = (id: number) => {
  const text = `id: ${id}\ndata: ${id}\n\n`;
  return `${text.length.toString(16)}\r\n${text}\r\n`;
};
const answerPlain: RawHandler = ({ socket, id }) => {
  socket.write(`${toHead(id)}Content-Length: 2\r\n\r\nok`);
};
/** Sends the events after the last one that the request names, up to the third. */
const answerStream: RawHandler = ({ socket, id, head }) => {
  const last = Number(readHeader(head, 'last-event-id') ?? 0);
  const events = [1, 2, 3].filter((event) => event > last).map(toEvent);
  socket.write(`${toHead(id)}Transfer-Encoding: chunked\r\n\r\n${events.join('')}0\r\n\r\n`);
};

/** Lets the first target that gets a request handle it with `handleFirst`, and all others with `handle`. */
function setFirst(targets: readonly RawTarget[], handleFirst: RawHandler, handle: RawHandler): void {
  let isFirst = true;
  for (const target of targets)
    target.reset((request) => {
      if (request.id === '') {
        request.socket.end('HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n');
        return;
      }
      const chosen = isFirst ? handleFirst : handle;
      isFirst = false;
      chosen(request);
    });
}

/** Requests of callers that a target has received; nodes ask it other things as well. */
const countRequests = (target: RawTarget) => target.requests.filter(({ id }) => id !== '').length;

async function readCounter(metrics: string, name: string): Promise<number> {
  const text = await (await fetch(metrics)).text();
  return text
    .split('\n')
    .filter((line) => line.startsWith(name))
    .reduce((sum, line) => sum + Number(line.split(' ').at(-1)), 0);
}

interface HomeCase {
  readonly name: string;
  readonly route: RoutePrefix;
  readonly handleFirst: RawHandler;
  readonly handle: RawHandler;
  readonly headers?: string;
  readonly status: number;
}

const breakAfterOneEvent: RawHandler = ({ socket, id }) => {
  socket.write(`${toHead(id)}Transfer-Encoding: chunked\r\n\r\n${toEvent(1)}`);
  setTimeout(() => socket.resetAndDestroy(), 20);
};
const reset: RawHandler = ({ socket }) => socket.resetAndDestroy();
const silent: RawHandler = () => undefined;

const homeCases: readonly HomeCase[] = [
  {
    name: 'a first attempt',
    route: '/status/',
    handleFirst: answerPlain,
    handle: answerPlain,
    status: 200,
  },
  {
    name: 'a first attempt that may not be repeated',
    route: '/order/',
    handleFirst: answerPlain,
    handle: answerPlain,
    status: 200,
  },
  { name: 'a retry', route: '/status/', handleFirst: reset, handle: answerPlain, status: 200 },
  {
    name: 'retries while none at home answers',
    route: '/status/',
    handleFirst: reset,
    handle: reset,
    status: 502,
  },
  {
    name: 'a resumed stream',
    route: '/stream/',
    handleFirst: breakAfterOneEvent,
    handle: answerStream,
    status: 200,
  },
  {
    name: 'a stream that its caller resumes',
    route: '/stream/',
    handleFirst: answerStream,
    handle: answerStream,
    headers: 'Last-Event-Id: 2\r\n',
    status: 200,
  },
  {
    name: 'the second attempt of a silent stream',
    route: '/stream/',
    handleFirst: silent,
    handle: answerStream,
    status: 200,
  },
];

const metrics: string[] = [];
const addresses: string[] = [];

void t.test('requests with home regions', async (t) => {
  t.teardown(() => {
    fleet.store.stop();
    setTimeout(() => process.exit(), 100);
  });
  await fleet.start();
  const second = await fleet.startNode('node-2');
  while (!(await second.isReady())) await sleep(50);
  addresses.push(fleet.address, second.address);
  metrics.push(fleet.metrics, second.metrics);
  await other.start();
  fleet.store.put('keyed.servers', 'plain-3', createEntry(other.address, 10, OTHER_DOMAIN));
  for (const [index, head] of heads.entries()) {
    await head.start();
    fleet.store.put('keyed.servers', `engine-${index}`, {
      ...createEntry(head.address, 20 + index, head === otherHead ? OTHER_DOMAIN : HOME_DOMAIN),
      service: 'engines',
      domain: 1,
      staged: [MODEL],
      models: [{ name: MODEL }],
      group: { name: `${MODEL}.0-${index + 1}`, epoch: index + 1, rank: 0, state: 'open' },
    });
  }
  await sleep(2_500);
  const [homeTarget, secondHomeTarget] = fleet.targets;
  const plainTargets = [homeTarget, secondHomeTarget, other];

  const send = (
    address: string,
    path: string,
    { headers = '', key }: { readonly headers?: string; readonly key?: string } = {},
  ) => {
    const model = path.includes('/engine/') ? `Model: ${MODEL}\r\nToken-Count: 10,10\r\n` : '';
    const head = fleet.createHead('/status/', {
      headers: `Content-Length: 2\r\nConnection: close\r\n${model}${headers}`,
      ...(key === undefined ? {} : { key }),
    });
    return new RawCaller(address).exchange(`${head.replace('POST /status/1', `POST ${path}`)}{}`);
  };

  // Guards against the other cases passing because nothing would ever choose the target elsewhere.
  await t.test('requests without homes reach the target elsewhere', async (t) => {
    setFirst(plainTargets, answerPlain, answerPlain);
    for (let index = 0; index < 10; index++) t.equal((await send(fleet.address, '/status/1')).status, 200);
    t.ok(countRequests(other) > 0, `${countRequests(other)} requests`);
  });

  for (const { name, route, handleFirst, handle, headers = '', status } of homeCases) {
    // Guards against an attempt of a request at a target outside of its home regions.
    await t.test(`stay in them: ${name}`, async (t) => {
      for (const address of addresses) {
        for (const { path, key } of [
          { path: `/home${route}1` },
          { path: `${route}1`, key: NORTH_ONLY_KEY },
        ]) {
          setFirst(plainTargets, handleFirst, handle);
          await sleep(30);
          const answer = await send(address, path, key === undefined ? { headers } : { headers, key });
          t.equal(answer.status, status, path);
          t.equal(answer.isComplete, true, path);
          t.equal(countRequests(other), 0, `${path}: requests elsewhere`);
          t.ok(countRequests(homeTarget) + countRequests(secondHomeTarget) > 0, path);
        }
      }
    });
  }

  // Guards against a request that is repeated elsewhere because its connection had been closed.
  await t.test('stay in them: a repeat on a new connection', async (t) => {
    for (const target of plainTargets)
      target.reset((request) => {
        if (request.ordinal === 1) answerPlain(request);
        else request.socket.destroy();
      });
    for (let index = 0; index < 10; index++)
      t.equal((await send(fleet.address, '/home/status/1')).status, 200);
    t.ok(
      fleet.targets.some(({ requests }) => requests.some(({ ordinal }) => ordinal > 1)),
      'a closed connection was used',
    );
    t.equal(countRequests(other), 0);
  });

  const refusalCases = [
    { name: 'the workspace has another home than the route', path: '/home/status/1', key: EAST_ONLY_KEY },
    { name: 'no plain target is at home', path: '/status/1', key: EAST_ONLY_KEY },
    { name: 'no group is at home', path: '/engine/1', key: EAST_ONLY_KEY },
  ];
  for (const { name, path, key } of refusalCases) {
    // Guards against a request that waits for its timeout, or is sent elsewhere, because no target is at home.
    await t.test(`are refused as not run: ${name}`, async (t) => {
      setFirst([...plainTargets, ...heads], answerPlain, answerPlain);
      const before = await readCounter(fleet.metrics, 'monsoonreach_no_target_in_homes_total');
      const answer = await send(fleet.address, path, { key });
      t.equal(answer.status, 503);
      t.match(answer.body, /"reason":"no-target-in-homes","run":"not-run"/);
      t.ok(answer.durationMs < 1_000, `${answer.durationMs} ms`);
      t.equal(
        [...plainTargets, ...heads].reduce((sum, target) => sum + countRequests(target), 0),
        0,
      );
      t.equal(await readCounter(fleet.metrics, 'monsoonreach_no_target_in_homes_total'), before + 1);
    });
  }

  const sendToGroups = async (path: string) => {
    setFirst(heads, answerStream, answerStream);
    const answers = [];
    for (let index = 0; index < 10; index++)
      for (const address of addresses) answers.push(await send(address, path));
    return answers;
  };
  const countOutsideGrants = async () =>
    (await readCounter(metrics[0] ?? '', 'monsoonreach_grants_outside_homes_total')) +
    (await readCounter(metrics[1] ?? '', 'monsoonreach_grants_outside_homes_total'));

  await t.test('groups: requests without homes reach the group elsewhere', async (t) => {
    for (const { status } of await sendToGroups('/engine/1')) t.equal(status, 200);
    t.ok(countRequests(otherHead) > 0);
  });

  // Guards against an owner that assigns a group outside of the homes of a peer's request.
  await t.test('groups: owners assign those at home', async (t) => {
    for (const { status } of await sendToGroups('/home/engine/1')) t.equal(status, 200);
    t.equal(countRequests(otherHead), 0);
    t.equal(await countOutsideGrants(), 0);
  });

  // Guards against a grant of an owner of an earlier version that is used without a check.
  await t.test('groups: a grant outside of the homes is not used', async (t) => {
    const { receive } = Placement.prototype;
    Placement.prototype.receive = function (message: ReportMessage | AskMessage | GrantMessage) {
      receive.call(this, message.kind === 'ask' ? { ...message, allowedDomains: undefined } : message);
    };
    t.teardown(() => {
      Placement.prototype.receive = receive;
    });
    for (const { status } of await sendToGroups('/home/engine/1')) t.equal(status, 200);
    t.equal(countRequests(otherHead), 0);
    t.ok((await countOutsideGrants()) > 0, 'an owner granted the group elsewhere');
  });

  // Guards against a group's stream that goes on elsewhere after its first group was lost.
  await t.test('groups: a resumed stream stays at home', async (t) => {
    for (const address of addresses) {
      setFirst(heads, breakAfterOneEvent, answerStream);
      const answer = await send(address, '/home/engine/1');
      t.equal(answer.status, 200);
      t.equal(answer.body, 'id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n');
      t.equal(countRequests(otherHead), 0);
      await sleep(1_500);
    }
  });
});
