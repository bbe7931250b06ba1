import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { listen, readText, sendJson, sleep } from '../standins/http.js';
import type { StoreStandin } from './storeStandin.js';

/** Service whose instances run requests in groups only. */
const ENGINE_SERVICE = 'engines';
/** Default interval between two events of a stream. */
export const EVENT_INTERVAL_MS = 15;
/** Time for which an instance in mode `refuses-late` holds a request, in milliseconds. */
const REFUSAL_DELAY_MS = 1_200;
/** Time from a join order until the member is ready, with a staged model; and if it was that of the last group. */
const JOIN_DURATION_MS = 30;
const REJOIN_DURATION_MS = 200;
/** Time that a join takes in addition if the model is not staged. */
const LOAD_DURATION_MS = 50;
/** Time from an order to open until the head serves. */
const FORM_DURATION_MS = 100;
/** Time from the loss of a member until a head with requests is broken; none makes progress meanwhile. */
const BREAK_DETECTION_MS = 2_000;
/** Delay before an instance in mode `late-orders` executes an order, whose sender has timed out by then. */
const ORDER_DELAY_MS = 2_500;
/** Longest time for which an instance that leaves waits for the requests of its head, in milliseconds. */
const MAX_LEAVE_MS = 10_000;
/** Interval at which it looks at its head meanwhile, in milliseconds. */
const LEAVE_CHECK_INTERVAL_MS = 20;
/** Path of the health checks of both services. */
const HEALTH_PATH = '/healthz';
/** Time without an announcement after which an instance's entry in the store expires. */
const ENTRY_EXPIRY_MS = 3_600;

/** How an instance behaves from now on; `well` injects no fault, `dark` answers and announces nothing. */
export type InstanceMode =
  | 'well'
  | 'dark'
  | 'full'
  | 'refuses-late'
  | 'resets'
  | 'unframed'
  | 'wrong-echo'
  | 'truncates'
  | 'resets-unframed'
  | 'late-orders';

/** What an order did. Those that began, or were done at once, count. */
type OrderEffect = 'begun' | 'in progress' | 'done' | 'holds' | 'conflict' | 'outdated' | 'unknown';

const EFFECT_STATUSES: Readonly<Record<OrderEffect, number>> = {
  begun: 202,
  'in progress': 202,
  done: 200,
  holds: 200,
  conflict: 409,
  outdated: 412,
  unknown: 400,
};

/** A request that an instance has started to run. */
export interface RunRecord {
  readonly requestId: string;
  readonly instance: string;
  readonly workspace: string | undefined;
  readonly lastEventId: string | undefined;
  /** Whether no member of the instance's group was dark or missing at the start; true without a group. */
  readonly isWhole: boolean;
  /** Wall-clock time of the start, in milliseconds. */
  readonly atMs: number;
}

/** An instance's membership of a group. */
export interface Membership {
  readonly name: string;
  readonly epoch: number;
  readonly rank: number;
  /** Ids of the instances; the first is the head. */
  readonly members: readonly string[];
  state: 'joining' | 'ready' | 'open' | 'closing' | 'broken';
}

/** All instances of a test. Heads look up the state of their members here instead of over a network. */
export class InstanceFleet {
  readonly instances = new Map<string, InstanceStandin>();
  readonly runs: RunRecord[] = [];
  /** Invariants that were violated: an instance in two serving groups, or a request in a group that was never whole. */
  readonly violations: string[] = [];
  /** Every instance that became ready in a group, as returned by `toMemberKey`. */
  readonly readyMembers = new Set<string>();
  /** Time before each event of a stream, in milliseconds. */
  pauseBefore: (requestId: string, eventId: number) => number | Promise<number> = () => EVENT_INTERVAL_MS;

  constructor(
    readonly store: StoreStandin,
    /** Number of events in a complete stream. */
    readonly eventCount: number,
  ) {}

