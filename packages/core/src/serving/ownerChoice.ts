import type { Random } from '../random.js';

/** Time constant with which what an owner said of its free capacity loses weight, in milliseconds. */
const FREE_DECAY_MS = 500;

/** An owner of shards that has targets for a request. */
export interface OwnerOption {
  readonly address: string;
  /** Requests that all its targets for the request can take in total. */
  readonly capacity: number;
  /** Whether all these targets are in evacuated failure domains; false by default. */
  readonly isAvoided?: boolean;
}

/** An owner and what it last said of its free capacity. */
export interface InformedOwnerOption extends OwnerOption {
  readonly free: { readonly count: number; readonly ageMs: number } | undefined;
}

/**
 * Chooses the owner that is asked for a target; undefined if there is none.
 *
 * Two are drawn by their capacity, and the one with more free capacity is taken: nodes that all chose the best owner
 * would fill it at once, as each knows only what the owner said a moment ago.
 */
export function chooseOwner(options: readonly InformedOwnerOption[], random: Random): string | undefined {
  const [first] = options;
  if (options.length <= 1 || !first) return first?.address;
  const a = draw(options, random);
  const b = draw(options, random);
  return (estimateFreeShare(a) >= estimateFreeShare(b) ? a : b).address;
}

function draw(options: readonly InformedOwnerOption[], random: Random): InformedOwnerOption {
  const total = options.reduce((sum, { capacity }) => sum + capacity, 0);
  let remaining = random.next() * total;
  for (const option of options) {
    remaining -= option.capacity;
    if (remaining < 0) return option;
  }
  return options[options.length - 1] as InformedOwnerOption;
}

/** Estimated share of the capacity that is free; tends to one half as what is known grows old. */
function estimateFreeShare({ capacity, free }: InformedOwnerOption): number {
  if (!free || capacity === 0) return 0.5;
  const weight = Math.exp(-free.ageMs / FREE_DECAY_MS);
  return weight * Math.min(1, free.count / capacity) + (1 - weight) * 0.5;
}
