import { Counters, createRandom, type FallbackCandidate, systemClock } from '@monsoonreach/core';
import { DecisionLog, KeyedFollower, StoreHistory, TopicServer, TopicSources } from '@monsoonreach/node';
import { StoreClient } from '@monsoonreach/platform';
import { StoreStandin } from '../platform/storeStandin.js';
import { FaultProxy } from '../soak/faultProxy.js';
import { sleep } from '../standins/http.js';
import { findFreePorts } from '../support/ports.js';

/** Topic that the nodes follow. */
export const TOPIC = 'keyed.test';
/** Failure domain of all nodes. */
export const DOMAIN = 'zone-1';
/** Wait of the followers' reads unless a test sets it, in milliseconds. */
const DEFAULT_WAIT_MS = 300;

/** A node that follows one topic and serves it to its peers. */
export class TopicNode {
  readonly values = new Map<string, string>();
  peers: () => readonly FallbackCandidate[] = () => [];
  contactAtMs = -Infinity;
  /** Pause between two reads of the store, in milliseconds. */
  intervalMs = 0;
  readonly counters = new Counters();
  /** Passes on the requests of peers. */
  readonly link: FaultProxy;
  private readonly _follower: KeyedFollower;
  private readonly _server: TopicServer;

  constructor(
    readonly name: string,
    readonly address: string,
    readonly store: StoreStandin,
    options: { readonly storeAddress: string; readonly ownAddress: string; readonly waitMs: number },
  ) {
    const { storeAddress, ownAddress, waitMs } = options;
    const log = new DecisionLog(name, 'hidden', systemClock, this.counters);
    const history = new StoreHistory({ clock: systemClock, log });
    const sources = new TopicSources({
      self: { node: name, address, failureDomain: DOMAIN },
      store: new StoreClient(storeAddress, {
        onEra: (era) => {
          history.observe(era);
        },
      }),
      history,
      clock: systemClock,
      counters: this.counters,
      log,
      nodes: () => [this.toPeer(), ...this.peers()].sort((a, b) => (a.node < b.node ? -1 : 1)),
      peers: () => this.peers(),
      owners: () => new Set(),
    });
    const applyRecords = (
      records: readonly { readonly key: string; readonly value: Uint8Array | undefined }[],
    ) => {
      for (const { key, value } of records) this.values.set(key, Buffer.from(value ?? []).toString('utf8'));
    };
    this._follower = new KeyedFollower({
      topic: TOPIC,
      sources,
      clock: systemClock,
      random: createRandom(1),
      log,
      waitMs: () => waitMs,
      peerWaitMs: () => waitMs,
      intervalMs: () => this.intervalMs,
      onSnapshot: applyRecords,
      onChanges: applyRecords,
      onContact: (atMs) => {
        this.contactAtMs = atMs;
      },
    });
    this._server = new TopicServer({
      address: ownAddress,
      mirrors: new Map([[TOPIC, this._follower.mirror]]),
      counters: this.counters,
      members: () => [],
      onMembers: () => undefined,
    });
    this.link = new FaultProxy(() => ownAddress);
  }

  async start(): Promise<void> {
    await this._server.start();
    await this.link.listen(Number(this.address.split(':')[1]));
    void this._follower.run();
  }

  /** Whether the node takes the store for having been out, so that entries may come back. */
  get hasSeenOutage(): boolean {
    return Number.isFinite(this._follower.reconnectedAtMs);
  }

  stop(): void {
    this._follower.stop();
    this.link.close();
  }

  toPeer(): FallbackCandidate {
    const { isFirstHand, contactAtMs } = this._follower.mirror;
    const storeAgeMs = systemClock.monotonic() - contactAtMs;
    return { node: this.name, failureDomain: DOMAIN, address: this.address, storeAgeMs, isFirstHand };
  }
}

/** Creates nodes with a store each. The stores hold the same records, so that a test can fail the store of one node. */
export async function createFleet(size: number, waitMs = DEFAULT_WAIT_MS) {
  const ports = await findFreePorts(2 * size);
  const stores: StoreStandin[] = [];
  const nodes: TopicNode[] = [];
  for (let index = 0; index < size; index++) {
    const store = new StoreStandin();
    store.failsWaitingReads = true;
    const storeAddress = await store.start();
    const [own, outside] = ports.slice(2 * index);
    stores.push(store);
    nodes.push(
      new TopicNode(`node-${index}`, `127.0.0.1:${outside}`, store, {
        storeAddress,
        ownAddress: `127.0.0.1:${own}`,
        waitMs,
      }),
    );
  }
  for (const node of nodes) {
    node.peers = () => nodes.filter((peer) => peer !== node).map((peer) => peer.toPeer());
  }
  const put = (key: string, value: string) => {
    for (const store of stores) store.put(TOPIC, key, value);
  };
  put('a', '1');
  for (const node of nodes) await node.start();
  await sleep(500);
  const restoreAfter = (change: () => void) => {
    const copies = stores.map((store) => store.copy());
    change();
    return () => {
      for (const [index, copy] of copies.entries()) stores[index]?.restore(copy);
    };
  };
  const stop = () => {
    for (const node of nodes) node.stop();
    for (const store of stores) store.stop();
  };
  return { nodes, put, restoreAfter, stop };
}

/** Text of a value as the stand-in of the store keeps it. */
export const toStoredText = (text: string) => JSON.stringify(text);
