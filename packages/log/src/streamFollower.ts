import {
  BackgroundLoop,
  CheckpointAssembler,
  type Clock,
  decodeEnvelope,
  type Envelope,
  type Log,
  type LogBatch,
  LogGapError,
  LogUnavailableError,
  type ReductionSnapshot,
  type StreamDefinition,
  StreamReducer,
  type StreamState,
  toPosition,
  UnsupportedFormatError,
  type Verdict,
  ValidationError,
} from '@monsoonreach/core';

/** How long a read waits for new batches once the follower has reached the stream's head, in milliseconds. */
const READ_WAIT_MS = 2_500;
const RETRY_DELAY_MS = 200;
/** Maximum number of batches in one read. */
const READ_LIMIT = 500;

/** One record with the verdict of the stream's state on it. */
export interface DecidedRecord<Body, Rejection extends string> {
  readonly envelope: Envelope<Body>;
  readonly verdict: Verdict<Rejection>;
}

/** Dependencies of a follower. */
export interface StreamFollowerOptions<
  Body,
  Rejection extends string,
  State extends StreamState<Body, Rejection>,
> {
  readonly stream: string;
  readonly log: Log;
  readonly clock: Clock;
  readonly definition: StreamDefinition<Body, Rejection, State>;
  /** Called for each record in stream order. */
  readonly onRecord?: (record: DecidedRecord<Body, Rejection>) => void;
}

/** Reads one stream continuously and maintains its state; loads a checkpoint if needed records are deleted. */
export class StreamFollower<Body, Rejection extends string, State extends StreamState<Body, Rejection>> {
  private _reducer: StreamReducer<Body, Rejection, State>;
  private _nextOffset = 0;
  private _caughtUpAtMs: number | undefined;
  private _failure: Error | undefined;
  private _hasLastReadSucceeded = true;
  private readonly _listeners = new Set<(record: DecidedRecord<Body, Rejection>) => void>();
  private readonly _loop = new BackgroundLoop({
    runOnce: () => this._poll(),
    intervalMs: () => (this._hasLastReadSucceeded ? 0 : RETRY_DELAY_MS),
  });

  constructor(private readonly _options: StreamFollowerOptions<Body, Rejection, State>) {
    this._reducer = new StreamReducer(_options.definition);
    if (_options.onRecord) this._listeners.add(_options.onRecord);
  }

  get state(): State {
    return this._reducer.state;
  }

  /** Offset that is read next; the state includes every batch before it. */
  get nextOffset(): number {
    return this._nextOffset;
  }

  /** Current time of the stream's clock, in milliseconds. */
  get streamNowMs(): number {
    return this._reducer.now();
  }

  /** Monotonic time at which the head was last reached, in milliseconds; undefined before the first time. */
  get caughtUpAtMs(): number | undefined {
    return this._caughtUpAtMs;
  }

  /** Error that keeps the follower from making progress; while it is set, the follower is not ready. */
  get failure(): Error | undefined {
    return this._failure;
  }

  isReady(): boolean {
    return this._caughtUpAtMs !== undefined && this._failure === undefined;
  }

  snapshot(): ReductionSnapshot {
    return this._reducer.snapshot();
  }

  /** Calls the listener for each subsequent record; returns a function that unsubscribes it. */
  subscribe(listener: (record: DecidedRecord<Body, Rejection>) => void): () => void {
    this._listeners.add(listener);
    return () => this._listeners.delete(listener);
  }

  start(): void {
    this._loop.start();
  }

  stop(): Promise<void> {
    return this._loop.stop();
  }

  /**
   * Reads from the log once and applies the result; public so that tests can drive it.
   * @throws LogUnavailableError, LogGapError, UnsupportedFormatError
   */
  async step(waitMs: number): Promise<void> {
    const { stream, log, clock } = this._options;
    const signal = this._loop.signal;
    const slice = await log.read(stream, this._nextOffset, { waitMs, limit: READ_LIMIT, signal });
    if (this._nextOffset < slice.first) {
      await this._loadCheckpoint(slice.first);
      return;
    }
    for (const batch of slice.batches) this._applyBatch(batch);
    if (slice.isCurrent && this._nextOffset >= slice.head) this._caughtUpAtMs = clock.monotonic();
  }

  private async _poll(): Promise<void> {
    try {
      // Before the head is first reached, an immediate response matters more than new batches: it sets readiness.
      await this.step(this._caughtUpAtMs === undefined ? 0 : READ_WAIT_MS);
      this._failure = undefined;
      this._hasLastReadSucceeded = true;
    } catch (error) {
      this._hasLastReadSucceeded = false;
      if (error instanceof Error && !(error instanceof LogUnavailableError)) this._failure = error;
    }
  }

  private _applyBatch(batch: LogBatch): void {
    if (batch.offset < this._nextOffset) return;
    if (batch.offset > this._nextOffset)
      throw new LogGapError(
        `Expected offset ${this._nextOffset}, got ${batch.offset}; batches of the stream are missing.`,
      );
    for (const [index, entry] of batch.entries.entries()) {
      this._applyEntry(toPosition(batch.offset, index), entry);
    }
    this._nextOffset = batch.offset + 1;
  }

  private _applyEntry(position: number, entry: string): void {
    const envelope = this._decode(entry);
    if (!envelope) return;
    const verdict = this._reducer.apply(position, envelope);
    for (const listener of this._listeners) listener({ envelope, verdict });
  }

  /** Returns undefined for a malformed entry, which all readers skip alike; throws for a newer format. */
  private _decode(entry: string): Envelope<Body> | undefined {
    try {
      return decodeEnvelope(entry, this._options.definition.bodySchema);
    } catch (error) {
      if (error instanceof UnsupportedFormatError) throw error;
      if (error instanceof ValidationError) return undefined;
      throw error;
    }
  }

  private async _loadCheckpoint(first: number): Promise<void> {
    const { stream, log, definition } = this._options;
    const assembler = new CheckpointAssembler();
    for (let from = first; ;) {
      const slice = await log.read(stream, from, { limit: READ_LIMIT, signal: this._loop.signal });
      for (const batch of slice.batches) this._collectChunks(batch, assembler);
      from = (slice.batches.at(-1)?.offset ?? from - 1) + 1;
      if (slice.batches.length === 0 || from >= slice.head) break;
    }
    const checkpoint = assembler.newest();
    if (!checkpoint || checkpoint.through < first) {
      throw new LogGapError(
        `Stream ${stream} starts at offset ${first} and holds no checkpoint that covers the deleted batches before it.`,
      );
    }
    this._reducer = new StreamReducer(definition, checkpoint.snapshot);
    this._nextOffset = checkpoint.through;
  }

  private _collectChunks(batch: LogBatch, assembler: CheckpointAssembler): void {
    for (const entry of batch.entries) {
      const body = this._decode(entry)?.body as
        { readonly kind?: string; readonly chunk?: unknown } | undefined;
      if (body?.kind === 'checkpoint') assembler.add(body.chunk);
    }
  }
}
