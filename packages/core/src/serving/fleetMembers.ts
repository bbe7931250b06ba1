import { hash32 } from '../hashing.js';

/** Number of nodes, beside the owners of shards, whose liveness all nodes learn quickly. */
const HUB_COUNT = 3;

/** A node of this system, as it describes itself. */
export interface Member {
  readonly node: string;
  /** Identifies one start of the node. */
  readonly id: string;
  /** Address at which peers reach it. */
  readonly address: string;
  readonly failureDomain: string;
  /** Processor cores of its instance; larger nodes take on more duties. */
  readonly capacity: number;
}

/** Separates the name of a node from its incarnation in the id of one start. */
const ID_SEPARATOR = '#';

/** Identifies one start of a node. */
export function createMemberId(node: string, incarnation: string): string {
  return `${node}${ID_SEPARATOR}${incarnation}`;
}

export function getIncarnation({ node, id }: Pick<Member, 'node' | 'id'>): string {
  return id.slice(node.length + ID_SEPARATOR.length);
}

/** How long after it was last heard of a node counts as live. */
export interface MemberTimeouts {
  /** For nodes whose liveness is relayed, in milliseconds. */
  readonly relayedMs: number;
  /** For all others, which are heard of only directly, in milliseconds. */
  readonly directMs: number;
}

/** A node and the monotonic time at which it was last heard of. */
export interface HeardMember {
  readonly member: Member;
  readonly atMs: number;
}

interface Entry {
  member: Member;
  readonly hash: number;
  heardAtMs: number;
  /** When this node last asked it in vain; what others heard before does not count. */
  lostAtMs: number;
  isLeaving: boolean;
  /** Monotonic time since which other nodes relay when they heard of it; undefined while they don't. */
  relayedSinceMs: number | undefined;
}

/**
 * The nodes of the fleet, as far as this one knows.
 *
 * In a large fleet a node rarely hears of each other node. The few that have duties for all, and those that would take
 * them over, are therefore relayed: each node tells when it, or a node that it heard from, last heard of them.
 */
export class FleetMembers {
  private readonly _entries = new Map<string, Entry>();
  /** Entries by preference; undefined when it has to be sorted again. */
  private _sorted: readonly Entry[] | undefined;

  constructor(readonly self: Member) {}

  /** Number of other nodes. */
  get size(): number {
    return this._entries.size;
  }

  /** Adds a node that another one knows; one that was heard of directly is not changed. */
  add(member: Member, nowMs: number): void {
    if (member.address === this.self.address || this._entries.has(member.address)) return;
    this._entries.set(member.address, {
      member,
      hash: hash32(member.node),
      heardAtMs: nowMs,
      lostAtMs: -Infinity,
      isLeaving: false,
      relayedSinceMs: undefined,
    });
    this._sorted = undefined;
  }

  /** Records a message from the node itself. */
  recordDigest(member: Member, isLeaving: boolean, nowMs: number): void {
    this.add(member, nowMs);
    const entry = this._entries.get(member.address);
    if (!entry) return;
    if (entry.member.capacity !== member.capacity) this._sorted = undefined;
    entry.member = member;
    entry.heardAtMs = nowMs;
    entry.isLeaving = isLeaving;
  }

  /**
   * Records that some node heard of this incarnation of a node at the monotonic time `atMs`. Of two incarnations, the
   * one that was heard of later is the current one.
   */
  recordHeard(address: string, incarnation: string, atMs: number): void {
    const entry = this._entries.get(address);
    if (!entry || atMs <= entry.heardAtMs || atMs <= entry.lostAtMs) return;
    entry.heardAtMs = atMs;
    const id = createMemberId(entry.member.node, incarnation);
    if (entry.member.id !== id) entry.member = { ...entry.member, id };
  }

  /** Records that a node did not answer this one. */
  recordLost(address: string, nowMs: number): void {
    const entry = this._entries.get(address);
    if (!entry) return;
    entry.lostAtMs = nowMs;
    entry.heardAtMs = -Infinity;
  }

  /** Removes nodes that were not heard of for `ttlMs`. */
  removeExpired(ttlMs: number, nowMs: number): void {
    for (const [address, { heardAtMs, lostAtMs }] of this._entries) {
      if (nowMs - Math.max(heardAtMs, lostAtMs) <= ttlMs) continue;
      this._entries.delete(address);
      this._sorted = undefined;
    }
  }

  listAddresses(): readonly string[] {
    return [...this._entries.keys()];
  }

  listMembers(): readonly Member[] {
    return [...this._entries.values()].map(({ member }) => member);
  }

  /** Updates which nodes are relayed: the owners and the first live candidates; returns when each was last heard of. */
  updateRelayed(
    owners: ReadonlySet<string>,
    timeouts: MemberTimeouts,
    nowMs: number,
  ): readonly HeardMember[] {
    const hubs = this.listLive(timeouts, nowMs).slice(0, HUB_COUNT);
    const relayed = new Set([...hubs.map(({ address }) => address), ...owners]);
    const heard: HeardMember[] = [];
    for (const [address, entry] of this._entries) {
      if (relayed.has(address)) {
        entry.relayedSinceMs ??= nowMs;
        const { member, heardAtMs: atMs } = entry;
        if (atMs > -Infinity) heard.push({ member, atMs });
      } else entry.relayedSinceMs = undefined;
    }
    return heard;
  }

  /** Returns the other nodes that are live and not leaving, those with the most capacity first. */
  listLive(timeouts: MemberTimeouts, nowMs: number): readonly Member[] {
    this._sorted ??= [...this._entries.values()].sort(comparePreference);
    return this._sorted
      .filter((entry) => !entry.isLeaving && isLive(entry, timeouts, nowMs))
      .map(({ member }) => member);
  }
}

/** Adds a node to others that are sorted by preference. */
export function insertByPreference(others: readonly Member[], added: Member): readonly Member[] {
  const hash = hash32(added.node);
  const index = others.findIndex(
    (member) => comparePreference({ member: added, hash }, { member, hash: hash32(member.node) }) < 0,
  );
  return index === -1 ? [...others, added] : [...others.slice(0, index), added, ...others.slice(index)];
}

/** Orders nodes by their capacity for duties, then by a hash, so that all nodes agree on the order. */
function comparePreference(a: Pick<Entry, 'member' | 'hash'>, b: Pick<Entry, 'member' | 'hash'>): number {
  return b.member.capacity - a.member.capacity || a.hash - b.hash || (a.member.node < b.member.node ? -1 : 1);
}

function isLive(
  { heardAtMs, lostAtMs, relayedSinceMs }: Entry,
  { relayedMs, directMs }: MemberTimeouts,
  nowMs: number,
): boolean {
  if (heardAtMs < lostAtMs) return false;
  if (relayedSinceMs === undefined) return nowMs - heardAtMs < directMs;
  // A node that is relayed only now may not have been heard of for long, although it is live.
  return nowMs - heardAtMs < relayedMs || nowMs - relayedSinceMs < relayedMs;
}
