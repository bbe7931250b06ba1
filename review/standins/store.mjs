/** Stand-in of the platform's store in its log form: appends, long polls, and the newest record of each key. */
import { createServer } from 'node:http';
import { connect, createServer as createTcpServer } from 'node:net';

export class Store {
  _topics = new Map();
  _waiters = new Set();
  _server = createServer((request, response) => {
    void this._handle(request, response);
  });

  async listen() {
    await new Promise((resolve) => this._server.listen(0, '127.0.0.1', resolve));
    this.port = this._server.address().port;
  }

  stop() {
    this._server.closeAllConnections();
    this._server.close();
  }

  /** Writes a value of a key; `undefined` deletes the key. Returns the time of the ack, in milliseconds. */
  put(topic, key, value) {
    const text = value === undefined ? '' : JSON.stringify(value);
    const name = Buffer.from(key);
    this._append(topic, [Buffer.concat([Buffer.from([name.length]), name, Buffer.from(text)])]);
    return Date.now();
  }

  _records(topic) {
    let records = this._topics.get(topic);
    if (!records) this._topics.set(topic, (records = []));
    return records;
  }

  _append(topic, records) {
    this._records(topic).push(...records);
    for (const wake of [...this._waiters]) wake();
  }

  async _handle(request, response) {
    const url = new URL(request.url, 'http://store');
    const topic = url.searchParams.get('topic');
    if (url.pathname === '/v1/log-append') {
      const chunks = [];
      for await (const chunk of request) chunks.push(chunk);
      const offset = this._records(topic).length;
      const at = url.searchParams.get('at');
      if (at !== null && Number(at) !== offset) {
        sendJson(response, 412, { end: offset });
        return;
      }
      this._append(topic, splitRecords(Buffer.concat(chunks)));
      sendJson(response, 200, { offset, end: this._records(topic).length });
    } else if (url.pathname === '/v1/log-read') {
      await this._read(response, topic, url.searchParams);
    } else if (url.pathname === '/v1/log-newest') {
      sendJson(response, 200, {
        items: this._newest(topic),
        hasMore: false,
        end: this._records(topic).length,
      });
    } else response.writeHead(404).end();
  }

  async _read(response, topic, query) {
    const from = Number(query.get('from'));
    const records = this._records(topic);
    const untilMs = Date.now() + Number(query.get('waitMs') ?? 0);
    while (from >= records.length && Date.now() < untilMs) await this._wait(untilMs - Date.now());
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(records.length), 0);
    response.writeHead(200);
    response.end(Buffer.concat([head, ...records.slice(from).flatMap(withLength)]));
  }

  _newest(topic) {
    const newest = new Map();
    for (const [offset, record] of this._records(topic).entries()) {
      const key = record.toString('utf8', 1, 1 + record[0]);
      const value = record.subarray(1 + record[0]);
      if (value.length > 0) newest.set(key, { key, value: value.toString('base64'), offset });
      else newest.delete(key);
    }
    return [...newest.values()];
  }

  _wait(ms) {
    return new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        this._waiters.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, Math.max(1, ms));
      this._waiters.add(finish);
    });
  }
}

/** A link of one machine to the store; while it is cut, nothing passes in either direction. */
export class Link {
  _pairs = new Set();
  _isCut = false;

  constructor(port) {
    this._server = createTcpServer((near) => {
      const far = connect(port, '127.0.0.1');
      const pair = { near, far };
      this._pairs.add(pair);
      const end = () => {
        this._pairs.delete(pair);
        near.destroy();
        far.destroy();
      };
      for (const socket of [near, far]) {
        socket.on('error', end);
        socket.on('close', end);
      }
      if (this._isCut) return;
      join(pair);
    });
  }

  async listen() {
    await new Promise((resolve) => this._server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this._server.address().port}`;
  }

  /** Holds all bytes from now on. */
  cut() {
    this._isCut = true;
    for (const { near, far } of this._pairs) {
      near.unpipe(far);
      far.unpipe(near);
    }
  }

  /** Lets the held bytes and all later ones pass. */
  heal() {
    this._isCut = false;
    for (const pair of this._pairs) join(pair);
  }

  stop() {
    for (const { near, far } of this._pairs) {
      near.destroy();
      far.destroy();
    }
    this._server.close();
  }
}

function join({ near, far }) {
  near.pipe(far);
  far.pipe(near);
}

function sendJson(response, status, value) {
  response.writeHead(status, { 'Content-Type': 'application/json' });
  response.end(JSON.stringify(value));
}

function splitRecords(bytes) {
  const records = [];
  for (let at = 0; at + 4 <= bytes.length;) {
    const length = bytes.readUInt32BE(at);
    records.push(bytes.subarray(at + 4, at + 4 + length));
    at += 4 + length;
  }
  return records;
}

function withLength(record) {
  const length = Buffer.alloc(4);
  length.writeUInt32BE(record.length);
  return [length, record];
}
