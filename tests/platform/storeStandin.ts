import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { listen, sendJson, sleep } from '../standins/http.js';

interface Partition {
  /** Offset of the first record that was not dropped. */
  readonly first: number;
  readonly records: Buffer[];
}

/** How the store behaves from now on; `well` injects no fault. */
export type StoreMode = 'well' | 'busy' | 'silent' | 'slow' | 'loses-answers';

/** Delay before a slow store answers. */
const SLOW_ANSWER_MS = 240;

/** The records of a store at one moment. */
export interface StoreCopy {
  readonly partitions: ReadonlyMap<string, Partition>;
  readonly compactedRecords: ReadonlyMap<string, readonly Buffer[]>;
}

/** Stands in for the platform's store: topics with conditional appends, long polling and the newest value of each key. */
export class StoreStandin {
  mode: StoreMode = 'well';
  /** Whether a fault also concerns the reads that were waiting when it began. */
  failsWaitingReads = false;
  /** Number of calls received, including those that got no answer. */
  callCount = 0;
  private _partitions = new Map<string, Partition>();
  /** Number of the history that the store serves; rises with each restore. */
  private _era = 1;
  /** Callbacks of reads that wait for an append. */
  private readonly _waiters = new Set<() => void>();
  private _server: Server | undefined;

  async start(): Promise<string> {
    this._server = await listen((request, response, url) => this._handleRequest(request, response, url), 0);
    return `127.0.0.1:${(this._server.address() as AddressInfo).port}`;
  }

  stop(): void {
    this._server?.closeAllConnections();
    this._server?.close();
  }

  /** Writes a value of a key, as the operator and the targets do; `undefined` deletes the key. */
  put(topic: string, key: string, value: unknown): void {
    this.putText(topic, key, value === undefined ? '' : JSON.stringify(value));
  }

  /** Writes a value that need not be JSON. */
  putText(topic: string, key: string, text: string): void {
    const name = Buffer.from(key);
    const bytes = Buffer.from(text);
    this._append(topic, [Buffer.concat([Buffer.from([name.length]), name, bytes])]);
  }

  /** Drops all records of a topic from its log; the newest value of each key stays readable. */
  compact(topic: string): void {
    const { first, records } = this._getPartition(topic);
    this._partitions.set(topic, { first: first + records.length, records: [] });
    this._compactedRecords.set(topic, [...(this._compactedRecords.get(topic) ?? []), ...records]);
  }

  /** Keys of a topic that have a value. */
  listKeys(topic: string): readonly string[] {
    return [...this._findNewest(topic).keys()];
  }

  /** Copies all records, to be restored later. */
  copy(): StoreCopy {
    return {
      partitions: copyPartitions(this._partitions),
      compactedRecords: new Map(this._compactedRecords),
    };
  }

  /** Comes back from a copy: what was appended since is lost, and its offsets are given out again. */
  restore(copy: StoreCopy): void {
    this._era++;
    this._partitions = copyPartitions(copy.partitions);
    this._compactedRecords = new Map(copy.compactedRecords);
    this._server?.closeAllConnections();
    for (const wake of [...this._waiters]) wake();
  }

  /** Records dropped from the log of a topic, which still hold the newest values of keys. */
  private _compactedRecords = new Map<string, readonly Buffer[]>();

  private async _handleRequest(request: IncomingMessage, response: ServerResponse, url: URL): Promise<void> {
    this.callCount++;
    response.setHeader('Store-Era', String(this._era));
    if (this.mode === 'silent') return;
    if (this.mode === 'slow') await sleep(SLOW_ANSWER_MS);
    if (this.mode === 'busy') {
      response.writeHead(503).end();
      return;
    }
    const topic = url.searchParams.get('topic') ?? '';
    switch (`${request.method} ${url.pathname}`) {
      case 'POST /v1/log-append':
        await this._handleAppend(request, response, url, topic);
        return;
      case 'GET /v1/log-read':
        await this._handleRead(response, url, topic);
        return;
      case 'GET /v1/log-newest':
        this._handleNewest(response, topic);
        return;
      default:
        response.writeHead(404).end();
    }
  }

