import type { Clock } from '@monsoonreach/core';
import type { DecisionLog } from './decisionLog.js';

/** Dependencies of {@link StoreHistory}. */
export interface StoreHistoryOptions {
  readonly clock: Clock;
  readonly log: DecisionLog;
}

/**
 * Knows the era of the store. A store that is restored from an older copy starts a new era: it lost its latest records
 * and gives their offsets out again.
 */
export class StoreHistory {
  private _era: number | undefined;
  private _restoredAtMs = -Infinity;
  private readonly _listeners: ((era: number) => void)[] = [];

  constructor(private readonly _options: StoreHistoryOptions) {}

  /** The latest era that any answer named; undefined before the first answer. */
  get era(): number | undefined {
    return this._era;
  }

  /** Monotonic time at which a new era was first seen, in milliseconds; -Infinity if there was only one. */
  get restoredAtMs(): number {
    return this._restoredAtMs;
  }

  /** Calls the listener with each new era, except the first one that is known. */
  onRestored(listener: (era: number) => void): void {
    this._listeners.push(listener);
  }

  /** Records the era that an answer of the store, or of a peer that read the store, names. */
  observe(era: number): void {
    const previous = this._era;
    if (previous !== undefined && era <= previous) return;
    this._era = era;
    if (previous === undefined) return;
    this._restoredAtMs = this._options.clock.monotonic();
    this._options.log.warn('store restored from an older copy', { era, before: previous });
    for (const listener of this._listeners) listener(era);
  }
}
