import {
  type Log,
  type LogBatch,
  type LogReadOptions,
  type LogSlice,
  LogUnavailableError,
} from '@monsoonreach/core';

/** A log in memory that answers without delay and injects faults on demand. */
export class MemoryLog implements Log {
  isDown = false;
  /** Number of next appends that are stored but rejected, as if the answer was lost. */
  lostAnswerCount = 0;
  private readonly _batches = new Map<string, LogBatch[]>();
  private readonly _firstOffsets = new Map<string, number>();

  append(stream: string, entries: readonly string[]): Promise<number> {
    if (this.isDown) return Promise.reject(new LogUnavailableError('The log is down.'));
    const batches = this._getBatches(stream);
    const offset = (this._firstOffsets.get(stream) ?? 0) + batches.length;
    batches.push({ offset, entries });
    if (this.lostAnswerCount === 0) return Promise.resolve(offset);
    this.lostAnswerCount--;
    return Promise.reject(new LogUnavailableError('The append was stored, but its answer was lost.'));
  }

  read(stream: string, from: number, options: LogReadOptions = {}): Promise<LogSlice> {
    if (this.isDown) return Promise.reject(new LogUnavailableError('The log is down.'));
    const first = this._firstOffsets.get(stream) ?? 0;
    const batches = this._getBatches(stream);
    const start = Math.max(0, from - first);
    const slice = from < first ? [] : batches.slice(start, start + (options.limit ?? 500));
    return Promise.resolve({ batches: slice, first, head: first + batches.length, isCurrent: true });
  }

  /** Drops all but the newest `keptCount` batches, as retention does. */
  trim(stream: string, keptCount: number): void {
    const batches = this._getBatches(stream);
    const droppedCount = Math.max(0, batches.length - keptCount);
    batches.splice(0, droppedCount);
    this._firstOffsets.set(stream, (this._firstOffsets.get(stream) ?? 0) + droppedCount);
  }

  private _getBatches(stream: string): LogBatch[] {
    let batches = this._batches.get(stream);
    if (!batches) {
      batches = [];
      this._batches.set(stream, batches);
    }
    return batches;
  }
}
