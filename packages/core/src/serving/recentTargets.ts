import type { Clock } from '../clock.js';

/** Time for which a target is left alone, in milliseconds: an entry that shows its new state is written and read within it. */
const MISDIRECTION_TTL_MS = 2_000;

/**
 * Targets that answered that they are not the one that was meant, or that they do not serve what was sent to them.
 *
 * After a start or the end of a group, the instance list names a head for a second that answers so. As the target says
 * it itself, what one node was told holds for the requests of all; otherwise each node uses up retries to learn it.
 */
export class Misdirections {
  /** Monotonic times of the latest answers, in milliseconds, by target. */
  private readonly _answeredAtMs = new Map<string, number>();

  constructor(private readonly _clock: Clock) {}

  /**
   * Records such an answer.
   * @returns whether it was not known of the target.
   */
  record(target: string, ageMs = 0): boolean {
    this._removeExpired();
    const atMs = this._clock.monotonic() - ageMs;
    const knownAtMs = this._answeredAtMs.get(target);
    if (ageMs < MISDIRECTION_TTL_MS) this._answeredAtMs.set(target, Math.max(atMs, knownAtMs ?? -Infinity));
    return knownAtMs === undefined;
  }

  /** The targets that get no request now. */
  list(): ReadonlySet<string> {
    return new Set(this.describe().keys());
  }

  /** Time since the latest answer, in milliseconds, by target. */
  describe(): ReadonlyMap<string, number> {
    if (this._answeredAtMs.size === 0) return NONE;
    this._removeExpired();
    const nowMs = this._clock.monotonic();
    return new Map([...this._answeredAtMs].map(([target, atMs]) => [target, Math.round(nowMs - atMs)]));
  }

  private _removeExpired(): void {
    const nowMs = this._clock.monotonic();
    for (const [target, atMs] of this._answeredAtMs)
      if (nowMs - atMs >= MISDIRECTION_TTL_MS) this._answeredAtMs.delete(target);
  }
}

const NONE: ReadonlyMap<string, number> = new Map();
