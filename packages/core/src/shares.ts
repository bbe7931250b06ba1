/** One node's demand for a shared limit. */
export interface ShareDemand {
  readonly inUse: number;
  readonly waiting: number;
}

/** Fraction of a limit that is split evenly, so that a node with no demand can start at once. */
const EVEN_SHARE = 0.5;

/**
 * This node's share of a fleet-wide limit, from 0 to 1. Half is split evenly and half by demand, so the
 * shares of all nodes add up to one when they have the same data. If the demand of any peer is unknown
 * because it is silent, the split is even.
 */
export function toFleetShare(own: ShareDemand, others: readonly (ShareDemand | undefined)[]): number {
  const nodes = others.length + 1;
  const ownDemand = own.inUse + own.waiting;
  let total = ownDemand;
  for (const other of others) {
    if (!other) return 1 / nodes;
    total += other.inUse + other.waiting;
  }
  if (total === 0) return 1 / nodes;
  return EVEN_SHARE / nodes + (1 - EVEN_SHARE) * (ownDemand / total);
}

/** A fleet-wide limit scaled to this node; at least one, so that no workspace is shut out. */
export function toLocalLimit(fleetLimit: number, share: number): number {
  return Math.max(1, Math.ceil(fleetLimit * share));
}