  /** @param publicAddress address that the instance announces; its own by default. */
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

/** Stands in for one instance: of a plain service, or an engine that joins groups. */
export class InstanceStandin {
  mode: InstanceMode = 'well';
  /** Requests per second that it takes, as it tells in its answers; it names no limit by default. */
  requestsPerS: number | undefined;
  /** Time until which it is cold, on the clock of `performance.now()`; undefined if its entry does not tell. */
  coldUntilMs: number | undefined;
  /** Number of streams that its group runs at the same time; it refuses others. */
  slots = Infinity;
  /** Failure domain that it announces. */
  failureDomain = 'zone-1';
  /** Whether the instance cannot reach the store. Its entry expires, but requests still reach it. */
  isDisconnectedFromStore = false;
  /** Number of starts, announced as the start time so that each start has another one. */
  private _startCount = 1;
  private _fencingToken = 0;
  private readonly _stagedModels: string[] = [];
  private _server: Server | undefined;
  private _address = '';
  private _group: Membership | undefined;
  /** Group that the instance has been ordered to open and does not serve yet. */
  private _opening: Membership | undefined;
  private _model: string | undefined;
  private _orderCount = 0;
  private _announcementCount = 0;
  private _highestEpoch = 0;
  private _runningStreams = 0;
  /** Responses in progress whose end is that of their connection. */
  private readonly _unframed = new Set<ServerResponse>();
  private _state: 'ready' | 'draining' = 'ready';
  private _isLeavingUnlisted = false;
  private _hasExited = false;

  constructor(
    private readonly _fleet: InstanceFleet,
    readonly id: string,
    private readonly _service: string,
    readonly fabricDomain: string,
    private readonly _publicAddress?: string,
  ) {}

  get group(): Readonly<Membership> | undefined {
    return this._group;
  }

  async start(): Promise<void> {
    this._server = await listen((request, response, url) => this._handleRequest(request, response, url), 0);
    this._address = `127.0.0.1:${(this._server.address() as AddressInfo).port}`;
    this.announce();
  }

  stop(): void {
    this._server?.closeAllConnections();
    this._server?.close();
  }

  get address(): string {
    return this._address;
  }

  /** Address that the instance announces. */
  get publicAddress(): string {
    return this._publicAddress ?? this._address;
  }

  /** Whether the instance has left and exited. */
  get hasExited(): boolean {
    return this._hasExited;
  }

  /** Whether the instance is about to exit, with or without an entry that says so. */
  get isLeaving(): boolean {
    return this._isLeavingUnlisted || this._state === 'draining';
  }

  /** Sets the instance's group and the number of orders that it has executed. */
  setGroup(group: Membership, orders: number): void {
    this._group = group;
    this._orderCount = orders;
    this._highestEpoch = group.epoch;
    this._stagedModels.splice(0, 1, 'model-a');
    this._model = 'model-a';
    if (group.state !== 'joining') this._fleet.readyMembers.add(toMemberKey(this.id, group));
  }

  /** Crashes: it no longer answers or has a group. Its entry expires after `expiryMs`. */
  stopAnswering(expiryMs: number): void {
    this.mode = 'dark';
    this._group = undefined;
    const startCount = this._startCount;
    setTimeout(() => {
      if (this._startCount === startCount) this._fleet.store.put('keyed.servers', this.id, undefined);
    }, expiryMs);
  }

  /** Crashes, loses its state, and starts again under the same id after `downtimeMs`. */
  async crashAndRestart(downtimeMs: number): Promise<void> {
    this.stopAnswering(ENTRY_EXPIRY_MS);
    // A regular close would mark these answers as complete.
    for (const { socket } of this._unframed) socket?.resetAndDestroy();
    this._server?.closeAllConnections();
    await sleep(downtimeMs);
    this._startCount++;
    this._model = undefined;
    this._orderCount = 0;
    this._fencingToken = 0;
    this._highestEpoch = 0;
    this.mode = 'well';
    this.announce();
  }

  /** Disconnects from the store for `forMs`; longer than `ENTRY_EXPIRY_MS`, its entry expires meanwhile. */
  async disconnectFromStore(durationMs: number): Promise<void> {
    this.isDisconnectedFromStore = true;
    const expiryTimer = setTimeout(() => {
      this._fleet.store.put('keyed.servers', this.id, undefined);
    }, ENTRY_EXPIRY_MS);
    await sleep(durationMs);
    clearTimeout(expiryTimer);
    this.isDisconnectedFromStore = false;
    this.announce();
  }

  /** Announces that the instance is draining. It still runs the requests that reach it. */
  startDraining(): void {
    this._state = 'draining';
    this.announce();
  }

