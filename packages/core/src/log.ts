/** One stored batch of a stream. */
export interface LogBatch {
  readonly offset: number;
  readonly entries: readonly string[];
}

/** What a read returns. */
export interface LogSlice {
  readonly batches: readonly LogBatch[];
  /** The oldest offset still kept. */
  readonly first: number;
  /** The offset that the next append will get. */
  readonly head: number;
  /** False when a relay answered from what it keeps, so that the log may be further on. */
  readonly isCurrent: boolean;
}

/** Options of a read. */
export interface LogReadOptions {
  /** How long to wait for a batch at the head, in milliseconds. */
  readonly waitMs?: number;
  /** The most batches to return. */
  readonly limit?: number;
  readonly signal?: AbortSignal;
}

/**
 * An append-only log with offsets. An append whose answer is lost may have taken effect; records are kept for
 * a limited time; there are outages.
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
