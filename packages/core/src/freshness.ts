/** A node without word from the log for this long must hear from its peers instead, in milliseconds. */
export const LOG_CONTACT_LIMIT_MS = 4_000;

/** What a node knows of how new its configuration is. */
export interface FreshnessView {
  /** Position of the configuration in force here; 0 for none. */
  readonly ownConfiguration: number;
  /** Time since the head of the stream was last reached, directly or through a relay; undefined for never. */
  readonly logContactAgeMs: number | undefined;
  /** Configuration positions of the peers that were heard of lately. */
  readonly peerConfigurations: readonly number[];
  /** Nodes that belong to the fleet, heard of or not, this one among them. */
  readonly fleetSize: number;
}

/** Why a node must not take requests, or that it may. */
export type Freshness =
  | { readonly kind: 'fresh' }
  | { readonly kind: 'stale'; readonly reason: 'no-configuration' | 'behind-peers' | 'isolated' };

/**
 * Whether a node may serve by its configuration. With the log in reach it may. Without it, it needs word from a
 * majority of the fleet, none of which is further on: then no newer configuration can be missed for long.
 */
export function judgeFreshness(view: FreshnessView): Freshness {
  if (view.ownConfiguration === 0) return { kind: 'stale', reason: 'no-configuration' };
  if (view.logContactAgeMs !== undefined && view.logContactAgeMs <= LOG_CONTACT_LIMIT_MS)
    return { kind: 'fresh' };
  if (view.peerConfigurations.some((position) => position > view.ownConfiguration)) {
    return { kind: 'stale', reason: 'behind-peers' };
  }
  const heard = view.peerConfigurations.length + 1;
  return heard * 2 > view.fleetSize ? { kind: 'fresh' } : { kind: 'stale', reason: 'isolated' };
}
