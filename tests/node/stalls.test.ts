import { createSocket } from 'node:dgram';
import { createMemberId, createRandom, systemClock } from '@monsoonreach/core';
import { PeerExchange } from '@monsoonreach/node';
import t from 'tap';
import { sleep } from '../standins/http.js';
import { createInstanceList } from '../support/instanceList.js';
import { findFreePorts } from '../support/ports.js';

/** Time in which a datagram arrives, in milliseconds. */
const ARRIVAL_MS = 30;
/** Time after a stall from which on what arrives is fresh, in milliseconds. */
const RESUMED_MS = 500;

/** What both nodes tell of themselves. */
const STATE = {
  storeAgeMs: 0,
  isFirstHand: true,
  configurationVersion: 1,
  isLeaving: false,
  hasTraffic: true,
  ownershipStamp: 0,
  crashes: [],
  removed: [],
};

const cases: readonly {
  readonly name: string;
  /** By how much the clocks have gone on when the process runs again, in milliseconds. */
  readonly monotonicMs: number;
  readonly wallMs: number;
  readonly isRead: boolean;
}[] = [
  { name: 'no stall', monotonicMs: 0, wallMs: 0, isRead: true },
  { name: 'a short stall', monotonicMs: 400, wallMs: 400, isRead: true },
  { name: 'a freeze', monotonicMs: 4_000, wallMs: 4_000, isRead: false },
  {
    name: 'a suspension, in which the monotonic clock stands still',
    monotonicMs: 0,
    wallMs: 4_000,
    isRead: false,
  },
];

// Guards against news that waited while the process stood still and count as fresh.
for (const { name, monotonicMs, wallMs, isRead } of cases) {
  void t.test(`a digest that arrived before the end of ${name}`, async (t) => {
    let [skippedMs, steppedMs] = [0, 0];
    const clock = {
      now: () => systemClock.now() + steppedMs,
      monotonic: () => systemClock.monotonic() + skippedMs,
    };
    const [port = 0, peerPort = 0] = await findFreePorts(2);
    const { log, counters } = createInstanceList({ node: 'node-1' });
    const received: number[] = [];
    const exchange = new PeerExchange({
      self: {
        node: 'node-1',
        id: createMemberId('node-1', '1'),
        address: `127.0.0.1:${port}`,
        failureDomain: 'zone-1',
        capacity: 1,
      },
      clock,
      random: createRandom(1),
      counters,
      log,
      owners: () => new Set(),
      describeState: () => STATE,
      onDigest: ({ sequence }) => received.push(sequence),
      onContact: () => undefined,
      onMessage: () => undefined,
    });
    const peer = createSocket('udp4');
    const send = (sequence: number) => {
      const digest = {
        version: 2,
        kind: 'digest',
        member: ['node-2', 'start-1', `127.0.0.1:${peerPort}`, 'zone-1', 1],
        sequence,
        ...STATE,
        heard: [],
        members: [],
      };
      peer.send(JSON.stringify(digest), port, '127.0.0.1');
    };
    await exchange.start();
    t.teardown(() => {
      exchange.stop();
      peer.close();
    });
    send(1);
    await sleep(RESUMED_MS);
    t.same(received, [1]);
    skippedMs = monotonicMs;
    steppedMs = wallMs;
    send(2);
    await sleep(ARRIVAL_MS);
    t.same(received, isRead ? [1, 2] : [1]);
    await sleep(RESUMED_MS);
    send(3);
    await sleep(ARRIVAL_MS);
    t.equal(received.at(-1), 3);
  });
}
