import { Agent, request as sendRequest } from 'node:http';
import type { Random } from '@monsoonreach/core';
import { MODEL } from '../platform/platformFleet.js';
import { sleep } from '../standins/http.js';
import type { CallOutcome, CallRecord } from './promises.js';
import type { SoakFleet, SoakNode } from './soakFleet.js';

/** Mean pause between two requests, in milliseconds. */
const MEAN_PAUSE_MS = 25;
/** Interval of the balancer's readiness checks, in milliseconds. */
const BALANCER_INTERVAL_MS = 1_000;
/** Consecutive failed readiness checks after which a node is taken out of rotation. */
const FAILED_CHECKS_LIMIT = 2;
/** Time after a fault until requests to the node count as calm again, in milliseconds. */
const CALM_DELAY_MS = 3_000;
const TIMEOUTS_MS = { order: 1_500, status: 1_500, stream: 6_000 } as const;

/** Callers behind a load balancer; their connections stay open until the node closes them. */
export class Callers {
  readonly records: CallRecord[] = [];
  /** API key of the following requests. */
  key = '';
  private readonly _agents = new Map<string, Agent>();
  private readonly _failedChecks = new Map<string, number>();
  private _sent = 0;
  private _isStopped = false;

  constructor(
    private readonly _fleet: SoakFleet,
    private readonly _random: Random,
  ) {}

  start(key: string): void {
    this.key = key;
    for (const node of this._fleet.nodes) void this._runBalancer(node);
    void this._generateLoad();
  }

  stop(): void {
    this._isStopped = true;
  }

  /** Checks one node; a node that answers late does not delay the checks of the others. */
  private async _runBalancer(node: SoakNode): Promise<void> {
    while (!this._isStopped) {
      const next = sleep(BALANCER_INTERVAL_MS);
      const isReady = await this._fleet.isReady(node);
      this._failedChecks.set(node.name, isReady ? 0 : (this._failedChecks.get(node.name) ?? 0) + 1);
      await next;
    }
  }

  private async _generateLoad(): Promise<void> {
    while (!this._isStopped) {
      const inRotation = this._fleet.nodes.filter(
        ({ name }) => (this._failedChecks.get(name) ?? 0) < FAILED_CHECKS_LIMIT,
      );
      const nodes = inRotation.length > 0 ? inRotation : this._fleet.nodes;
      const node = nodes[this._random.below(nodes.length)];
      const kind = (['stream', 'stream', 'order', 'status'] as const)[this._random.below(4)];
      if (node && kind) void this._call(node, kind, inRotation.includes(node));
      await sleep(MEAN_PAUSE_MS * 2 * this._random.next());
    }
  }

  private async _call(node: SoakNode, kind: CallRecord['kind'], isInRotation: boolean): Promise<void> {
    const id = `request-${++this._sent}`;
    const { key } = this;
    const { stoppedAtMs, child } = node;
    // A process that has just started does not listen yet; it is in rotation once it does.
    const isRunning = isInRotation && !node.isTerminating;
    const sentAtMs = Date.now();
    const outcome = await this._send(node, kind, id, key);
    const endedAtMs = Date.now();
    this.records.push({
      id,
      node: node.name,
      kind,
      key,
      sentAtMs,
      endedAtMs,
      timeoutMs: TIMEOUTS_MS[kind],
      outcome,
      isCalm:
        node.harmedUntilMs + CALM_DELAY_MS < sentAtMs && this._fleet.harmedUntilMs + CALM_DELAY_MS < sentAtMs,
      isStopping: node.stoppedAtMs > stoppedAtMs || node.stoppedAtMs > sentAtMs - CALM_DELAY_MS,
      isPlanned: this._fleet.isPlannedWorkOnly,
      areTargetsSound: this._fleet.areTargetsSound,
      resetsAtMs: this._fleet.resetsAtMs.filter((atMs) => atMs >= sentAtMs && atMs <= endedAtMs),
      isInRotation,
      isNodeRunning: isRunning && node.child === child && !node.isTerminating,
    });
  }

  private _send(node: SoakNode, kind: CallRecord['kind'], id: string, key: string): Promise<CallOutcome> {
    let agent = this._agents.get(node.name);
    if (!agent) {
      agent = new Agent({ keepAlive: true });
      this._agents.set(node.name, agent);
    }
    const method = kind === 'status' ? 'GET' : 'POST';
    const headers = {
      'Attempt-Id': id,
      'Deadline-Ms': String(TIMEOUTS_MS[kind]),
      Authorization: `Bearer ${key}`,
      Model: MODEL,
      'Token-Count': '100,40',
    };
    const options = { host: '127.0.0.1', port: node.front, agent, method, path: `/${kind}/${id}`, headers };
    return new Promise((resolve) => {
      let body = '';
      const request = sendRequest(options, (response) => {
        const resolveCut = () => {
          resolve({ kind: 'cut', body, hasBegun: true });
        };
        response.setEncoding('utf8');
        response.on('data', (chunk: string) => {
          body += chunk;
        });
        response.on('aborted', resolveCut);
        response.on('error', resolveCut);
        response.on('end', () => {
          const seal = response.headers['server-seal'] as string | undefined;
          resolve({ kind: 'answered', status: response.statusCode ?? 0, body, seal });
        });
      });
      request.on('error', () => {
        // Whatever closed the connection, the caller has no complete answer.
        resolve({ kind: 'cut', body, hasBegun: false });
      });
      request.end(method === 'POST' ? `body-of-${id}` : undefined);
    });
  }
}
