import type { Clock } from '@monsoonreach/core';

/** Time for which reports name a silent target, in milliseconds; a few reports, as one may be lost. */
const REPORT_MS = 600;

/** Targets that this node found silent lately. */
export class SilentTargets {
  /** Keys of the targets, with the monotonic time until which they are reported. */
  private readonly _untilMs = new Map<string, number>();

  constructor(private readonly _clock: Clock) {}

  add(key: string): void {
    this._untilMs.set(key, this._clock.monotonic() + REPORT_MS);
  }

  list(): readonly string[] {
    const nowMs = this._clock.monotonic();
    for (const [key, untilMs] of this._untilMs) if (untilMs <= nowMs) this._untilMs.delete(key);
    return [...this._untilMs.keys()];
  }
}
