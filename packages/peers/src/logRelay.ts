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

/** Batches of one stream that a relay keeps, so that its readers do not each reach the log. */
const KEPT_BATCHES = 512;
const MAX_READ_WAIT_MS = 3_000;
const READ_LIMIT = 500;

interface SharedRead {
  readonly from: number;
  readonly slice: Promise<LogSlice>;
}

interface Append {
  readonly entries: readonly string[];
  readonly resolve: (offset: number) => void;
  readonly reject: (error: unknown) => void;
}

/** Passes the log on to peers: equal reads share one call, and appends of many peers share one batch. */
export class LogRelay {
  private readonly _tails = new Map<string, LogBatch[]>();
  private readonly _reads = new Map<string, SharedRead>();
  private readonly _waiting = new Map<string, Append[]>();
  private readonly _appending = new Set<string>();

  constructor(private readonly _direct: Log) {}

  /** Offers the log service. */
  register(router: ConnectRouter): void {
    router.service(LogService, {
      read: async ({ stream, from, waitMs, limit }) => {
        const options = { waitMs: Math.min(waitMs, MAX_READ_WAIT_MS), limit: limit || READ_LIMIT };
        return toReadResponse(await this._refuseWhenDown(this.read(stream, Number(from), options)));
      },
      append: async ({ stream, entries }) => ({
        offset: BigInt(await this._refuseWhenDown(this.append(stream, entries))),
      }),
    });
  }

  /** Reads from what is kept, or from the log in a call that equal reads share. */
  async read(
    stream: string,
    from: number,
    options: { readonly waitMs: number; readonly limit: number },
  ): Promise<LogSlice> {
    const kept = this._readKept(stream, from, options.limit);
    if (kept) return kept;
    const shared = this._reads.get(stream);
    if (shared?.from === from) return shared.slice;
    const slice = this._direct.read(stream, from, options);
    this._reads.set(stream, { from, slice });
    try {
      const read = await slice;
      this._keep(stream, read);
      return read;
    } finally {
      if (this._reads.get(stream)?.slice === slice) this._reads.delete(stream);
    }
  }

  /** Adds entries to the stream's next batch. */
  append(stream: string, entries: readonly string[]): Promise<number> {
    return new Promise((resolve, reject) => {
      const waiting = this._waiting.get(stream) ?? [];
      waiting.push({ entries, resolve, reject });
      this._waiting.set(stream, waiting);
      void this._drain(stream);
    });
  }

  private async _drain(stream: string): Promise<void> {
    if (this._appending.has(stream)) return;
    this._appending.add(stream);
    for (let batch = this._takeBatch(stream); batch.length > 0; batch = this._takeBatch(stream)) {
      await this._appendBatch(stream, batch);
    }
    this._appending.delete(stream);
  }

  private _takeBatch(stream: string): readonly Append[] {
    const waiting = this._waiting.get(stream) ?? [];
    let size = 0;
    const count = waiting.findIndex(({ entries }) => (size += entries.length) > MAX_BATCH_ENTRIES);
    return waiting.splice(0, count === -1 ? waiting.length : Math.max(1, count));
  }

  private async _appendBatch(stream: string, batch: readonly Append[]): Promise<void> {
    try {
      const offset = await this._direct.append(
        stream,
        batch.flatMap(({ entries }) => entries),
      );
      for (const { resolve } of batch) resolve(offset);
    } catch (error) {
      for (const { reject } of batch) reject(error);
    }
  }

  private _readKept(stream: string, from: number, limit: number): LogSlice | undefined {
    const tail = this._tails.get(stream);
    const first = tail?.[0]?.offset;
    const last = tail?.at(-1)?.offset;
    if (!tail || first === undefined || last === undefined || from < first || from > last) return undefined;
    const batches = tail.slice(from - first, from - first + limit);
    return { batches, first, head: last + 1, isCurrent: false };
  }

  private _keep(stream: string, slice: LogSlice): void {
    const tail = this._tails.get(stream) ?? [];
    for (const batch of slice.batches) {
      const expected = (tail.at(-1)?.offset ?? batch.offset - 1) + 1;
      if (batch.offset > expected) tail.length = 0;
      if (batch.offset >= expected) tail.push(batch);
    }
    tail.splice(0, Math.max(0, tail.length - KEPT_BATCHES));
    this._tails.set(stream, tail);
  }

  private async _refuseWhenDown<Result>(result: Promise<Result>): Promise<Result> {
    try {
      return await result;
    } catch (error) {
      if (!(error instanceof LogUnavailableError)) throw error;
      throw new ConnectError(error.message, Code.Unavailable);
    }
  }
}
