import type { Clock } from './clock.js';
import { FairQueue } from './fairQueue.js';
import type { NotRunReason } from './outcome.js';

const SERVICE_TIME_SMOOTHING = 0.1;

/** Properties of a request that decide its admission. */
export interface AdmissionRequest {
  readonly workspace: string;
  readonly weight: number;
  readonly priority: number;
  /** Maximum number of the workspace's requests in progress on this node. */
  readonly workspaceLimit: number;
  /** Deadline of the request in monotonic milliseconds. */
  readonly endsAtMs: number;
}

/** Why a request is not admitted. */
export type AdmissionRefusal = Extract<
  NotRunReason,
  'queue-full' | 'deadline-unreachable' | 'caller-gone' | 'stopping'
>;

/** A slot in use; call `release` once when the request has ended. */
export interface Permit {
  readonly kind: 'permit';
  /** How long the request waited in the queue, in milliseconds. */
  readonly waitedMs: number;
  release(): void;
}

/** Result of a request for admission. */
export type AdmissionResult =
  Permit | { readonly kind: 'refused'; readonly reason: AdmissionRefusal; readonly retryAfterMs: number };

interface Waiter {
  readonly request: AdmissionRequest;
  readonly enqueuedAtMs: number;
  readonly settle: (admittance: AdmissionResult) => void;
}

/** Dependencies and settings of an `Admission`. */
export interface AdmissionOptions {
  readonly clock: Clock;
  /** Total number of slots, read at each decision. */
  readonly capacity: () => number;
  readonly maxPerWorkspace?: number;
  /** `fifo` is the baseline for benchmarks. */
  readonly discipline?: 'fair' | 'fifo';
  /** Whether requests that cannot meet their deadline are refused early. */
  readonly isDeadlineSheddingEnabled?: boolean;
}

const FIFO_LANE = 'all';

/**
 * Admits requests to a pool of slots: shares it fairly between workspaces and refuses early what would miss
 * its deadline.
 */
export class Admission {
  private readonly _queue: FairQueue<Waiter>;
  private readonly _inUse = new Map<string, number>();
  private readonly _limits = new Map<string, number>();
  private _inUseTotal = 0;
  private _meanServiceMs = 0;
  private _isStopping = false;

  constructor(private readonly _options: AdmissionOptions) {
    const maxPerWorkspace = _options.maxPerWorkspace;
    this._queue = new FairQueue(maxPerWorkspace === undefined ? {} : { maxPerWorkspace });
  }

  get inUse(): number {
    return this._inUseTotal;
  }

  get waiting(): number {
    return this._queue.size;
  }

  /** Number of the workspace's requests in progress. */
  inUseOf(workspace: string): number {
    return this._inUse.get(workspace) ?? 0;
  }

  /** Number of the workspace's queued requests. */
  waitingOf(workspace: string): number {
    return this._queue.sizeOf(workspace);
  }

  /** Waits for a slot; aborting the signal refuses a waiting request as `caller-gone`. */
  admit(request: AdmissionRequest, signal?: AbortSignal): Promise<AdmissionResult> {
    if (this._isStopping) return Promise.resolve(refuse('stopping', 0));
    if (this._isDeadlineUnreachable(request))
      return Promise.resolve(refuse('deadline-unreachable', this._expectedWaitMs(request)));
    return new Promise((resolve) => {
      const waiter = this._enqueue(request, resolve, signal);
      if (!waiter) resolve(refuse('queue-full', this._expectedWaitMs(request)));
      else this.grantWaiting();
    });
  }

  /** Grants free slots to waiting requests; call it when the capacity may have grown. */
  grantWaiting(): void {
    while (this._inUseTotal < this._options.capacity()) {
      const waiter = this._queue.dequeue((workspace) => this._isBelowLimit(workspace));
      if (!waiter) return;
      this._grantOrRefuse(waiter);
    }
  }

  /** Refuses all waiting and later requests. */
  stop(): void {
    this._isStopping = true;
    for (let waiter = this._queue.dequeue(); waiter; waiter = this._queue.dequeue()) {
      waiter.settle(refuse('stopping', 0));
    }
  }

