import type { Clock } from '@monsoonreach/core';

/** Time for an answer to leave after its request has reached its own limit, in milliseconds. */
const ANSWER_MARGIN_MS = 250;

/** Time that a stopping entry leaves to its requests before it cuts them; unlimited until the entry stops. */
export class DrainWindow {
  private _endsAtMs = Infinity;

  constructor(private readonly _clock: Clock) {}

  /** Starts the stop; requests are cut `durationMs` from now. */
  start(durationMs: number): void {
    this._endsAtMs = this._clock.monotonic() + durationMs;
  }

  /** Milliseconds until requests are cut, never negative. */
  remainingMs(): number {
    return Math.max(0, this._endsAtMs - this._clock.monotonic());
  }

  /** Whether a request that is sent now and lasts up to `timeoutMs` is answered before it would be cut. */
  isLongEnough(timeoutMs: number): boolean {
    return timeoutMs + ANSWER_MARGIN_MS <= this.remainingMs();
  }
}
