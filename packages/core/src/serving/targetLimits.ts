import type { Clock } from '../clock.js';
import {
  type BurstRate,
  type ColdBound,
  type ColdRates,
  computeColdRates,
  NO_REQUESTS,
} from './coldRates.js';

/** Requests that may follow each other at once after a pause, as the time in which the limit allows so many. */
const BURST_S = 0.5;
/** Time for which a limit holds that no answer repeats, in milliseconds, beyond the time for one more request. */
const LIMIT_TTL_MS = 10_000;
/** Lowest limit that decides that time, in requests per second. */
const MIN_REQUESTS_PER_S = 0.1;
/** Time for which peers are told that a limit has ended, in milliseconds; a few reports. */
const LIFTED_TTL_MS = 3_000;

/** Time in which the rate of a target rises after it was cold, in milliseconds; one step would meet all waiting requests. */
const RAMP_MS = 2_000;

/** The requests per second that an instance takes from all nodes together; undefined if it names no limit any more. */
export interface InstanceLimit {
  readonly requestsPerS: number | undefined;
  /** Monotonic time at which the instance said so, in milliseconds. */
  readonly namedAtMs: number;
}

const SCOPES = ['fleet', 'node'] as const;

/** Whose requests count: those of all nodes, which the owner of the target assigns, or those of this node alone. */
export type LimitScope = (typeof SCOPES)[number];

interface Bucket {
  tokens: number;
  updatedAtMs: number;
}

interface LimitState {
  limit: InstanceLimit;
  readonly buckets: Readonly<Record<LimitScope, Bucket>>;
}

interface ColdState {
  bound: ColdBound;
  /** The shares of the bound, for this number of nodes. */
  rates: ColdRates;
  nodeCount: number;
  /** Monotonic time until which the instance is cold; -Infinity if it never was. */
  untilMs: number;
  readonly buckets: Readonly<Record<LimitScope, Bucket>>;
}

/**
 * Keeps the requests to instances below the limits that they name, and below what they tolerate while they are cold. Both
 * are counted apart; an instance gets a request only if both allow it.
 *
 * The owner of a target assigns the requests of all nodes and uses the whole limit. A node that chooses without an owner
 * uses an equal share of it, from which all requests are taken that it has sent. Of a cold target, where an equal share
 * is less than a request a second, only the nodes that rank first for it have a share.
 */
export class TargetLimits {
  private readonly _states = new Map<string, LimitState>();
  private readonly _coldStates = new Map<string, ColdState>();

  constructor(
    private readonly _clock: Clock,
    private readonly _countNodes: () => number,
    /** This node's rank among all nodes for an incarnation, from 0; each node has another one. */
    private readonly _rankNode: (incarnation: string) => number = () => 0,
  ) {}

  /**
   * Records what an instance said; an older statement than the known one is ignored.
   * @returns whether the limit has changed.
   */
  record(incarnation: string, limit: InstanceLimit): boolean {
    const state = this._states.get(incarnation);
    if (!state) {
      if (limit.requestsPerS !== undefined) this._add(incarnation, limit);
      return limit.requestsPerS !== undefined;
    }
    if (limit.namedAtMs < state.limit.namedAtMs) return false;
    const isChanged = limit.requestsPerS !== state.limit.requestsPerS;
    if (isChanged) for (const scope of SCOPES) this._refill(state, scope);
    state.limit = limit;
    return isChanged;
  }

  /** Sets the instances, by incarnation, that may become cold, and what each tolerates then. */
  setColdBounds(bounds: ReadonlyMap<string, ColdBound>): void {
    for (const incarnation of this._coldStates.keys()) {
      if (!bounds.has(incarnation)) this._coldStates.delete(incarnation);
    }
    const updatedAtMs = this._clock.monotonic();
    const nodeCount = Math.max(1, this._countNodes());
    for (const [incarnation, bound] of bounds) {
      const rates = computeColdRates(bound, nodeCount);
      const state = this._coldStates.get(incarnation);
      if (state) {
        Object.assign(state, { bound, rates, nodeCount });
        continue;
      }
      // The start before may have got requests just now.
      const buckets = { fleet: { tokens: 0, updatedAtMs }, node: { tokens: 0, updatedAtMs } };
      this._coldStates.set(incarnation, { bound, rates, nodeCount, untilMs: -Infinity, buckets });
    }
  }

  /** Records until when an instance with a bound is cold. */
  recordCold(incarnation: string, untilMs: number): void {
    const state = this._coldStates.get(incarnation);
    if (!state || untilMs <= state.untilMs) return;
    const nowMs = this._clock.monotonic();
    if (state.untilMs < nowMs && untilMs > nowMs) {
      for (const scope of SCOPES) {
        this._refillCold(incarnation, state, scope);
        state.buckets[scope].tokens = Math.min(0, state.buckets[scope].tokens);
      }
    }
    state.untilMs = untilMs;
  }

  /** Whether requests to the instance are bounded in any second, so that none may be repeated without being counted. */
  isBounded(incarnation: string): boolean {
    return this._coldStates.has(incarnation);
  }

  /** Incarnations of the instances that are cold. */
  listCold(): ReadonlySet<string> {
    const nowMs = this._clock.monotonic();
    return new Set([...this._coldStates].flatMap(([id, { untilMs }]) => (untilMs > nowMs ? [id] : [])));
  }

