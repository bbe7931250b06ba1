import { createSocket, type Socket } from 'node:dgram';
import { type Clock, type Counters, type Random, splitAddress } from '@monsoonreach/core';
import { z } from 'zod';
import { type DecisionLog, describeError } from './decisionLog.js';
import { type PlacementMessage, placementMessageSchema } from './placementMessages.js';

/** Interval between two digests, in milliseconds; a fraction of the duration of a request. */
const GOSSIP_INTERVAL_MS = 200;
/** Number of peers per interval, so that the traffic of a node does not grow with the fleet. */
const GOSSIP_FANOUT = 4;
/** Minimum silence after which a peer counts as lost, in milliseconds; several intervals with one or two lost datagrams. */
const MIN_PEER_TIMEOUT_MS = 1_500;
/** The same in rounds, for a fleet in which a round takes several intervals; one digest may be lost. */
const PEER_TIMEOUT_ROUNDS = 2.5;
/** Silence of the planner after which another node may plan, in milliseconds; gossip reaches all nodes in one second. */
const PLANNER_TIMEOUT_MS = 1_400;
/** Time for which digests are still sent to a silent peer, in milliseconds. */
const PEER_ADDRESS_TTL_MS = 60_000;

const digestSchema = z.object({
  kind: z.literal('digest'),
  node: z.string(),
  address: z.string(),
  failureDomain: z.string(),
  incarnation: z.string(),
  sequence: z.number(),
  /** Milliseconds since the sender's last contact with the store. */
  storeAgeMs: z.number(),
  /** Whether the sender reads the store directly, so that peers may read through it. */
  isFirstHand: z.boolean(),
  version: z.number(),
  /** The planner that the sender knows, which may be the sender itself. */
  planner: z
    .object({ node: z.string(), address: z.string(), term: z.number(), ageMs: z.number() })
    .optional(),
  isLeaving: z.boolean(),
  loads: z.record(z.string(), z.tuple([z.number(), z.number(), z.number()])),
  silent: z.array(z.string()),
  /** State of heads that are missing from the instance list, by group, as the sender found it. */
  heads: z.record(z.string(), z.enum(['serving', 'idle', 'silent'])),
  /** Whether the sender has served requests, so that a new node knows that the fleet has traffic. */
  hasTraffic: z.boolean(),
  demand: z.record(z.string(), z.number()),
});

const messageSchema = z.discriminatedUnion('kind', [digestSchema, ...placementMessageSchema.options]);

/** State of a node, as it is gossiped to the other nodes. */
export type Digest = Readonly<z.infer<typeof digestSchema>>;
/** The part of a digest that the node supplies; the exchange adds the rest. */
export type OwnState = Omit<Digest, 'kind' | 'node' | 'address' | 'incarnation' | 'sequence' | 'planner'>;

/** The planner, as far as this node knows. */
export interface KnownPlanner {
  readonly node: string;
  readonly address: string;
  readonly term: number;
  /** Monotonic time at which it was last known to plan. */
  readonly atMs: number;
}

/** The last digest of a peer and the monotonic time at which it arrived. */
export interface Peer {
  readonly digest: Digest;
  readonly receivedAtMs: number;
}

/** Dependencies of {@link PeerExchange}. */
export interface PeerExchangeOptions {
  readonly node: string;
  readonly address: string;
  readonly incarnation: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  readonly log: DecisionLog;
  /** The term in which this node plans; undefined while it is not the planner. */
  readonly ownTerm: () => number | undefined;
  readonly describeState: () => OwnState;
  readonly onDigest: (digest: Digest, receivedAtMs: number) => void;
  readonly onPlacement: (message: PlacementMessage) => void;
}

