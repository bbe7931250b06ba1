import type { Clock } from '../clock.js';

/** Targets of which something was found lately, with the time since it was last found. */
export class RecentTargets {
  /** Monotonic times in milliseconds, by target. */
  private readonly _foundAtMs = new Map<string, number>();

  /** @param _ttlMs time for which a target is remembered, in milliseconds. */
  constructor(
    private readonly _clock: Clock,
    private readonly _ttlMs: number,
  ) {}

  /**
   * Records that it was found of the target `ageMs` ago.
   * @returns whether the target was not remembered.
   */
  record(target: string, ageMs = 0): boolean {
    this._removeExpired();
    const atMs = this._clock.monotonic() - ageMs;
    const knownAtMs = this._foundAtMs.get(target);
    if (ageMs < this._ttlMs) this._foundAtMs.set(target, Math.max(atMs, knownAtMs ?? -Infinity));
    return knownAtMs === undefined;
  }

  /** The targets that are remembered. */
  list(): ReadonlySet<string> {
    return new Set(this.describe().keys());
  }

  /** Time since it was last found, in milliseconds, by target. */
  describe(): ReadonlyMap<string, number> {
    if (this._foundAtMs.size === 0) return NONE;
    this._removeExpired();
    const nowMs = this._clock.monotonic();
    return new Map([...this._foundAtMs].map(([target, atMs]) => [target, Math.round(nowMs - atMs)]));
  }

  private _removeExpired(): void {
    const nowMs = this._clock.monotonic();
    for (const [target, atMs] of this._foundAtMs)
      if (nowMs - atMs >= this._ttlMs) this._foundAtMs.delete(target);
  }
}

const NONE: ReadonlyMap<string, number> = new Map();
