import { randomUUID } from 'node:crypto';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { listen, readText, sendJson, sleep } from './http.js';
import { Journal } from './journal.js';

/** Options of an engine stand-in. */
export interface EngineStandinOptions {
  readonly port: number;
  readonly host?: string;
  readonly failureDomain?: string;
  readonly fabricDomain?: string;
  readonly accelerators?: number;
  readonly liveList?: string;
  readonly loadMs?: number;
  readonly firstTokenMs?: number;
  readonly tokenMs?: number;
  readonly tokens?: number;
  readonly checksFencing?: boolean;
  readonly resumes?: boolean;
  readonly journal?: string;
}

interface Assignment {
  readonly group: string;
  readonly epoch: number;
  readonly model: string;
  readonly version: string;
  readonly members: readonly string[];
  readonly rank: number;
}

interface Order extends Omit<Assignment, 'epoch'> {
  readonly order: 'load' | 'stop';
  readonly fencing: number;
}

const MEMBER_CHECK_MS = 200;
const REGISTRATION_INTERVAL_MS = 500;
/** A prompt that contains this text crashes the engine that runs it. */
export const CRASH_TEXT = 'CRASH-THE-ENGINE';

/** Stand-in of an instance's engine: takes orders, reports status, and answers completions as a loaded group's rank 0. */
export class EngineStandin {
  readonly boot = randomUUID();
  private readonly _journal: Journal;
  private _phase: 'idle' | 'loading' | 'ready' = 'idle';
  private _assignment: Assignment | undefined;
  private _fencing = 0;
  private _inFlight = 0;
  private _isLeaving = false;
  private _server: Server | undefined;
  private readonly _timers: NodeJS.Timeout[] = [];
  private readonly _streams = new Set<ServerResponse>();
  private _slowFactor = 1;

  constructor(private readonly _options: EngineStandinOptions) {
    this._journal = new Journal(_options.journal);
  }

  get address(): string {
    return `${this._options.host ?? '127.0.0.1'}:${this._options.port}`;
  }

  async start(): Promise<void> {
    this._server = await listen(
      (request, response, url) => this._handle(request, response, url),
      this._options.port,
      this._options.host,
    );
    this._timers.push(setInterval(() => void this._checkMembers(), MEMBER_CHECK_MS));
    await this._register();
    this._timers.push(setInterval(() => void this._register(), REGISTRATION_INTERVAL_MS));
    this._journal.write({ event: 'started', address: this.address, boot: this.boot });
  }

  /** Closes the server and all connections at once, as on a power failure. */
  kill(): void {
    for (const timer of this._timers) clearInterval(timer);
    this._server?.closeAllConnections();
    this._server?.close();
  }

  private _handle(request: IncomingMessage, response: ServerResponse, url: URL): void | Promise<void> {
    if (url.pathname === '/v1/status') return sendJson(response, 200, this._status());
    if (url.pathname === '/v1/orders') return this._handleOrder(request, response);
    if (url.pathname === '/v1/chat/completions') return this._handleCompletion(request, response);
    if (url.pathname === '/leave') this._isLeaving = true;
    if (url.pathname === '/slow') this._slowFactor = Number(url.searchParams.get('factor') ?? 1);
    sendJson(response, 200, {});
  }

  private _status() {
    const { failureDomain = 'a', fabricDomain = 'a-1', accelerators = 8 } = this._options;
    return {
      boot: this.boot,
      phase: this._phase,
      group: this._assignment?.group ?? null,
      epoch: this._assignment?.epoch ?? 0,
      model: this._assignment?.model ?? null,
      version: this._assignment?.version ?? null,
      fencing: this._options.checksFencing === false ? 0 : this._fencing,
      inFlight: this._inFlight,
      leaving: this._isLeaving,
      failureDomain,
      fabricDomain,
      accelerators,
    };
  }

  private async _handleOrder(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const order = JSON.parse(await readText(request)) as Order;
    if (this._options.checksFencing !== false && order.fencing < this._fencing) {
      this._journal.write({ event: 'order-refused', address: this.address, ...order });
      return sendJson(response, 409, { error: 'fencing', current: this._fencing });
    }
    this._fencing = Math.max(this._fencing, order.fencing);
    this._journal.write({ event: `order-${order.order}`, address: this.address, boot: this.boot, ...order });
    if (order.order === 'stop') this._unload();
    else if (this._assignment?.epoch !== order.fencing) void this._load({ ...order, epoch: order.fencing });
    return sendJson(response, 202, {});
  }

  private _unload(): void {
    this._phase = 'idle';
    this._assignment = undefined;
    for (const stream of this._streams) stream.destroy();
  }

  private async _load(assignment: Assignment): Promise<void> {
    this._unload();
    this._assignment = assignment;
    this._phase = 'loading';
    await sleep(this._options.loadMs ?? 200);
    if (this._assignment === assignment) this._phase = 'ready';
  }