/** Gossips the state of this node over UDP: in each interval a digest is sent to a bounded number of peers. */
export class PeerExchange {
  private readonly _socket: Socket = createSocket('udp4');
  private readonly _peers = new Map<string, Peer>();
  private readonly _addresses = new Map<string, { receivedAtMs: number }>();
  private _planner: KnownPlanner | undefined;
  private _sequence = 0;
  /** Addresses that have not had their turn in this round. */
  private _remainingAddresses: readonly string[] = [];
  private _timer: NodeJS.Timeout | undefined;

  constructor(private readonly _options: PeerExchangeOptions) {}

  /** Address at which peers reach this node. */
  get address(): string {
    return this._options.address;
  }

  /** Peers whose last digest is recent and does not mark them as leaving. */
  livePeers(): readonly Peer[] {
    const nowMs = this._options.clock.monotonic();
    const timeoutMs = this.peerTimeoutMs;
    return [...this._peers.values()].filter(
      ({ receivedAtMs, digest }) => nowMs - receivedAtMs < timeoutMs && !digest.isLeaving,
    );
  }

  /** Time for which a digest is valid, in milliseconds; longer in a large fleet, where a round takes longer. */
  get peerTimeoutMs(): number {
    const roundMs = (GOSSIP_INTERVAL_MS * this._addresses.size) / GOSSIP_FANOUT;
    return Math.max(MIN_PEER_TIMEOUT_MS, roundMs * PEER_TIMEOUT_ROUNDS);
  }

  /** Estimated time in which a digest's content reaches all nodes, in milliseconds. */
  get propagationMs(): number {
    const rounds = Math.ceil(Math.log(this._addresses.size + 1) / Math.log(GOSSIP_FANOUT));
    return GOSSIP_INTERVAL_MS * (Math.max(1, rounds) + 1);
  }

  /** The current planner other than this node; undefined without a recent report of one. */
  planner(): KnownPlanner | undefined {
    const ageMs = this._options.clock.monotonic() - (this._planner?.atMs ?? -Infinity);
    return ageMs < PLANNER_TIMEOUT_MS ? this._planner : undefined;
  }

  /** Adds addresses at which peers may be reached. */
  addAddresses(addresses: readonly string[]): void {
    for (const address of addresses) this._addAddress(address);
  }

  start(): Promise<void> {
    const { host, port } = splitAddress(this._options.address);
    this._socket.on('message', (message) => {
      this._handleMessage(message);
    });
    this._socket.on('error', (error) => {
      this._options.log.warn('peer socket failed', { error: describeError(error) });
    });
    this._timer = setInterval(() => {
      this.sendDigests();
    }, GOSSIP_INTERVAL_MS);
    return new Promise((resolve) => {
      this._socket.bind(port, host, resolve);
    });
  }

  stop(): void {
    clearInterval(this._timer);
    this._socket.close();
  }

  /** Sends a digest to the peers whose turn it is. */
  sendDigests(): void {
    this._sendDigest(this._takeNextAddresses());
  }

  /** Sends a digest to the planner and to the peers whose turn it is. */
  sendDigestToPlanner(): void {
    const planner = this.planner();
    this._sendDigest(new Set([...(planner ? [planner.address] : []), ...this._takeNextAddresses()]));
  }

  private _sendDigest(addresses: Iterable<string>): void {
    const { node, address, incarnation, describeState: describe } = this._options;
    this._sequence++;
    const digest: Digest = {
      kind: 'digest',
      node,
      address,
      incarnation,
      sequence: this._sequence,
      ...this._describePlanner(),
      ...describe(),
    };
    const bytes = Buffer.from(JSON.stringify(digest));
    for (const peer of addresses) if (peer !== address) this._sendBytes(peer, bytes);
  }

  /** Sends a placement message, which is a request, a grant or a load report. */
  sendPlacement(address: string, message: PlacementMessage): void {
    this._sendBytes(address, Buffer.from(JSON.stringify(message)));
  }

  private _sendBytes(address: string, bytes: Buffer): void {
    const { host, port } = splitAddress(address);
    this._socket.send(bytes, port, host, (error) => {
      if (error) this._options.counters.add('monsoonreach_datagram_errors_total');
    });
  }

