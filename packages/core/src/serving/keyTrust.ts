import type { Clock } from '../clock.js';

/** Share of the bound after which keys are trusted no more; the rest covers a request's way to its target. */
const TRUST_SHARE = 0.84;
/** Difference between the passage of wall-clock and monotonic time that means a suspension or a step, in milliseconds. */
const JUMP_MS = 400;

/**
 * Whether a node may still trust the keys that it knows. A key may have been taken away since the node last heard
 * from the store; and a process that was suspended cannot tell by the monotonic clock how long ago that was.
 */
export class KeyTrust {
  private _freshAtMs = -Infinity;
  private _offsetMs: number;

  constructor(
    private readonly _clock: Clock,
    private readonly _boundMs: number,
  ) {
    this._offsetMs = _clock.now() - _clock.monotonic();
  }

  /** The configuration was the newest one at this monotonic time. */
  confirm(atMs: number): void {
    this.checkJump();
    this._freshAtMs = Math.max(this._freshAtMs, atMs);
  }

  /** Milliseconds since the configuration was last known to be the newest. */
  ageMs(): number {
    this.checkJump();
    return this._clock.monotonic() - this._freshAtMs;
  }

  isTrusted(): boolean {
    return this.ageMs() < this._boundMs * TRUST_SHARE;
  }

  /** Ends the trust when the clocks have drifted apart. Returns whether they had. */
  checkJump(): boolean {
    const offsetMs = this._clock.now() - this._clock.monotonic();
    const isJump = Math.abs(offsetMs - this._offsetMs) > JUMP_MS;
    this._offsetMs = offsetMs;
    if (isJump) this._freshAtMs = -Infinity;
    return isJump;
  }
}