  /** Incarnations of the instances that may get no request now because they are cold, were, or may become so. */
  listColdExhausted(scope: LimitScope): ReadonlySet<string> {
    const exhausted = new Set<string>();
    for (const [id, state] of this._coldStates)
      if (this._isColdExhausted(id, state, scope)) exhausted.add(id);
    return exhausted;
  }

  /** Counts a request that the owner of a target assigns to it. */
  recordGrant(incarnation: string): void {
    this._take(incarnation, 'fleet');
  }

  /** Counts a request that this node sends. */
  recordRequest(incarnation: string): void {
    this._take(incarnation, 'node');
  }

  /** Incarnations of the instances that may get no request now. */
  listExhausted(scope: LimitScope): ReadonlySet<string> {
    this._removeExpired();
    const exhausted = new Set(this.listColdExhausted(scope));
    for (const [id, state] of this._states) {
      if (state.limit.requestsPerS === undefined) continue;
      this._refill(state, scope);
      if (state.buckets[scope].tokens < 1) exhausted.add(id);
    }
    return exhausted;
  }

  /** The limits that are known, and those that have ended lately. */
  list(): ReadonlyMap<string, InstanceLimit> {
    this._removeExpired();
    return new Map([...this._states].map(([id, { limit }]) => [id, limit]));
  }

  private _removeExpired(): void {
    const nowMs = this._clock.monotonic();
    for (const [id, { limit }] of this._states) {
      if (nowMs - limit.namedAtMs > getTtlMs(limit)) this._states.delete(id);
    }
  }

  private _add(incarnation: string, limit: InstanceLimit): void {
    const updatedAtMs = this._clock.monotonic();
    // The instance named its limit because it had got too many requests.
    const buckets = { fleet: { tokens: 0, updatedAtMs }, node: { tokens: 0, updatedAtMs } };
    this._states.set(incarnation, { limit, buckets });
  }

  private _take(incarnation: string, scope: LimitScope): void {
    const cold = this._coldStates.get(incarnation);
    if (cold) {
      this._refillCold(incarnation, cold, scope);
      cold.buckets[scope].tokens = Math.max(-1, cold.buckets[scope].tokens - 1);
    }
    const state = this._states.get(incarnation);
    if (!state) return;
    this._refill(state, scope);
    const bucket = state.buckets[scope];
    bucket.tokens = Math.max(-1, bucket.tokens - 1);
  }

  private _isColdExhausted(incarnation: string, state: ColdState, scope: LimitScope): boolean {
    // A node that chooses without an owner knows of the warm targets only its own requests.
    if (scope === 'node' && state.untilMs <= this._clock.monotonic()) return false;
    this._refillCold(incarnation, state, scope);
    return state.buckets[scope].tokens < 1;
  }

  private _refillCold(incarnation: string, state: ColdState, scope: LimitScope): void {
    const nowMs = this._clock.monotonic();
    const bucket = state.buckets[scope];
    const { requestsPerS, burst } = this._getColdRate(incarnation, state, scope);
    const elapsedS = (nowMs - bucket.updatedAtMs) / 1_000;
    const gained = elapsedS > 0 ? elapsedS * requestsPerS : 0;
    bucket.tokens = Math.min(burst, bucket.tokens + gained);
    bucket.updatedAtMs = nowMs;
  }

  private _getColdRate(incarnation: string, state: ColdState, scope: LimitScope): BurstRate {
    const nodeCount = Math.max(1, this._countNodes());
    if (nodeCount !== state.nodeCount) {
      state.rates = computeColdRates(state.bound, nodeCount);
      state.nodeCount = nodeCount;
    }
    const { rates, untilMs } = state;
    if (scope === 'node') return this._rankNode(incarnation) < rates.nodes ? rates.node : NO_REQUESTS;
    const share = (this._clock.monotonic() - untilMs) / RAMP_MS;
    if (share <= 0) return rates.owner;
    if (share >= 1) return rates.warmOwner;
    const { owner, warmOwner } = rates;
    return {
      requestsPerS: owner.requestsPerS + share * (warmOwner.requestsPerS - owner.requestsPerS),
      burst: owner.burst + share * (warmOwner.burst - owner.burst),
    };
  }

  private _refill({ limit, buckets }: LimitState, scope: LimitScope): void {
    const nowMs = this._clock.monotonic();
    const bucket = buckets[scope];
    const nodes = scope === 'node' ? Math.max(1, this._countNodes()) : 1;
    const requestsPerS = (limit.requestsPerS ?? 0) / nodes;
    const elapsedS = (nowMs - bucket.updatedAtMs) / 1_000;
    const maxTokens = 1 + requestsPerS * BURST_S;
    bucket.tokens = Math.min(maxTokens, bucket.tokens + elapsedS * requestsPerS);
    bucket.updatedAtMs = nowMs;
  }
}

function getTtlMs({ requestsPerS }: InstanceLimit): number {
  if (requestsPerS === undefined) return LIFTED_TTL_MS;
  return LIMIT_TTL_MS + 1_000 / Math.max(requestsPerS, MIN_REQUESTS_PER_S);
}
