/** One stored batch of a stream. */
export interface LogBatch {
  readonly offset: number;
  readonly entries: readonly string[];
}

/** Result of a read. */
export interface LogSlice {
  readonly batches: readonly LogBatch[];
  /** Oldest offset that is still retained. */
  readonly first: number;
  /** The offset that the next append will get. */
  readonly head: number;
  /** False when a relay answered from its own copy, so that the log may have newer batches. */
  readonly isCurrent: boolean;
}

/** Options of a read. */
export interface LogReadOptions {
  /** How long to wait for a batch at the head, in milliseconds. */
  readonly waitMs?: number;
  /** Maximum number of batches to return. */
  readonly limit?: number;
  readonly signal?: AbortSignal;
}

/**
 * An append-only log with offsets. An append whose answer is lost may have taken effect, records are
 * retained for a limited time, and outages occur.
 */
export interface Log {
  /**
   * Stores the entries as one batch and returns its offset.
   * @throws LogUnavailableError when no answer came; the batch may have been stored.
   */
  append(stream: string, entries: readonly string[], signal?: AbortSignal): Promise<number>;
  /** @throws LogUnavailableError when no answer came. */
  read(stream: string, from: number, options?: LogReadOptions): Promise<LogSlice>;
}
