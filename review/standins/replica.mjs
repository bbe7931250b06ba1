/** Stand-in of a replica of a plain service. */
import { createServer } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

export class Replica {
  runs = [];
  _seqNo = 0;

  /** `unframedEvery`: each so many answers, one has no length and ends with its connection. */
  constructor({ id, service, zone, store, workMs = 15, unframedEvery = Infinity }) {
    Object.assign(this, { id, service, zone, workMs, unframedEvery });
    this._store = store;
    this._born = Date.now();
    this._server = createServer((request, response) => {
      void this._handle(request, response);
    });
  }

  async start() {
    await new Promise((resolve) => this._server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this._server.address().port}`;
    this._beat();
    this._timer = setInterval(() => {
      this._beat();
    }, 1200);
  }

  stop() {
    clearInterval(this._timer);
    this._server.closeAllConnections();
    this._server.close();
  }

  _beat() {
    this._store.put('keyed.servers', this.id, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: 6,
      state: 'ready',
      coldRemainingMs: 0,
      seqNo: this._seqNo++,
      born: this._born,
    });
  }

  async _handle(request, response) {
    const id = request.headers['attempt-id'];
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { 'Replica-Id': this.id }).end();
      return;
    }
    if (id === undefined) {
      response.writeHead(400, { 'Not-Executed': '1' }).end();
      return;
    }
    const isFramed = (this.runs.length + 1) % this.unframedEvery !== 0;
    this.runs.push({ id, tenant: request.headers.tenant, replica: this.id, atMs: Date.now(), isFramed });
    request.resume();
    await sleep(this.workMs);
    const text = `answer of ${id};`;
    if (!isFramed) {
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
    }
    response.writeHead(200, {
      'Attempt-Id': id,
      'Server-Seal': `seal.${id}`,
      ...(isFramed ? { 'Content-Length': text.length } : {}),
    });
    response.write(text);
    response.end();
  }
}
