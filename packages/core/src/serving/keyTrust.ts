import type { Clock } from '../clock.js';

/** Share of the maximum age after which keys are no longer trusted; the rest covers the request's way to its target. */
const TRUST_SHARE = 0.84;
/** Longest time in which a change of the configuration is read, in milliseconds. */
const READ_MS = 300;
/** Change of the offset between wall and monotonic clock that indicates a suspension or step, in milliseconds. */
const CLOCK_JUMP_MS = 400;

/**
 * Decides whether a node may still accept the API keys of its configuration. A key may have been revoked since the node's
 * last contact with the store, and the monotonic clock does not show a suspended process how long ago that was.
 */
export class KeyTrust {
  private _confirmedAtMs = -Infinity;
  /** Monotonic time before which contact with the store proves nothing. */
  private _heldUntilMs = -Infinity;
  /** Monotonic time at which a suspension was last detected; what was measured from an earlier time on proves nothing. */
  private _suspendedUntilMs = -Infinity;
  private _clockOffsetMs: number;

  constructor(
    private readonly _clock: Clock,
    private readonly _boundMs: number,
  ) {
    this._clockOffsetMs = _clock.now() - _clock.monotonic();
  }

  /**
   * Records that the configuration was the newest one at this monotonic time, in milliseconds.
   * @param measuredFromMs monotonic time on this node from which `atMs` was measured: that at which it sent its question.
   */
  confirm(atMs: number, measuredFromMs: number): void {
    this.detectClockJump();
    if (atMs < this._heldUntilMs || measuredFromMs < this._suspendedUntilMs) return;
    this._confirmedAtMs = Math.max(this._confirmedAtMs, atMs);
  }

  /**
   * Lets no contact before this monotonic time confirm the keys, in milliseconds: a store that was restored from an older
   * copy may have lost a configuration that ended one of them. Has no effect if the last contact before was so recent
   * that a key that ended after it need not have ended by then.
   */
  hold(untilMs: number): void {
    if (untilMs + READ_MS > this._confirmedAtMs + this._boundMs) this._heldUntilMs = untilMs;
  }

  /** Time until contact confirms the keys again, in milliseconds; 0 without a hold. */
  get heldForMs(): number {
    return Math.max(0, this._heldUntilMs - this._clock.monotonic());
  }

  /** Drops the trust until the next contact that confirms the keys. */
  revoke(): void {
    this._confirmedAtMs = -Infinity;
  }

  /** Ends a hold early, because the store has the newest configuration again. */
  release(): void {
    this._heldUntilMs = -Infinity;
  }

  /** Time since the configuration was last known to be the newest, in milliseconds; Infinity if unknown. */
  ageMs(): number {
    this.detectClockJump();
    return this._clock.monotonic() - this._confirmedAtMs;
  }

  isTrusted(): boolean {
    return this.ageMs() < this._boundMs * TRUST_SHARE;
  }

  /** Revokes the trust if the wall clock has jumped against the monotonic clock. Returns whether it has. */
  detectClockJump(): boolean {
    const offsetMs = this._clock.now() - this._clock.monotonic();
    const hasJumped = Math.abs(offsetMs - this._clockOffsetMs) > CLOCK_JUMP_MS;
    this._clockOffsetMs = offsetMs;
    if (hasJumped) {
      this.revoke();
      this._suspendedUntilMs = this._clock.monotonic();
    }
    return hasJumped;
  }
}
