import t from 'tap';
import { sleep } from '../standins/http.js';
import { RawCaller, type RawHandler, RawTarget } from '../support/rawHttp.js';
import { createEntry, RawFleet, type RawNode } from './rawFleet.js';

/** Time from an order until no request may reach its zone; the first second of it is that of the first phase. */
const BOUND_MS = 3_500;
/** Interval between two requests to each node. */
const SEND_INTERVAL_MS = 40;
const ZONES = ['zone-1', 'zone-2', 'zone-3'] as const;

type Zone = (typeof ZONES)[number];

const fleet = new RawFleet();
// The nodes are in no zone of a target, so that all targets are used alike.
fleet.settings = { domain: 'zone-0', evacuation: `${BOUND_MS}ms` };
const targets: Readonly<Record<Zone, RawTarget>> = {
  'zone-1': fleet.targets[0],
  'zone-2': fleet.targets[1],
  'zone-3': new RawTarget(),
};
/** Monotonic times at which requests reached each zone, in milliseconds. */
const arrivals: Record<Zone, number[]> = { 'zone-1': [], 'zone-2': [], 'zone-3': [] };
const nodes: RawNode[] = [];
const statuses: number[] = [];
let isSending = true;

const answer =
  (zone: Zone): RawHandler =>
  ({ socket, id }) => {
    arrivals[zone].push(performance.now());
    socket.write(`HTTP/1.1 200 OK\r\nServer-Seal: s\r\nAttempt-Id: ${id}\r\nContent-Length: 2\r\n\r\nok`);
  };

function announce(zone: Zone): void {
  const entry = createEntry(targets[zone].address, 10) as Readonly<Record<string, unknown>>;
  fleet.store.put('keyed.servers', `plain-${ZONES.indexOf(zone) + 1}`, { ...entry, zone });
}

async function startNode(name: string): Promise<RawNode> {
  const node = await fleet.startNode(name);
  while (!(await node.isReady())) await sleep(20);
  nodes.push(node);
  return node;
}

/** Sends requests to all nodes until the test ends. */
async function sendRequests(): Promise<void> {
  while (isSending) {
    for (const { address } of nodes) {
      void new RawCaller(address)
        .exchange(`${fleet.createHead('/status/')}{}`)
        .then(({ status }) => statuses.push(status));
    }
    await sleep(SEND_INTERVAL_MS);
  }
}

/** Writes an order, or with `undefined` a revocation; returns the time of the acknowledgement. */
function write(zone: Zone, value: unknown = {}): number {
  fleet.store.put('keyed.op', `evacuate/${zone}`, value);
  return performance.now();
}

const revoke = (zone: Zone) => fleet.store.put('keyed.op', `evacuate/${zone}`, undefined);

const countSince = (zone: Zone, sinceMs: number) => arrivals[zone].filter((atMs) => atMs >= sinceMs).length;

async function readMetrics(node: RawNode): Promise<string> {
  return (await fetch(node.metrics)).text();
}

