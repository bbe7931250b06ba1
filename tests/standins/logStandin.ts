import type { ServerResponse } from 'node:http';
import type { Server } from 'node:http';
import { listen, readText, sendJson, sleep } from './http.js';

interface StoredBatch {
  readonly offset: number;
  readonly entries: readonly string[];
}

interface Stream {
  batches: StoredBatch[];
  first: number;
  head: number;
  readonly waiters: Set<() => void>;
}

/** Faults of the log stand-in; `POST /faults` sets them. */
export interface LogFaults {
  /** Drops the connection of every call. */
  readonly isDown?: boolean;
  /** Share of appends that are stored but not answered, 0 to 1. */
  readonly lostAnswerShare?: number;
  /** Delay of each call, in milliseconds. */
  readonly delayMs?: number;
  /** Number of batches that each stream keeps. */
  readonly keptBatches?: number;
}

/** Options of a log stand-in. */
export interface LogStandinOptions {
  readonly port?: number;
  /** Limit of appends per second over all streams. */
  readonly appendsPerSecond?: number;
  readonly faults?: LogFaults;
}

/** In-memory stand-in of the platform's append-only log, with a rate limit and fault injection. */
export class LogStandin {
  private readonly _streams = new Map<string, Stream>();
  private _faults: LogFaults;
  private _nextSlotMs = 0;
  private _appends = 0;
  private _reads = 0;

  private constructor(private readonly _options: LogStandinOptions) {
    this._faults = _options.faults ?? {};
  }

  static async start(
    options: LogStandinOptions = {},
  ): Promise<{ readonly standin: LogStandin; readonly server: Server }> {
    const standin = new LogStandin(options);
    const server = await listen((request, response, url) => {
      if (url.pathname === '/faults') return standin._setFaults(request, response);
      if (url.pathname === '/counts') return sendJson(response, 200, standin.counts());
      if (standin._faults.isDown === true) return void response.destroy();
      const name = decodeURIComponent(url.pathname.replace('/streams/', ''));
      return request.method === 'POST'
        ? standin._append(name, request, response)
        : standin._read(name, url, response);
    }, options.port ?? 0);
    return { standin, server };
  }

  counts(): { readonly appends: number; readonly reads: number } {
    return { appends: this._appends, reads: this._reads };
  }

  setFaults(faults: LogFaults): void {
    this._faults = faults;
  }

  private async _setFaults(request: Parameters<typeof readText>[0], response: ServerResponse): Promise<void> {
    this.setFaults(JSON.parse(await readText(request)) as LogFaults);
    sendJson(response, 200, {});
  }

  private async _append(
    name: string,
    request: Parameters<typeof readText>[0],
    response: ServerResponse,
  ): Promise<void> {
    const { entries } = JSON.parse(await readText(request)) as { readonly entries: readonly string[] };
    await this._waitForSlot();
    if (this._faults.isDown === true) return void response.destroy();
    this._appends++;
    const stream = this._getStream(name);
    const offset = stream.head++;
    stream.batches.push({ offset, entries });
    this._trim(stream);
    for (const wake of [...stream.waiters]) wake();
    if (Math.random() < (this._faults.lostAnswerShare ?? 0)) return void response.destroy();
    sendJson(response, 200, { offset });
  }

  private async _read(name: string, url: URL, response: ServerResponse): Promise<void> {
    this._reads++;
    const stream = this._getStream(name);
    const from = Number(url.searchParams.get('from') ?? 0);
    const waitMs = Number(url.searchParams.get('waitMs') ?? 0);
    const limit = Number(url.searchParams.get('limit') ?? 500);
    if (this._faults.delayMs) await sleep(this._faults.delayMs);
    if (from >= stream.head && waitMs > 0) await waitForBatch(stream, waitMs);
    if (this._faults.isDown === true) return void response.destroy();
    const start = Math.max(0, from - stream.first);
    const batches = from < stream.first ? [] : stream.batches.slice(start, start + limit);
    sendJson(response, 200, { batches, first: stream.first, head: stream.head });
  }

  private async _waitForSlot(): Promise<void> {
    if (this._faults.delayMs) await sleep(this._faults.delayMs);
    const rate = this._options.appendsPerSecond;
    if (rate === undefined) return;
    const nowMs = performance.now();
    this._nextSlotMs = Math.max(this._nextSlotMs, nowMs) + 1_000 / rate;
    if (this._nextSlotMs > nowMs) await sleep(this._nextSlotMs - nowMs);
  }

  private _trim(stream: Stream): void {
    const kept = this._faults.keptBatches ?? Infinity;
    while (stream.batches.length > kept) {
      stream.batches.shift();
      stream.first++;
    }
  }

  private _getStream(name: string): Stream {
    let stream = this._streams.get(name);
    if (!stream) {
      stream = { batches: [], first: 0, head: 0, waiters: new Set() };
      this._streams.set(name, stream);
    }
    return stream;
  }
}

function waitForBatch(stream: Stream, waitMs: number): Promise<void> {
  return new Promise((resolve) => {
    const wake = () => {
      clearTimeout(timer);
      stream.waiters.delete(wake);
      resolve();
    };
    const timer = setTimeout(wake, waitMs);
    stream.waiters.add(wake);
  });
}
