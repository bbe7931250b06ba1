// Stand-in of the platform's store: topics with one partition, appended to and read as the users' pages say.
import { createServer } from 'node:http';

const MAX_PAGE_ITEMS = 500;
const MAX_PAGE_BYTES = 1_000_000;
/** Time in which records of a topic expire, in milliseconds. */
const KEEP_MS = 20_000;
const ANSWER_MS = 4;

export class Store {
  #topics = new Map();
  /** Called before each call; may answer it itself and return true. */
  intercept = () => false;

  async start(port = 0, host = '127.0.0.1') {
    this.server = createServer((request, response) => this.#handle(request, response));
    this.server.keepAliveTimeout = 60_000;
    await new Promise((resolve) => this.server.listen(port, host, resolve));
    this.address = `${host}:${this.server.address().port}`;
    return this;
  }

  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Writes a key of a keyed topic; returns the time of the acknowledgement. */
  put(topic, key, value) {
    const keyBytes = Buffer.from(key);
    const body = value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
    this.#append(this.#topic(topic), [Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, body])]);
    return Date.now();
  }

  #topic(name) {
    let topic = this.#topics.get(name);
    if (!topic) {
      topic = { name, first: 0, records: [], newest: new Map(), waiters: new Set() };
      this.#topics.set(name, topic);
    }
    return topic;
  }

  #append(topic, records) {
    const offset = topic.first + topic.records.length;
    const atMs = Date.now();
    for (const [index, record] of records.entries()) {
      topic.records.push({ record, atMs });
      if (!topic.name.startsWith('keyed.')) continue;
      const key = record.toString('utf8', 1, 1 + record[0]);
      const value = record.subarray(1 + record[0]);
      if (value.length === 0) topic.newest.delete(key);
      else topic.newest.set(key, { value, offset: offset + index });
    }
    for (const wake of [...topic.waiters]) wake();
    return offset;
  }

  #expire(topic) {
    const limitMs = Date.now() - KEEP_MS;
    let count = 0;
    while (count < topic.records.length && topic.records[count].atMs < limitMs) count++;
    topic.records.splice(0, count);
    topic.first += count;
  }

  async #handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const url = new URL(request.url, 'http://store');
    if (this.intercept(request, response, url)) return;
    await new Promise((resolve) => setTimeout(resolve, ANSWER_MS));
    const topic = this.#topic(url.searchParams.get('topic') ?? '');
    this.#expire(topic);
    const end = () => topic.first + topic.records.length;
    switch (url.pathname) {
      case '/v1/log-append': {
        const body = Buffer.concat(chunks);
        const at = url.searchParams.get('at');
        if (at !== null && Number(at) !== end()) return sendJson(response, 412, { end: end() });
        const records = [];
        for (let position = 0; position < body.length;) {
          const length = body.readUInt32BE(position);
          records.push(body.subarray(position + 4, position + 4 + length));
          position += 4 + length;
        }
        const offset = this.#append(topic, records);
        return sendJson(response, 200, { offset, end: end() });
      }
      case '/v1/log-read': {
        const from = Number(url.searchParams.get('from'));
        const maxBytes = 1_024 * Number(url.searchParams.get('maxKb') ?? 1_024);
        if (from < topic.first) return sendJson(response, 410, { first: topic.first });
        const waitMs = Number(url.searchParams.get('waitMs') ?? 0);
        if (from >= end() && waitMs > 0) await waitForRecord(topic, Math.min(30_000, waitMs));
        if (from < topic.first) return sendJson(response, 410, { first: topic.first });
        const header = Buffer.alloc(16);
        header.writeBigUInt64BE(BigInt(end()), 0);
        header.writeBigUInt64BE(BigInt(topic.first), 8);
        const parts = [header];
        let bytes = 0;
        for (let offset = from; offset < end(); offset++) {
          const { record } = topic.records[offset - topic.first];
          if (bytes > 0 && bytes + record.length > maxBytes) break;
          bytes += record.length + 4;
          const length = Buffer.alloc(4);
          length.writeUInt32BE(record.length);
          parts.push(length, record);
        }
        const body = Buffer.concat(parts);
        response.writeHead(200, {
          'Content-Type': 'application/octet-stream',
          'Content-Length': body.length,
        });
        return response.end(body);
      }
      case '/v1/log-newest': {
        const after = url.searchParams.get('after') ?? '';
        const keys = [...topic.newest.keys()].sort().filter((key) => key > after);
        const items = [];
        let bytes = 0;
        for (const key of keys) {
          const { value, offset } = topic.newest.get(key);
          if (items.length >= MAX_PAGE_ITEMS || (bytes > 0 && bytes + value.length > MAX_PAGE_BYTES)) break;
          bytes += value.length;
          items.push({ key, value: value.toString('base64'), offset });
        }
        return sendJson(response, 200, { items, hasMore: items.length < keys.length, end: end() });
      }
      default:
        return sendJson(response, 404, {});
    }
  }
}

function waitForRecord(topic, ms) {
  return new Promise((resolve) => {
    const finish = () => {
      clearTimeout(timer);
      topic.waiters.delete(finish);
      resolve();
    };
    const timer = setTimeout(finish, ms);
    topic.waiters.add(finish);
  });
}

function sendJson(response, status, value) {
  const body = JSON.stringify(value);
  response.writeHead(status, {
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(body),
  });
  response.end(body);
}
