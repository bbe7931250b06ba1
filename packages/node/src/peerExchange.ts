import { createSocket, type Socket } from 'node:dgram';
import {
  type Clock,
  type Counters,
  FleetMembers,
  getIncarnation,
  type Member,
  type MemberTimeouts,
  pause,
  type Random,
  splitAddress,
  StallDetector,
} from '@monsoonreach/core';
import { type DecisionLog, describeError } from './decisionLog.js';
import type { PeerContact } from './keyConfirmation.js';
import {
  decodePeerMessage,
  type Digest,
  encodePeerMessage,
  type PeerMessage,
  PeerMessageError,
  type PingMessage,
  type PongMessage,
  toMember,
  toMemberRow,
  type WithoutVersion,
} from './peerMessages.js';

/** How often and to how many peers a node sends its digest, by the size of the fleet. */
const GOSSIP_RATES = [
  { maxPeers: 32, intervalMs: 200, fanout: 4 },
  { maxPeers: Infinity, intervalMs: 300, fanout: 2 },
] as const;
/** Members that a digest names, so that all nodes learn of a new one. */
const MEMBERS_PER_DIGEST = 2;
/** Minimum silence after which a peer counts as lost, in milliseconds; several intervals with one or two lost datagrams. */
const MIN_PEER_TIMEOUT_MS = 1_500;
/** The same in rounds, for a fleet in which a round takes several intervals; one digest may be lost. */
const PEER_TIMEOUT_ROUNDS = 2.5;
/** Silence of a node whose liveness is relayed, after which it counts as lost, beyond the propagation time; in milliseconds. */
const RELAYED_SLACK_MS = 800;
/** Time to wait for the answer of a node that is asked directly, in milliseconds; many round trips. */
const PROBE_TIMEOUT_MS = 80;
/** Questions to a node before it counts as lost; a datagram may be lost. */
const PROBE_ATTEMPTS = 3;
/** Peers that are asked at once for their contact with the store; a datagram may be lost, a peer be silent. */
const ASKED_PEERS = 3;
/** Time for which digests are still sent to a silent peer, in milliseconds. */
const MIN_PEER_TTL_MS = 60_000;

/** The part of a digest that the node supplies; the exchange adds the rest. */
export type OwnState = Pick<
  Digest,
  | 'storeAgeMs'
  | 'isFirstHand'
  | 'configurationVersion'
  | 'isLeaving'
  | 'hasTraffic'
  | 'ownershipStamp'
  | 'ownershipHash'
  | 'crashes'
  | 'removed'
>;

/** The last digest of a peer and the monotonic time at which it arrived. */
export interface Peer {
  readonly digest: Digest;
  readonly member: Member;
  readonly receivedAtMs: number;
}

/**
 * Estimates the time since a peer's last contact with the store, in milliseconds. Good enough to choose a peer by; it is too
 * low by the time for which the digest was on its way.
 */
export function estimateStoreAgeMs({ digest, receivedAtMs }: Peer, nowMs: number): number {
  return digest.storeAgeMs + nowMs - receivedAtMs;
}

/** Messages by which nodes learn of each other. */
export type MembershipMessage = Digest | PingMessage | PongMessage;

/** Dependencies of {@link PeerExchange}. */
export interface PeerExchangeOptions {
  readonly self: Member;
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  readonly log: DecisionLog;
  /** Addresses of the owners of shards. */
  readonly owners: () => ReadonlySet<string>;
  readonly describeState: () => OwnState;
  readonly onDigest: (digest: Digest, address: string, receivedAtMs: number) => void;
  /** Called with the contact of a peer with the store, as it tells when asked. */
  readonly onContact: (contact: PeerContact) => void;
  /** Called with every message that does not concern membership. */
  readonly onMessage: (message: Exclude<PeerMessage, MembershipMessage>) => void;
}

/** Sends and receives the messages between nodes, and keeps track of which nodes are live by their digests. */
export class PeerExchange {
  /** Addresses are numeric, so that no look-up is needed. */
  private readonly _socket: Socket = createSocket({
    type: 'udp4',
    lookup: (address, _options, callback) => {
      callback(null, address, 4);
    },
  });
  private readonly _peers = new Map<string, Peer>();
  private readonly _members: FleetMembers;
  private readonly _stalls: StallDetector;
  /** The last answer of each node that was asked directly. */
  private readonly _answers = new Map<string, { readonly id: string; readonly atMs: number }>();
  private _sequence = 0;
  /** Addresses that have not had their turn in this round. */
  private _remainingAddresses: readonly string[] = [];
  private _timer: NodeJS.Timeout | undefined;

  constructor(private readonly _options: PeerExchangeOptions) {
    this._members = new FleetMembers(_options.self);
    this._stalls = new StallDetector(_options.clock);
  }

  /** Number of other nodes that this one knows. */
  get size(): number {
    return this._members.size;
  }

