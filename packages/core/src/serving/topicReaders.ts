import { placeByRendezvous } from '../rendezvous.js';

/** Nodes per reader in a failure domain; one reader easily serves that many. */
const NODES_PER_READER = 16;

/** A peer that may read the store for others. */
export interface ReaderCandidate {
  readonly node: string;
  readonly failureDomain: string;
  /** Time since its last contact with the store, in milliseconds. */
  readonly storeAgeMs: number;
  /** Whether it reads directly from the store. */
  readonly isFirstHand: boolean;
}

/** Input of a node's choice of where to read. */
export interface ReaderView {
  readonly node: string;
  readonly failureDomain: string;
  /** Other live nodes. */
  readonly peers: readonly ReaderCandidate[];
  /** Names of peers that recently did not answer or had nothing new. */
  readonly doubted: ReadonlySet<string>;
}

/**
 * Chooses the peer that this node reads through; undefined if it reads the store directly, or if no reader is usable.
 *
 * The calls of a large fleet would use up the store's rate limit even without any fault, so only a few nodes of each
 * failure domain read the store, and the others ask one of these.
 */
export function chooseReader({ node, failureDomain, peers, doubted }: ReaderView): string | undefined {
  const neighbours = peers.filter((peer) => peer.failureDomain === failureDomain);
  const count = Math.ceil((neighbours.length + 1) / NODES_PER_READER);
  const candidates = [node, ...neighbours.map((peer) => peer.node)].map((id) => ({ id, failureDomain }));
  const readers = placeByRendezvous(`readers/${failureDomain}`, candidates, { count });
  if (readers.includes(node)) return undefined;
  const usable = readers.filter((id) => !doubted.has(id)).map((id) => ({ id, failureDomain }));
  return placeByRendezvous(node, usable, { count: 1 })[0];
}

/** Finds the direct reader with the most recent contact with the store, for a node that the store refuses. */
export function findFreshestPeer(
  { peers, doubted }: Pick<ReaderView, 'peers' | 'doubted'>,
  maxAgeMs: number,
): string | undefined {
  const usable = peers.filter(
    ({ node, storeAgeMs, isFirstHand }) => isFirstHand && !doubted.has(node) && storeAgeMs <= maxAgeMs,
  );
  const [freshest] = [...usable].sort((a, b) => a.storeAgeMs - b.storeAgeMs);
  return freshest?.node;
}
