import type { Clock } from './clock.js';
import { FairQueue } from './fairQueue.js';
import type { NotRunReason } from './outcome.js';

const SERVICE_TIME_SMOOTHING = 0.1;

/** What an admission needs to know of one request. */
export interface AdmissionRequest {
  readonly workspace: string;
  readonly weight: number;
  readonly priority: number;
  /** Requests of the workspace that may be in progress here at once. */
  readonly workspaceLimit: number;
  /** Monotonic time after which an answer is of no use. */
  readonly endsAtMs: number;
}

/** Why a request is not admitted. */
export type AdmissionRefusal = Extract<
  NotRunReason,
  'queue-full' | 'deadline-unreachable' | 'caller-gone' | 'stopping'
>;

/** A slot in use; give it back exactly once. */
export interface Permit {
  readonly kind: 'permit';
  /** How long the request waited in the queue, in milliseconds. */
  readonly waitedMs: number;
  release(): void;
}

/** What became of a request for admission. */
export type Admittance =
  Permit | { readonly kind: 'refused'; readonly reason: AdmissionRefusal; readonly retryAfterMs: number };

interface Waiter {
  readonly request: AdmissionRequest;
  readonly enqueuedAtMs: number;
  readonly settle: (admittance: Admittance) => void;
}

/** What an admission is made of. */
export interface AdmissionOptions {
  readonly clock: Clock;
  /** Slots in all, read anew at each decision. */
  readonly capacity: () => number;
  readonly maxPerWorkspace?: number;
  /** `fifo` serves as the baseline in measurements. */
  readonly discipline?: 'fair' | 'fifo';
  /** Whether requests that cannot finish in time are refused early. */
  readonly shedsByDeadline?: boolean;
}

const FIFO_LANE = 'all';

/** Lets requests into a pool of slots: fairly between workspaces, early refusals for what would be late. */
export class Admission {
  private readonly _queue: FairQueue<Waiter>;
  private readonly _inUse = new Map<string, number>();
  private readonly _limits = new Map<string, number>();
  private _total = 0;
  private _meanServiceMs = 0;
  private _isStopping = false;

  constructor(private readonly _options: AdmissionOptions) {
    const maxPerWorkspace = _options.maxPerWorkspace;
    this._queue = new FairQueue(maxPerWorkspace === undefined ? {} : { maxPerWorkspace });
  }

  get inUse(): number {
    return this._total;
  }

  get waiting(): number {
    return this._queue.size;
  }

  /** Requests of a workspace that are in progress. */
  inUseOf(workspace: string): number {
    return this._inUse.get(workspace) ?? 0;
  }

  /** Requests of a workspace that wait. */
  waitingOf(workspace: string): number {
    return this._queue.sizeOf(workspace);
  }

  /** Waits for a slot; the signal ends the wait as `caller-gone`. */
  admit(request: AdmissionRequest, signal?: AbortSignal): Promise<Admittance> {
    if (this._isStopping) return Promise.resolve(refuse('stopping', 0));
    if (this._isHopeless(request))
      return Promise.resolve(refuse('deadline-unreachable', this._expectedWaitMs(request)));
    return new Promise((resolve) => {
      const waiter = this._enqueue(request, resolve, signal);
      if (!waiter) resolve(refuse('queue-full', this._expectedWaitMs(request)));
      else this.pump();
    });
  }

  /** Hands out free slots; call it when the capacity may have grown. */
  pump(): void {
    while (this._total < this._options.capacity()) {
      const waiter = this._queue.dequeue((workspace) => this._hasRoom(workspace));
      if (!waiter) return;
      this._grantOrDrop(waiter);
    }
  }

  /** Refuses everything that waits and everything that comes. */
  stop(): void {
    this._isStopping = true;
    for (let waiter = this._queue.dequeue(); waiter; waiter = this._queue.dequeue()) {
      waiter.settle(refuse('stopping', 0));
    }
  }

  private _enqueue(
    request: AdmissionRequest,
    resolve: (admittance: Admittance) => void,
    signal?: AbortSignal,
  ): Waiter | undefined {
    const lane = this._laneOf(request);
    const onAbort = () => {
      if (this._queue.remove(lane, waiter)) resolve(refuse('caller-gone', 0));
    };
    const settle = (admittance: Admittance) => {
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

  private _hasRoom(lane: string): boolean {
    if (!this._isFair()) return true;
    return this.inUseOf(lane) < (this._limits.get(lane) ?? Infinity);
  }

  private _grantOrDrop(waiter: Waiter): void {
    const nowMs = this._options.clock.monotonic();
    if (this._sheds() && waiter.request.endsAtMs <= nowMs + this._meanServiceMs) {
      waiter.settle(refuse('deadline-unreachable', 0));
      return;
    }
    waiter.settle(this._grant(waiter, nowMs));
  }

  private _grant(waiter: Waiter, nowMs: number): Permit {
    const { workspace } = waiter.request;
    this._total++;
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
    this._total--;
    const left = this.inUseOf(workspace) - 1;
    if (left > 0) this._inUse.set(workspace, left);
    else this._inUse.delete(workspace);
    const step = this._meanServiceMs === 0 ? 1 : SERVICE_TIME_SMOOTHING;
    this._meanServiceMs += step * (servedMs - this._meanServiceMs);
    this.pump();
  }

  private _isHopeless(request: AdmissionRequest): boolean {
    if (!this._sheds()) return false;
    const expectedEndMs =
      this._options.clock.monotonic() + this._expectedWaitMs(request) + this._meanServiceMs;
    return expectedEndMs > request.endsAtMs;
  }

  /** The wait of a request that joins its workspace's queue now, at the share the workspace has. */
  private _expectedWaitMs(request: AdmissionRequest): number {
    const capacity = Math.max(1, this._options.capacity());
    if (this._total < capacity && this._queue.size === 0) return 0;
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

  private _sheds(): boolean {
    return this._options.shedsByDeadline ?? true;
  }
}

function refuse(reason: AdmissionRefusal, retryAfterMs: number): Admittance {
  return { kind: 'refused', reason, retryAfterMs: Math.ceil(retryAfterMs) };
}