  /** The other nodes that are live and not leaving, those with the most capacity first. */
  listLive(): readonly Member[] {
    return this._members.listLive(this._timeouts, this._options.clock.monotonic());
  }

  /** All other nodes that this one knows. */
  listMembers(): readonly Member[] {
    return this._members.listMembers();
  }

  /** The last digest of each peer that is live. */
  listPeers(): readonly Peer[] {
    return this.listLive().flatMap(({ address }) => this._peers.get(address) ?? []);
  }

  findPeer(address: string): Peer | undefined {
    return this._peers.get(address);
  }

  /** Estimated time in which a digest's content reaches all nodes, in milliseconds. */
  get propagationMs(): number {
    const { intervalMs, fanout } = this._rate;
    const rounds = Math.ceil(Math.log(this.size + 1) / Math.log(fanout + 1));
    return intervalMs * (Math.max(1, rounds) + 1);
  }

  /** Adds nodes that others know. */
  addMembers(members: readonly Member[]): void {
    for (const member of members) this._members.add(member, this._options.clock.monotonic());
  }

  start(): Promise<void> {
    const { host, port } = splitAddress(this._options.self.address);
    this._socket.on('message', (message) => {
      this._handleMessage(message);
    });
    this._socket.on('error', (error) => {
      this._options.log.warn('peer socket failed', { error: describeError(error) });
    });
    this._scheduleDigests();
    return new Promise((resolve, reject) => {
      this._socket.once('error', reject);
      this._socket.bind(port, host, resolve);
    });
  }

  stop(): void {
    clearTimeout(this._timer);
    this._socket.close();
  }

  /** Sends a digest to the peers whose turn it is. */
  sendDigests(): void {
    this._sendDigestTo(this._takeNextAddresses());
  }

  /** Sends a digest to all peers. */
  broadcastDigest(): void {
    this._sendDigestTo(this._members.listAddresses());
  }

  /** Asks a node directly; returns whether it answers as the same start of that node. */
  async probe({ id, address }: Pick<Member, 'id' | 'address'>): Promise<boolean> {
    const startedAtMs = this._options.clock.monotonic();
    for (let attempt = 0; attempt < PROBE_ATTEMPTS; attempt++) {
      this._ping(address);
      await pause(PROBE_TIMEOUT_MS);
      const answer = this._answers.get(address);
      if (answer && answer.atMs >= startedAtMs) return answer.id === id;
    }
    this._members.recordLost(address, this._options.clock.monotonic());
    return false;
  }

  /** Asks the peers that seem to have had contact with the store most recently when they had it. */
  askContact(): void {
    const nowMs = this._options.clock.monotonic();
    const freshest = this.listPeers()
      .map((peer) => ({ address: peer.member.address, storeAgeMs: estimateStoreAgeMs(peer, nowMs) }))
      .sort((a, b) => a.storeAgeMs - b.storeAgeMs)
      .slice(0, ASKED_PEERS);
    for (const { address } of freshest) this._ping(address);
  }

  private _ping(address: string): void {
    const { self, clock } = this._options;
    this.send(address, {
      kind: 'ping',
      address: self.address,
      question: [self.id, clock.monotonic()],
    });
  }

  /** Sends a message to one node. */
  send(address: string, message: WithoutVersion<PeerMessage>): void {
    this._sendBytes(address, encodePeerMessage(message));
  }

  /** Sends a message to all nodes. */
  broadcast(message: WithoutVersion<PeerMessage>): void {
    const bytes = encodePeerMessage(message);
    for (const address of this._members.listAddresses()) this._sendBytes(address, bytes);
  }

  private get _rate(): (typeof GOSSIP_RATES)[number] {
    return GOSSIP_RATES.find(({ maxPeers }) => this.size <= maxPeers) ?? GOSSIP_RATES[1];
  }

  private get _roundMs(): number {
    const { intervalMs, fanout } = this._rate;
    return (intervalMs * this.size) / fanout;
  }

  private get _timeouts(): MemberTimeouts {
    const directMs = Math.max(MIN_PEER_TIMEOUT_MS, this._roundMs * PEER_TIMEOUT_ROUNDS);
    return { directMs, relayedMs: Math.min(directMs, this.propagationMs + RELAYED_SLACK_MS) };
  }

  private _scheduleDigests(): void {
    this._timer = setTimeout(() => {
      this._stalls.tick();
      this.sendDigests();
      this._scheduleDigests();
    }, this._rate.intervalMs);
  }

  private _sendDigestTo(addresses: readonly string[]): void {
    if (addresses.length === 0) return;
    const { self, describeState, owners, clock } = this._options;
    const nowMs = clock.monotonic();
    const heard = this._members.updateRelayed(owners(), this._timeouts, nowMs);
    this._sequence++;
    const bytes = encodePeerMessage({
      kind: 'digest',
      member: toMemberRow(self),
      sequence: this._sequence,
      heard: heard.map(({ member, atMs }) => [
        member.address,
        getIncarnation(member),
        Math.round(nowMs - atMs),
      ]),
      members: this._drawMembers(),
      ...describeState(),
    });
    for (const address of addresses) this._sendBytes(address, bytes);
  }