  /**
   * Leaves without ever announcing it: its entry is removed at once. It serves for `durationMs` more, and while the head of
   * its group has requests, then exits.
   * @returns whether the head still had requests, which its exit breaks off.
   */
  async leaveUnlisted(durationMs: number): Promise<boolean> {
    const startedAtMs = Date.now();
    this._isLeavingUnlisted = true;
    this._fleet.store.put('keyed.servers', this.id, undefined);
    await sleep(durationMs);
    while (this._hasBusyHead() && Date.now() - startedAtMs < MAX_LEAVE_MS) {
      await sleep(LEAVE_CHECK_INTERVAL_MS);
    }
    const isHeadBusy = this._hasBusyHead();
    this.mode = 'dark';
    this._hasExited = true;
    this._group = undefined;
    this.stop();
    return isHeadBusy;
  }

  /** Whether the head of the instance's group, which may be the instance itself, runs requests. */
  private _hasBusyHead(): boolean {
    const head = this._fleet.instances.get(this._group?.members[0] ?? '');
    return head?._group?.name === this._group?.name && (head?._runningStreams ?? 0) > 0;
  }

  /** Writes the instance's entry to the store. */
  announce(): void {
    if (this._isLeavingUnlisted) return;
    if (this.mode === 'dark' || this.isDisconnectedFromStore || !this._server?.listening) return;
    this._announcementCount++;
    this._fleet.store.put('keyed.servers', this.id, this.describeEntry());
  }

  /** The instance's entry as it would be written now. */
  describeEntry(): Readonly<Record<string, unknown>> {
    return {
      service: this._service,
      address: this.publicAddress,
      zone: this.failureDomain,
      version: 'v1',
      slots: 4,
      state: this._state,
      domain: this.fabricDomain,
      ...this._describeState(),
      seqNo: this._announcementCount,
      coldRemainingMs: this.coldUntilMs && Math.max(0, this.coldUntilMs - performance.now()),
    };
  }

  /** State that entries and reports have in common. */
  private _describeState(): Readonly<Record<string, unknown>> {
    return {
      stage: 'both',
      born: this._startCount,
      staged: this._stagedModels,
      models: this._model === undefined ? [] : [{ name: this._model, version: 1, adapters: [] }],
      ...(this._group ? { group: { ...this._group, members: undefined } } : {}),
      seqNo: this._orderCount,
    };
  }

