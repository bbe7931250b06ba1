import { createSocket, type Socket } from 'node:dgram';
import { type Clock, type Counters, type Random, splitAddress } from '@monsoonreach/core';
import { z } from 'zod';
import { type DecisionLog, describeError } from './decisionLog.js';
import { type PlacementMessage, placementMessageSchema } from './placementMessages.js';

/** How often a node tells its peers how it stands, in milliseconds; a fraction of the time a request takes. */
const INTERVAL_MS = 200;
/** Peers that are told in one interval, so that a node's share of the traffic does not grow with the fleet. */
const FANOUT = 4;
/** How long a peer may be silent before it counts as lost, in milliseconds; several intervals and a lost datagram or two. */
const MIN_PEER_LIFE_MS = 1_500;
/** The same where a peer tells only some of many nodes each interval, in turns of the round; one may be lost. */
const PEER_LIFE_TURNS = 2.5;
/** How long nobody may have heard of the planner before another node plans, in milliseconds; news pass all nodes in a second. */
const PLANNER_LIFE_MS = 1_400;
/** How long a silent peer is remembered and now and then told, in milliseconds. */
const PEER_MEMORY_MS = 60_000;

const digestSchema = z.object({
  kind: z.literal('digest'),
  node: z.string(),
  address: z.string(),
  failureDomain: z.string(),
  incarnation: z.string(),
  sequence: z.number(),
  /** Milliseconds since the sender last heard from the store. */
  storeAgeMs: z.number(),
  /** Whether the sender reads the store itself, so that others may read through it. */
  isFirstHand: z.boolean(),
  version: z.number(),
  /** The last planner that the sender knows of, itself or another node. */
  planner: z
    .object({ node: z.string(), address: z.string(), term: z.number(), ageMs: z.number() })
    .optional(),
  isLeaving: z.boolean(),
  loads: z.record(z.string(), z.tuple([z.number(), z.number(), z.number()])),
  silent: z.array(z.string()),
  /** What the sender found when it asked heads that are not listed, by group. */
  heads: z.record(z.string(), z.enum(['serving', 'idle', 'silent'])),
  /** Requests that were served, so that a newcomer knows that there is traffic. */
  hasTraffic: z.boolean(),
  demand: z.record(z.string(), z.number()),
});

const messageSchema = z.discriminatedUnion('kind', [digestSchema, ...placementMessageSchema.options]);

/** What one node tells the others of itself. */
export type Digest = Readonly<z.infer<typeof digestSchema>>;
/** What a node says of itself, without what the exchange adds. */
export type OwnState = Omit<Digest, 'kind' | 'node' | 'address' | 'incarnation' | 'sequence' | 'planner'>;

/** The node that plans, as far as this node knows. */
export interface PlannerSighting {
  readonly node: string;
  readonly address: string;
  readonly term: number;
  /** When it was last known to plan. */
  readonly atMs: number;
}

/** A peer as it was last heard of. */
export interface Peer {
  readonly digest: Digest;
  readonly heardAtMs: number;
}

/** What an exchange is made of. */
export interface PeerExchangeOptions {
  readonly node: string;
  readonly address: string;
  readonly incarnation: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  readonly log: DecisionLog;
  /** The term in which this node plans, if it does. */
  readonly ownTerm: () => number | undefined;
  readonly describe: () => OwnState;
  readonly onDigest: (digest: Digest, heardAtMs: number) => void;
  readonly onPlacement: (message: PlacementMessage) => void;
}

/** Tells peers by datagrams how this node stands, each interval a bounded number of them. */
export class PeerExchange {
  private readonly _socket: Socket = createSocket('udp4');
  private readonly _peers = new Map<string, Peer>();
  private readonly _addresses = new Map<string, { heardAtMs: number }>();
  private _planner: PlannerSighting | undefined;
  private _sequence = 0;
  /** Addresses whose turn is still to come. */
  private _round: readonly string[] = [];
  private _timer: NodeJS.Timeout | undefined;

  constructor(private readonly _options: PeerExchangeOptions) {}

  /** Where peers reach this node. */
  get address(): string {
    return this._options.address;
  }

  /** Peers that were heard of lately. */
  livePeers(): readonly Peer[] {
    const nowMs = this._options.clock.monotonic();
    const lifeMs = this.peerLifeMs;
    return [...this._peers.values()].filter(
      ({ heardAtMs, digest }) => nowMs - heardAtMs < lifeMs && !digest.isLeaving,
    );
  }

  /** How long what a peer told counts, in milliseconds; longer in a large fleet, where its turn comes seldom. */
  get peerLifeMs(): number {
    const turnMs = (INTERVAL_MS * this._addresses.size) / FANOUT;
    return Math.max(MIN_PEER_LIFE_MS, turnMs * PEER_LIFE_TURNS);
  }

