// Stand-in of an engine replica: joins groups on orders and streams events as the head of an open one.
import { Replica } from './replicas.mjs';

const JOIN_MS = 200;
const FORM_MS = 300;

export class Engine extends Replica {
  group = undefined;
  model = undefined;
  staged = [];
  orderCount = 0;
  fence = 0;
  highestEpoch = 0;

  describe() {
    const { group } = this;
    return {
      stage: 'both',
      domain: 'domain-1',
      staged: this.staged,
      models: this.model === undefined ? [] : [{ name: this.model, version: 1, adapters: [] }],
      group: group && { name: group.name, epoch: group.epoch, rank: group.rank, state: group.state },
      born: this.born,
    };
  }

  announce() {
    this.store.put('keyed.servers', this.id, {
      service: this.service,
      address: this.address,
      zone: 'zone-1',
      version: 1,
      slots: 18,
      state: this.state,
      coldRemainingMs: 0,
      seqNo: ++this.seqNo,
      ...this.describe(),
    });
  }

  async handle(request, response) {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    const body = Buffer.concat(chunks).toString();
    const { 'expect-instance': expected, 'attempt-id': id } = request.headers;
    if (expected !== undefined && expected !== this.id)
      return answer(response, 421, { 'Replica-Id': this.id });
    if (request.url === '/healthz') return answer(response, 200, { 'Replica-Id': this.id });
    if (request.url === '/v1/report') {
      const busy = this.group?.state === 'joining';
      return answer(
        response,
        200,
        {},
        { ...this.describe(), busy, seqNo: this.orderCount, queued: 0, active: 0 },
      );
    }
    if (request.url === '/v1/order') return answer(response, this.order(JSON.parse(body)), {});
    if (this.group?.state !== 'open' || this.group.rank !== 0)
      return answer(response, 421, { 'At-Server': this.id });
    if (id === undefined) return answer(response, 400, { 'Not-Executed': '1' });
    this.runs.push({ id, replica: this.id, atMs: Date.now() });
    return this.stream(request, response, id);
  }

  order({ operation, group, epoch, model, members, expected, fencingToken = 0 }) {
    if (fencingToken < this.fence) return 412;
    if (expected !== undefined && expected !== this.orderCount) return 409;
    const isOwn = this.group?.name === group && this.group?.epoch === epoch;
    this.fence = Math.max(this.fence, fencingToken);
    switch (operation) {
      case 'join': {
        if (epoch < this.highestEpoch) return 412;
        if (isOwn) return this.group.members.join() === members.join() ? 200 : 412;
        this.highestEpoch = epoch;
        const joined = { name: group, epoch, rank: members.indexOf(this.id), members, state: 'joining' };
        this.begin(joined, JOIN_MS, () => {
          if (this.group !== joined) return;
          this.staged = [model];
          this.model = model;
          joined.state = 'ready';
        });
        return 202;
      }
      case 'open': {
        if (!isOwn || this.group.state !== 'ready') return isOwn && this.group.state === 'open' ? 200 : 409;
        const { group: opened } = this;
        this.begin(opened, FORM_MS, () => {
          if (opened.state === 'ready') opened.state = 'open';
        });
        return 202;
      }
      case 'close':
        if (!isOwn || this.group.state !== 'open') return 409;
        this.orderCount++;
        this.group.state = 'ready';
        this.announce();
        return 200;
      case 'leave':
        if (!isOwn) return 409;
        this.orderCount++;
        this.group = undefined;
        this.announce();
        return 200;
      case 'stage':
        this.orderCount++;
        this.staged = [model];
        this.announce();
        return 200;
      default:
        return 400;
    }
  }

  begin(group, ms, finish) {
    this.orderCount++;
    this.group = group;
    this.announce();
    setTimeout(() => {
      finish();
      this.announce();
    }, ms);
  }

  async stream(request, response, id) {
    response.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'Attempt-Id': id,
      'Server-Seal': `${this.id}.${id}`,
    });
    for (let event = 1 + Number(request.headers['last-event-id'] ?? 0); event <= 20; event++) {
      if (response.destroyed) return;
      response.write(`id: ${event}\ndata: ${'x'.repeat(65)}\n\n`);
      await new Promise((resolve) => setTimeout(resolve, 40));
    }
    response.end();
  }
}

function answer(response, status, headers, value) {
  const body = value === undefined ? '' : JSON.stringify(value);
  response.writeHead(status, { ...headers, 'Content-Length': Buffer.byteLength(body) });
  response.end(body);
}