void t.test('evacuation of zones while requests run', async (t) => {
  await targets['zone-3'].start();
  await fleet.start();
  nodes.push({ address: fleet.address, metrics: '', peers: '', isReady: () => Promise.resolve(true) });
  await startNode('node-2');
  for (const zone of ZONES) {
    targets[zone].handle = answer(zone);
    announce(zone);
  }
  await sleep(1_500);
  void sendRequests();
  t.teardown(() => {
    isSending = false;
    fleet.store.stop();
    setTimeout(() => process.exit(), 200);
  });
  await sleep(500);
  for (const zone of ZONES) t.ok(countSince(zone, 0) > 0, `${zone} is used`);

  // Guards against requests in a zone after the bound, and against requests in progress that are broken off.
  await t.test('requests move away in time, and those in progress are finished', async (t) => {
    const held = new Promise<void>((resolve) => {
      targets['zone-2'].handle = ({ socket, id, head }) => {
        if (!head.startsWith('POST /stream/')) {
          answer('zone-2')({ socket, id, head, ordinal: 1 });
          return;
        }
        const head200 = 'HTTP/1.1 200 OK\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n';
        socket.write(`${head200}Attempt-Id: ${id}\r\n\r\n`);
        const sendEvent = (event: number) => {
          const text = `id: ${event}\ndata: ${event}\n\n`;
          socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
          if (event < 20) setTimeout(sendEvent, 100, event + 1);
          else socket.write('0\r\n\r\n');
        };
        sendEvent(1);
        resolve();
      };
    });
    const streams = Array.from({ length: 12 }, () => fleet.send('/stream/', 4_000));
    await held;
    const orderedAtMs = write('zone-2');
    await sleep(500);
    t.match(await readMetrics(nodes[1] as RawNode), /^monsoonreach_evacuated_domains 1$/m);
    await sleep(BOUND_MS - 500);
    const answers = await Promise.all(streams);
    const whole = answers.filter(({ body }) => body.includes('data: 20\n'));
    t.ok(whole.length > 0, 'streams in the zone are finished');
    await sleep(1_000);
    t.equal(countSince('zone-2', orderedAtMs + BOUND_MS), 0);
    t.ok(countSince('zone-1', orderedAtMs + BOUND_MS) > 0);
    t.match(
      await readMetrics(nodes[1] as RawNode),
      /^monsoonreach_evacuated_requests\{failureDomain="zone-2"\} 0$/m,
    );
  });

  // Guards against a node that starts later, when the record is no longer in the log, and uses the zone.
  await t.test('a node that starts excludes the zone at once', async (t) => {
    fleet.store.compact('keyed.op');
    const startedAtMs = performance.now();
    fleet.settings = { ...fleet.settings, isFirstStart: false };
    await startNode('node-3');
    await sleep(1_000);
    t.equal(countSince('zone-2', startedAtMs), 0);
  });

  // Guards against an order that replaces the one before, and a repeated order that starts the first phase again.
  await t.test('two zones are evacuated at once, and an order is repeated', async (t) => {
    const orderedAtMs = write('zone-3');
    write('zone-2');
    await sleep(BOUND_MS + 1_000);
    t.equal(countSince('zone-2', orderedAtMs), 0);
    t.equal(countSince('zone-3', orderedAtMs + BOUND_MS), 0);
    t.ok(countSince('zone-1', orderedAtMs + BOUND_MS) > 0);
  });

  // Guards against a zone that stays unused after its return, and one that is not emptied a second time.
  await t.test('a zone is returned and evacuated again', async (t) => {
    const revokedAtMs = performance.now();
    revoke('zone-2');
    await sleep(1_500);
    t.ok(countSince('zone-2', revokedAtMs) > 0, 'it is used again');
    t.equal(countSince('zone-3', revokedAtMs), 0);
    const orderedAtMs = write('zone-2');
    await sleep(BOUND_MS + 1_000);
    t.equal(countSince('zone-2', orderedAtMs + BOUND_MS), 0);
    t.equal(countSince('zone-3', orderedAtMs), 0);
  });

  t.ok(
    statuses.every((status) => status === 200),
    `no request fails while a zone is left: ${[...new Set(statuses)].join(' ')}`,
  );

  // Guards against requests that wait for a target or reach one when every zone is evacuated.
  await t.test('requests are refused when no zone is left', async (t) => {
    const orderedAtMs = write('zone-1');
    await sleep(BOUND_MS + 300);
    const { status, body } = await fleet.send('/status/');
    t.equal(status, 503);
    t.match(body, /"reason":"evacuated"/);
    t.match(body, /"run":"not-run"/);
    for (const zone of ZONES) t.equal(countSince(zone, orderedAtMs + BOUND_MS), 0, zone);
    t.match(
      await readMetrics(nodes[1] as RawNode),
      /^monsoonreach_refusals_total\{reason="evacuated"\} [1-9]/m,
    );
    for (const zone of ZONES) revoke(zone);
    await sleep(1_000);
    t.equal((await fleet.send('/status/')).status, 200);
    t.match(await readMetrics(nodes[1] as RawNode), /^monsoonreach_evacuated_domains 0$/m);
  });

  // Guards against a node that was disconnected and takes the order that it then reads for a new one.
  await t.test('an order from the time of a disconnection excludes as soon as it is read', async (t) => {
    const node = nodes[1] as RawNode;
    fleet.store.failsWaitingReads = true;
    fleet.store.mode = 'silent';
    for (const zone of ZONES) write(zone);
    await sleep(3_000);
    t.match(await readMetrics(node), /^monsoonreach_evacuated_domains 0$/m, 'the last known state holds');
    fleet.store.mode = 'well';
    for (let waitedMs = 0; waitedMs < 3_000; waitedMs += 20) {
      if (/^monsoonreach_evacuated_domains 3$/m.test(await readMetrics(node))) break;
      await sleep(20);
    }
    const { status, body } = await new RawCaller(node.address).exchange(`${fleet.createHead('/status/')}{}`);
    t.equal(status, 503);
    t.match(body, /"reason":"evacuated"/);
  });
});
