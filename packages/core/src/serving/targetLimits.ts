import type { Clock } from '../clock.js';

/** Requests that may follow each other at once after a pause, as the time in which the limit allows so many. */
const BURST_S = 0.5;
/** Time for which a limit holds that no answer repeats, in milliseconds, beyond the time for one more request. */
const LIMIT_TTL_MS = 10_000;
/** Lowest limit that decides that time, in requests per second. */
const MIN_REQUESTS_PER_S = 0.1;
/** Time for which peers are told that a limit has ended, in milliseconds; a few reports. */
const LIFTED_TTL_MS = 3_000;

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

/**
 * Keeps the requests to instances below the limits that they name.
 *
 * The owner of a target assigns the requests of all nodes and uses the whole limit. A node that chooses without an owner
 * uses an equal share of it, from which all requests are taken that it has sent.
 */
export class TargetLimits {
  private readonly _states = new Map<string, LimitState>();

  constructor(
    private readonly _clock: Clock,
    private readonly _countNodes: () => number,
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
    const exhausted = new Set<string>();
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
    const state = this._states.get(incarnation);
    if (!state) return;
    this._refill(state, scope);
    const bucket = state.buckets[scope];
    bucket.tokens = Math.max(-1, bucket.tokens - 1);
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