  private _describePlanner(): Pick<Digest, 'planner'> {
    const { node, address, clock, ownTerm } = this._options;
    const term = ownTerm();
    if (term !== undefined) return { planner: { node, address, term, ageMs: 0 } };
    const planner = this.planner();
    if (!planner) return {};
    const { atMs, ...rest } = planner;
    return { planner: { ...rest, ageMs: clock.monotonic() - atMs } };
  }

  /** Forgets the planner when its own digest reports that it is leaving or no longer plans, as after a restart. */
  private _forgetEndedPlanner(digest: Digest): void {
    const isPlanning = digest.planner?.node === digest.node && !digest.isLeaving;
    if (this._planner?.node === digest.node && !isPlanning) this._planner = undefined;
  }

  private _updatePlanner(planner: Digest['planner'], receivedAtMs: number): void {
    if (!planner || planner.node === this._options.node) return;
    const { ageMs, ...rest } = planner;
    const reported = { ...rest, atMs: receivedAtMs - ageMs };
    const known = this.planner();
    const isNewer = !known || reported.term > known.term;
    if (isNewer || (reported.term === known.term && reported.atMs > known.atMs)) this._planner = reported;
  }

  /** Returns the next addresses of the round; each round visits every address once, in a new random order. */
  private _takeNextAddresses(): readonly string[] {
    const nowMs = this._options.clock.monotonic();
    for (const [address, { receivedAtMs }] of this._addresses) {
      if (nowMs - receivedAtMs > PEER_ADDRESS_TTL_MS) this._addresses.delete(address);
    }
    if (this._remainingAddresses.length < GOSSIP_FANOUT)
      this._remainingAddresses = [...this._remainingAddresses, ...this._shuffleAddresses()];
    const chosen = new Set(this._remainingAddresses.slice(0, GOSSIP_FANOUT));
    this._remainingAddresses = this._remainingAddresses.slice(GOSSIP_FANOUT);
    return [...chosen].filter((address) => this._addresses.has(address));
  }

  private _shuffleAddresses(): readonly string[] {
    const all = [...this._addresses.keys()];
    for (let index = all.length - 1; index > 0; index--) {
      const other = this._options.random.below(index + 1);
      [all[index], all[other]] = [all[other] ?? '', all[index] ?? ''];
    }
    return all;
  }

  private _handleMessage(message: Buffer): void {
    let parsed: Digest | PlacementMessage;
    try {
      parsed = messageSchema.parse(JSON.parse(message.toString('utf8')));
    } catch (error) {
      this._options.counters.add('monsoonreach_datagrams_refused_total');
      this._options.log.warn('invalid datagram dropped', { error: String(error).slice(0, 200) });
      return;
    }
    if (parsed.kind === 'digest') this._handleDigest(parsed);
    else this._options.onPlacement(parsed);
  }

  private _handleDigest(digest: Digest): void {
    const known = this._peers.get(digest.node)?.digest;
    if (known?.incarnation === digest.incarnation && known.sequence >= digest.sequence) return;
    const receivedAtMs = this._options.clock.monotonic();
    if (known && known.incarnation !== digest.incarnation) {
      this._options.log.info('peer restarted', { peer: digest.node, incarnation: digest.incarnation });
    }
    if (!known) this._options.counters.add('monsoonreach_peers_met_total');
    this._peers.set(digest.node, { digest, receivedAtMs });
    this._addAddress(digest.address);
    this._forgetEndedPlanner(digest);
    this._updatePlanner(digest.planner, receivedAtMs);
    this._options.onDigest(digest, receivedAtMs);
  }

  private _addAddress(address: string): void {
    if (address === this._options.address) return;
    this._addresses.set(address, { receivedAtMs: this._options.clock.monotonic() });
  }
}
