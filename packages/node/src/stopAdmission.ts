import {
  type Clock,
  estimateFinish,
  type FinishEstimate,
  type ServingConfiguration,
  type StopAdmissionRequest,
} from '@monsoonreach/core';

/** How much slower than now a target may become while a stream lasts; counts only if its caller can go elsewhere. */
const PACE_MARGIN = 1.25;

/** A request that may be given to a target. */
export interface AdmissionCandidate extends Omit<StopAdmissionRequest, 'elapsedMs'> {
  /** Monotonic time at which it arrived, in milliseconds. */
  readonly startedAtMs: number;
}

/** Dependencies of {@link StopAdmission}. */
export interface StopAdmissionOptions {
  readonly clock: Clock;
  readonly configuration: () => ServingConfiguration | undefined;
  /** Whether another node accepts the callers that this one refuses. */
  readonly hasAlternative: () => boolean;
}

/** Decides, while the process is stopping, which requests may still be given to a target. */
export class StopAdmission {
  private _stop: { readonly endsAtMs: number; readonly isInRotation: boolean } | undefined;

  constructor(private readonly _options: StopAdmissionOptions) {}

  get isStopping(): boolean {
    return this._stop !== undefined;
  }

  /** Whether the balancer no longer opens connections. */
  get hasLeftRotation(): boolean {
    return this._stop?.isInRotation === false;
  }

  /**
   * Factor on the pace that targets keep, for the time that a stream may take. A caller that would only come back to
   * this node is better served by a stream that probably ends in time than by a refusal.
   */
  get paceMargin(): number {
    return this._options.hasAlternative() ? PACE_MARGIN : 1;
  }

  /**
   * Begins the stop.
   * @param endsAtMs monotonic time at which requests in progress are abandoned, in milliseconds.
   */
  begin(endsAtMs: number): void {
    this._stop = { endsAtMs, isInRotation: true };
  }

  /** From now on, the balancer opens no new connections. */
  leaveRotation(): void {
    if (this._stop) this._stop = { ...this._stop, isInRotation: false };
  }

  /** Estimates whether a request that is given to a target now ends before the process; undefined without a stop. */
  estimate(candidate: AdmissionCandidate): FinishEstimate | undefined {
    const configuration = this._options.configuration();
    if (!this._stop || !configuration) return undefined;
    const { endsAtMs, isInRotation } = this._stop;
    const nowMs = this._options.clock.monotonic();
    const request = { ...candidate, elapsedMs: nowMs - candidate.startedAtMs };
    return estimateFinish(request, configuration, { remainingMs: endsAtMs - nowMs, isInRotation });
  }
}
