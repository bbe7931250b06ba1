import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { listen, readText, sendJson, sleep } from '../standins/http.js';
import type { StoreStandin } from './storeStandin.js';

/** Time between two events of a stream. */
const EVENT_INTERVAL_MS = 15;
/** Time that a member needs to become ready. */
const JOIN_MS = 30;
/** Time that a group stands still before its head finds that it is broken. */
const STALL_MS = 2_000;
/** Time after which an order that was not answered is carried out. */
const LATE_ORDER_MS = 2_500;
/** Silence after which an instance's entry lapses. */
const LAPSE_MS = 3_600;

/** What an instance does with the next requests. */
export type InstanceMood =
  | 'well'
  | 'dark'
  | 'full'
  | 'resets'
  | 'unframed'
  | 'wrong-echo'
  | 'truncates'
  | 'resets-unframed'
  | 'late-orders';

/** One request that an instance has begun to run. */
export interface RunRecord {
  readonly requestId: string;
  readonly instance: string;
  readonly workspace: string | undefined;
  readonly lastEventId: string | undefined;
  readonly isWhole: boolean;
  /** Wall-clock time of the start, in milliseconds. */
  readonly atMs: number;
}

/** An instance's part in a group. */
export interface Membership {
  readonly name: string;
  readonly epoch: number;
  readonly rank: number;
  readonly members: readonly string[];
  state: 'joining' | 'ready' | 'open' | 'closing' | 'broken';
}

/** All instances of a test; a head asks it whether its members live. */
export class InstanceFleet {
  readonly instances = new Map<string, InstanceStandin>();
  readonly runs: RunRecord[] = [];
  /** What the engines saw that must never be: an instance in two groups, a group that was never whole. */
  readonly faults: string[] = [];
  /** Members that were ready in a group, each with the group's name, epoch and list. */
  readonly readied = new Set<string>();

  constructor(
    readonly store: StoreStandin,
    /** Events of a whole stream. */
    readonly events: number,
  ) {}

  /** @param publicAddress where others reach it, when that is not its own address. */
  async add(
    id: string,
    service: string,
    fabricDomain: string,
    publicAddress?: string,
  ): Promise<InstanceStandin> {
    const instance = new InstanceStandin(this, id, service, fabricDomain, publicAddress);
    this.instances.set(id, instance);
    await instance.start();
    return instance;
  }

  stop(): void {
    for (const instance of this.instances.values()) instance.stop();
  }
}

/** A stand-in of one instance: a plain service, or an engine that joins groups. */
export class InstanceStandin {
  mood: InstanceMood = 'well';
  /** Cut off from the store: its entry lapses, while requests still reach it. */
  isCut = false;
  private _bornMs = 1;
  private _fence = 0;
  private readonly _staged: string[] = [];
  private _server: Server | undefined;
  private _group: Membership | undefined;
  private _model: string | undefined;
  private _orders = 0;
  private _beats = 0;
  private _highestEpoch = 0;
  private _state: 'ready' | 'draining' = 'ready';

  constructor(
    private readonly _fleet: InstanceFleet,
    readonly id: string,
    private readonly _service: string,
    private readonly _fabricDomain: string,
    private readonly _publicAddress?: string,
  ) {}

  get group(): Readonly<Membership> | undefined {
    return this._group;
  }

  async start(): Promise<void> {
    this._server = await listen((request, response, url) => this._answer(request, response, url), 0);
    this.announce();
  }

  stop(): void {
    this._server?.closeAllConnections();
    this._server?.close();
  }

  get address(): string {
    return `127.0.0.1:${(this._server?.address() as AddressInfo).port}`;
  }

  /** Is in a group already, after that many orders. */
  assume(group: Membership, orders: number): void {
    this._group = group;
    this._orders = orders;
    this._highestEpoch = group.epoch;
    this._staged.splice(0, 1, 'model-a');
    this._model = 'model-a';
  }

  /** Goes silent; its entry lapses after a while, as that of a crashed instance does. */
  goDark(lapseMs: number): void {
    this.mood = 'dark';
    const bornMs = this._bornMs;
    setTimeout(() => {
      if (this._bornMs === bornMs) this._fleet.store.put('keyed.servers', this.id, undefined);
    }, lapseMs);
  }