  private async _handleAppend(
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
    topic: string,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const end = this._getEndOffset(topic);
    const expectedEnd = url.searchParams.get('at');
    if (expectedEnd !== null && Number(expectedEnd) !== end) {
      sendJson(response, 412, { end });
      return;
    }
    this._append(topic, splitRecords(Buffer.concat(chunks)));
    if (this.mode === 'loses-answers') {
      request.socket.destroy();
      return;
    }
    sendJson(response, 200, { offset: end, end: this._getEndOffset(topic) });
  }

  private async _handleRead(response: ServerResponse, url: URL, topic: string): Promise<void> {
    const from = Number(url.searchParams.get('from'));
    const { first } = this._getPartition(topic);
    if (from < first || from > this._getEndOffset(topic)) {
      sendJson(response, 410, { first });
      return;
    }
    if (from >= this._getEndOffset(topic))
      await this._waitForAppend(Number(url.searchParams.get('waitMs') ?? 0));
    if (this.failsWaitingReads && this.mode === 'silent') return;
    if (this.failsWaitingReads && this.mode === 'busy') {
      response.writeHead(503).end();
      return;
    }
    const { first: firstKept, records } = this._getPartition(topic);
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(this._getEndOffset(topic)), 0);
    head.writeBigUInt64BE(BigInt(firstKept), 8);
    response.writeHead(200);
    response.end(Buffer.concat([head, ...records.slice(from - firstKept).flatMap(prefixLength)]));
  }

  private _handleNewest(response: ServerResponse, topic: string): void {
    const items = [...this._findNewest(topic)].map(([key, { value, offset }]) => ({
      key,
      value: value.toString('base64'),
      offset,
    }));
    sendJson(response, 200, { items, hasMore: false, end: this._getEndOffset(topic) });
  }

  /** The newest value of each key, and the offset of its record. */
  private _findNewest(
    topic: string,
  ): ReadonlyMap<string, { readonly value: Buffer; readonly offset: number }> {
    const newest = new Map<string, { readonly value: Buffer; readonly offset: number }>();
    const records = [...(this._compactedRecords.get(topic) ?? []), ...this._getPartition(topic).records];
    for (const [offset, record] of records.entries()) {
      const length = record[0] ?? 0;
      const key = record.toString('utf8', 1, 1 + length);
      const value = record.subarray(1 + length);
      if (value.length > 0) newest.set(key, { value, offset });
      else newest.delete(key);
    }
    return newest;
  }

  private _append(topic: string, records: readonly Buffer[]): void {
    this._getPartition(topic).records.push(...records);
    for (const wake of [...this._waiters]) wake();
  }

  /** Waits for an append to any topic, at most `ms` milliseconds. */
  private _waitForAppend(ms: number): Promise<void> {
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

  private _getEndOffset(topic: string): number {
    const { first, records } = this._getPartition(topic);
    return first + records.length;
  }

  private _getPartition(topic: string): Partition {
    let partition = this._partitions.get(topic);
    if (!partition) {
      partition = { first: 0, records: [] };
      this._partitions.set(topic, partition);
    }
    return partition;
  }
}

function copyPartitions(partitions: ReadonlyMap<string, Partition>): Map<string, Partition> {
  return new Map(
    [...partitions].map(([topic, { first, records }]) => [topic, { first, records: [...records] }]),
  );
}

/** Splits a body of records, each with its length in four bytes before it. */
function splitRecords(bytes: Buffer): readonly Buffer[] {
  const records: Buffer[] = [];
  for (let at = 0; at + 4 <= bytes.length;) {
    const length = bytes.readUInt32BE(at);
    records.push(bytes.subarray(at + 4, at + 4 + length));
    at += 4 + length;
  }
  return records;
}

function prefixLength(record: Buffer): readonly Buffer[] {
  const length = Buffer.alloc(4);
  length.writeUInt32BE(record.length);
  return [length, record];
}
