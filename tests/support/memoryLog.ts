import {
  type Log,
  type LogBatch,
  type LogReadOptions,
  type LogSlice,
  LogUnavailableError,
} from '@monsoonreach/core';

/** A log in memory that does at once what a test tells it to, faults included. */
export class MemoryLog implements Log {
  isDown = false;
  /** Appends from now on that are stored but not answered. */
  lostAnswers = 0;
  private readonly _batches = new Map<string, LogBatch[]>();
  private readonly _first = new Map<string, number>();

  append(stream: string, entries: readonly string[]): Promise<number> {
    if (this.isDown) return Promise.reject(new LogUnavailableError('The log is down.'));
    const batches = this._of(stream);
    const offset = (this._first.get(stream) ?? 0) + batches.length;
    batches.push({ offset, entries });
    if (this.lostAnswers === 0) return Promise.resolve(offset);
    this.lostAnswers--;
    return Promise.reject(new LogUnavailableError('The answer was lost.'));
  }

  read(stream: string, from: number, options: LogReadOptions = {}): Promise<LogSlice> {
    if (this.isDown) return Promise.reject(new LogUnavailableError('The log is down.'));
    const first = this._first.get(stream) ?? 0;
    const batches = this._of(stream);
    const start = Math.max(0, from - first);
    const slice = from < first ? [] : batches.slice(start, start + (options.limit ?? 500));
    return Promise.resolve({ batches: slice, first, head: first + batches.length, isCurrent: true });
  }

  /** Forgets all but the newest batches, as retention does. */
  trim(stream: string, kept: number): void {
    const batches = this._of(stream);
    const dropped = Math.max(0, batches.length - kept);
    batches.splice(0, dropped);
    this._first.set(stream, (this._first.get(stream) ?? 0) + dropped);
  }

  private _of(stream: string): LogBatch[] {
    let batches = this._batches.get(stream);
    if (!batches) {
      batches = [];
      this._batches.set(stream, batches);
    }
    return batches;
  }
}
