import type { Clock } from './clock.js';
import type { Random } from './random.js';
import type { Candidate } from './rendezvous.js';

/** Interval between a node's exchanges with peers, in milliseconds. */
export const EXCHANGE_INTERVAL_MS = 1_000;
/**
 * Fleet size up to which demand in a digest may change with each exchange; above it, proportionally less
 * often.
 */
const MAX_NODES_AT_BASE_INTERVAL = 16;
/** Maximum number of other nodes' digests in one message. */
export const MAX_FORWARDED_DIGESTS = 10;
/** A digest is forwarded this many times the logarithm of the fleet size. */
const RETRANSMIT_FACTOR = 2;
/** One exchange in this many compares all versions, which repairs what forwarding missed. */
const EXCHANGES_PER_FULL_EXCHANGE = 64;
/** How long a silent node stays a member, so that it can refute the suspicion, in milliseconds. */
export const SUSPICION_TIMEOUT_MS = 3_000;
/** How long a removed node is kept, so that outdated digests of it are not accepted as new, in milliseconds. */
const TOMBSTONE_RETENTION_MS = 120_000;

/** The roles a node can have. */
export type NodeRole = 'entry' | 'steward';

/** Number of a workspace's requests in progress and waiting on one node. */
export interface WorkspaceDemand {
  readonly workspace: string;
  readonly inUse: number;
  readonly waiting: number;
}

/**
 * State of a node as gossiped by itself or, when it is silent, by a peer that it did not answer. The higher
 * (incarnation, version) wins; on a tie the silent one wins until the node refutes it.
 */
export interface NodeDigest {
  readonly node: string;
  /** Wall-clock time at which the process started, in milliseconds. */
  readonly incarnation: number;
  readonly version: number;
  readonly role: NodeRole;
  readonly failureDomain: string;
  readonly isLeaving: boolean;
  readonly isSilent: boolean;
  /** Position of the configuration that the node uses. */
  readonly configuration: number;
  readonly demand: readonly WorkspaceDemand[];
  /** Suspect requests as `fingerprint:strikes`. */
  readonly suspects: readonly string[];
}

/** Fields of a digest that its node updates. */
export type OwnDigest = Pick<NodeDigest, 'isLeaving' | 'configuration' | 'demand' | 'suspects'>;

interface KnownNode {
  readonly digest: NodeDigest;
  readonly learnedAtMs: number;
  /** How often the digest was forwarded. */
  transmissions: number;
}

/** Dependencies and settings of a `Membership`. */
export interface MembershipOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly self: Pick<NodeDigest, 'node' | 'incarnation' | 'role' | 'failureDomain'>;
  readonly seeds: readonly string[];
}

/** Digest versions that a node knows, sent so that the peer returns only newer ones. */
export type VersionVector = ReadonlyMap<string, readonly [incarnation: number, version: number]>;

/**
 * Gossip membership with bounded fan-out. In each interval a node calls one peer; the call is its heartbeat
 * and carries recent changes. A digest is forwarded a number of times that grows with the logarithm of the
 * fleet size. A peer that does not answer is suspected; the suspicion spreads the same way, and the peer is
 * removed unless it refutes it.
 */
export class Membership {
  private readonly _known = new Map<string, KnownNode>();
  private _own: NodeDigest;
  private _ownTransmissions = 0;
  private _changedAtMs = -Infinity;
  private _lastContactAtMs = -Infinity;
  private _exchangeCount = 0;
  private _members: readonly NodeDigest[] | undefined;
  private _membersUntilMs = 0;

  constructor(private readonly _options: MembershipOptions) {
    const initial = { isLeaving: false, isSilent: false, configuration: 0, demand: [], suspects: [] };
    this._own = { ..._options.self, version: 1, ...initial };
  }

  get own(): NodeDigest {
    return this._own;
  }

  /** Monotonic time of the last direct contact with any peer. */
  get lastContactAtMs(): number {
    return this._lastContactAtMs;
  }

  /**
   * Minimum interval between demand changes in a digest, in milliseconds; it grows with the fleet so that
   * traffic does not.
   */
  changeIntervalMs(): number {
    return EXCHANGE_INTERVAL_MS * Math.max(1, (this._known.size + 1) / MAX_NODES_AT_BASE_INTERVAL);
  }

  /** Updates this node's digest. A change of demand alone waits for its interval; all else applies at once. */
  updateOwn(update: OwnDigest): void {
    const nowMs = this._options.clock.monotonic();
    const { isLeaving, configuration, demand, suspects } = this._own;
    const isUrgent =
      update.isLeaving !== isLeaving ||
      update.configuration !== configuration ||
      JSON.stringify(update.suspects) !== JSON.stringify(suspects);
    const isDemandDue = nowMs - this._changedAtMs >= this.changeIntervalMs();
    const hasNewDemand = isDemandDue && JSON.stringify(update.demand) !== JSON.stringify(demand);
    if (isUrgent || hasNewDemand) this._replaceOwn(update, nowMs);
  }

  /** A random member to exchange with, or at times a seed that is not a member, which heals partitions. */
  choosePeer(): string | undefined {
    const { random, seeds, self } = this._options;
    const others = this.members().map(({ node }) => node);
    const known = new Set(others);
    const unknownSeeds = seeds.filter((seed) => seed !== self.node && !known.has(seed));
    this._exchangeCount++;
    const pool =
      unknownSeeds.length > 0 && (others.length === 0 || this._exchangeCount % 4 === 0)
        ? unknownSeeds
        : others;
    return pool[random.below(pool.length)];
  }

