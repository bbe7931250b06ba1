import {
  type CrashFactor,
  createCrashFactors,
  toPendingFactors,
  type TargetCandidate,
} from '@monsoonreach/core';
import type { CallerRequest } from '@monsoonreach/platform';
import type { TargetLoss } from './crashMonitor.js';
import type { ServingContext } from './servingContext.js';
import type { OpenCall } from './targetConnections.js';

/** Time after a stream's first event from which on its target counts as having survived the beginning, in milliseconds. */
const SURVIVAL_MS = 250;

/** How far one attempt of a request has come; times are monotonic, in milliseconds. */
export interface AttemptProgress {
  readonly candidate: TargetCandidate;
  readonly startedAtMs: number;
  readonly call: Pick<OpenCall, 'isReused'> | undefined;
  readonly headAtMs: number | undefined;
  readonly firstEventAtMs: number | undefined;
  readonly events: number;
}

/** The request that a {@link CrashWitness} observes. */
export interface WitnessedRequest {
  readonly caller: CallerRequest;
  readonly path: string;
  readonly workspace: string | undefined;
  readonly body: Buffer | undefined;
  readonly isStream: boolean;
}

/** Tells the {@link CrashMonitor} of one request's targets: which of them crashed under it, and which survived. */
export class CrashWitness {
  private _cachedFactors: readonly CrashFactor[] | undefined;
  private _cachedPendingFactors: readonly CrashFactor[] | undefined;
  private _cachedAllFactors: readonly CrashFactor[] | undefined;
  private readonly _survivors = new WeakSet<AttemptProgress>();

  constructor(
    private readonly _context: Pick<ServingContext, 'clock' | 'crashes' | 'log'>,
    private readonly _request: WitnessedRequest,
  ) {}

  /** Time until which the request is refused, monotonic; undefined if it may run. */
  findQuarantineEndMs(): number | undefined {
    const { crashes } = this._context;
    return crashes.isIdle ? undefined : crashes.findQuarantineEndMs(this._allFactors);
  }

  /** Records an event of a stream. */
  recordEvent(attempt: AttemptProgress, nowMs: number): void {
    if (nowMs - (attempt.firstEventAtMs ?? nowMs) < SURVIVAL_MS || this._survivors.has(attempt)) return;
    this._survivors.add(attempt);
    this._recordSurvival(attempt, this._factors);
  }

  /** Records that the target has completed the answer. */
  recordSurvival(attempt: AttemptProgress): void {
    this._recordSurvival(attempt, this._allFactors);
  }

  /** Finds out whether the target that broke off an attempt crashed under it, before the request may crash another. */
  async examineLoss(
    attempt: AttemptProgress,
    { reason, canRetry }: { readonly reason: string; readonly canRetry: boolean },
  ): Promise<void> {
    this._logLoss(attempt, reason);
    await this._context.crashes.examineLoss(this._createLoss(attempt), { canRetry });
  }

  /** Records the loss of an attempt that is repeated at the same target. */
  recordRepeatedLoss(attempt: AttemptProgress, reason: string): void {
    this._logLoss(attempt, reason);
    this._context.crashes.recordUnexaminedLoss(this._createLoss(attempt));
  }

  /** Number of targets that crashed in succession under the request. */
  get crashCount(): number {
    const { crashes } = this._context;
    return crashes.isIdle ? 0 : crashes.countRequestCrashes(this._allFactors);
  }

  /** Whether targets may have crashed under the request before. */
  get isSuspected(): boolean {
    const { crashes } = this._context;
    return !crashes.isIdle && crashes.isSuspected(this._allFactors);
  }

  private _createLoss(attempt: AttemptProgress): TargetLoss {
    return {
      candidate: attempt.candidate,
      requestId: this._request.caller.requestId,
      factors: this._hasJustBegun(attempt) ? this._allFactors : this._pendingFactors,
      sentAtMs: attempt.startedAtMs,
    };
  }

  private _recordSurvival(attempt: AttemptProgress, factors: readonly CrashFactor[]): void {
    const { crashes } = this._context;
    if (crashes.isIdle) return;
    const begunAtMs = this._request.isStream ? attempt.headAtMs : attempt.startedAtMs;
    if (begunAtMs !== undefined) crashes.recordSurvival(factors, begunAtMs);
  }

  private get _factors(): readonly CrashFactor[] {
    return (this._cachedFactors ??= createCrashFactors(this._request, this._request.caller.sharedParts));
  }

  private get _pendingFactors(): readonly CrashFactor[] {
    return (this._cachedPendingFactors ??= toPendingFactors(this._factors));
  }

  private get _allFactors(): readonly CrashFactor[] {
    return (this._cachedAllFactors ??= [...this._factors, ...this._pendingFactors]);
  }

  /** Whether the target may have begun the answer and has not survived its beginning yet. */
  private _hasJustBegun({ headAtMs, firstEventAtMs }: AttemptProgress): boolean {
    if (!this._request.isStream) return true;
    const nowMs = this._context.clock.monotonic();
    return headAtMs !== undefined && nowMs - (firstEventAtMs ?? nowMs) < SURVIVAL_MS;
  }

  /** Logs what the target was running, so that a request that comes again can be recognized. */
  private _logLoss(
    { candidate, call, events, startedAtMs, headAtMs, firstEventAtMs }: AttemptProgress,
    reason: string,
  ) {
    const { clock, log } = this._context;
    const nowMs = clock.monotonic();
    const toAgeMs = (atMs: number | undefined) => (atMs === undefined ? undefined : Math.round(nowMs - atMs));
    log.info('attempt broken off by target', {
      target: candidate.key,
      instance: candidate.instance.id,
      reason,
      request: this._request.caller.requestId,
      fingerprint: this._factors[0]?.id,
      sharedParts: this._request.caller.sharedParts,
      events,
      isConnectionReused: call?.isReused,
      sentMs: toAgeMs(startedAtMs),
      headMs: toAgeMs(headAtMs),
      firstEventMs: toAgeMs(firstEventAtMs),
    });
  }
}