  /** How long news need to pass all nodes, in milliseconds. */
  get spreadMs(): number {
    const rounds = Math.ceil(Math.log(this._addresses.size + 1) / Math.log(FANOUT));
    return INTERVAL_MS * (Math.max(1, rounds) + 1);
  }

  /** The node that plans; undefined when nobody has heard of one lately. */
  planner(): PlannerSighting | undefined {
    const ageMs = this._options.clock.monotonic() - (this._planner?.atMs ?? -Infinity);
    return ageMs < PLANNER_LIFE_MS ? this._planner : undefined;
  }

  /** Names addresses at which peers may be. */
  meet(addresses: readonly string[]): void {
    for (const address of addresses) this._remember(address);
  }

  start(): Promise<void> {
    const { host, port } = splitAddress(this._options.address);
    this._socket.on('message', (message) => {
      this._take(message);
    });
    this._socket.on('error', (error) => {
      this._options.log.warn('peer socket failed', { error: describeError(error) });
    });
    this._timer = setInterval(() => {
      this.tell();
    }, INTERVAL_MS);
    return new Promise((resolve) => {
      this._socket.bind(port, host, resolve);
    });
  }

  stop(): void {
    clearInterval(this._timer);
    this._socket.close();
  }

  /** Tells the peers whose turn it is. */
  tell(): void {
    this._send(this._chooseAddresses());
  }

  /** Tells the node that plans, and some others, now. */
  tellPlanner(): void {
    const planner = this.planner();
    this._send(new Set([...(planner ? [planner.address] : []), ...this._chooseAddresses()]));
  }

  private _send(addresses: Iterable<string>): void {
    const { node, address, incarnation, describe } = this._options;
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

  /** Sends a question of placement, or its answer. */
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

  /** A planner that says that it plans no more, or that it has started anew, is none. */
  private _noteEnd(digest: Digest): void {
    const isPlanning = digest.planner?.node === digest.node && !digest.isLeaving;
    if (this._planner?.node === digest.node && !isPlanning) this._planner = undefined;
  }

  private _notePlanner(planner: Digest['planner'], heardAtMs: number): void {
    if (!planner || planner.node === this._options.node) return;
    const { ageMs, ...rest } = planner;
    const sighting = { ...rest, atMs: heardAtMs - ageMs };
    const known = this.planner();
    const isNewer = !known || sighting.term > known.term;
    if (isNewer || (sighting.term === known.term && sighting.atMs > known.atMs)) this._planner = sighting;
  }

  /** The next addresses of a round in which each gets its turn, in an order drawn anew each round. */
  private _chooseAddresses(): readonly string[] {
    const nowMs = this._options.clock.monotonic();
    for (const [address, { heardAtMs }] of this._addresses) {
      if (nowMs - heardAtMs > PEER_MEMORY_MS) this._addresses.delete(address);
    }
    if (this._round.length < FANOUT) this._round = [...this._round, ...this._shuffle()];
    const chosen = new Set(this._round.slice(0, FANOUT));
    this._round = this._round.slice(FANOUT);
    return [...chosen].filter((address) => this._addresses.has(address));
  }

  private _shuffle(): readonly string[] {
    const all = [...this._addresses.keys()];
    for (let at = all.length - 1; at > 0; at--) {
      const other = this._options.random.below(at + 1);
      [all[at], all[other]] = [all[other] ?? '', all[at] ?? ''];
    }
    return all;
  }

  private _take(message: Buffer): void {
    let parsed: Digest | PlacementMessage;
    try {
      parsed = messageSchema.parse(JSON.parse(message.toString('utf8')));
    } catch (error) {
      this._options.counters.add('monsoonreach_datagrams_refused_total');
      this._options.log.warn('datagram refused', { error: String(error).slice(0, 200) });
      return;
    }
    if (parsed.kind === 'digest') this._takeDigest(parsed);
    else this._options.onPlacement(parsed);
  }

  private _takeDigest(digest: Digest): void {
    const known = this._peers.get(digest.node)?.digest;
    if (known?.incarnation === digest.incarnation && known.sequence >= digest.sequence) return;
    const heardAtMs = this._options.clock.monotonic();
    if (known && known.incarnation !== digest.incarnation) {
      this._options.log.info('peer restarted', { peer: digest.node, incarnation: digest.incarnation });
    }
    if (!known) this._options.counters.add('monsoonreach_peers_met_total');
    this._peers.set(digest.node, { digest, heardAtMs });
    this._remember(digest.address);
    this._noteEnd(digest);
    this._notePlanner(digest.planner, heardAtMs);
    this._options.onDigest(digest, heardAtMs);
  }

  private _remember(address: string): void {
    if (address === this._options.address) return;
    this._addresses.set(address, { heardAtMs: this._options.clock.monotonic() });
  }
}