  private async _handleCompletion(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readText(request);
    const assignment = this._assignment;
    const requestId = String(request.headers['x-request-id'] ?? '');
    const isForAssignment =
      request.headers['x-group'] === assignment?.group &&
      Number(request.headers['x-epoch']) === assignment?.epoch;
    response.setHeader('x-request-id', requestId);
    if (!assignment || this._phase !== 'ready' || assignment.rank !== 0 || !isForAssignment) {
      this._journal.write({ event: 'completion-refused', address: this.address, requestId });
      return sendJson(response, 409, { error: 'not-serving' });
    }
    this._journal.write({
      event: 'completion',
      address: this.address,
      boot: this.boot,
      requestId,
      group: assignment.group,
      epoch: assignment.epoch,
    });
    if (body.includes(CRASH_TEXT)) return this._crash();
    this._inFlight++;
    this._streams.add(response);
    response.once('close', () => this._streams.delete(response));
    try {
      await this._sendCompletion(request, response, body);
    } finally {
      this._inFlight--;
    }
  }

  private _crash(): void {
    this._journal.write({ event: 'crashed', address: this.address, boot: this.boot });
    if (process.env['STANDIN_EXIT_ON_CRASH'] === 'yes') process.exit(1);
    this.kill();
  }

  private async _sendCompletion(
    request: IncomingMessage,
    response: ServerResponse,
    body: string,
  ): Promise<void> {
    const parsed = JSON.parse(body) as {
      readonly model: string;
      readonly stream?: boolean;
      readonly messages: readonly { content: string }[];
    };
    const { firstTokenMs = 30, tokenMs = 5, tokens = 12, resumes = true } = this._options;
    const prompt = parsed.messages.at(-1)?.content ?? '';
    const words = Array.from({ length: tokens }, (_, index) => `${prompt.slice(0, 24)}#${index} `);
    await sleep(firstTokenMs * this._slowFactor);
    if (parsed.stream !== true) {
      await sleep(tokenMs * tokens * this._slowFactor);
      return this._sendWhole(response, parsed.model, words.join(''));
    }
    const lastEventId = resumes ? Number(request.headers['last-event-id'] ?? -1) : -1;
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    for (const [index, word] of words.entries()) {
      if (index <= lastEventId) continue;
      if (response.destroyed) return this._journal.write({ event: 'cancelled', address: this.address, body });
      const isLast = index === words.length - 1;
      if (!response.write(toEvent(index, parsed.model, word, isLast))) await waitForDrain(response);
      await sleep(tokenMs * this._slowFactor);
    }
    response.end('data: [DONE]\n\n');
  }

  private _sendWhole(response: ServerResponse, model: string, content: string): void {
    if (response.destroyed) return;
    sendJson(response, 200, {
      id: 'chatcmpl-standin',
      object: 'chat.completion',
      created: 0,
      model,
      choices: [{ index: 0, message: { role: 'assistant', content }, finish_reason: 'stop' }],
      usage: { prompt_tokens: 1, completion_tokens: 1, total_tokens: 2 },
    });
  }

  /** Cuts all streams when a member is lost: an engine that spans instances fails with any of them. */
  private async _checkMembers(): Promise<void> {
    const assignment = this._assignment;
    if (!assignment || assignment.rank !== 0 || this._phase !== 'ready') return;
    const states = await Promise.all(
      assignment.members
        .filter((member) => member !== this.address)
        .map((member) => isInGroup(member, assignment)),
    );
    if (states.every((isIn) => isIn) || this._assignment !== assignment) return;
    for (const stream of this._streams) stream.destroy();
  }

  private async _register(): Promise<void> {
    const { liveList, failureDomain = 'a', fabricDomain = 'a-1', accelerators = 8 } = this._options;
    if (liveList === undefined) return;
    const body = JSON.stringify({
      address: this.address,
      kind: 'engine',
      failureDomain,
      fabricDomain,
      accelerators,
    });
    await fetch(`http://${liveList}/instances`, { method: 'PUT', body }).catch(() => undefined);
  }
}

async function isInGroup(member: string, assignment: Assignment): Promise<boolean> {
  try {
    const response = await fetch(`http://${member}/v1/status`, { signal: AbortSignal.timeout(500) });
    const status = (await response.json()) as { readonly group: string | null; readonly epoch: number };
    return status.group === assignment.group && status.epoch === assignment.epoch;
  } catch {
    return false;
  }
}

function toEvent(index: number, model: string, content: string, isLast: boolean): string {
  const choice = { index: 0, delta: { content }, finish_reason: isLast ? 'stop' : null };
  const data = {
    id: 'chatcmpl-standin',
    object: 'chat.completion.chunk',
    created: 0,
    model,
    choices: [choice],
  };
  return `id: ${index}\ndata: ${JSON.stringify(data)}\n\n`;
}

function waitForDrain(response: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    response.once('drain', resolve);
    response.once('close', resolve);
  });
}
