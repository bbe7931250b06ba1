import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { listen, sendJson, sleep } from '../standins/http.js';

interface Partition {
  readonly first: number;
  readonly records: Buffer[];
}

/** How the store answers for now. */
export type StoreMood = 'well' | 'busy' | 'silent' | 'slow' | 'loses-answers';

/** How long a slow store takes to answer. */
const SLOW_MS = 240;

/** A stand-in of the platform's store: topics with conditional appends, long reads and newest-of-key. */
export class StoreStandin {
  mood: StoreMood = 'well';
  /** Calls that were answered or refused. */
  calls = 0;
  private readonly _topics = new Map<string, Partition>();
  private readonly _waiting = new Set<() => void>();
  private _server: Server | undefined;

  async start(): Promise<string> {
    this._server = await listen((request, response, url) => this._answer(request, response, url), 0);
    return `127.0.0.1:${(this._server.address() as AddressInfo).port}`;
  }

  stop(): void {
    this._server?.closeAllConnections();
    this._server?.close();
  }

  /** Writes the newest value of a key, as the operator and the targets do; none drops the key. */
  put(topic: string, key: string, value: unknown): void {
    const name = Buffer.from(key);
    const bytes = value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
    this._append(topic, [Buffer.concat([Buffer.from([name.length]), name, bytes])]);
  }

  /** Drops the records of a topic before its end; the newest of each key stay readable. */
  compact(topic: string): void {
    const { first, records } = this._of(topic);
    this._topics.set(topic, { first: first + records.length, records: [] });
    this._compacted.set(topic, [...(this._compacted.get(topic) ?? []), ...records]);
  }

  private readonly _compacted = new Map<string, readonly Buffer[]>();

  private async _answer(request: IncomingMessage, response: ServerResponse, url: URL): Promise<void> {
    this.calls++;
    if (this.mood === 'silent') return;
    if (this.mood === 'slow') await sleep(SLOW_MS);
    if (this.mood === 'busy') {
      response.writeHead(503).end();
      return;
    }
    const topic = url.searchParams.get('topic') ?? '';
    switch (`${request.method} ${url.pathname}`) {
      case 'POST /v1/log-append':
        await this._takeAppend(request, response, url, topic);
        return;
      case 'GET /v1/log-read':
        await this._read(response, url, topic);
        return;
      case 'GET /v1/log-newest':
        this._newest(response, topic);
        return;
      default:
        response.writeHead(404).end();
    }
  }

  private async _takeAppend(
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
    topic: string,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const end = this._end(topic);
    const at = url.searchParams.get('at');
    if (at !== null && Number(at) !== end) {
      sendJson(response, 412, { end });
      return;
    }
    this._append(topic, splitRecords(Buffer.concat(chunks)));
    if (this.mood === 'loses-answers') {
      request.socket.destroy();
      return;
    }
    sendJson(response, 200, { offset: end, end: this._end(topic) });
  }

  private async _read(response: ServerResponse, url: URL, topic: string): Promise<void> {
    const from = Number(url.searchParams.get('from'));
    const { first } = this._of(topic);
    if (from < first) {
      sendJson(response, 410, { first });
      return;
    }
    if (from >= this._end(topic)) await this._wait(Number(url.searchParams.get('waitMs') ?? 0));
    const { first: kept, records } = this._of(topic);
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(this._end(topic)), 0);
    head.writeBigUInt64BE(BigInt(kept), 8);
    response.writeHead(200);
    response.end(Buffer.concat([head, ...records.slice(from - kept).flatMap(withLength)]));
  }

  private _newest(response: ServerResponse, topic: string): void {
    const newest = new Map<string, string>();
    for (const record of [...(this._compacted.get(topic) ?? []), ...this._of(topic).records]) {
      const length = record[0] ?? 0;
      const key = record.toString('utf8', 1, 1 + length);
      const value = record.subarray(1 + length);
      if (value.length > 0) newest.set(key, value.toString('base64'));
      else newest.delete(key);
    }
    const items = [...newest].map(([key, value], offset) => ({ key, value, offset }));
    sendJson(response, 200, { items, hasMore: false, end: this._end(topic) });
  }

  private _append(topic: string, records: readonly Buffer[]): void {
    this._of(topic).records.push(...records);
    for (const wake of [...this._waiting]) wake();
  }

  private _wait(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        this._waiting.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, ms);
      this._waiting.add(finish);
    });
  }

  private _end(topic: string): number {
    const { first, records } = this._of(topic);
    return first + records.length;
  }

  private _of(topic: string): Partition {
    let partition = this._topics.get(topic);
    if (!partition) {
      partition = { first: 0, records: [] };
      this._topics.set(topic, partition);
    }
    return partition;
  }
}

function splitRecords(bytes: Buffer): readonly Buffer[] {
  const records: Buffer[] = [];
  for (let at = 0; at + 4 <= bytes.length;) {
    const length = bytes.readUInt32BE(at);
    records.push(bytes.subarray(at + 4, at + 4 + length));
    at += 4 + length;
  }
  return records;
}

function withLength(record: Buffer): readonly Buffer[] {
  const length = Buffer.alloc(4);
  length.writeUInt32BE(record.length);
  return [length, record];
}
