import { createSocket } from 'node:dgram';
import { systemClock } from '@monsoonreach/core';
import t from 'tap';
import { type RawNode, RawFleet } from '../platform/rawFleet.js';
import { sleep } from '../standins/http.js';
import { findFreePorts } from '../support/ports.js';
import { answerShortly, RawCaller } from '../support/rawHttp.js';

const fleet = new RawFleet();
/** Time from the silence of the store to the request, in milliseconds: 4.2 s after the last contact that any case proves. */
const SILENCE_MS = 8_000;
const DIGEST_INTERVAL_MS = 100;
/** Time for which a node is left with its store, in milliseconds. */
const RECOVERY_MS = 2_500;

interface Ping {
  readonly kind: string;
  readonly address: string;
  readonly question?: unknown;
}

/** How a peer answers questions. */
interface Pongs {
  /** Time for which an answer is on its way, in milliseconds. */
  readonly delayMs: number;
  /** Time from the start in which questions are answered, in milliseconds. */
  readonly forMs: number;
}

/** A peer that always claims contact with the store at the moment at which its messages arrive. */
async function startPeer(name: string, node: RawNode, pongs: Pongs | undefined): Promise<() => void> {
  const [port = 0] = await findFreePorts(1);
  const socket = createSocket('udp4');
  const member = [name, 'start-1', `127.0.0.1:${port}`, 'zone-1', 1];
  const state = { storeAgeMs: 0, configurationVersion: 1, isLeaving: false };
  const send = (message: object, address: string) => {
    const [host, to] = address.split(':');
    socket.send(JSON.stringify({ version: 2, member, ...state, ...message }), Number(to), host);
  };
  socket.on('message', (bytes) => {
    const { kind, address, question } = JSON.parse(bytes.toString()) as Ping;
    if (kind !== 'ping' || !pongs || systemClock.monotonic() > startedAtMs + pongs.forMs) return;
    setTimeout(() => {
      if (isOpen) send({ kind: 'pong', question }, address);
    }, pongs.delayMs);
  });
  let sequence = 0;
  let isOpen = true;
  const startedAtMs = systemClock.monotonic();
  socket.bind(port, '127.0.0.1');
  const timer = setInterval(() => {
    send(
      {
        kind: 'digest',
        sequence: ++sequence,
        isFirstHand: true,
        hasTraffic: false,
        ownershipStamp: 0,
        heard: [],
        members: [],
      },
      node.peers,
    );
  }, DIGEST_INTERVAL_MS);
  return () => {
    isOpen = false;
    clearInterval(timer);
    socket.close();
  };
}

const cases: readonly {
  readonly name: string;
  readonly pongs?: Pongs;
  readonly status: number;
}[] = [
  { name: 'digests of any age', status: 503 },
  { name: 'late answers', pongs: { delayMs: 3_500, forMs: 3_500 }, status: 503 },
  { name: 'answers in time', pongs: { delayMs: 10, forMs: Infinity }, status: 200 },
];

async function send(node: RawNode): Promise<number> {
  return (await new RawCaller(node.address).exchange(`${fleet.createHead('/status/')}{}`)).status;
}

void t.test('keys of a node without a store, whose peer tells of contact with it', async (t) => {
  t.teardown(() => {
    fleet.store.stop();
    setTimeout(() => process.exit(), 100);
  });
  await fleet.start();
  await fleet.setHandler(answerShortly);
  const node = await fleet.startNode('node-2');
  while (!(await node.isReady())) await sleep(50);
  for (const { name, pongs, status } of cases) {
    // Guards against keys that are accepted after their end because old news of a peer were taken for fresh.
    await t.test(`${name}: ${status}`, async (t) => {
      await sleep(RECOVERY_MS);
      t.equal(await send(node), 200);
      const stop = await startPeer(`peer-${name}`, node, pongs);
      fleet.store.mode = 'silent';
      const silentSinceMs = systemClock.monotonic();
      while (systemClock.monotonic() < silentSinceMs + SILENCE_MS) await sleep(20);
      t.equal(await send(node), status);
      stop();
      fleet.store.mode = 'well';
    });
  }
});
