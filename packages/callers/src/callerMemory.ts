import type { Clock } from '@monsoonreach/core';

/** Share of the machine's memory that may be held for callers; the rest is the heap, code and targets' answers. */
const CALLERS_SHARE = 1 / 8;
/** Share of the bound from which on reading is held, so that what is read already can end without a refusal. */
const HOLD_SHARE = 0.75;
/** Bytes that a connection may hold before its reading is held, so that small requests pass while others are held. */
const FREE_BYTES = 65_536;
/** Time above the hold mark after which one connection is ended, in milliseconds; those that are held cannot end by themselves. */
const STALL_MS = 1_000;

/** A caller's connection, as the account sees it. */
export interface MemoryHolder {
  /** Whether it may be ended: `yes`, `last` if only when no other may be, or `no`. */
  canEnd(): 'yes' | 'last' | 'no';
  /** Ends it, which frees its memory. */
  end(): void;
  /** Stops or resumes reading from it. */
  setHeld(isHeld: boolean): void;
}

interface Entry {
  bytes: number;
  readonly sinceMs: number;
}

/**
 * Accounts for the memory that a process holds for callers. Answers the load of callers that send or leave unread more
 * than the machine can hold: reading is held first, then the connection that holds the most for the longest time is ended.
 */
export class CallerMemory {
  private readonly _entries = new Map<MemoryHolder, Entry>();
  private readonly _held = new Set<MemoryHolder>();
  private readonly _maxBytes: number;
  private _totalBytes = 0;
  /** Monotonic time since which the hold mark has been exceeded, or the last end since then, in milliseconds. */
  private _fullSinceMs: number | undefined;

  /** @param memoryBytes memory of the machine. */
  constructor(
    private readonly _clock: Clock,
    memoryBytes: number,
  ) {
    this._maxBytes = memoryBytes * CALLERS_SHARE;
  }

  get totalBytes(): number {
    return this._totalBytes;
  }

  get maxBytes(): number {
    return this._maxBytes;
  }

  /** Records how many bytes are held for a connection now. */
  record(holder: MemoryHolder, bytes: number): void {
    let entry = this._entries.get(holder);
    if (!entry) {
      entry = { bytes: 0, sinceMs: this._clock.monotonic() };
      this._entries.set(holder, entry);
    }
    this._totalBytes += bytes - entry.bytes;
    entry.bytes = bytes;
    while (this._totalBytes > this._maxBytes) if (!this._endLargest()) break;
    this._updateHolds(holder);
  }

  release(holder: MemoryHolder): void {
    this._totalBytes -= this._entries.get(holder)?.bytes ?? 0;
    this._entries.delete(holder);
    this._held.delete(holder);
    this._updateHolds();
  }

  /** Ends a connection if the hold mark has been exceeded for too long; must be called regularly. */
  check(): void {
    const nowMs = this._clock.monotonic();
    if (this._fullSinceMs === undefined || nowMs - this._fullSinceMs < STALL_MS) return;
    this._fullSinceMs = nowMs;
    this._endLargest('yes');
  }

  private _updateHolds(recorded?: MemoryHolder): void {
    if (this._totalBytes <= this._maxBytes * HOLD_SHARE) {
      this._fullSinceMs = undefined;
      for (const holder of this._held) holder.setHeld(false);
      this._held.clear();
      return;
    }
    this._fullSinceMs ??= this._clock.monotonic();
    if (!recorded || this._held.has(recorded)) return;
    if ((this._entries.get(recorded)?.bytes ?? 0) <= FREE_BYTES) return;
    this._held.add(recorded);
    recorded.setHeld(true);
  }

  /** Ends the connection with the largest product of bytes and time; returns whether there was one. */
  private _endLargest(least: 'yes' | 'last' = 'last'): boolean {
    const nowMs = this._clock.monotonic();
    const largest: Partial<Record<'yes' | 'last', { holder: MemoryHolder; score: number }>> = {};
    for (const [holder, { bytes, sinceMs }] of this._entries) {
      const score = bytes * (nowMs - sinceMs + 1);
      const kind = holder.canEnd();
      if (kind !== 'no' && score > (largest[kind]?.score ?? 0)) largest[kind] = { holder, score };
    }
    const found = largest.yes ?? (least === 'last' ? largest.last : undefined);
    if (!found) return false;
    this.release(found.holder);
    found.holder.end();
    return true;
  }
}
