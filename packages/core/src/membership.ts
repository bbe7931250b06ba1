import type { Clock } from './clock.js';
import type { Random } from './random.js';
import type { Candidate } from './rendezvous.js';

/** A node is taken for gone after this many of its refresh intervals without news. */
const SILENT_INTERVALS = 6;
/** Digests that one exchange carries at most. */
export const MAX_DIGESTS_PER_EXCHANGE = 64;
const BASE_INTERVAL_MS = 1_000;
/** Nodes up to which digests are refreshed at the base interval; above, the interval grows in proportion. */
const NODES_AT_BASE_INTERVAL = 32;
/** How long a node that is gone is remembered, so that old news of it is not taken for new. */
const TOMBSTONE_MS = 120_000;

/** The roles a node can have. */
export type NodeRole = 'entry' | 'steward';

/** Use of one workspace at one node. */
export interface WorkspaceDemand {
  readonly workspace: string;
  readonly inUse: number;
  readonly waiting: number;
}

/** What a node says of itself; a higher (incarnation, version) replaces a lower. */
export interface NodeDigest {
  readonly node: string;
  /** Wall-clock time at which the process started, in milliseconds. */
  readonly incarnation: number;
  readonly version: number;
  readonly role: NodeRole;
  readonly failureDomain: string;
  readonly isLeaving: boolean;
  /** Position of the configuration in force there. */
  readonly configuration: number;
  readonly demand: readonly WorkspaceDemand[];
  /** Suspect requests as `fingerprint:strikes`. */
  readonly suspects: readonly string[];
}

/** The part of a digest that its node sets anew. */
export type OwnDigest = Omit<NodeDigest, 'node' | 'incarnation' | 'version' | 'role' | 'failureDomain'>;

interface Known {
  readonly digest: NodeDigest;
  readonly heardAtMs: number;
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
 * Fleet knowledge by bounded fan-out: each interval a node exchanges digests with one random member, both ways,
 * sending only what the other has not got. Failure is suspected by silence; a node that comes back is newer by
 * its incarnation.
 */
export class Membership {
  private readonly _known = new Map<string, Known>();
  private _own: NodeDigest;
  private _turn = 0;

  constructor(private readonly _options: MembershipOptions) {
    this._own = {
      ..._options.self,
      version: 1,
      isLeaving: false,
      configuration: 0,
      demand: [],
      suspects: [],
    };
  }

  get own(): NodeDigest {
    return this._own;
  }

  /** Milliseconds between refreshes of the own digest: it grows with the fleet, so that traffic does not. */
  refreshIntervalMs(): number {
    return BASE_INTERVAL_MS * Math.max(1, (this._known.size + 1) / NODES_AT_BASE_INTERVAL);
  }

  /** Sets what this node says of itself. */
  refresh(own: OwnDigest): void {
    this._own = { ...this._own, ...own, version: this._own.version + 1 };
  }

  /** A peer to exchange with: members in random order, and now and then a seed, which heals partitions. */
  choosePeer(): string | undefined {
    const { random, seeds, self } = this._options;
    const others = this.members().map(({ node }) => node);
    const strangers = seeds.filter((seed) => seed !== self.node && !others.includes(seed));
    this._turn++;
    const pool = strangers.length > 0 && (others.length === 0 || this._turn % 4 === 0) ? strangers : others;
    return pool[random.below(pool.length)];
  }

  /** What this node knows, by version. */
  versions(): VersionVector {
    const versions = new Map([[this._own.node, [this._own.incarnation, this._own.version] as const]]);
    for (const [node, { digest }] of this._known) {
      if (this._isFresh(node)) versions.set(node, [digest.incarnation, digest.version]);
    }
    return versions;
  }

  /** Digests that a peer with these versions has not got; the own one first, then in random order. */
  newerThan(versions: VersionVector): readonly NodeDigest[] {
    const known = [...this._known.values()].filter(({ digest }) => this._isFresh(digest.node));
    const digests = [
      this._own,
      ...shuffle(
        known.map(({ digest }) => digest),
        this._options.random,
      ),
    ];
    return digests
      .filter((digest) => isNewer(digest, versions.get(digest.node)))
      .slice(0, MAX_DIGESTS_PER_EXCHANGE);
  }

  /** Takes in digests; older ones are passed over. */
  learn(digests: readonly NodeDigest[]): void {
    const nowMs = this._options.clock.monotonic();
    for (const digest of digests) {
      if (digest.node === this._own.node) continue;
      const known = this._known.get(digest.node)?.digest;
      if (known && !isNewer(digest, [known.incarnation, known.version])) continue;
      this._known.set(digest.node, { digest, heardAtMs: nowMs });
    }
    this._forget(nowMs);
  }

  /** Other nodes that are not silent. */
  members(): readonly NodeDigest[] {
    return [...this._known.values()].map(({ digest }) => digest).filter(({ node }) => this._isFresh(node));
  }

  /** Every node of a role that is there and not leaving, this one among them, for placement. */
  candidates(role: NodeRole): readonly Candidate[] {
    return [this._own, ...this.members()]
      .filter((digest) => digest.role === role && !digest.isLeaving)
      .map(({ node, failureDomain }) => ({ id: node, failureDomain }));
  }

  /** Nodes known lately, silent or not; the base of a majority. */
  knownSize(): number {
    return this._known.size + 1;
  }

  private _isFresh(node: string): boolean {
    const known = this._known.get(node);
    if (!known) return false;
    return this._options.clock.monotonic() - known.heardAtMs < SILENT_INTERVALS * this.refreshIntervalMs();
  }

  private _forget(nowMs: number): void {
    for (const [node, { heardAtMs }] of this._known) {
      if (nowMs - heardAtMs > TOMBSTONE_MS) this._known.delete(node);
    }
  }
}

function isNewer(digest: NodeDigest, known: readonly [number, number] | undefined): boolean {
  if (!known) return true;
  return digest.incarnation > known[0] || (digest.incarnation === known[0] && digest.version > known[1]);
}

function shuffle<Item>(items: readonly Item[], random: Random): readonly Item[] {
  const shuffled = [...items];
  for (let index = shuffled.length - 1; index > 0; index--) {
    const other = random.below(index + 1);
    [shuffled[index], shuffled[other]] = [shuffled[other] as Item, shuffled[index] as Item];
  }
  return shuffled;
}
