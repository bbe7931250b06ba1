import type { Clock } from '@monsoonreach/core';
import { HistoryGoneError, type KeyedRecord, type StorePosition } from '@monsoonreach/platform';

/** Number of changes kept for peers, in records; a peer that is further behind has to read all records again. */
const MAX_KEPT_CHANGES = 2_000;
/** Age from which on peers are told to read elsewhere, in milliseconds; the longest wait at the store and a slow answer. */
const MAX_SERVED_AGE_MS = 1_450;

/**
 * Whether peers may read this copy. `second-hand`: this node reads through a peer itself. `outdated`: the store did not
 * answer the last read, or not for long.
 */
export type MirrorState = 'readable' | 'second-hand' | 'outdated';

/** Records of a keyed topic, with the age of the source's data. */
export interface TopicSlice {
  readonly records: readonly KeyedRecord[];
  /** Position after the last change that the source has. */
  readonly end: StorePosition;
  /** Milliseconds since the source's last contact with the store. */
  readonly ageMs: number;
  /** Milliseconds since the source reached the store again after an outage; undefined if there was none. */
  readonly regainedMs: number | undefined;
}

/** In-memory copy of a keyed topic, from which a node answers reads of its peers. */
export class TopicMirror {
  private readonly _newestByKey = new Map<string, KeyedRecord>();
  private _changes: KeyedRecord[] = [];
  private _end: StorePosition | undefined;
  private _contactAtMs = -Infinity;
  private _reconnectedAtMs: number | undefined;
  private _isFirstHand = false;
  /** Whether the store failed since it last answered. */
  private _hasStoreFailed = false;
  private readonly _waiters = new Set<() => void>();

  constructor(private readonly _clock: Clock) {}

  /** Monotonic time at which this copy was last known to be current. */
  get contactAtMs(): number {
    return this._contactAtMs;
  }

  /** Era of this copy; undefined until the topic was read. */
  get era(): number | undefined {
    return this._end?.era;
  }

  /** Whether the last read that succeeded went to the store directly. */
  get isFirstHand(): boolean {
    return this._isFirstHand;
  }

  /** Whether peers may read through this node now. */
  get state(): MirrorState {
    if (!this._isFirstHand) return 'second-hand';
    const isOutdated = this._hasStoreFailed || this._clock.monotonic() >= this._servedUntilMs;
    return isOutdated ? 'outdated' : 'readable';
  }

  /** Replaces the copy by all records up to the position `end`. */
  replaceAll(records: readonly KeyedRecord[], end: StorePosition): void {
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
    this._end = { ...this._end, offset: this._end.offset + records.length };
    this._wakeWaiters();
  }

  /** Records that this copy was current at the monotonic time `contactAtMs`. */
  confirm(contactAtMs: number, reconnectedAtMs: number | undefined, isFirstHand: boolean): void {
    const wasFirstHand = this._isFirstHand;
    this._isFirstHand = isFirstHand;
    this._hasStoreFailed = false;
    this._contactAtMs = Math.max(this._contactAtMs, contactAtMs);
    this._reconnectedAtMs = reconnectedAtMs;
    if (wasFirstHand && !isFirstHand) this._wakeWaiters();
  }

  /** Records that the store did not answer a read, so that waiting peers read elsewhere at once. */
  recordStoreFailure(): void {
    this._hasStoreFailed = true;
    this._wakeWaiters();
  }

  /** Returns the newest record of each key; undefined until the topic was read. */
  readNewest(): TopicSlice | undefined {
    return this._end === undefined
      ? undefined
      : this._createSlice([...this._newestByKey.values()], this._end);
  }

  /**
   * Returns the changes from the position `from` on; waits up to `waitMs` for the first, as long as this copy is readable.
   * @throws HistoryGoneError when changes after `from` are no longer kept, or belong to another era of the store.
   */
  async read(from: StorePosition, waitMs: number): Promise<TopicSlice | undefined> {
    if (this._end === undefined) return undefined;
    const untilMs = this._clock.monotonic() + waitMs;
    while (from.era === this._end.era && from.offset >= this._end.offset && this.state === 'readable') {
      const remainingMs = Math.min(untilMs, this._servedUntilMs) - this._clock.monotonic();
      if (remainingMs <= 0) break;
      await this._waitForChange(remainingMs);
    }
    const { era, offset } = this._end;
    const first = offset - this._changes.length;
    if (from.era !== era || from.offset < first) throw new HistoryGoneError({ era, offset: first });
    return this._createSlice(this._changes.slice(from.offset - first), this._end);
  }

  /** Monotonic time until which this copy is recent enough for peers. */
  private get _servedUntilMs(): number {
    return this._contactAtMs + MAX_SERVED_AGE_MS;
  }

  private _createSlice(records: readonly KeyedRecord[], end: StorePosition): TopicSlice {
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
