import { hash32 } from './hashing.js';

/** A node that work can be placed on. */
export interface Candidate {
  readonly id: string;
  readonly failureDomain: string;
}

/** Hashes of ids that are kept, so that placing many keys on the same nodes hashes each node once. */
const MAX_KEPT_HASHES = 16_384;

const hashes = new Map<string, number>();

function hashOf(id: string): number {
  const kept = hashes.get(id);
  if (kept !== undefined) return kept;
  if (hashes.size >= MAX_KEPT_HASHES) hashes.clear();
  const hash = hash32(id);
  hashes.set(id, hash);
  return hash;
}

/** Mixes two hashes into one score; every bit of both reaches every bit of the result. */
function mix(keyHash: number, idHash: number): number {
  let value = (keyHash ^ Math.imul(idHash, 0x9e3779b1)) >>> 0;
  value = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
  value = Math.imul(value ^ (value >>> 13), 0xc2b2ae35);
  return (value ^ (value >>> 16)) >>> 0;
}

/**
 * Ranks the ids for a key by highest random weight. A member that comes or goes moves only its own keys.
 */
export function rankByRendezvous(key: string, ids: readonly string[]): readonly string[] {
  const keyHash = hash32(key);
  return ids
    .map((id) => ({ id, score: mix(keyHash, hashOf(id)) }))
    .sort((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1))
    .map(({ id }) => id);
}

interface Scored {
  readonly candidate: Candidate;
  readonly isNear: boolean;
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
    const score = mix(keyHash, hashOf(candidate.id));
    const isNear = candidate.failureDomain === options.preferredDomain;
    insert(best, { candidate, isNear, score }, options.count);
  }
  return best.map(({ candidate }) => candidate.id);
}

/** Keeps the `count` best in order; for the few that are asked for this beats sorting all. */
function insert(best: Scored[], scored: Scored, count: number): void {
  const last = best.at(-1);
  if (best.length >= count && last && !isBefore(scored, last)) return;
  const index = best.findIndex((other) => isBefore(scored, other));
  best.splice(index === -1 ? best.length : index, 0, scored);
  if (best.length > count) best.pop();
}

function isBefore(a: Scored, b: Scored): boolean {
  if (a.isNear !== b.isNear) return a.isNear;
  if (a.score !== b.score) return a.score > b.score;
  return a.candidate.id < b.candidate.id;
}