  private async _handleRequest(request: IncomingMessage, response: ServerResponse, url: URL): Promise<void> {
    if (this.mode === 'dark') return;
    const expected = request.headers['expect-instance'];
    if (this.isLeaving) response.shouldKeepAlive = false;
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { 'Replica-Id': this.id, 'At-Server': this.publicAddress }).end();
      return;
    }
    if (url.pathname === '/v1/report') sendJson(response, 200, { ...this._describeState(), busy: false });
    else if (url.pathname === '/v1/order') await this._handleOrder(request, response);
    else if (url.pathname === HEALTH_PATH) this._handleHealthCheck(request, response);
    else await this._runRequest(request, response);
  }

  /** A health check waits for a slot or is refused as requests are; members run none, so that theirs are free. */
  private _handleHealthCheck(request: IncomingMessage, response: ServerResponse): void {
    if (this._isFull()) this._refuse(response, String(request.headers['attempt-id']));
    else response.writeHead(this.isLeaving ? 503 : 200, { 'Replica-Id': this.id }).end();
  }

  private _isFull(): boolean {
    return this.mode === 'full' || this._runningStreams >= this.slots;
  }

  /** States that a request was not run, and the instance at fault: the lost member of a broken group, or the instance. */
  private _refuse(response: ServerResponse, requestId: string): void {
    const isMemberAtFault = this._group?.state === 'broken' || this._hasExitedMember();
    const atFault = isMemberAtFault ? this._findLostMember() : undefined;
    response
      .writeHead(503, {
        'Not-Executed': '1',
        'Attempt-Id': requestId,
        'Replica-Id': this.id,
        'At-Server': (atFault ?? this).publicAddress,
      })
      .end();
  }

  private _findLostMember(): InstanceStandin | undefined {
    const group = this._group;
    const lost = group?.members.find((id) => !this._isPresent(id, group));
    return this._fleet.instances.get(lost ?? '');
  }

  /** Whether a member has left and exited, unlike one that crashed; the head notices that at once. */
  private _hasExitedMember(): boolean {
    return this._findLostMember()?._hasExited ?? false;
  }

  private async _handleOrder(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const order = JSON.parse(await readText(request)) as Readonly<Record<string, unknown>>;
    if (this.mode === 'late-orders') {
      const startCount = this._startCount;
      await sleep(ORDER_DELAY_MS);
      if (this._startCount !== startCount) return;
    }
    const fencingToken = Number(order.fencingToken ?? 0);
    if (fencingToken < this._fencingToken) {
      response.writeHead(412).end();
      return;
    }
    this._fencingToken = fencingToken;
    if (order.expected !== undefined && order.expected !== this._orderCount) {
      response.writeHead(409).end();
      return;
    }
    const effect = this._executeOrder(order);
    if (effect === 'begun' || effect === 'done') this._orderCount++;
    response.writeHead(EFFECT_STATUSES[effect]).end();
    this.announce();
  }

  private _executeOrder(order: Readonly<Record<string, unknown>>): OrderEffect {
    const epoch = Number(order.epoch ?? 0);
    const isCurrent = this._group?.epoch === epoch && this._group.name === order.group;
    const group = isCurrent ? this._group : undefined;
    switch (order.operation) {
      case 'stage':
        this._stagedModels.splice(0, 1, String(order.model));
        return 'begun';
      case 'join': {
        if (epoch < this._highestEpoch) return 'outdated';
        const members = order.members as readonly string[];
        if (group && group.members.join() !== members.join()) return 'outdated';
        if (group) return group.state === 'joining' ? 'in progress' : 'holds';
        this._join(order, epoch);
        return 'begun';
      }
      case 'open':
        if (group?.rank !== 0) return 'conflict';
        if (group.state === 'open') return 'holds';
        if (group.state !== 'ready') return 'conflict';
        if (this._opening === group) return 'in progress';
        this._open(group);
        return 'begun';
      case 'close':
        if (group?.rank !== 0) return 'conflict';
        if (group.state === 'ready') return 'holds';
        if (group.state === 'closing') return 'in progress';
        if (group.state !== 'open') return 'conflict';
        group.state = 'closing';
        this._finishClosing();
        return 'begun';
      case 'leave':
        if (!group) return 'holds';
        this._group = undefined;
        return 'done';
      default:
        return 'unknown';
    }
  }

  private _join(order: Readonly<Record<string, unknown>>, epoch: number): void {
    const members = order.members as readonly string[];
    const model = String(order.model);
    this._checkPreviousGroup(String(order.group), epoch);
    this._highestEpoch = epoch;
    const joined: Membership = {
      name: String(order.group),
      epoch,
      rank: members.indexOf(this.id),
      members,
      state: 'joining',
    };
    this._group = joined;
    const loadMs = this._stagedModels.includes(model) ? 0 : LOAD_DURATION_MS;
    setTimeout(
      () => {
        this._stagedModels.splice(0, 1, model);
        if (this._group !== joined) return;
        joined.state = 'ready';
        this._model = model;
        this._fleet.readyMembers.add(toMemberKey(this.id, joined));
        this.announce();
      },
      this._model === model ? REJOIN_DURATION_MS : loadMs + JOIN_DURATION_MS,
    );
  }

  private _open(group: Membership): void {
    this._opening = group;
    setTimeout(() => {
      if (this._opening === group) this._opening = undefined;
      if (this._group !== group || group.state !== 'ready') return;
      group.state = 'open';
      this.announce();
    }, FORM_DURATION_MS);
  }

  /** A closing head is ready again once its streams have ended. */
  private _finishClosing(): void {
    if (this._group?.state !== 'closing' || this._runningStreams > 0) return;
    this._group.state = 'ready';
    this.announce();
  }

  /**
   * Records a violation if the instance joins another group while the head of its own, which may be the instance itself,
   * is open or closing. A head that is silent, or stalled because it lost a member, remains open until it is broken.
   */
  private _checkPreviousGroup(group: string, epoch: number): void {
    const current = this._group;
    if (!current || (current.name === group && current.epoch === epoch)) return;
    const head = this._fleet.instances.get(current.members[0] ?? '');
    const headGroup = head?.group;
    if (headGroup?.name !== current.name || headGroup.epoch !== current.epoch) return;
    if (headGroup.state !== 'open' && headGroup.state !== 'closing') return;
    this._fleet.violations.push(
      `${this.id} joined ${group} while ${current.name} of ${head?.id ?? ''} was ${headGroup.state}`,
    );
  }

  private async _runRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readText(request);
    const requestId = String(request.headers['attempt-id']);
    const isRefusingLate = this.mode === 'refuses-late';
    if (isRefusingLate) await sleep(REFUSAL_DELAY_MS);
    if (this._group && this._group.rank !== 0) {
      response
        .writeHead(421, {
          'Replica-Id': this.id,
          'Attempt-Id': requestId,
          'At-Server': this.publicAddress,
        })
        .end();
      return;
    }
    const isServing = this._group
      ? this._group.state === 'open' && !this._hasExitedMember()
      : this._service !== ENGINE_SERVICE;
    // A draining target still runs the requests that reach it: tests must see a node that sends it new ones.
    if (isRefusingLate || this._isFull() || !isServing) {
      this._refuse(response, requestId);
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
    if (this.mode === 'resets') {
      request.socket.resetAndDestroy();
      return;
    }
    const echo = this.mode === 'wrong-echo' ? 'another' : requestId;
    const limit: Readonly<Record<string, string>> =
      this.requestsPerS === undefined ? {} : { 'Server-Limit': String(this.requestsPerS) };
    const head = { 'Attempt-Id': echo, 'Server-Seal': `seal-of-${this.id}`, ...limit };
    if (!this._group) {
      this._sendPlainAnswer(response, head, `${echo}:${body}`);
      return;
    }
    this._runningStreams++;
    await this._sendEventStream(response, head, Number(request.headers['last-event-id'] ?? 0));
    this._runningStreams--;
    this._finishClosing();
  }

  /** Records a violation if a member of the group has never been ready in it. */
  private _checkFormation(group: Membership): void {
    const missing = group.members.filter((id) => !this._fleet.readyMembers.has(toMemberKey(id, group)));
    if (missing.length === 0) return;
    this._fleet.violations.push(
      `${group.name} runs a request though ${missing.join()} was never ready in it`,
    );
  }

  private _sendPlainAnswer(
    response: ServerResponse,
    head: Readonly<Record<string, string>>,
    text: string,
  ): void {
    if (this.mode === 'truncates') {
      response.writeHead(200, { ...head, 'Content-Length': Buffer.byteLength(text) });
      response.write(text.slice(0, 3));
      setTimeout(() => response.destroy(), 5);
      return;
    }
    if (this.mode === 'resets-unframed') {
      response.useChunkedEncodingByDefault = false;
      response.writeHead(200, { ...head, Connection: 'close' });
      response.write(text.slice(0, 3));
      setTimeout(() => response.socket?.resetAndDestroy(), 5);
      return;
    }
    if (this.mode === 'unframed') {
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
      response.writeHead(200, { ...head, Connection: 'close' });
    } else {
      response.writeHead(200, { ...head, 'Content-Length': Buffer.byteLength(text) });
    }
    response.end(text);
  }

  private async _sendEventStream(
    response: ServerResponse,
    head: Readonly<Record<string, string>>,
    lastEventId: number,
  ): Promise<void> {
    const group = this._group;
    const isUnframed = this.mode === 'unframed';
    if (isUnframed) {
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
      this._unframed.add(response);
      response.once('close', () => this._unframed.delete(response));
    }
    const framing = isUnframed ? { Connection: 'close' } : {};
    response.writeHead(200, { ...head, ...framing, 'Content-Type': 'text/event-stream' });
    for (let id = lastEventId + 1; id <= this._fleet.eventCount; id++) {
      await sleep(await this._fleet.pauseBefore(head['Attempt-Id'] ?? '', id));
      // A head that is told to leave ends its streams at once; one that lost a member stalls first.
      if (this._group !== group && (this.mode as InstanceMode) !== 'dark') {
        response.destroy();
        return;
      }
      if (group && !this._isWhole(group)) {
        await sleep(BREAK_DETECTION_MS);
        if (isUnframed) response.socket?.resetAndDestroy();
        response.destroy();
        this._break(group);
        return;
      }
      if (response.destroyed || (this.mode as InstanceMode) === 'dark') return;
      response.write(`id: ${id}\ndata: {"n":${id}}\n\n`);
    }
    response.end();
  }

  /** The head of a group that lost a member detects the loss once its requests have made no progress for a while. */
  private _break(group: Membership): void {
    if (this._group !== group || this._isWhole(group)) return;
    group.state = 'broken';
    this.announce();
  }

  private _isWhole(group: Membership): boolean {
    if (this._group !== group) return false;
    return group.members.every((id) => this._isPresent(id, group));
  }

  private _isPresent(id: string, group: Membership): boolean {
    const member = this._fleet.instances.get(id);
    return member?.mode !== 'dark' && member?.group?.name === group.name;
  }
}

function toMemberKey(id: string, { name, epoch, members }: Membership): string {
  return `${id}/${name}@${epoch}/${members.join()}`;
}
