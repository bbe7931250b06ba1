import { systemClock } from '@monsoonreach/core';
import { Node, parseNodeSettings } from '@monsoonreach/node';
import { findFreePorts } from '../support/ports.js';
import { formatRequest } from '../support/rawCaller.js';
import { sleep } from '../standins/http.js';
import { InstanceFleet } from './instanceStandin.js';
import { StoreStandin } from './storeStandin.js';

/** Model that the engines serve. */
export const MODEL = 'model-a';
/** API key of the workspace. */
export const API_KEY = 'key-1';
/** Number of events in a complete stream. */
export const EVENTS_PER_STREAM = 40;

/** Returns an operator's configuration with one model, one workspace, and routes of every type. */
export function createConfiguration(
  version: number,
  keys: readonly string[] = [API_KEY],
  options: { readonly stepMs?: number } = {},
): unknown {
  const route = { host: '127.0.0.1', priority: 1, targetLatencyMs: 400 };
  const plain = { ...route, service: 'plain', timeoutMs: 1_500 };
  const stream = {
    ...route,
    routeType: 'streaming',
    service: 'engines',
    timeoutMs: 6_000,
    gapTargetMs: 250,
    maxAttempts: 2,
  };
  return {
    version,
    routes: [
      { ...stream, name: 'stream', pathPrefix: '/stream/', streamResume: true },
      { ...stream, name: 'once', pathPrefix: '/once/' },
      { ...plain, name: 'order', pathPrefix: '/order/', routeType: 'unsafe', maxAttempts: 2 },
      { ...plain, name: 'status', pathPrefix: '/status/', routeType: 'safe', maxAttempts: 2 },
      { ...plain, name: 'open', pathPrefix: '/open/', routeType: 'safe', authExempt: true, maxAttempts: 1 },
    ],
    services: [
      {
        name: 'engines',
        healthCheckPath: '/healthz',
        maxConnections: 100,
        engine: {
          slots: 8,
          kvCapacityTokens: 100_000,
          stride: 1,
          models: [{ name: MODEL, size: 2, share: 1, pace: 1, loadS: 0.05, warmupS: 0.03 }],
          step_ms: options.stepMs ?? 5,
          per_seq_ms: 0.1,
          context_per_k: 0,
          read_per_s: 50_000,
          usual: { prompt: 100, answer: 40 },
          loadsPerS: 50,
          loads_at_once: 8,
        },
      },
      { name: 'plain', healthCheckPath: '/healthz', maxConnections: 50 },
    ],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    tenants: [{ name: 'workspace-1', apiKeys: keys, priority: 1 }],
  };
}

/** Options of {@link formatCall}. */
export interface CallOptions {
  /** Time that the caller allows, in milliseconds; 6 s by default. */
  readonly deadlineMs?: number | undefined;
  /** Largest number of tokens in the answer; 40 by default. */
  readonly answerTokens?: number;
  /** Id of the last event that the caller has; none by default. */
  readonly lastEventId?: number;
  readonly body?: string;
}

/** Formats a caller's request with the workspace's key. */
export function formatCall(
  route: 'stream' | 'once' | 'order',
  id: string,
  { deadlineMs = 6_000, answerTokens = 40, lastEventId, body = `body-of-${id}` }: CallOptions = {},
): string {
  return formatRequest({
    path: `/${route}/${id}`,
    headers: {
      'Attempt-Id': id,
      'Deadline-Ms': String(deadlineMs),
      Authorization: `Bearer ${API_KEY}`,
      Model: MODEL,
      'Token-Count': `100,${answerTokens}`,
      ...(lastEventId === undefined ? {} : { 'Last-Event-Id': String(lastEventId) }),
    },
    body,
  });
}

/** One node in this process, with stand-ins for the store, five engines and two plain targets. */
export class PlatformFleet {
  readonly store = new StoreStandin();
  readonly fleet = new InstanceFleet(this.store, EVENTS_PER_STREAM);
  address = '';
  metrics = '';
  private _node: Node | undefined;
  private _storeAddress = '';

  get node(): Node {
    if (!this._node) throw new Error('The fleet has no node yet; call start() first.');
    return this._node;
  }

