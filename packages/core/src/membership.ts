import type { Clock } from './clock.js';
import type { Random } from './random.js';
import type { Candidate } from './rendezvous.js';

/** Time between two exchanges of a node, in milliseconds. */
export const EXCHANGE_INTERVAL_MS = 1_000;
/** Nodes up to which a digest may change with each exchange; above, it changes less often in proportion. */
const NODES_AT_BASE_INTERVAL = 16;
/** Digests that one message passes on at most. */
export const MAX_PASSED_ON = 10;
/** A digest is passed on this often times the logarithm of the fleet's size. */
const PASS_ON_FACTOR = 2;
/** Exchanges between two that compare all versions, which heals what passing on has missed. */
const FULL_EXCHANGE_EVERY = 64;
/** How long a node that does not answer stays a member, so that it can say it is there, in milliseconds. */
export const SUSPICION_MS = 3_000;
/** How long a node that is gone is remembered, so that old news of it is not taken for new, in milliseconds. */
const TOMBSTONE_MS = 120_000;

/** The roles a node can have. */
export type NodeRole = 'entry' | 'steward';

/** Use of one workspace at one node. */
export interface WorkspaceDemand {
  readonly workspace: string;
  readonly inUse: number;
  readonly waiting: number;
}

/**
 * What is said of a node: by itself, or, when it is silent, by a peer that it did not answer. A higher
 * (incarnation, version) replaces a lower; at the same, silence replaces presence until the node refutes it.
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
  /** Position of the configuration in force there. */
  readonly configuration: number;
  readonly demand: readonly WorkspaceDemand[];
  /** Suspect requests as `fingerprint:strikes`. */
  readonly suspects: readonly string[];
}

/** The part of a digest that its node sets anew. */
export type OwnDigest = Pick<NodeDigest, 'isLeaving' | 'configuration' | 'demand' | 'suspects'>;

interface Known {
  readonly digest: NodeDigest;
  readonly learnedAtMs: number;
  /** How often it was passed on. */
  passedOn: number;
}

/** What a membership is made of. */
export interface MembershipOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly self: Pick<NodeDigest, 'node' | 'incarnation' | 'role' | 'failureDomain'>;
  readonly seeds: readonly string[];
}

/** The versions a node knows, to be told only what is newer. */
export type VersionVector = ReadonlyMap<string, readonly [incarnation: number, version: number]>;

/**
 * Fleet knowledge by bounded fan-out. In each interval a node calls one peer: the call is its heartbeat and
 * carries what changed lately. A digest is passed on a number of times that grows with the logarithm of the
 * fleet. A peer that does not answer is suspected, the suspicion spreads the same way, and the peer refutes it
 * or is gone.
 */
export class Membership {
  private readonly _known = new Map<string, Known>();
  private _own: NodeDigest;
  private _ownPassedOn = 0;
  private _changedAtMs = -Infinity;
  private _heardAtMs = -Infinity;
  private _turn = 0;
  private _members: readonly NodeDigest[] | undefined;
  private _membersUntilMs = 0;

  constructor(private readonly _options: MembershipOptions) {
    const said = { isLeaving: false, isSilent: false, configuration: 0, demand: [], suspects: [] };
    this._own = { ..._options.self, version: 1, ...said };
  }

  get own(): NodeDigest {
    return this._own;
  }

  /** Monotonic time at which any peer was last heard of directly. */
  get heardAtMs(): number {
    return this._heardAtMs;
  }

  /** Least time between two changes of the demand in a digest: it grows with the fleet, so that traffic does not. */
  changeIntervalMs(): number {
    return EXCHANGE_INTERVAL_MS * Math.max(1, (this._known.size + 1) / NODES_AT_BASE_INTERVAL);
  }

  /** Sets what this node says of itself. Demand alone waits for its interval; all else is told at once. */
  refresh(said: OwnDigest): void {
    const nowMs = this._options.clock.monotonic();
    const { isLeaving, configuration, demand, suspects } = this._own;
    const isUrgent =
      said.isLeaving !== isLeaving ||
      said.configuration !== configuration ||
      JSON.stringify(said.suspects) !== JSON.stringify(suspects);
    const isDemandDue = nowMs - this._changedAtMs >= this.changeIntervalMs();
    const hasNewDemand = isDemandDue && JSON.stringify(said.demand) !== JSON.stringify(demand);
    if (isUrgent || hasNewDemand) this._change(said, nowMs);
  }

  /** A peer to exchange with: members at random, and now and then a seed, which heals partitions. */
  choosePeer(): string | undefined {
    const { random, seeds, self } = this._options;
    const others = this.members().map(({ node }) => node);
    const known = new Set(others);
    const strangers = seeds.filter((seed) => seed !== self.node && !known.has(seed));
    this._turn++;
    const pool = strangers.length > 0 && (others.length === 0 || this._turn % 4 === 0) ? strangers : others;
    return pool[random.below(pool.length)];
  }