  /** Whether this exchange compares all versions: the first ones do, and later ones periodically. */
  isFullExchangeDue(): boolean {
    return this._exchangeCount % EXCHANGES_PER_FULL_EXCHANGE === 1 || this._known.size === 0;
  }

  /** Digest versions that this node knows. */
  versions(): VersionVector {
    const versions = new Map([[this._own.node, [this._own.incarnation, this._own.version] as const]]);
    for (const [node, { digest }] of this._known) versions.set(node, [digest.incarnation, digest.version]);
    return versions;
  }

  /** Digests newer than the peer's versions; silent nodes that the peer does not know are left out. */
  newerThan(versions: VersionVector): readonly NodeDigest[] {
    const digests = [this._own, ...[...this._known.values()].map(({ digest }) => digest)];
    return digests.filter((digest) => {
      const known = versions.get(digest.node);
      if (!known) return !digest.isSilent;
      return compareVersions(digest, { incarnation: known[0], version: known[1] }) > 0;
    });
  }

  /** Returns recent changes for one message, least forwarded first, and counts them as forwarded. */
  takeUpdates(): readonly NodeDigest[] {
    const limit = Math.ceil(RETRANSMIT_FACTOR * Math.log2(this._known.size + 2));
    const recent = [...this._known.values()].filter(({ transmissions }) => transmissions < limit);
    const chosen = recent.sort((a, b) => a.transmissions - b.transmissions).slice(0, MAX_FORWARDED_DIGESTS);
    for (const known of chosen) known.transmissions++;
    const isOwnRecent = this._ownTransmissions++ < limit;
    const updates = chosen.map(({ digest }) => digest);
    return isOwnRecent ? [this._own, ...updates] : updates;
  }

  /** Merges digests: ignores outdated ones and refutes the suspicion that this node is silent. */
  merge(digests: readonly NodeDigest[]): void {
    const nowMs = this._options.clock.monotonic();
    for (const digest of digests) {
      if (digest.node === this._own.node) this._refute(digest, nowMs);
      else this._merge(digest, nowMs);
    }
    this._pruneTombstones(nowMs);
  }

  /** Records direct contact with a peer. */
  recordContact(): void {
    this._lastContactAtMs = this._options.clock.monotonic();
  }

  /** Suspects a peer that did not answer, until it refutes the suspicion. */
  markSilent(node: string): void {
    const known = this._known.get(node)?.digest;
    if (known && !known.isSilent) this._merge({ ...known, isSilent: true }, this._options.clock.monotonic());
  }

  /** Other nodes, including those that are suspected but not yet removed. */
  members(): readonly NodeDigest[] {
    const nowMs = this._options.clock.monotonic();
    if (this._members && nowMs < this._membersUntilMs) return this._members;
    this._members = [...this._known.values()]
      .filter((known) => isMember(known, nowMs))
      .map(({ digest }) => digest);
    this._membersUntilMs = nowMs + EXCHANGE_INTERVAL_MS / 2;
    return this._members;
  }

  /** Nodes of a role that are members and not leaving, including this one, for placement. */
  candidates(role: NodeRole): readonly Candidate[] {
    return [this._own, ...this.members()]
      .filter((digest) => digest.role === role && !digest.isLeaving)
      .map(({ node, failureDomain }) => ({ id: node, failureDomain }));
  }

  private _replaceOwn(update: OwnDigest, nowMs: number): void {
    this._own = { ...this._own, ...update, version: this._own.version + 1 };
    this._changedAtMs = nowMs;
    this._ownTransmissions = 0;
  }

  private _refute(digest: NodeDigest, nowMs: number): void {
    const { incarnation, version } = this._own;
    if (!digest.isSilent || digest.incarnation !== incarnation || digest.version < version) return;
    this._own = { ...this._own, version: digest.version };
    this._replaceOwn(this._own, nowMs);
  }

  private _merge(digest: NodeDigest, nowMs: number): void {
    const known = this._known.get(digest.node)?.digest;
    if (known && !isNewer(digest, known)) return;
    this._known.set(digest.node, { digest, learnedAtMs: nowMs, transmissions: 0 });
    this._members = undefined;
  }

  private _pruneTombstones(nowMs: number): void {
    for (const [node, { digest, learnedAtMs }] of this._known) {
      if (digest.isSilent && nowMs - learnedAtMs > TOMBSTONE_RETENTION_MS) this._known.delete(node);
    }
  }
}

function isMember({ digest, learnedAtMs }: KnownNode, nowMs: number): boolean {
  return !digest.isSilent || nowMs - learnedAtMs < SUSPICION_TIMEOUT_MS;
}

function isNewer(digest: NodeDigest, known: NodeDigest): boolean {
  const order = compareVersions(digest, known);
  return order > 0 || (order === 0 && digest.isSilent && !known.isSilent);
}

function compareVersions(
  a: Pick<NodeDigest, 'incarnation' | 'version'>,
  b: Pick<NodeDigest, 'incarnation' | 'version'>,
): number {
  return a.incarnation - b.incarnation || a.version - b.version;
}