  /** Starts everything and waits until two groups are open. */
  async start(
    options: {
      readonly drainTimeout?: string;
      readonly stepMs?: number;
      readonly evacuation?: string;
      readonly bounds?: readonly string[];
    } = {},
  ): Promise<void> {
    const { stepMs = 5, ...nodeOptions } = options;
    const store = await this.store.start();
    this.store.put('keyed.op', 'config', createConfiguration(1, [API_KEY], { stepMs }));
    this.store.put('keyed.servers', 'unreadable', { service: 7 });
    for (const id of ['engine-1', 'engine-2', 'engine-3', 'engine-4', 'engine-5']) {
      await this.fleet.add(id, 'engines', 'domain-1');
    }
    await this.fleet.add('plain-1', 'plain', 'domain-1');
    await this.fleet.add('plain-2', 'plain', 'domain-1');
    this._storeAddress = store;
    const { node, address, metrics } = await this.startNode('node-1', nodeOptions);
    this._node = node;
    this.address = address;
    this.metrics = metrics;
    await this._waitForOpenGroups(2);
  }

  /** Starts another node in this process. */
  async startNode(
    name: string,
    options: {
      readonly drainTimeout?: string;
      readonly isFirstStart?: boolean;
      readonly evacuation?: string;
      readonly routing?: string;
      readonly bounds?: readonly string[];
    } = {},
  ): Promise<{ readonly node: Node; readonly address: string; readonly metrics: string }> {
    const [front = 0, readiness = 0, peers = 0, metrics = 0] = await findFreePorts(4);
    const common = { domain: 'zone-1', store: this._storeAddress, log: 'hidden' as const };
    const settings = { ...common, name, front, readiness, peers, metrics, ...options };
    const node = new Node(parseNodeSettings(formatSettings(settings)), systemClock);
    await node.start();
    return { node, address: `127.0.0.1:${front}`, metrics: `127.0.0.1:${metrics}` };
  }

  /** Sends a request to a node, the first one by default, as a caller does. */
  send(
    path: string,
    options: {
      readonly id: string;
      readonly key?: string;
      readonly method?: string;
      readonly address?: string;
    },
  ) {
    return fetch(`http://${options.address ?? this.address}${path}`, {
      method: options.method ?? 'POST',
      headers: {
        'Attempt-Id': options.id,
        'Deadline-Ms': '5000',
        Authorization: `Bearer ${options.key ?? API_KEY}`,
        Model: MODEL,
        'Token-Count': '100,40',
      },
      ...((options.method ?? 'POST') === 'GET' ? {} : { body: `body-of-${options.id}` }),
    });
  }

  private async _waitForOpenGroups(groupCount: number): Promise<void> {
    for (let attempt = 0; attempt < 400; attempt++) {
      const heads = [...this.fleet.instances.values()].filter(({ group }) => group?.state === 'open');
      if (heads.length >= groupCount) {
        await sleep(1_300);
        return;
      }
      await sleep(50);
    }
    throw new Error(`Timed out waiting for ${groupCount} open groups.`);
  }
}

/** Formats the settings file of one node; `front`, `readiness`, `peers` and `metrics` are loopback ports. */
export function formatSettings(options: {
  readonly name: string;
  readonly domain: string;
  readonly log: 'json' | 'hidden';
  readonly store: string;
  readonly front: number;
  readonly readiness: number;
  readonly peers: number;
  readonly metrics: number;
  /** Time from SIGTERM until the process is killed; 8 s by default. */
  readonly drainTimeout?: string;
  /** Whether all nodes start at the same time, for the first time; true by default. */
  readonly isFirstStart?: boolean;
  /** More lines of the section `bounds`; none by default. */
  readonly bounds?: readonly string[];
  /** Time from the order of an evacuation until no request reaches the zone; none by default. */
  readonly evacuation?: string;
  /** Region of each failure domain; none by default. */
  readonly regions?: Readonly<Record<string, string>>;
  /** Lines of the section `routing`; none by default. */
  readonly routing?: string;
}): string {
  const regions = Object.entries(options.regions ?? {}).map(([domain, region]) => `${domain} = ${region}\n`);
  return `[node]
name = ${options.name}
failure-domain = ${options.domain}
first-start = ${(options.isFirstStart ?? true) ? 'yes' : 'no'}
log = ${options.log}
[callers]
address = 127.0.0.1:${options.front}
readiness = 127.0.0.1:${options.readiness}
drain-timeout = ${options.drainTimeout ?? '8s'}
[store]
address = ${options.store}
[peers]
address = 127.0.0.1:${options.peers}
metrics = 127.0.0.1:${options.metrics}
[bounds]
key-trust = 5000ms
retry-share = 0.2
retry-window = 10s
retry-slack = 130
${[...(options.bounds ?? []), ...(options.evacuation === undefined ? [] : [`evacuation = ${options.evacuation}`])].map((line) => `${line}\n`).join('')}${regions.length === 0 ? '' : `[regions]\n${regions.join('')}`}${options.routing === undefined ? '' : `[routing]\n${options.routing}\n`}`;
}
