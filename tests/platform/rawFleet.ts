import { systemClock } from '@monsoonreach/core';
import { Node, parseNodeSettings } from '@monsoonreach/node';
import { sleep } from '../standins/http.js';
import { findFreePorts } from '../support/ports.js';
import { type RawAnswer, RawCaller, type RawHandler, RawTarget } from '../support/rawHttp.js';
import { formatSettings } from './platformFleet.js';
import { StoreStandin } from './storeStandin.js';

const API_KEY = 'key-1';
const ROUTES = {
  '/status/': { routeType: 'safe', timeoutMs: 1_500 },
  '/order/': { routeType: 'unsafe', timeoutMs: 1_500 },
  '/stream/': { routeType: 'streaming', timeoutMs: 4_000, gapTargetMs: 250, streamResume: true },
  '/once/': { routeType: 'streaming', timeoutMs: 2_500, gapTargetMs: 250 },
} as const;

/** Prefix of the path of a route: idempotent, non-idempotent, a resumable stream, and one that is not. */
export type RoutePrefix = keyof typeof ROUTES;

/** Limits of callers' requests. */
export const LIMITS = {
  maxHeaderBytes: 8_192,
  maxBodyBytes: 65_536,
  headerTimeoutMs: 500,
  idleTimeoutMs: 15_000,
};

/** A node in this process. */
export interface RawNode {
  /** Address for callers. */
  readonly address: string;
  readonly metrics: string;
  /** Address for other nodes. */
  readonly peers: string;
  readonly isReady: () => Promise<boolean>;
}

/** One node in this process with a stand-in for the store, and two raw targets of one plain service. */
export class RawFleet {
  readonly store = new StoreStandin();
  readonly targets = [new RawTarget(), new RawTarget()] as const;
  address = '';
  /** Further settings of nodes that are started from now on. */
  settings: Partial<Pick<Parameters<typeof formatSettings>[0], 'domain' | 'evacuation' | 'isFirstStart'>> =
    {};
  /** The nodes that were started, in order. */
  readonly nodes: Node[] = [];
  /** More lines of the section `bounds` in the settings of nodes that start from now on. */
  bounds: readonly string[] = [];
  metrics = '';
  private _storeAddress = '';
  private _requestCount = 0;
  /** Number of starts of targets, announced as their time so that each has another one. */
  private _startCount = 0;

  constructor(
    private readonly _options: {
      readonly configuration?: unknown;
      /** Failure domain of the nodes; `zone-1` by default. */
      readonly nodeDomain?: string;
      readonly regions?: Readonly<Record<string, string>>;
    } = {},
  ) {}

  async start(): Promise<void> {
    this._storeAddress = await this.store.start();
    this.store.put('keyed.op', 'config', this._options.configuration ?? createConfiguration(1));
    for (const target of this.targets) await this.startTarget(target);
    const node = await this.startNode('node-1');
    this.address = node.address;
    this.metrics = node.metrics;
    while (!(await node.isReady())) await sleep(50);
  }

  /** Starts a target, or starts it again after a crash, and announces it. */
  async startTarget(target: RawTarget): Promise<void> {
    await target.start();
    this.announceTarget(target);
  }

  /** Announces another start of a target. */
  announceTarget(target: RawTarget): void {
    const id = `plain-${this.targets.indexOf(target) + 1}`;
    this.store.put('keyed.servers', id, createEntry(target.address, ++this._startCount));
  }

  /** Starts the fleet with this many nodes; returns their addresses. */
  async startNodes(count: number): Promise<readonly string[]> {
    await this.start();
    const others: RawNode[] = [];
    for (let index = 2; index <= count; index++) others.push(await this.startNode(`node-${index}`));
    for (const node of others) while (!(await node.isReady())) await sleep(50);
    return [this.address, ...others.map(({ address }) => address)];
  }

  /** Starts another node in this process. */
  async startNode(name: string): Promise<RawNode> {
    const [front = 0, readiness = 0, peers = 0, metrics = 0] = await findFreePorts(4);
    const ports = { front, readiness, peers, metrics };
    const { bounds } = this;
    const { nodeDomain: domain = 'zone-1', regions = {} } = this._options;
    const settings = { name, domain, regions, store: this._storeAddress, bounds, ...ports, ...this.settings };
    const node = new Node(parseNodeSettings(formatSettings({ ...settings, log: 'hidden' })), systemClock);
    this.nodes.push(node);
    await node.start();
    return {
      address: `127.0.0.1:${front}`,
      metrics: `http://127.0.0.1:${metrics}/metrics`,
      peers: `127.0.0.1:${peers}`,
      isReady: async () => (await fetch(`http://127.0.0.1:${readiness}/v1/readyz`)).status === 200,
    };
  }

  /** Lets both targets answer with `handle` from now on, and closes their connections. */
  async setHandler(handle: RawHandler): Promise<void> {
    for (const target of this.targets) target.reset(handle);
    await sleep(20);
  }

  /** Creates the head of a request whose connection the node closes after its answer. */
  createHead(
    prefix: RoutePrefix,
    options: {
      readonly id?: string;
      readonly headers?: string;
      readonly key?: string;
      readonly path?: string;
    } = {},
  ): string {
    const id = options.id ?? `request-${++this._requestCount}`;
    const headers = options.headers ?? 'Content-Length: 2\r\nConnection: close\r\n';
    return (
      `POST ${prefix}${options.path ?? '1'} HTTP/1.1\r\nHost: 127.0.0.1\r\nAttempt-Id: ${id}\r\n` +
      `Deadline-Ms: 5000\r\nAuthorization: Bearer ${options.key ?? API_KEY}\r\n${headers}\r\n`
    );
  }

  /** Sends one request on its own connection. */
  send(prefix: RoutePrefix, timeoutMs?: number): Promise<RawAnswer> {
    return new RawCaller(this.address).exchange(`${this.createHead(prefix)}{}`, timeoutMs);
  }

  /** Sends one request with this id on its own connection. */
  sendAs(prefix: RoutePrefix, id: string): Promise<RawAnswer> {
    return new RawCaller(this.address).exchange(`${this.createHead(prefix, { id })}{}`);
  }

  /** Returns the value of a counter; `labels` as in the exposition, such as `{reason="timeout"}`. */
  async readCounter(name: string, labels = ''): Promise<number> {
    const text = await (await fetch(this.metrics)).text();
    const line = text.split('\n').find((line) => line.startsWith(`${name}${labels} `));
    return Number(line?.split(' ').at(-1) ?? 0);
  }
}

/** Returns the entry of a plain target. */
export function createEntry(address: string, born: number, zone = 'zone-1'): object {
  return {
    service: 'plain',
    address,
    zone,
    version: 'v1',
    slots: 8,
    state: 'ready',
    born,
    seqNo: 1,
  };
}

/** Returns a configuration with the routes of a {@link RoutePrefix} and one key. */
export function createConfiguration(version: number, key = API_KEY) {
  return {
    version,
    routes: Object.entries(ROUTES).map(([pathPrefix, route]) => ({
      ...route,
      name: pathPrefix,
      host: '127.0.0.1',
      pathPrefix,
      service: 'plain',
      priority: 1,
      targetLatencyMs: 400,
      maxAttempts: 2,
    })),
    services: [{ name: 'plain', maxConnections: 50 }],
    limits: LIMITS,
    tenants: [{ name: 'workspace-1', apiKeys: [key], priority: 1 }],
  };
}