  private _enqueue(
    request: AdmissionRequest,
    resolve: (admittance: AdmissionResult) => void,
    signal?: AbortSignal,
  ): Waiter | undefined {
    const lane = this._laneOf(request);
    const onAbort = () => {
      if (this._queue.remove(lane, waiter)) resolve(refuse('caller-gone', 0));
    };
    const settle = (admittance: AdmissionResult) => {
      signal?.removeEventListener('abort', onAbort);
      resolve(admittance);
    };
    const waiter: Waiter = { request, enqueuedAtMs: this._options.clock.monotonic(), settle };
    const { weight, priority } = request;
    const isQueued = this._queue.enqueue({
      workspace: lane,
      weight,
      priority: this._isFair() ? priority : 0,
      item: waiter,
    });
    if (!isQueued) return undefined;
    this._limits.set(lane, request.workspaceLimit);
    signal?.addEventListener('abort', onAbort, { once: true });
    return waiter;
  }

  private _isBelowLimit(lane: string): boolean {
    if (!this._isFair()) return true;
    return this.inUseOf(lane) < (this._limits.get(lane) ?? Infinity);
  }

  private _grantOrRefuse(waiter: Waiter): void {
    const nowMs = this._options.clock.monotonic();
    if (this._isSheddingEnabled() && waiter.request.endsAtMs <= nowMs + this._meanServiceMs) {
      waiter.settle(refuse('deadline-unreachable', 0));
      return;
    }
    waiter.settle(this._grant(waiter, nowMs));
  }

  private _grant(waiter: Waiter, nowMs: number): Permit {
    const { workspace } = waiter.request;
    this._inUseTotal++;
    this._inUse.set(workspace, this.inUseOf(workspace) + 1);
    let isReleased = false;
    const release = () => {
      if (isReleased) return;
      isReleased = true;
      this._release(workspace, this._options.clock.monotonic() - nowMs);
    };
    return { kind: 'permit', waitedMs: nowMs - waiter.enqueuedAtMs, release };
  }

  private _release(workspace: string, servedMs: number): void {
    this._inUseTotal--;
    const left = this.inUseOf(workspace) - 1;
    if (left > 0) this._inUse.set(workspace, left);
    else this._inUse.delete(workspace);
    const smoothing = this._meanServiceMs === 0 ? 1 : SERVICE_TIME_SMOOTHING;
    this._meanServiceMs += smoothing * (servedMs - this._meanServiceMs);
    this.grantWaiting();
  }

  private _isDeadlineUnreachable(request: AdmissionRequest): boolean {
    if (!this._isSheddingEnabled()) return false;
    const expectedEndMs =
      this._options.clock.monotonic() + this._expectedWaitMs(request) + this._meanServiceMs;
    return expectedEndMs > request.endsAtMs;
  }

  /** Expected wait of a request queued now, from its workspace's queue length and share of the slots. */
  private _expectedWaitMs(request: AdmissionRequest): number {
    const capacity = Math.max(1, this._options.capacity());
    if (this._inUseTotal < capacity && this._queue.size === 0) return 0;
    const lane = this._laneOf(request);
    const ahead = this._queue.sizeOf(lane) + 1;
    const share = this._isFair()
      ? 1 / Math.max(1, this._queue.workspaces().filter((other) => other !== lane).length + 1)
      : 1;
    return (ahead * this._meanServiceMs) / (capacity * share);
  }

  private _laneOf(request: AdmissionRequest): string {
    return this._isFair() ? request.workspace : FIFO_LANE;
  }

  private _isFair(): boolean {
    return this._options.discipline !== 'fifo';
  }

  private _isSheddingEnabled(): boolean {
    return this._options.isDeadlineSheddingEnabled ?? true;
  }
}

function refuse(reason: AdmissionRefusal, retryAfterMs: number): AdmissionResult {
  return { kind: 'refused', reason, retryAfterMs: Math.ceil(retryAfterMs) };
}
