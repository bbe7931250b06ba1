import type { Clock } from '@monsoonreach/core';
import { HistoryGoneError, type KeyedRecord } from '@monsoonreach/platform';

/** Number of changes kept for peers, in records; a peer that is further behind has to read all records again. */
const MAX_KEPT_CHANGES = 2_000;

/** Records of a keyed topic, with the age of the source's data. */
export interface TopicSlice {
  readonly records: readonly KeyedRecord[];
  /** Offset after the last change that the source has. */
  readonly end: number;
  /** Milliseconds since the source's last contact with the store. */
  readonly ageMs: number;
  /** Milliseconds since the source reached the store again after an outage; undefined if there was none. */
  readonly regainedMs: number | undefined;
}

/** In-memory copy of a keyed topic, from which a node answers reads of its peers. */
export class TopicMirror {
  private readonly _newestByKey = new Map<string, KeyedRecord>();
  private _changes: KeyedRecord[] = [];
  private _end: number | undefined;
  private _contactAtMs = -Infinity;
  private _reconnectedAtMs: number | undefined;
  private _isFirstHand = false;
  private readonly _waiters = new Set<() => void>();

  constructor(private readonly _clock: Clock) {}

  /** Monotonic time at which this copy was last known to be current. */
  get contactAtMs(): number {
    return this._contactAtMs;
  }

  /** Whether the last read went to the store directly, so that peers may read through this node. */
  get isFirstHand(): boolean {
    return this._isFirstHand;
  }

  /** Replaces the copy by all records up to the offset `end`. */
  replaceAll(records: readonly KeyedRecord[], end: number): void {
    this._newestByKey.clear();
    for (const record of records) this._newestByKey.set(record.key, record);
    this._changes = [];
    this._end = end;
    this._wakeWaiters();
  }

  /** Applies changes that directly follow those applied before. */
  applyChanges(records: readonly KeyedRecord[]): void {
    if (this._end === undefined || records.length === 0) return;
    for (const record of records) {
      if (record.value) this._newestByKey.set(record.key, record);
      else this._newestByKey.delete(record.key);
    }
    this._changes = [...this._changes, ...records].slice(-MAX_KEPT_CHANGES);
    this._end += records.length;
    this._wakeWaiters();
  }

  /** Records that this copy was current at the monotonic time `contactAtMs`. */
  confirm(contactAtMs: number, reconnectedAtMs: number | undefined, isFirstHand: boolean): void {
    this._isFirstHand = isFirstHand;
    this._contactAtMs = Math.max(this._contactAtMs, contactAtMs);
    this._reconnectedAtMs = reconnectedAtMs;
  }

  /** Returns the newest record of each key; undefined until the topic was read. */
  readNewest(): TopicSlice | undefined {
    return this._end === undefined
      ? undefined
      : this._createSlice([...this._newestByKey.values()], this._end);
  }

  /**
   * Returns the changes from the offset `from` on; waits up to `waitMs` for the first.
   * @throws HistoryGoneError when changes after `from` are no longer kept.
   */
  async read(from: number, waitMs: number): Promise<TopicSlice | undefined> {
    if (this._end === undefined) return undefined;
    if (from >= this._end) await this._waitForChange(waitMs);
    const first = this._end - this._changes.length;
    if (from < first) throw new HistoryGoneError(first);
    return this._createSlice(this._changes.slice(from - first), this._end);
  }

  private _createSlice(records: readonly KeyedRecord[], end: number): TopicSlice {
    const nowMs = this._clock.monotonic();
    const regainedMs = this._reconnectedAtMs === undefined ? undefined : nowMs - this._reconnectedAtMs;
    return { records, end, ageMs: nowMs - this._contactAtMs, regainedMs };
  }

  private _wakeWaiters(): void {
    for (const wake of [...this._waiters]) wake();
  }

  private _waitForChange(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        this._waiters.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, ms);
      this._waiters.add(finish);
    });
  }
}
