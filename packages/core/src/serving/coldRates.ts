/** Time by which the ways of two requests to a target may differ, in milliseconds: the grant's way and a new connection. */
const ARRIVAL_JITTER_MS = 100;
/** Window in which the requests that arrive at a cold target are bounded, and the time from which they may arrive in it. */
const WINDOW_S = (1_000 + ARRIVAL_JITTER_MS) / 1_000;
/** Owners that may assign requests to one target at the same time: the old one and the new one. */
const OWNERS = 2;
/** Nodes that may send to one cold target without its owner. Each needs a whole request, so that all cannot have a share. */
const NODES_WITHOUT_OWNER = 2;
/** Requests per second that each of them may send. */
const NODE_REQUESTS_PER_S = 0.5;
/** Requests that are left of the bound, for one that the target gets twice or late. */
const MARGIN = 1;
/** The same for a warm target, as a share of the bound, where the bound is small. */
const WARM_MARGIN_SHARE = 0.15;
/** Requests that may follow each other at once at a warm target. */
const WARM_BURST = 2;
/** Share of its rate when cold that a warm target gets in any case, where the bound leaves less. */
const MIN_WARM_SHARE = 0.25;
/** Least share of the bound of each node, in requests, where a service has no owner. */
const MIN_NODE_REQUESTS = 3;

/** Bound on the requests that reach a cold target in any second. */
export interface ColdBound {
  /** Requests per second that a cold target tolerates. */
  readonly requestsPerS: number;
  /** Most requests in any second. */
  readonly maxPerS: number;
  /** Whether owners assign the requests of all nodes to the target; otherwise each node chooses by itself. */
  readonly hasOwner: boolean;
}

/** Requests per second, and requests that may follow each other at once. */
export interface BurstRate {
  readonly requestsPerS: number;
  readonly burst: number;
}

/** The shares of a {@link ColdBound}. */
export interface ColdRates {
  /** Rate of one owner at a cold target. */
  readonly owner: BurstRate;
  /** Rate of one owner at a warm target, which may become cold before its owner knows. */
  readonly warmOwner: BurstRate;
  /** Rate of one of the nodes that may send to a cold target without an owner. */
  readonly node: BurstRate;
  /** Number of these nodes. */
  readonly nodes: number;
}

export const NO_REQUESTS: BurstRate = { requestsPerS: 0, burst: 0 };

/** Returns the most requests that arrive in any second at this rate. */
export function countMostArrivals({ requestsPerS, burst }: BurstRate): number {
  return burst + requestsPerS * WINDOW_S;
}

/** Divides the bound of a cold target among two owners and the nodes that choose without them. */
export function computeColdRates(bound: ColdBound, nodeCount: number): ColdRates {
  return bound.hasOwner ? computeOwnedRates(bound) : computeRatesWithoutOwner(bound, nodeCount);
}

function computeOwnedRates({ requestsPerS, maxPerS }: ColdBound): ColdRates {
  const node = { requestsPerS: Math.min(NODE_REQUESTS_PER_S, requestsPerS), burst: 1 };
  const nodesMost = NODES_WITHOUT_OWNER * countMostArrivals(node);
  // A small bound is left to the owners.
  const hasNodes = maxPerS - MARGIN - nodesMost >= OWNERS * NODES_WITHOUT_OWNER;
  const reserved = hasNodes ? nodesMost : 0;
  const owner = createRate((maxPerS - MARGIN - reserved) / OWNERS, 1, requestsPerS);
  const margin = Math.min(MARGIN + reserved, maxPerS * WARM_MARGIN_SHARE);
  const warmBurst = Math.max(1, Math.min(WARM_BURST, maxPerS / 4));
  const warmOwner = createRate(maxPerS - margin, warmBurst, Infinity);
  return {
    owner,
    warmOwner: {
      burst: warmBurst,
      requestsPerS: Math.max(warmOwner.requestsPerS, requestsPerS * MIN_WARM_SHARE),
    },
    node: hasNodes ? node : NO_REQUESTS,
    nodes: hasNodes ? NODES_WITHOUT_OWNER : 0,
  };
}

function computeRatesWithoutOwner({ requestsPerS, maxPerS }: ColdBound, nodeCount: number): ColdRates {
  const most = maxPerS - MARGIN;
  const nodes = Math.max(1, Math.min(nodeCount, Math.floor(most / MIN_NODE_REQUESTS)));
  const node = createRate(most / nodes, 1, requestsPerS / nodes);
  const unbounded = { requestsPerS: Infinity, burst: Infinity };
  return { owner: node, warmOwner: unbounded, node, nodes };
}

/** Returns the rate at which at most `most` requests arrive in any second. */
function createRate(most: number, burst: number, maxRequestsPerS: number): BurstRate {
  const requestsPerS = Math.min(maxRequestsPerS, (most - burst) / WINDOW_S);
  return requestsPerS > 0 ? { requestsPerS, burst } : NO_REQUESTS;
}
