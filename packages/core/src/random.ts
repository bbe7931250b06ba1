import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A source of random numbers, seeded so that a run can be repeated. */
export interface Random {
  /** A number in [0, 1). */
  next(): number;
  /** A whole number in [0, limit). */
  below(limit: number): number;
}

/** Creates a source that repeats its numbers for the same seed. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return {
    next: () => uniformFloat64(generator),
    below: (limit) => uniformInt(generator, 0, Math.max(0, limit - 1)),
  };
}
