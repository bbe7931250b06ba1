/** Writers whose latest time lies this far behind the stream's clock are forgotten. */
export const WRITER_RETENTION_MS = 3_600_000;

/** How often the stream's time brings a sweep of what is forgotten. */
const SWEEP_INTERVAL_MS = 60_000;

/** Whether the step from one time to the next crosses a sweep; the same for all readers. */
export function isSweepDue(beforeMs: number, nowMs: number): boolean {
  return Math.floor(beforeMs / SWEEP_INTERVAL_MS) !== Math.floor(nowMs / SWEEP_INTERVAL_MS);
}

/** The state of a stream's clock, as kept in checkpoints. */
export interface StreamClockState {
  readonly nowMs: number;
  readonly latestByAddress: readonly (readonly [address: string, latestMs: number])[];
}

/**
 * Time as a stream tells it: the second greatest of the writers' latest times, never going back. All readers
 * of the same prefix read the same time, and one writer whose clock runs far ahead cannot move it.
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

  /** Takes in the time that a record's writer claims. */
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

/** Orders map entries by key, so that equal states are written equally. */
export function byKey(a: readonly [string, unknown], b: readonly [string, unknown]): number {
  return a[0] < b[0] ? -1 : a[0] > b[0] ? 1 : 0;
}
