import { hash32 } from './hashing.js';

/** A node that work can be placed on. */
export interface Candidate {
  readonly id: string;
  readonly failureDomain: string;
}

/**
 * Maximum number of cached id hashes; with the cache, placing many keys on the same nodes hashes each node
 * once.
 */
const MAX_CACHED_HASHES = 16_384;

const hashCache = new Map<string, number>();

function getHash(id: string): number {
  const cached = hashCache.get(id);
  if (cached !== undefined) return cached;
  if (hashCache.size >= MAX_CACHED_HASHES) hashCache.clear();
  const hash = hash32(id);
  hashCache.set(id, hash);
  return hash;
}

/** Mixes two hashes into one score; every bit of both reaches every bit of the result. */
function mix(keyHash: number, idHash: number): number {
  let value = (keyHash ^ Math.imul(idHash, 0x9e3779b1)) >>> 0;
  value = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
  value = Math.imul(value ^ (value >>> 13), 0xc2b2ae35);
  return (value ^ (value >>> 16)) >>> 0;
}

/** Ranks the ids for a key by highest random weight. An id that is added or removed moves only its own keys. */
export function rankByRendezvous(key: string, ids: readonly string[]): readonly string[] {
  const keyHash = hash32(key);
  return ids
    .map((id) => ({ id, score: mix(keyHash, getHash(id)) }))
    .sort((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1))
    .map(({ id }) => id);
}

interface Scored {
  readonly candidate: Candidate;
  readonly isPreferred: boolean;
  readonly score: number;
}

/** The first `count` ids for a key, nodes of `preferredDomain` before all others. */
export function placeByRendezvous(
  key: string,
  candidates: readonly Candidate[],
  options: { readonly count: number; readonly preferredDomain?: string },
): readonly string[] {
  const keyHash = hash32(key);
  const best: Scored[] = [];
  for (const candidate of candidates) {
    const score = mix(keyHash, getHash(candidate.id));
    const isPreferred = candidate.failureDomain === options.preferredDomain;
    insert(best, { candidate, isPreferred, score }, options.count);
  }
  return best.map(({ candidate }) => candidate.id);
}

/** Inserts in order and keeps the `count` best; cheaper than sorting all candidates when `count` is small. */
function insert(best: Scored[], scored: Scored, count: number): void {
  const last = best.at(-1);
  if (best.length >= count && last && !isBefore(scored, last)) return;
  const index = best.findIndex((other) => isBefore(scored, other));
  best.splice(index === -1 ? best.length : index, 0, scored);
  if (best.length > count) best.pop();
}

function isBefore(a: Scored, b: Scored): boolean {
  if (a.isPreferred !== b.isPreferred) return a.isPreferred;
  if (a.score !== b.score) return a.score > b.score;
  return a.candidate.id < b.candidate.id;
}
