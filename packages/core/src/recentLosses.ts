import type { Clock } from './clock.js';
import { STRIKE_PROPAGATION_MS } from './crashSuspects.js';
import { rankByRendezvous } from './rendezvous.js';

/**
 * Recently lost groups. A request that would have gone to one of them waits until its strikes have had time
 * to arrive from every entry; otherwise each entry might let it break another group.
 */
export class RecentLosses {
  private readonly _lostAtMs = new Map<string, number>();

  constructor(
    private readonly _clock: Clock,
    private readonly _waitMs = STRIKE_PROPAGATION_MS,
  ) {}

  recordLoss(group: string): void {
    this._prune();
    if (!this._lostAtMs.has(group)) this._lostAtMs.set(group, this._clock.monotonic());
  }

  /** Whether the key's first choice among the given and the recently lost groups is a recently lost one. */
  isPreferredGroupLost(key: string, groups: readonly string[]): boolean {
    this._prune();
    if (this._lostAtMs.size === 0) return false;
    const [first] = rankByRendezvous(key, [...new Set([...groups, ...this._lostAtMs.keys()])]);
    return first !== undefined && this._lostAtMs.has(first);
  }

  private _prune(): void {
    const nowMs = this._clock.monotonic();
    for (const [group, atMs] of this._lostAtMs)
      if (nowMs - atMs >= this._waitMs) this._lostAtMs.delete(group);
  }
}
