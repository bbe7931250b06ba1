/** What one node says of its use of something shared. */
export interface ShareDemand {
  readonly inUse: number;
  readonly waiting: number;
}

/** Part of the whole that is split evenly, so that a node with no demand can begin at once. */
const EVEN_PART = 0.5;

/**
 * This node's share of something that the whole fleet shares, from 0 to 1. Half is split evenly and half by
 * demand, so the shares of all nodes add up to one when they know the same; with peers silent (no demand known
 * of them) the split is even.
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
  return EVEN_PART / nodes + (1 - EVEN_PART) * (ownDemand / total);
}

/** A whole limit scaled to this node; at least one, so that no workspace is shut out. */
export function toLocalLimit(fleetLimit: number, share: number): number {
  return Math.max(1, Math.ceil(fleetLimit * share));
}
