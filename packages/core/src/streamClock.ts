/** Writers whose latest time is further than this behind the stream's clock are dropped, in milliseconds. */
export const WRITER_RETENTION_MS = 3_600_000;

/** Interval of stream time between sweeps of expired state, in milliseconds. */
const SWEEP_INTERVAL_MS = 60_000;

/** Whether a sweep is due between the two times; the same for all readers. */
export function isSweepDue(beforeMs: number, nowMs: number): boolean {
  return Math.floor(beforeMs / SWEEP_INTERVAL_MS) !== Math.floor(nowMs / SWEEP_INTERVAL_MS);
}

/** State of a stream's clock, as stored in checkpoints. */
export interface StreamClockState {
  readonly nowMs: number;
  readonly latestByAddress: readonly (readonly [address: string, latestMs: number])[];
}

/**
 * Stream time: the second greatest of the writers' latest times, never decreasing. All readers of the same
 * prefix get the same time, and a single writer whose clock runs far ahead cannot advance it.
 */
export class StreamClock {
  private _nowMs = 0;
  private readonly _latestByAddress = new Map<string, number>();

  static restore(state: StreamClockState): StreamClock {
    const clock = new StreamClock();
    clock._nowMs = state.nowMs;
    for (const [address, latestMs] of state.latestByAddress) clock._latestByAddress.set(address, latestMs);
    return clock;
  }

  now(): number {
    return this._nowMs;
  }

  /** Updates the clock with the time that a writer put into a record. */
  observe(address: string, writtenAtMs: number): void {
    const latestMs = this._latestByAddress.get(address) ?? -Infinity;
    if (writtenAtMs <= latestMs) return;
    this._latestByAddress.set(address, writtenAtMs);
    const before = this._nowMs;
    this._nowMs = Math.max(before, this._secondGreatest());
    if (isSweepDue(before, this._nowMs)) this._prune();
  }

  snapshot(): StreamClockState {
    return { nowMs: this._nowMs, latestByAddress: [...this._latestByAddress].sort(byKey) };
  }

  private _secondGreatest(): number {
    let first = -Infinity;
    let second = -Infinity;
    for (const latestMs of this._latestByAddress.values()) {
      if (latestMs > first) {
        second = first;
        first = latestMs;
      } else if (latestMs > second) {
        second = latestMs;
      }
    }
    return Number.isFinite(second) ? second : 0;
  }

  private _prune(): void {
    for (const [address, latestMs] of this._latestByAddress) {
      if (latestMs < this._nowMs - WRITER_RETENTION_MS) this._latestByAddress.delete(address);
    }
  }
}

/** Compares map entries by key, so that equal states are serialised equally. */
export function byKey(a: readonly [string, unknown], b: readonly [string, unknown]): number {
  return a[0] < b[0] ? -1 : a[0] > b[0] ? 1 : 0;
}
