/** Buckets of the sliding window in which requests and retries are counted. */
const WINDOW_BUCKETS = 10;
/** Share of the fleet's limit that is used, as the nodes' windows are not synchronized. */
const SAFETY_FACTOR = 0.7;

/** Limit on a service's retries over all nodes. */
export interface RetryLimits {
  /** Retries per request in the window. */
  readonly share: number;
  /** Additional retries in the window, over all nodes. */
  readonly slack: number;
  readonly windowMs: number;
}

interface Bucket {
  index: number;
  requests: number;
  retries: number;
}

/**
 * A node's budget of retries for each service in a sliding window: a share of the node's own requests plus an equal
 * part of the fleet's additional retries.
 */
export class RetryWindowBudget {
  private readonly _bucketsByService = new Map<string, Bucket[]>();

  constructor(
    private readonly _limits: RetryLimits,
    private readonly _countNodes: () => number,
  ) {}

  recordRequest(service: string, nowMs: number): void {
    this._getBucket(service, nowMs).requests++;
  }

  /** Consumes one retry; returns false if none is left in this window. */
  tryTakeRetry(service: string, nowMs: number): boolean {
    const current = this._getBucket(service, nowMs);
    const buckets = this._bucketsByService.get(service) ?? [];
    const requests = buckets.reduce((sum, bucket) => sum + bucket.requests, 0);
    const retries = buckets.reduce((sum, bucket) => sum + bucket.retries, 0);
    const allowed =
      SAFETY_FACTOR * (this._limits.share * requests + this._limits.slack / Math.max(1, this._countNodes()));
    if (retries + 1 > allowed) return false;
    current.retries++;
    return true;
  }

  private _getBucket(service: string, nowMs: number): Bucket {
    const index = Math.floor((nowMs * WINDOW_BUCKETS) / this._limits.windowMs);
    const buckets = (this._bucketsByService.get(service) ?? []).filter(
      (bucket) => bucket.index > index - WINDOW_BUCKETS - 1,
    );
    this._bucketsByService.set(service, buckets);
    const last = buckets.at(-1);
    if (last?.index === index) return last;
    const bucket = { index, requests: 0, retries: 0 };
    buckets.push(bucket);
    return bucket;
  }
}
