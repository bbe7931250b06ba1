import type { Loads } from './loads.js';
import type { Random } from './random.js';
import { rankByRendezvous } from './rendezvous.js';
import type { Stragglers } from './stragglers.js';

/** Load relative to the mean up to which a group gets requests by affinity. */
const BOUNDED_LOAD_FACTOR = 1.25;
/** Extra load, as a share of a group's concurrency, that is accepted to keep a request in its region. */
const REGION_PENALTY = 0.5;

/** A group that may get requests: it is whole, of the right version and not leaving. */
export interface RouteCandidate {
  readonly id: string;
  readonly region: string;
  /** Maximum number of concurrent requests. */
  readonly concurrency: number;
}

/** Properties of a request that decide its route. */
export interface RouteRequest {
  /** Hash of the beginning of the prompt; requests with the same hash share cached prefixes. */
  readonly affinityKey?: string | undefined;
  /** A suspect goes to the first group for its key regardless of load, so that all entries choose the same. */
  readonly isSuspect?: boolean;
  /** Groups that this request was already sent to. */
  readonly tried: ReadonlySet<string>;
}

/** Routing policy; all but `affinity` are baselines for benchmarks. */
export type RoutingPolicy = 'affinity' | 'two-choices' | 'round-robin';

/** Dependencies and settings of a `Router`. */
export interface RouterOptions {
  readonly loads: Loads;
  readonly stragglers: Stragglers;
  readonly random: Random;
  readonly region: string;
  readonly policy?: RoutingPolicy;
}

/** Chooses a group for a request. */
export class Router {
  private _nextIndex = 0;

  constructor(private readonly _options: RouterOptions) {}

  /** The group to send to, or undefined when every candidate is full or was tried. */
  choose(candidates: readonly RouteCandidate[], request: RouteRequest): RouteCandidate | undefined {
    const untried = candidates.filter(({ id }) => !request.tried.has(id));
    const policy = this._options.policy ?? 'affinity';
    switch (policy) {
      case 'round-robin':
        return this._chooseRoundRobin(untried);
      case 'two-choices':
        return this._chooseOfTwo(this._findUsable(untried));
      case 'affinity':
        return this._chooseByAffinity(this._findUsable(untried), request);
    }
  }

  private _chooseRoundRobin(candidates: readonly RouteCandidate[]): RouteCandidate | undefined {
    return candidates.length === 0 ? undefined : candidates[this._nextIndex++ % candidates.length];
  }

  private _chooseByAffinity(
    usable: readonly RouteCandidate[],
    request: RouteRequest,
  ): RouteCandidate | undefined {
    const { affinityKey } = request;
    if (affinityKey === undefined) return this._chooseOfTwo(usable);
    const local = usable.filter(({ region }) => region === this._options.region);
    const pool = local.length > 0 ? local : usable;
    const bound = request.isSuspect === true ? Infinity : this._loadBound(pool);
    const ranked = rankByRendezvous(
      affinityKey,
      pool.map(({ id }) => id),
    );
    const chosen = ranked.find((id) => this._options.loads.estimate(id) < bound);
    return pool.find(({ id }) => id === chosen) ?? this._chooseOfTwo(usable);
  }

  private _loadBound(pool: readonly RouteCandidate[]): number {
    const total = pool.reduce((sum, { id }) => sum + this._options.loads.estimate(id), 0);
    return Math.ceil((BOUNDED_LOAD_FACTOR * (total + 1)) / Math.max(1, pool.length));
  }

  private _chooseOfTwo(usable: readonly RouteCandidate[]): RouteCandidate | undefined {
    const { random } = this._options;
    const first = usable[random.below(usable.length)];
    if (!first || usable.length === 1) return first;
    const others = usable.filter((candidate) => candidate !== first);
    const second = others[random.below(others.length)];
    if (!second) return first;
    return this._cost(second) < this._cost(first) ? second : first;
  }

  private _cost(candidate: RouteCandidate): number {
    const penalty = candidate.region === this._options.region ? 0 : REGION_PENALTY;
    return this._options.loads.estimate(candidate.id) / candidate.concurrency + penalty;
  }

  /**
   * Candidates with free capacity. A due probe goes first; otherwise those on probation are used only if no
   * other is left.
   */
  private _findUsable(candidates: readonly RouteCandidate[]): readonly RouteCandidate[] {
    const { loads, stragglers } = this._options;
    const available = candidates.filter(({ id, concurrency }) => loads.estimate(id) < concurrency);
    const healthy = available.filter(({ id }) => !stragglers.isOnProbation(id));
    const probe = available.find(({ id }) => stragglers.isOnProbation(id) && stragglers.acquireProbe(id));
    if (probe) return [probe];
    return healthy.length > 0 ? healthy : available;
  }
}