  /** Crashes with all that it knows, and starts again under its id after a while. */
  async crash(downMs: number): Promise<void> {
    this.goDark(LAPSE_MS);
    this._server?.closeAllConnections();
    await sleep(downMs);
    this._bornMs++;
    this._group = undefined;
    this._model = undefined;
    this._orders = 0;
    this._fence = 0;
    this._highestEpoch = 0;
    this.mood = 'well';
    this.announce();
  }

  /** Loses the store for a while; its entry lapses meanwhile if that is long. */
  async cutFromStore(forMs: number): Promise<void> {
    this.isCut = true;
    const lapse = setTimeout(() => {
      this._fleet.store.put('keyed.servers', this.id, undefined);
    }, LAPSE_MS);
    await sleep(forMs);
    clearTimeout(lapse);
    this.isCut = false;
    this.announce();
  }

  leave(): void {
    this._state = 'draining';
    this.announce();
  }

  announce(): void {
    if (this.mood === 'dark' || this.isCut) return;
    this._beats++;
    this._fleet.store.put('keyed.servers', this.id, {
      service: this._service,
      address: this._publicAddress ?? this.address,
      zone: 'zone-1',
      version: 'v1',
      slots: 4,
      state: this._state,
      domain: this._fabricDomain,
      ...this._describe(),
      seqNo: this._beats,
    });
  }

  private _describe(): Readonly<Record<string, unknown>> {
    return {
      stage: 'both',
      born: this._bornMs,
      staged: this._staged,
      models: this._model === undefined ? [] : [{ name: this._model, version: 1, adapters: [] }],
      ...(this._group ? { group: { ...this._group, members: undefined } } : {}),
      seqNo: this._orders,
    };
  }