  private _sendBytes(address: string, bytes: Buffer): void {
    const { host, port } = splitAddress(address);
    this._socket.send(bytes, port, host, (error) => {
      if (error) this._options.counters.add('monsoonreach_datagram_errors_total');
    });
  }

  private _drawMembers(): Digest['members'] {
    const members = this._members.listMembers();
    return Array.from({ length: Math.min(MEMBERS_PER_DIGEST, members.length) }, () => {
      const member = members[this._options.random.below(members.length)];
      return member ? [toMemberRow(member)] : [];
    }).flat();
  }

  /** Returns the next addresses of the round; each round visits every address once, in a new random order. */
  private _takeNextAddresses(): readonly string[] {
    const ttlMs = Math.max(MIN_PEER_TTL_MS, this._roundMs * PEER_TIMEOUT_ROUNDS * 2);
    this._members.removeExpired(ttlMs, this._options.clock.monotonic());
    const { fanout } = this._rate;
    const known = new Set(this._members.listAddresses());
    for (const address of this._peers.keys()) if (!known.has(address)) this._peers.delete(address);
    const remaining = this._remainingAddresses.filter((address) => known.has(address));
    const next = remaining.length < fanout ? [...remaining, ...this._shuffle([...known])] : remaining;
    const chosen = new Set(next.slice(0, fanout));
    this._remainingAddresses = next.slice(fanout);
    return [...chosen];
  }

  private _shuffle(addresses: string[]): readonly string[] {
    for (let index = addresses.length - 1; index > 0; index--) {
      const other = this._options.random.below(index + 1);
      [addresses[index], addresses[other]] = [addresses[other] ?? '', addresses[index] ?? ''];
    }
    return addresses;
  }

  private _handleMessage(bytes: Buffer): void {
    let message: PeerMessage;
    try {
      message = decodePeerMessage(bytes);
    } catch (error) {
      if (!(error instanceof PeerMessageError)) throw error;
      this._options.counters.add('monsoonreach_datagrams_refused_total');
      this._options.log.warn('invalid datagram dropped', { error: error.message });
      return;
    }
    if (message.kind !== 'ping' && message.kind !== 'pong' && this._stalls.hasBacklog()) {
      // Times in it are told as ages; the sender repeats what matters.
      this._options.counters.add('monsoonreach_datagrams_outdated_total');
      return;
    }
    switch (message.kind) {
      case 'digest':
        this._handleDigest(message);
        return;
      case 'ping':
        this._handlePing(message);
        return;
      case 'pong':
        this._handlePong(message);
        return;
      case 'ownership':
      case 'report':
      case 'ask':
      case 'grant':
      case 'crashes':
        this._options.onMessage(message);
    }
  }

  private _handlePing({ address, question }: PingMessage): void {
    const { self, describeState } = this._options;
    const { isLeaving, storeAgeMs, configurationVersion } = describeState();
    const state = { isLeaving, storeAgeMs, configurationVersion };
    this.send(address, { kind: 'pong', member: toMemberRow(self), question, ...state });
  }

  private _handlePong({
    member: row,
    isLeaving,
    question,
    storeAgeMs,
    configurationVersion: version,
  }: PongMessage): void {
    const { self, clock, onContact } = this._options;
    const member = toMember(row);
    const atMs = clock.monotonic();
    this._answers.set(member.address, { id: member.id, atMs });
    this._members.recordDigest(member, isLeaving, atMs);
    if (storeAgeMs === undefined || version === undefined) return;
    const [asker, askedAtMs = Infinity] = question ?? [];
    // Another start of this node has another clock.
    if (asker !== self.id || askedAtMs > atMs) return;
    // The peer told its age after it was asked, however long its answer waited since.
    onContact({ version, atMs: askedAtMs - storeAgeMs, measuredFromMs: askedAtMs });
  }

  private _handleDigest(digest: Digest): void {
    const { clock, counters, log, onDigest } = this._options;
    const member = toMember(digest.member);
    const known = this._peers.get(member.address);
    if (known?.member.id === member.id && known.digest.sequence >= digest.sequence) return;
    const receivedAtMs = clock.monotonic();
    if (known && known.member.id !== member.id) {
      log.info('peer restarted', { peer: member.node, id: member.id });
    }
    if (!known) counters.add('monsoonreach_peers_met_total');
    this._peers.set(member.address, { digest, member, receivedAtMs });
    this._members.recordDigest(member, digest.isLeaving, receivedAtMs);
    this.addMembers(digest.members.map(toMember));
    for (const [address, incarnation, ageMs] of digest.heard) {
      this._members.recordHeard(address, incarnation, receivedAtMs - ageMs);
    }
    onDigest(digest, member.address, receivedAtMs);
  }
}
