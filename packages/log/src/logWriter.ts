import {
  AppendNotSentError,
  AppendUnknownError,
  type Clock,
  type Counters,
  encodeEnvelope,
  type Log,
  LogUnavailableError,
  MAX_BATCH_ENTRIES,
  pause,
  RECORD_FORMAT,
  toWriterId,
  type Verdict,
  type Writer,
} from '@monsoonreach/core';
import type { DecidedRecord } from './streamFollower.js';

const RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 2_000;

/** Dependencies and settings of a writer. */
export interface LogWriterOptions<Body, Rejection extends string> {
  readonly stream: string;
  readonly log: Log;
  readonly writer: Writer;
  readonly clock: Clock;
  readonly counters: Counters;
  /** Calls the listener for each record read back from the stream; returns a function that unsubscribes it. */
  readonly subscribe: (listener: (record: DecidedRecord<Body, Rejection>) => void) => () => void;
  /** Maximum number of entries in one append; 1 disables group commit. */
  readonly maxBatch?: number;
}

interface PendingRecord<Rejection extends string> {
  readonly sequence: number;
  readonly entry: string;
  isSent: boolean;
  isStored: boolean;
  readonly resolve: (written: WrittenRecord<Rejection>) => void;
  readonly reject: (error: Error) => void;
}

/** Result of writing a record: the sequence number it was written with and the verdict read back. */
export interface WrittenRecord<Rejection extends string> {
  readonly sequence: number;
  readonly verdict: Verdict<Rejection>;
}

/**
 * Appends this process's records to one stream with group commit: one append is in flight at a time, and records
 * written meanwhile go into the next one. A record is confirmed only by reading it back. An append whose response
 * is lost is retried until its records time out, which is safe because readers drop repeated sequence numbers.
 */
export class LogWriter<Body, Rejection extends string> {
  private _nextSequence = 1;
  private readonly _pending = new Map<number, PendingRecord<Rejection>>();
  private _isAppending = false;
  private _isClosed = false;
  private readonly _controller = new AbortController();
  private readonly _unsubscribe: () => void;
  private readonly _writerId: string;

  constructor(private readonly _options: LogWriterOptions<Body, Rejection>) {
    this._writerId = toWriterId(_options.writer);
    this._unsubscribe = _options.subscribe((record) => {
      this._confirm(record);
    });
  }

  /** Sequence number of the next record. */
  get nextSequence(): number {
    return this._nextSequence;
  }

  /** Number of records that are neither confirmed nor timed out. */
  get backlog(): number {
    return this._pending.size;
  }

  /**
   * Writes a record and resolves once it has been read back, with its verdict.
   * @throws AppendNotSentError when it timed out unsent or the writer is closed; it will never be stored.
   * @throws AppendUnknownError when it timed out after it was sent; it may still be stored.
   */
  write(body: Body, options: { readonly timeoutMs: number }): Promise<WrittenRecord<Rejection>> {
    const { clock, writer } = this._options;
    if (this._isClosed)
      return Promise.reject(new AppendNotSentError('The writer is closed; the record was not sent.'));
    const sequence = this._nextSequence++;
    const entry = encodeEnvelope({
      format: RECORD_FORMAT,
      writer,
      sequence,
      writtenAtMs: clock.now(),
      body,
    });
    return new Promise((resolve, reject) => {
      const record = { sequence, entry, isSent: false, isStored: false, resolve, reject };
      this._pending.set(sequence, record);
      const timer = setTimeout(() => {
        this._expire(record);
      }, options.timeoutMs);
      timer.unref();
      void this._drain();
    });
  }

  /** Stops writing and rejects all unconfirmed records. */
  close(): void {
    this._isClosed = true;
    this._controller.abort();
    this._unsubscribe();
    for (const record of [...this._pending.values()]) this._expire(record);
  }

  private async _drain(): Promise<void> {
    if (this._isAppending) return;
    this._isAppending = true;
    let delayMs = RETRY_DELAY_MS;
    while (this._findUnstored().length > 0 && !this._isClosed) {
      const isStored = await this._appendOnce();
      if (isStored) delayMs = RETRY_DELAY_MS;
      else await pause(delayMs, this._controller.signal);
      if (!isStored) delayMs = Math.min(delayMs * 2, MAX_RETRY_DELAY_MS);
    }
    this._isAppending = false;
  }

  private _findUnstored(): readonly PendingRecord<Rejection>[] {
    return [...this._pending.values()].filter((record) => !record.isStored);
  }

  private async _appendOnce(): Promise<boolean> {
    const { log, stream, counters } = this._options;
    const batch = this._findUnstored().slice(0, this._options.maxBatch ?? MAX_BATCH_ENTRIES);
    for (const record of batch) record.isSent = true;
    try {
      const entries = batch.map((record) => record.entry);
      await log.append(stream, entries, this._controller.signal);
      for (const record of batch) record.isStored = true;
      counters.add('monsoonreach_log_appends_total', { stream, result: 'stored' });
      counters.add('monsoonreach_log_entries_total', { stream }, batch.length);
      return true;
    } catch (error) {
      if (!(error instanceof LogUnavailableError)) throw error;
      counters.add('monsoonreach_log_appends_total', { stream, result: 'unknown' });
      return false;
    }
  }

  private _confirm({ envelope, verdict }: DecidedRecord<Body, Rejection>): void {
    if (toWriterId(envelope.writer) !== this._writerId) return;
    const record = this._pending.get(envelope.sequence);
    if (!record) return;
    this._pending.delete(record.sequence);
    record.resolve({ sequence: record.sequence, verdict });
  }

  private _expire(record: PendingRecord<Rejection>): void {
    if (!this._pending.delete(record.sequence)) return;
    const { stream } = this._options;
    const description = `Record ${record.sequence} of stream ${stream}`;
    if (record.isSent) {
      record.reject(
        new AppendUnknownError(`${description} was not read back in time; it may still be stored.`),
      );
      return;
    }
    record.reject(
      new AppendNotSentError(
        `${description} was not sent in time and never will be; check the platform's log.`,
      ),
    );
  }
}
