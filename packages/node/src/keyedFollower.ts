import { type Clock, pause, type Random } from '@monsoonreach/core';
import {
  decodeKeyedRecord,
  HistoryGoneError,
  type KeyedRecord,
  type StoreClient,
  StoreUnavailableError,
} from '@monsoonreach/platform';
import { type DecisionLog, describeError } from './decisionLog.js';

/** First wait after a call that failed, in milliseconds; doubles up to the longest, with full jitter. */
const FIRST_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 800;

/** What a follower is made of. */
export interface KeyedFollowerOptions {
  readonly topic: string;
  readonly store: StoreClient;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: DecisionLog;
  /** How long a read waits for news, in milliseconds. */
  readonly waitMs: number;
  /** Pause between two reads, in milliseconds. */
  readonly intervalMs: () => number;
  /** Takes the newest record of every key; keys that are not among them are gone. */
  readonly onSnapshot: (records: readonly KeyedRecord[]) => void;
  /** Takes changes in order. */
  readonly onChanges: (records: readonly KeyedRecord[]) => void;
  /** Called after each answer with the monotonic time at which the call was sent. */
  readonly onContact?: (sentAtMs: number) => void;
}

/** Follows the newest records of a keyed topic: first all of them, then the changes. */
export class KeyedFollower {
  private _from: number | undefined;
  private _failures = 0;
  private _contactAtMs: number | undefined;
  private _regainedAtMs = -Infinity;
  private readonly _stopping = new AbortController();

  constructor(private readonly _options: KeyedFollowerOptions) {}

  /** Monotonic time at which the last answered call was sent. */
  get contactAtMs(): number | undefined {
    return this._contactAtMs;
  }

  /** Monotonic time at which the store was last reached again after calls that failed. */
  get regainedAtMs(): number {
    return this._regainedAtMs;
  }

  get isFailing(): boolean {
    return this._failures > 0;
  }

  async run(): Promise<void> {
    const { signal } = this._stopping;
    while (!signal.aborted) {
      const isDone = await this._turn();
      await pause(isDone ? this._options.intervalMs() : this._backoffMs(), signal);
    }
  }

  stop(): void {
    this._stopping.abort();
  }

  private async _turn(): Promise<boolean> {
    const sentAtMs = this._options.clock.monotonic();
    try {
      await (this._from === undefined ? this._readAll() : this._readOn(this._from));
    } catch (error) {
      if (this._stopping.signal.aborted) return true;
      if (error instanceof HistoryGoneError) {
        this._options.log.warn('history gone; reading all again', { topic: this._options.topic });
        this._from = undefined;
        return true;
      }
      this._noteFailure(error);
      return false;
    }
    this._noteContact(sentAtMs);
    return true;
  }

  private async _readAll(): Promise<void> {
    const { store, topic, onSnapshot } = this._options;
    const { records, end } = await store.readNewest(topic);
    onSnapshot(records);
    this._from = end;
  }

  private async _readOn(from: number): Promise<void> {
    const { store, topic, onChanges } = this._options;
    // After a failure the answer itself is the news: it tells that nothing was missed.
    const waitMs = this._failures > 0 ? 0 : this._options.waitMs;
    const { records } = await store.read({ topic, from, waitMs, signal: this._stopping.signal });
    this._from = from + records.length;
    if (records.length > 0) onChanges(records.map(decodeKeyedRecord));
  }

  private _noteContact(sentAtMs: number): void {
    const { clock, log, topic, onContact } = this._options;
    if (this._failures > 0) {
      this._regainedAtMs = clock.monotonic();
      log.info('store regained', { topic, failures: this._failures });
    }
    this._failures = 0;
    this._contactAtMs = sentAtMs;
    onContact?.(sentAtMs);
  }

  private _noteFailure(error: unknown): void {
    this._failures++;
    if (!(error instanceof StoreUnavailableError) || this._failures === 1) {
      this._options.log.warn('store lost', { topic: this._options.topic, error: describeError(error) });
    }
  }

  private _backoffMs(): number {
    const ceilingMs = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** (this._failures - 1));
    return ceilingMs * (0.5 + 0.5 * this._options.random.next());
  }
}
