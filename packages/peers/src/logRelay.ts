import type { ConnectRouter } from '@connectrpc/connect';
import { Code, ConnectError } from '@connectrpc/connect';
import {
  type Log,
  type LogBatch,
  type LogSlice,
  LogUnavailableError,
  MAX_BATCH_ENTRIES,
} from '@monsoonreach/core';
import { toReadResponse } from './convert.js';
import { LogService } from './generated/monsoonreach/v1/peers_pb.js';

/** Most recent batches that a relay caches per stream, so that its readers do not each call the log. */
const MAX_CACHED_BATCHES = 512;
/** Upper limit of the wait that a peer may request, in milliseconds. */
const MAX_READ_WAIT_MS = 3_000;
/** Maximum number of batches returned by a read that sets no limit. */
const DEFAULT_READ_LIMIT = 500;

interface SharedRead {
  readonly from: number;
  readonly slice: Promise<LogSlice>;
}

interface PendingAppend {
  readonly entries: readonly string[];
  readonly resolve: (offset: number) => void;
  readonly reject: (error: unknown) => void;
}

/** Relays the log to peers: reads from the same offset share one call, and appends of many peers one batch. */
export class LogRelay {
  private readonly _cachedBatches = new Map<string, LogBatch[]>();
  private readonly _sharedReads = new Map<string, SharedRead>();
  private readonly _pendingAppends = new Map<string, PendingAppend[]>();
  private readonly _appendingStreams = new Set<string>();

  constructor(private readonly _log: Log) {}

  /** Registers the log service. */
  register(router: ConnectRouter): void {
    router.service(LogService, {
      read: async ({ stream, from, waitMs, limit }) => {
        const options = { waitMs: Math.min(waitMs, MAX_READ_WAIT_MS), limit: limit || DEFAULT_READ_LIMIT };
        return toReadResponse(await this._mapLogErrors(this.read(stream, Number(from), options)));
      },
      append: async ({ stream, entries }) => ({
        offset: BigInt(await this._mapLogErrors(this.append(stream, entries))),
      }),
    });
  }

  /** Reads from the cache, or else from the log in a call that concurrent reads from the same offset share. */
  async read(
    stream: string,
    from: number,
    options: { readonly waitMs: number; readonly limit: number },
  ): Promise<LogSlice> {
    const cached = this._readCached(stream, from, options.limit);
    if (cached) return cached;
    const shared = this._sharedReads.get(stream);
    if (shared?.from === from) return shared.slice;
    const slice = this._log.read(stream, from, options);
    this._sharedReads.set(stream, { from, slice });
    try {
      const read = await slice;
      this._cache(stream, read);
      return read;
    } finally {
      if (this._sharedReads.get(stream)?.slice === slice) this._sharedReads.delete(stream);
    }
  }

  /** Adds entries to the stream's next batch; resolves with the offset of that batch once it is stored. */
  append(stream: string, entries: readonly string[]): Promise<number> {
    return new Promise((resolve, reject) => {
      const pending = this._pendingAppends.get(stream) ?? [];
      pending.push({ entries, resolve, reject });
      this._pendingAppends.set(stream, pending);
      void this._drain(stream);
    });
  }

  private async _drain(stream: string): Promise<void> {
    if (this._appendingStreams.has(stream)) return;
    this._appendingStreams.add(stream);
    for (let batch = this._takeBatch(stream); batch.length > 0; batch = this._takeBatch(stream)) {
      await this._appendBatch(stream, batch);
    }
    this._appendingStreams.delete(stream);
  }

  private _takeBatch(stream: string): readonly PendingAppend[] {
    const pending = this._pendingAppends.get(stream) ?? [];
    let size = 0;
    const count = pending.findIndex(({ entries }) => (size += entries.length) > MAX_BATCH_ENTRIES);
    return pending.splice(0, count === -1 ? pending.length : Math.max(1, count));
  }

  private async _appendBatch(stream: string, batch: readonly PendingAppend[]): Promise<void> {
    try {
      const offset = await this._log.append(
        stream,
        batch.flatMap(({ entries }) => entries),
      );
      for (const { resolve } of batch) resolve(offset);
    } catch (error) {
      for (const { reject } of batch) reject(error);
    }
  }

  private _readCached(stream: string, from: number, limit: number): LogSlice | undefined {
    const cached = this._cachedBatches.get(stream);
    const first = cached?.[0]?.offset;
    const last = cached?.at(-1)?.offset;
    if (!cached || first === undefined || last === undefined || from < first || from > last) return undefined;
    const batches = cached.slice(from - first, from - first + limit);
    return { batches, first, head: last + 1, isCurrent: false };
  }

  private _cache(stream: string, slice: LogSlice): void {
    const cached = this._cachedBatches.get(stream) ?? [];
    for (const batch of slice.batches) {
      const expected = (cached.at(-1)?.offset ?? batch.offset - 1) + 1;
      if (batch.offset > expected) cached.length = 0;
      if (batch.offset >= expected) cached.push(batch);
    }
    cached.splice(0, Math.max(0, cached.length - MAX_CACHED_BATCHES));
    this._cachedBatches.set(stream, cached);
  }

  private async _mapLogErrors<Result>(result: Promise<Result>): Promise<Result> {
    try {
      return await result;
    } catch (error) {
      if (!(error instanceof LogUnavailableError)) throw error;
      throw new ConnectError(error.message, Code.Unavailable);
    }
  }
}
