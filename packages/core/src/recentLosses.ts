import type { Clock } from './clock.js';
import { NEWS_WAIT_MS } from './crashSuspects.js';
import { rankByRendezvous } from './rendezvous.js';

/**
 * Groups that were lost a moment ago. A request that would have gone to one of them waits until news of its
 * strikes can have arrived from every entry; else each entry might let it break a group of its own.
 */
export class RecentLosses {
  private readonly _lostAtMs = new Map<string, number>();

  constructor(
    private readonly _clock: Clock,
    private readonly _waitMs = NEWS_WAIT_MS,
  ) {}

  note(group: string): void {
    this._forget();
    if (!this._lostAtMs.has(group)) this._lostAtMs.set(group, this._clock.monotonic());
  }

  /** Whether the first choice for the key, of these groups and the ones lost lately, was lost lately. */
  isHeld(key: string, groups: readonly string[]): boolean {
    this._forget();
    if (this._lostAtMs.size === 0) return false;
    const [first] = rankByRendezvous(key, [...new Set([...groups, ...this._lostAtMs.keys()])]);
    return first !== undefined && this._lostAtMs.has(first);
  }

  private _forget(): void {
    const nowMs = this._clock.monotonic();
    for (const [group, atMs] of this._lostAtMs)
      if (nowMs - atMs >= this._waitMs) this._lostAtMs.delete(group);
  }
}
