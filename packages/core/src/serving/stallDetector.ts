import type { Clock } from '../clock.js';

/** Time between two ticks from which on the process counts as having stood still, in milliseconds; several intervals. */
const STALL_MS = 1_000;
/** Time in which all that arrived during a stall has been read, in milliseconds; some turns of the event loop. */
const BACKLOG_MS = 100;

/**
 * Detects that the process stood still, as it was frozen or suspended. What it reads next may have waited as long, so
 * that ages that are told in it are too low.
 */
export class StallDetector {
  private _tickedAtMs: number;
  private _tickedAtWallMs: number;
  private _backlogUntilMs = -Infinity;

  constructor(private readonly _clock: Clock) {
    this._tickedAtMs = _clock.monotonic();
    this._tickedAtWallMs = _clock.now();
  }

  /** Records that the process runs; called several times a second. */
  tick(): void {
    const nowMs = this._clock.monotonic();
    const wallMs = this._clock.now();
    // The monotonic clock stands still in a suspension.
    const elapsedMs = Math.max(nowMs - this._tickedAtMs, wallMs - this._tickedAtWallMs);
    if (elapsedMs > STALL_MS) this._backlogUntilMs = nowMs + BACKLOG_MS;
    this._tickedAtMs = nowMs;
    this._tickedAtWallMs = wallMs;
  }

  /** Whether what is read now may have arrived before or during a stall. */
  hasBacklog(): boolean {
    this.tick();
    return this._clock.monotonic() < this._backlogUntilMs;
  }
}
