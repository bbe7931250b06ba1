/** Source of time, injected so that decisions can be tested without waiting. */
export interface Clock {
  /** Wall-clock time in milliseconds since the Unix epoch; may jump. */
  now(): number;
  /** Monotonic time in milliseconds from an arbitrary start; never goes back. */
  monotonic(): number;
}

/** The clock of the running process. */
export const systemClock: Clock = {
  now: () => Date.now(),
  monotonic: () => performance.now(),
};

/** A clock for tests that advances only on request. */
export class ManualClock implements Clock {
  private _nowMs: number;
  private _monotonicMs = 0;

  constructor(startMs = 1_700_000_000_000) {
    this._nowMs = startMs;
  }

  now(): number {
    return this._nowMs;
  }

  monotonic(): number {
    return this._monotonicMs;
  }

  /** Moves both readings forward by `ms`. */
  advance(ms: number): void {
    this._nowMs += ms;
    this._monotonicMs += ms;
  }

  /** Moves only the wall clock, as an operator or a time service would. */
  skew(ms: number): void {
    this._nowMs += ms;
  }
}
