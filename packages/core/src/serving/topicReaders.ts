import { rankByRendezvous } from '../rendezvous.js';
import { groupBy } from './groupLayout.js';

/** Nodes of one failure domain for which one reads the store. */
const NODES_PER_READER = 64;
/** Largest fleet in which failure domains share their readers; its traffic between domains is small. */
const MAX_SHARING_NODES = 16;
/** Readers of such a fleet; with two, the loss of one costs the others only a failed read. */
const SHARED_READERS = 2;

/** A node that may read the store for others. */
export interface ReaderCandidate {
  readonly node: string;
  readonly address: string;
  readonly failureDomain: string;
}

/** Input of a node's choice of where to read. */
export interface ReaderView {
  readonly self: ReaderCandidate;
  /** All live nodes including this one, those preferred for duties first. */
  readonly nodes: readonly ReaderCandidate[];
  /** Addresses of nodes that read the store anyway, as they plan groups. */
  readonly owners: ReadonlySet<string>;
  /** Addresses of peers that recently did not answer or had nothing new. */
  readonly doubted: ReadonlySet<string>;
}

/** The peer that a node reads through. */
export interface ChosenReader extends ReaderCandidate {
  /** Whether it takes the place of readers that are all doubted, so that it may only now begin to read the store. */
  readonly isSubstitute: boolean;
}

/**
 * Chooses the peer that this node reads through; undefined if it reads the store directly, or if no reader is usable.
 *
 * The calls of a large fleet would use up the store's rate limit even without any fault, so only a few nodes read the
 * store, and the others ask one of these, if possible in their own failure domain. When all of them are doubted, the
 * next nodes take their place: all nodes doubt the same ones, as a reader that cannot read tells each that asks. When
 * these are doubted as well, each node reads the store.
 */
export function chooseReader(view: ReaderView): ChosenReader | undefined {
  const { self, nodes, doubted } = view;
  const isUsable = ({ address }: ReaderCandidate) => !doubted.has(address);
  const regular = listReaders(view);
  const isSubstitute = !regular.some(isUsable);
  const others = nodes.filter((node) => !regular.includes(node));
  const substitutes = isSubstitute ? listReaders({ ...view, nodes: others }) : [];
  if ([...regular, ...substitutes].some(({ address }) => address === self.address)) return undefined;
  const usable = (isSubstitute ? substitutes : regular).filter(isUsable);
  const near = usable.filter(({ failureDomain }) => failureDomain === self.failureDomain);
  const choices = near.length > 0 ? near : usable;
  const [chosen] = rankByRendezvous(
    self.node,
    choices.map(({ address }) => address),
  );
  const reader = choices.find(({ address }) => address === chosen);
  return reader && { ...reader, isSubstitute };
}

function listReaders({ nodes, owners }: ReaderView): readonly ReaderCandidate[] {
  const isOwner = ({ address }: ReaderCandidate) => owners.has(address);
  const ownersFirst = [...nodes].sort((a, b) => Number(isOwner(b)) - Number(isOwner(a)));
  if (nodes.length <= MAX_SHARING_NODES) {
    return ownersFirst.filter((node, index) => index < SHARED_READERS || isOwner(node));
  }
  return [...groupBy(ownersFirst, ({ failureDomain }) => failureDomain).values()].flatMap((domain) => {
    const count = Math.ceil(domain.length / NODES_PER_READER);
    return domain.filter((node, index) => index < count || isOwner(node));
  });
}

/** A peer and how recent its contact with the store is. */
export interface FallbackCandidate extends ReaderCandidate {
  /** Time since its last contact with the store, in milliseconds. */
  readonly storeAgeMs: number;
  /** Whether it reads directly from the store. */
  readonly isFirstHand: boolean;
}

/** Finds the direct reader with the most recent contact with the store, for a node that the store refuses. */
export function findFreshestPeer(
  peers: readonly FallbackCandidate[],
  doubted: ReadonlySet<string>,
  maxAgeMs: number,
): FallbackCandidate | undefined {
  const usable = peers.filter(
    ({ address, storeAgeMs, isFirstHand }) => isFirstHand && !doubted.has(address) && storeAgeMs <= maxAgeMs,
  );
  return [...usable].sort((a, b) => a.storeAgeMs - b.storeAgeMs)[0];
}
