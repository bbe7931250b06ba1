import { type Clock, pause } from '@monsoonreach/core';

/** Time after its start for which a node holds requests until it knows the configuration and the targets, in milliseconds. */
const HOLD_MS = 500;

/**
 * Holds requests that arrive while a node starts. It knows the configuration a moment later, and a refusal would send
 * the caller away for longer than that.
 */
export class StartGate {
  private readonly _startedAtMs: number;
  private readonly _controller = new AbortController();
  /** The wait that all held requests share. */
  private _held: Promise<void> | undefined;

  constructor(private readonly _clock: Clock) {
    this._startedAtMs = _clock.monotonic();
  }

  /** Lets all requests pass from now on. */
  open(): void {
    this._controller.abort();
  }

  /** Resolves when the gate is open, or when the time for holding requests is over. */
  async pass(): Promise<void> {
    const remainingMs = this._startedAtMs + HOLD_MS - this._clock.monotonic();
    if (remainingMs <= 0) return;
    this._held ??= pause(remainingMs, this._controller.signal);
    await this._held;
  }
}