  private async _answer(request: IncomingMessage, response: ServerResponse, url: URL): Promise<void> {
    if (this.mood === 'dark') return;
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { 'Replica-Id': this.id }).end();
      return;
    }
    if (url.pathname === '/v1/report') sendJson(response, 200, { ...this._describe(), busy: false });
    else if (url.pathname === '/v1/order') await this._takeOrder(request, response);
    else await this._run(request, response);
  }

  private async _takeOrder(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const order = JSON.parse(await readText(request)) as Readonly<Record<string, unknown>>;
    if (this.mood === 'late-orders') {
      const bornMs = this._bornMs;
      await sleep(LATE_ORDER_MS);
      if (this._bornMs !== bornMs) return;
    }
    const fence = Number(order.fencingToken ?? 0);
    if (fence < this._fence) {
      response.writeHead(412).end();
      return;
    }
    this._fence = fence;
    if (order.expected !== undefined && order.expected !== this._orders) {
      response.writeHead(409).end();
      return;
    }
    const status = this._carryOut(order);
    if (status === 202) this._orders++;
    response.writeHead(status).end();
    this.announce();
  }

  private _carryOut(order: Readonly<Record<string, unknown>>): number {
    const epoch = Number(order.epoch ?? 0);
    const isOwn = this._group?.epoch === epoch && this._group.name === order.group;
    switch (order.operation) {
      case 'stage':
        this._staged.splice(0, 1, String(order.model));
        return 202;
      case 'join':
        if (epoch < this._highestEpoch) return 412;
        this._join(order, epoch);
        return 202;
      case 'open':
        if (!isOwn || this._group?.state !== 'ready') return 409;
        this._group.state = 'open';
        return 202;
      case 'close':
        if (!isOwn || this._group?.state !== 'open') return 409;
        this._group.state = 'ready';
        return 202;
      case 'leave':
        if (!isOwn) return 409;
        this._group = undefined;
        return 202;
      default:
        return 400;
    }
  }

  private _join(order: Readonly<Record<string, unknown>>, epoch: number): void {
    const members = order.members as readonly string[];
    this._checkRelease(String(order.group), epoch);
    this._highestEpoch = epoch;
    const group = {
      name: String(order.group),
      epoch,
      rank: members.indexOf(this.id),
      members,
      state: 'joining' as const,
    };
    const joined: Membership = group;
    this._group = joined;
    this._staged.splice(0, 1, String(order.model));
    setTimeout(() => {
      if (this._group !== joined) return;
      joined.state = 'ready';
      this._model = String(order.model);
      this._fleet.readied.add(readyMark(this.id, joined));
      this.announce();
    }, JOIN_MS);
  }

  /** An instance may join another group only once the head of its own serves no more. */
  private _checkRelease(group: string, epoch: number): void {
    const own = this._group;
    if (!own || (own.name === group && own.epoch === epoch)) return;
    const head = this._fleet.instances.get(own.members[0] ?? '');
    const isSame = head?.group?.name === own.name && head.group.epoch === own.epoch;
    const isServing = isSame && head.mood !== 'dark' && head.group.state !== 'ready';
    if (head === this || !isServing || head.group.state === 'joining' || head.group.state === 'broken')
      return;
    this._fleet.faults.push(
      `${this.id} joined ${group} while ${own.name} of ${head.id} was ${head.group.state}`,
    );
  }

  private async _run(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readText(request);
    const requestId = String(request.headers['attempt-id']);
    // A target that is leaving still runs what reaches it.
    if (this.mood === 'full' || (this._group && this._group.state !== 'open')) {
      response.writeHead(503, { 'Not-Executed': '1', 'Attempt-Id': requestId }).end();
      return;
    }
    this._fleet.runs.push({
      requestId,
      instance: this.id,
      workspace: request.headers.tenant as string | undefined,
      lastEventId: request.headers['last-event-id'] as string | undefined,
      isWhole: this._group === undefined || this._isWhole(this._group),
      atMs: Date.now(),
    });
    if (this._group) this._checkFormation(this._group);
    if (this.mood === 'resets') {
      request.socket.resetAndDestroy();
      return;
    }
    const echo = this.mood === 'wrong-echo' ? 'another' : requestId;
    const head = { 'Attempt-Id': echo, 'Server-Seal': `seal-of-${this.id}` };
    if (this._group) await this._stream(response, head, Number(request.headers['last-event-id'] ?? 0));
    else this._answerPlainly(response, head, `${echo}:${body}`);
  }

  private _checkFormation(group: Membership): void {
    const missing = group.members.filter((id) => !this._fleet.readied.has(readyMark(id, group)));
    if (missing.length === 0) return;
    this._fleet.faults.push(`${group.name} runs a request though ${missing.join()} was never ready in it`);
  }

  private _answerPlainly(
    response: ServerResponse,
    head: Readonly<Record<string, string>>,
    text: string,
  ): void {
    if (this.mood === 'truncates') {
      response.writeHead(200, { ...head, 'Content-Length': Buffer.byteLength(text) });
      response.write(text.slice(0, 3));
      setTimeout(() => response.destroy(), 5);
      return;
    }
    if (this.mood === 'resets-unframed') {
      response.useChunkedEncodingByDefault = false;
      response.writeHead(200, { ...head, Connection: 'close' });
      response.write(text.slice(0, 3));
      setTimeout(() => response.socket?.resetAndDestroy(), 5);
      return;
    }
    if (this.mood === 'unframed') {
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
      response.writeHead(200, { ...head, Connection: 'close' });
    } else {
      response.writeHead(200, { ...head, 'Content-Length': Buffer.byteLength(text) });
    }
    response.end(text);
  }

  private async _stream(
    response: ServerResponse,
    head: Readonly<Record<string, string>>,
    from: number,
  ): Promise<void> {
    const group = this._group;
    response.writeHead(200, { ...head, 'Content-Type': 'text/event-stream' });
    for (let id = from + 1; id <= this._fleet.events; id++) {
      await sleep(EVENT_INTERVAL_MS);
      if (group && !this._isWhole(group)) {
        await sleep(STALL_MS);
        response.destroy();
        return;
      }
      if (response.destroyed || (this.mood as InstanceMood) === 'dark') return;
      response.write(`id: ${id}\ndata: {"n":${id}}\n\n`);
    }
    response.end();
  }

  private _isWhole(group: Membership): boolean {
    if (this._group !== group) return false;
    return group.members.every((id) => {
      const member = this._fleet.instances.get(id);
      return member?.mood !== 'dark' && member?.group?.name === group.name;
    });
  }
}

function readyMark(id: string, { name, epoch, members }: Membership): string {
  return `${id}/${name}@${epoch}/${members.join()}`;
}
