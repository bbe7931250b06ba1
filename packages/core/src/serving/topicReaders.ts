import { placeByRendezvous } from '../rendezvous.js';

/** Nodes of a failure domain for each of which one reads the store for the others; a reader answers so many easily. */
const NODES_PER_READER = 16;

/** A node of the fleet, as far as reading the store goes. */
export interface ReaderCandidate {
  readonly node: string;
  readonly failureDomain: string;
  /** Milliseconds since it last heard from the store. */
  readonly storeAgeMs: number;
  /** Whether it reads the store itself. */
  readonly isFirstHand: boolean;
}

/** What a node knows when it chooses where to read. */
export interface ReaderView {
  readonly node: string;
  readonly failureDomain: string;
  /** Other nodes that live. */
  readonly peers: readonly ReaderCandidate[];
  /** Peers that did not answer, or had nothing new, a moment ago. */
  readonly doubted: ReadonlySet<string>;
}

/**
 * The peer that this node reads through; undefined where it reads the store itself.
 *
 * Load pattern: a large fleet, whose calls would take up the store's rate, in an hour without any fault. A few nodes
 * of each failure domain read, the others ask one of these.
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

/** The peer that reads the store itself and heard from it last, for a node that the store turns away. */
export function freshestPeer(
  { peers, doubted }: Pick<ReaderView, 'peers' | 'doubted'>,
  maxAgeMs: number,
): string | undefined {
  const usable = peers.filter(
    ({ node, storeAgeMs, isFirstHand }) => isFirstHand && !doubted.has(node) && storeAgeMs <= maxAgeMs,
  );
  const [freshest] = [...usable].sort((a, b) => a.storeAgeMs - b.storeAgeMs);
  return freshest?.node;
}
