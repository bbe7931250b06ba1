/** Time without log contact after which a node needs contact with its peers instead, in milliseconds. */
export const LOG_CONTACT_LIMIT_MS = 4_000;

/** What a node knows about how recent its configuration is. */
export interface FreshnessView {
  /** Position of the configuration that this node uses; 0 for none. */
  readonly ownConfiguration: number;
  /** Time since the head of the stream was last reached, directly or through a relay; undefined for never. */
  readonly logContactAgeMs: number | undefined;
  /** Configuration positions of the peers with recent contact. */
  readonly peerConfigurations: readonly number[];
  /** Number of nodes in the fleet, with or without contact, including this one. */
  readonly fleetSize: number;
}

/** Whether a node may take requests, and why not. */
export type Freshness =
  | { readonly kind: 'fresh' }
  | { readonly kind: 'stale'; readonly reason: 'no-configuration' | 'behind-peers' | 'isolated' };

/**
 * Checks whether a node's configuration is recent enough to serve. With recent log contact it is. Without,
 * the node needs contact with a majority of the fleet and no peer with a newer configuration, so that it
 * cannot miss a newer one for long.
 */
export function checkFreshness(view: FreshnessView): Freshness {
  if (view.ownConfiguration === 0) return { kind: 'stale', reason: 'no-configuration' };
  if (view.logContactAgeMs !== undefined && view.logContactAgeMs <= LOG_CONTACT_LIMIT_MS)
    return { kind: 'fresh' };
  if (view.peerConfigurations.some((position) => position > view.ownConfiguration)) {
    return { kind: 'stale', reason: 'behind-peers' };
  }
  const heard = view.peerConfigurations.length + 1;
  return heard * 2 > view.fleetSize ? { kind: 'fresh' } : { kind: 'stale', reason: 'isolated' };
}
