// Stand-in of a replica of a plain service: runs a request for some time, then answers with its seal.
import { createServer } from 'node:http';

const HEARTBEAT_MS = 1_200;

export class Replica {
  constructor(store, { id, service, workMs = 20, runs = [] }) {
    Object.assign(this, { store, id, service, workMs, runs });
    this.state = 'ready';
    this.seqNo = 0;
    this.born = Date.now();
  }

  async start() {
    this.server = createServer((request, response) => this.handle(request, response));
    this.server.keepAliveTimeout = 15_000;
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this.server.address().port}`;
    this.announce();
    this.timer = setInterval(() => this.announce(), HEARTBEAT_MS);
    return this;
  }

  stop() {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  announce() {
    this.store.put('keyed.servers', this.id, {
      service: this.service,
      address: this.address,
      zone: 'zone-1',
      version: 1,
      slots: 64,
      state: this.state,
      coldRemainingMs: 0,
      seqNo: ++this.seqNo,
      born: this.born,
    });
  }

  async handle(request, response) {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    if (request.url === '/healthz') {
      response.writeHead(200, { 'Replica-Id': this.id, 'Content-Length': 0 });
      response.end();
      return;
    }
    const { 'expect-instance': expected, 'attempt-id': id } = request.headers;
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { 'Replica-Id': this.id, 'Content-Length': 0 });
      response.end();
      return;
    }
    if (id === undefined) {
      response.writeHead(400, { 'Not-Executed': '1', 'Content-Length': 0 });
      response.end();
      return;
    }
    this.runs.push({ id, replica: this.id, atMs: Date.now() });
    await new Promise((resolve) => setTimeout(resolve, this.workMs));
    if (response.destroyed) return;
    const body = `answer to ${id}`;
    response.writeHead(200, {
      'Attempt-Id': id,
      'Server-Seal': `${this.id}.${id}`,
      'Content-Length': Buffer.byteLength(body),
    });
    response.end(body);
  }
}
