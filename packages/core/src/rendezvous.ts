import { hash32 } from './hashing.js';

/** A node that work can be placed on. */
export interface Candidate {
  readonly id: string;
  readonly failureDomain: string;
}

const SCORE_RANGE = 2 ** 32;

/**
 * Ranks the ids for a key by highest random weight. A member that comes or goes moves only its own keys.
 */
export function rankByRendezvous(key: string, ids: readonly string[]): readonly string[] {
  return ids
    .map((id) => ({ id, score: hash32(`${key}\u0000${id}`) }))
    .sort((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1))
    .map(({ id }) => id);
}

/** The first `count` ids for a key, nodes of `preferredDomain` before all others. */
export function placeByRendezvous(
  key: string,
  candidates: readonly Candidate[],
  options: { readonly count: number; readonly preferredDomain?: string },
): readonly string[] {
  const score = (candidate: Candidate) => {
    const near = candidate.failureDomain === options.preferredDomain ? SCORE_RANGE : 0;
    return near + hash32(`${key}\u0000${candidate.id}`);
  };
  return candidates
    .map((candidate) => ({ id: candidate.id, score: score(candidate) }))
    .sort((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1))
    .slice(0, options.count)
    .map(({ id }) => id);
}