  /** Whether the next exchange compares all versions: the first ones, and now and then one. */
  isFullExchangeDue(): boolean {
    return this._turn % FULL_EXCHANGE_EVERY === 1 || this._known.size === 0;
  }

  /** What this node knows, by version. */
  versions(): VersionVector {
    const versions = new Map([[this._own.node, [this._own.incarnation, this._own.version] as const]]);
    for (const [node, { digest }] of this._known) versions.set(node, [digest.incarnation, digest.version]);
    return versions;
  }

  /** Digests that a peer with these versions has not got. */
  newerThan(versions: VersionVector): readonly NodeDigest[] {
    const digests = [this._own, ...[...this._known.values()].map(({ digest }) => digest)];
    return digests.filter((digest) => {
      const known = versions.get(digest.node);
      if (!known) return !digest.isSilent;
      return compareVersions(digest, { incarnation: known[0], version: known[1] }) > 0;
    });
  }

  /** What to pass on in one message: the least told of what changed lately. */
  takeNews(): readonly NodeDigest[] {
    const limit = Math.ceil(PASS_ON_FACTOR * Math.log2(this._known.size + 2));
    const hot = [...this._known.values()].filter(({ passedOn }) => passedOn < limit);
    const chosen = hot.sort((a, b) => a.passedOn - b.passedOn).slice(0, MAX_PASSED_ON);
    for (const known of chosen) known.passedOn++;
    const isOwnHot = this._ownPassedOn++ < limit;
    const news = chosen.map(({ digest }) => digest);
    return isOwnHot ? [this._own, ...news] : news;
  }

  /** Takes in digests; older ones are passed over, and silence said of this node is refuted. */
  learn(digests: readonly NodeDigest[]): void {
    const nowMs = this._options.clock.monotonic();
    for (const digest of digests) {
      if (digest.node === this._own.node) this._refute(digest, nowMs);
      else this._take(digest, nowMs);
    }
    this._forget(nowMs);
  }

  /** A peer was reached. */
  noteReached(): void {
    this._heardAtMs = this._options.clock.monotonic();
  }

  /** A peer did not answer: it is suspected until it says that it is there. */
  noteUnanswered(node: string): void {
    const known = this._known.get(node)?.digest;
    if (known && !known.isSilent) this._take({ ...known, isSilent: true }, this._options.clock.monotonic());
  }

  /** Other nodes that are not gone. */
  members(): readonly NodeDigest[] {
    const nowMs = this._options.clock.monotonic();
    if (this._members && nowMs < this._membersUntilMs) return this._members;
    this._members = [...this._known.values()]
      .filter((known) => isMember(known, nowMs))
      .map(({ digest }) => digest);
    this._membersUntilMs = nowMs + EXCHANGE_INTERVAL_MS / 2;
    return this._members;
  }

  /** Every node of a role that is there and not leaving, this one among them, for placement. */
  candidates(role: NodeRole): readonly Candidate[] {
    return [this._own, ...this.members()]
      .filter((digest) => digest.role === role && !digest.isLeaving)
      .map(({ node, failureDomain }) => ({ id: node, failureDomain }));
  }

  private _change(said: OwnDigest, nowMs: number): void {
    this._own = { ...this._own, ...said, version: this._own.version + 1 };
    this._changedAtMs = nowMs;
    this._ownPassedOn = 0;
  }

  private _refute(digest: NodeDigest, nowMs: number): void {
    const { incarnation, version } = this._own;
    if (!digest.isSilent || digest.incarnation !== incarnation || digest.version < version) return;
    this._own = { ...this._own, version: digest.version };
    this._change(this._own, nowMs);
  }

  private _take(digest: NodeDigest, nowMs: number): void {
    const known = this._known.get(digest.node)?.digest;
    if (known && !isNews(digest, known)) return;
    this._known.set(digest.node, { digest, learnedAtMs: nowMs, passedOn: 0 });
    this._members = undefined;
  }

  private _forget(nowMs: number): void {
    for (const [node, { digest, learnedAtMs }] of this._known) {
      if (digest.isSilent && nowMs - learnedAtMs > TOMBSTONE_MS) this._known.delete(node);
    }
  }
}

function isMember({ digest, learnedAtMs }: Known, nowMs: number): boolean {
  return !digest.isSilent || nowMs - learnedAtMs < SUSPICION_MS;
}

function isNews(digest: NodeDigest, known: NodeDigest): boolean {
  const order = compareVersions(digest, known);
  return order > 0 || (order === 0 && digest.isSilent && !known.isSilent);
}

function compareVersions(
  a: Pick<NodeDigest, 'incarnation' | 'version'>,
  b: Pick<NodeDigest, 'incarnation' | 'version'>,
): number {
  return a.incarnation - b.incarnation || a.version - b.version;
}
