import { MonsoonreachError } from '../errors.js';
import { hash32 } from '../hashing.js';

/** Number of shards. Each holds the fabric domains whose names hash to it; the number must not change in a deployment. */
export const SHARD_COUNT = 32;
/** Terms reserved for each record in the store, so that shards can be handed over while the store is out. */
const TERMS_PER_RECORD = 16;
/** Terms reserved for each era of the store, so that those of a later era are higher; enough for a million records. */
const TERMS_PER_ERA = 2 ** 24;
/** Epochs of groups reserved for each term, so that those of a later term are higher. */
export const MAX_EPOCHS_PER_TERM = 100_000;
/** The last era whose terms still give epochs that are represented exactly. */
const MAX_ERA = Math.floor(Number.MAX_SAFE_INTEGER / (TERMS_PER_ERA * MAX_EPOCHS_PER_TERM)) - 1;
/** Instances for which one owner forms groups and assigns requests. */
const INSTANCES_PER_OWNER = 256;

/** The node that forms the groups of a shard and assigns requests to them. */
export interface ShardOwner {
  /** Identifies one start of a node: after a restart it has lost what it knew as owner. */
  readonly id: string;
  /** Address at which peers reach it. */
  readonly address: string;
  /** Increases with every change of the owner; the fencing token of the owner's orders. */
  readonly term: number;
}

/** Owners by shard; undefined where no owner is known. */
export type Ownership = readonly (ShardOwner | undefined)[];

/** A node that may own shards. */
export interface OwnerCandidate {
  readonly id: string;
  readonly address: string;
}

export const NO_OWNERS: Ownership = Array.from({ length: SHARD_COUNT }, () => undefined);

/** Maximum number of cached shards of fabric domains. */
const MAX_CACHED_SHARDS = 4_096;

const shardCache = new Map<string, number>();

/** Returns the shard of a fabric domain. */
export function findShard(fabricDomain: string): number {
  const cached = shardCache.get(fabricDomain);
  if (cached !== undefined) return cached;
  if (shardCache.size >= MAX_CACHED_SHARDS) shardCache.clear();
  const shard = hash32(fabricDomain) % SHARD_COUNT;
  shardCache.set(fabricDomain, shard);
  return shard;
}

/** A position of the log has no term of its own: those of its era are used up, or the era is too late. */
export class TermRangeError extends MonsoonreachError {
  readonly code = 'term-range';
}

/**
 * Term of the owners that a record at this position of the log names; higher than all terms of earlier positions and
 * of earlier eras, in which the same offsets were given out before.
 * @throws TermRangeError
 */
export function toTerm({ era, offset }: { readonly era: number; readonly offset: number }): number {
  const termInEra = (offset + 1) * TERMS_PER_RECORD;
  if (termInEra >= TERMS_PER_ERA || era > MAX_ERA)
    throw new TermRangeError(`There is no term for offset ${offset} in era ${era}.`);
  return era * TERMS_PER_ERA + termInEra;
}

/** Number of nodes that should own shards. */
export function countOwners(instances: number): number {
  return Math.min(SHARD_COUNT, Math.max(1, Math.ceil(instances / INSTANCES_PER_OWNER)));
}

/** Merges two views by the higher term of each shard; returns `known` itself if it already has the highest terms. */
export function mergeOwnership(known: Ownership, reported: Ownership): Ownership {
  const isNewer = (shard: number) => (reported[shard]?.term ?? 0) > (known[shard]?.term ?? 0);
  if (!known.some((_, shard) => isNewer(shard))) return known;
  return known.map((owner, shard) => (isNewer(shard) ? reported[shard] : owner));
}

/**
 * Sum of all terms; of two views of which one includes the other, the newer has the greater sum. Views that each include
 * a change that the other lacks may have the same sum.
 */
export function sumTerms(ownership: Ownership): number {
  return ownership.reduce((sum, owner) => sum + (owner?.term ?? 0), 0);
}

/** Returns the distinct owners. */
export function listOwners(ownership: Ownership): readonly OwnerCandidate[] {
  const owners = new Map<string, OwnerCandidate>();
  for (const owner of ownership) if (owner) owners.set(owner.id, owner);
  return [...owners.values()];
}

/** Input of an assignment of shards. */
export interface ShardAssignmentOptions {
  readonly ownership: Ownership;
  /** Live nodes that may own shards, the preferred first. */
  readonly candidates: readonly OwnerCandidate[];
  /** Number of nodes that should own shards. */
  readonly ownerCount: number;
  /** Term of the owners of newly assigned shards. */
  readonly term: number;
}

/**
 * Assigns the shards whose owner is not among the candidates. A live owner keeps its shards, so that a change affects
 * as few groups as possible. Returns undefined if no shard is vacant or there is no candidate.
 */
export function assignVacantShards(options: ShardAssignmentOptions): Ownership | undefined {
  const { ownership, candidates, ownerCount, term } = options;
  const live = new Map(candidates.map((candidate) => [candidate.id, candidate]));
  const counts = new Map<string, number>();
  for (const owner of ownership) {
    if (owner && live.has(owner.id)) counts.set(owner.id, (counts.get(owner.id) ?? 0) + 1);
  }
  const isVacant = (owner: ShardOwner | undefined) => !owner || !live.has(owner.id);
  if (candidates.length === 0 || !ownership.some(isVacant)) return undefined;
  for (const { id } of candidates) {
    if (counts.size >= ownerCount) break;
    if (!counts.has(id)) counts.set(id, 0);
  }
  return ownership.map((owner) => {
    if (!isVacant(owner)) return owner;
    const [id, count] = [...counts].reduce((least, other) => (other[1] < least[1] ? other : least));
    counts.set(id, count + 1);
    return { id, address: live.get(id)?.address ?? '', term };
  });
}

/**
 * Hands the shards of a node that stops over to another node, without the store. Only the owner itself may do so, and it
 * must not act as owner afterwards. Returns undefined if it owns none, there is no successor, or the reserved terms are
 * used up.
 */
export function handOverShards(
  ownership: Ownership,
  id: string,
  successors: readonly OwnerCandidate[],
): Ownership | undefined {
  const owners = new Set(listOwners(ownership).map((owner) => owner.id));
  const others = successors.filter((candidate) => candidate.id !== id);
  const successor = others.find((candidate) => !owners.has(candidate.id)) ?? others[0];
  const isTransferable = (owner: ShardOwner | undefined): owner is ShardOwner =>
    owner?.id === id && (owner.term + 1) % TERMS_PER_RECORD !== 0;
  if (!successor || !ownership.some(isTransferable)) return undefined;
  return ownership.map((owner) =>
    isTransferable(owner) ? { id: successor.id, address: successor.address, term: owner.term + 1 } : owner,
  );
}
