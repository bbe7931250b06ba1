import type { Clock } from '@monsoonreach/core';
import { HistoryGoneError, type KeyedRecord } from '@monsoonreach/platform';

/** Changes that are kept for peers that read on, in records; the rest they read anew. */
const KEPT_CHANGES = 2_000;

/** Records of a keyed topic, as a source has them. */
export interface TopicSlice {
  readonly records: readonly KeyedRecord[];
  /** Offset after the last change that the source knows. */
  readonly end: number;
  /** Milliseconds since the source heard from the store. */
  readonly ageMs: number;
  /** Milliseconds since the source reached the store again after it could not; undefined if it always could. */
  readonly regainedMs: number | undefined;
}

/** What a node has read of a keyed topic, for its peers. */
export class TopicMirror {
  private readonly _newest = new Map<string, KeyedRecord>();
  private _changes: KeyedRecord[] = [];
  private _end: number | undefined;
  private _contactAtMs = -Infinity;
  private _regainedAtMs: number | undefined;
  private _isFirstHand = false;
  private readonly _waiting = new Set<() => void>();

  constructor(private readonly _clock: Clock) {}

  /** Monotonic time at which the store's answer that this is up to was asked for. */
  get contactAtMs(): number {
    return this._contactAtMs;
  }

  /** Whether this node itself has read the store for it, so that peers may read through this node. */
  get isFirstHand(): boolean {
    return this._isFirstHand;
  }

  /** Takes all records, up to the offset `end`. */
  takeAll(records: readonly KeyedRecord[], end: number): void {
    this._newest.clear();
    for (const record of records) this._newest.set(record.key, record);
    this._changes = [];
    this._end = end;
    this._wake();
  }

  /** Takes changes that follow on what was taken before. */
  takeChanges(records: readonly KeyedRecord[]): void {
    if (this._end === undefined || records.length === 0) return;
    for (const record of records) {
      if (record.value) this._newest.set(record.key, record);
      else this._newest.delete(record.key);
    }
    this._changes = [...this._changes, ...records].slice(-KEPT_CHANGES);
    this._end += records.length;
    this._wake();
  }

  /** What was taken was the newest at this monotonic time. */
  confirm(contactAtMs: number, regainedAtMs: number | undefined, isFirstHand: boolean): void {
    this._isFirstHand = isFirstHand;
    this._contactAtMs = Math.max(this._contactAtMs, contactAtMs);
    this._regainedAtMs = regainedAtMs;
  }

  /** The newest record of each key; undefined while nothing was read. */
  readNewest(): TopicSlice | undefined {
    return this._end === undefined ? undefined : this._slice([...this._newest.values()], this._end);
  }

  /**
   * Changes from the offset `from` on; waits up to `waitMs` for the first.
   * @throws HistoryGoneError
   */
  async read(from: number, waitMs: number): Promise<TopicSlice | undefined> {
    if (this._end === undefined) return undefined;
    if (from >= this._end) await this._wait(waitMs);
    const first = this._end - this._changes.length;
    if (from < first) throw new HistoryGoneError(first);
    return this._slice(this._changes.slice(from - first), this._end);
  }

  private _slice(records: readonly KeyedRecord[], end: number): TopicSlice {
    const nowMs = this._clock.monotonic();
    const regainedMs = this._regainedAtMs === undefined ? undefined : nowMs - this._regainedAtMs;
    return { records, end, ageMs: nowMs - this._contactAtMs, regainedMs };
  }

  private _wake(): void {
    for (const wake of [...this._waiting]) wake();
  }

  private _wait(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        this._waiting.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, ms);
      this._waiting.add(finish);
    });
  }
}
