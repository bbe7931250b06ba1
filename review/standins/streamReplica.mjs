/** Stand-in of a replica that answers with a stream of events, at times without a length. */
import { createServer } from 'node:http';

export class StreamReplica {
  runs = [];
  _seqNo = 0;
  _answers = 0;

  /** `unframedEvery`: each so many answers, one has neither a length nor chunks and ends with its connection. */
  constructor({ id, service, zone, store, events, intervalMs, unframedEvery = Infinity }) {
    Object.assign(this, { id, service, zone, events, intervalMs, unframedEvery });
    this._store = store;
    this._born = Date.now();
    this._server = createServer((request, response) => {
      this._handle(request, response);
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
      slots: 64,
      state: 'ready',
      coldRemainingMs: 0,
      seqNo: this._seqNo++,
      born: this._born,
    });
  }

  _handle(request, response) {
    const id = request.headers['attempt-id'];
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { 'Replica-Id': this.id }).end();
      return;
    }
    request.resume();
    const isFramed = ++this._answers % this.unframedEvery !== 0;
    const run = { id, replica: this.id, isFramed, sent: Number(request.headers['last-event-id'] ?? 0) };
    this.runs.push(run);
    if (!isFramed) {
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
    }
    response.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'Attempt-Id': id,
      'Server-Seal': `seal.${id}`,
    });
    response.on('error', () => undefined);
    const timer = setInterval(() => {
      if (response.destroyed) {
        clearInterval(timer);
        return;
      }
      run.sent++;
      response.write(`id: ${run.sent}\ndata: piece ${run.sent} of ${this.events} of ${id}\n\n`);
      if (run.sent < this.events) return;
      clearInterval(timer);
      response.end();
    }, this.intervalMs);
  }
}
