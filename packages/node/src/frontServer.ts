import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { setImmediate } from 'node:timers/promises';
import {
  BodyBuffer,
  CallerConnections,
  type CallerLimit,
  type CallerMemory,
  type OpenRequest,
} from '@monsoonreach/callers/connections';
import {
  type Homes,
  type KeyTrust,
  type RouteTable,
  type ServingRoute,
  splitAddress,
} from '@monsoonreach/core';
import { type CallerRequest, decodeCallerRequest, encodeRetryAfter } from '@monsoonreach/platform';
import { RequestRun } from './requestRun.js';
import type { ServingContext } from './servingContext.js';
import type { StartGate } from './startGate.js';

/** Largest header block that is read, in bytes; the limit of the configuration is lower. */
const MAX_HEADER_BYTES = 65_536;
/** Added to the timeouts of the configuration, in milliseconds, so that callers close idle connections first. */
const CALLER_TIMEOUT_SLACK_MS = 2_000;
/** Interval at which connections are checked for heads that take too long, in milliseconds. */
const HEAD_CHECK_INTERVAL_MS = 1_000;
/** Retry-After while this node has no configuration or no trusted keys, in milliseconds; it may reach the store by then. */
const STALE_RETRY_AFTER_MS = 700;
/** Retry-After of a request that is refused because of the memory, in milliseconds. */
const MEMORY_RETRY_AFTER_MS = 700;
/** Bytes of a body that are collected before there is a configuration with a limit. */
const MAX_UNCONFIGURED_BODY_BYTES = 4_194_304;
/** Event of a request whose body has exceeded the limit. */
const BODY_TOO_LARGE = 'monsoonreach:body-too-large';
/** Urgency that targets assume when a request names none. */
const DEFAULT_URGENCY = 5;

/** Dependencies of {@link FrontServer}. */
export interface FrontServerOptions {
  readonly address: string;
  readonly context: ServingContext;
  readonly trust: KeyTrust;
  readonly table: () => RouteTable | undefined;
  readonly gate: StartGate;
  readonly memory: CallerMemory;
  /** Largest number of connections. */
  readonly maxConnections: number;
  /** Called when a caller has reached a limit of this process. */
  readonly onLimit: (limit: CallerLimit) => void;
}

/** HTTP server for callers: finds the route and workspace of each request, and starts forwarding it. */
export class FrontServer {
  readonly connections: CallerConnections;
  private readonly _server: Server;
  /** Bodies that are being read. */
  private readonly _bodies = new Map<ServerResponse, BodyBuffer>();

  constructor(private readonly _options: FrontServerOptions) {
    const { memory, maxConnections, onLimit } = _options;
    this.connections = new CallerConnections(_options.context.clock, {
      memory,
      maxConnections,
      onLimit,
      refuse: (requests) => {
        this._refuseForMemory(requests);
      },
    });
    // Plain node:http, as requests are forwarded byte for byte and connections are closed individually.
    this._server = createServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        requestTimeout: 0,
        connectionsCheckingInterval: HEAD_CHECK_INTERVAL_MS,
      },
      (request, response) => {
        void this._handleRequest(request, response);
      },
    );
    this.connections.attach(this._server);
    this._server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      this._handleCallerError(error, socket as Socket);
    });
  }

  get isDraining(): boolean {
    return this._options.context.stop.isStopping;
  }

  /** Starts accepting connections, unless the node was told to stop before it had started. */
  listen(): Promise<void> {
    if (this.isDraining) return Promise.resolve();
    const { host, port } = splitAddress(this._options.address);
    return new Promise((resolve, reject) => {
      this._server.once('error', reject);
      this._server.listen({ host, port, backlog: 1_024 }, resolve);
    });
  }

  /** Applies the timeouts of a new configuration. */
  configure(limits: { readonly headerTimeoutMs: number; readonly idleTimeoutMs: number }): void {
    this._server.headersTimeout = limits.headerTimeoutMs + CALLER_TIMEOUT_SLACK_MS;
    this._server.keepAliveTimeout = limits.idleTimeoutMs + CALLER_TIMEOUT_SLACK_MS;
  }

  /**
   * Prepares for the end of the process: from now on, a connection is closed after its current answer, and a request
   * is refused if it may take longer than the process lives.
   * @param endsAtMs monotonic time at which requests in progress are abandoned, in milliseconds.
   */
  drain(endsAtMs: number): void {
    this._options.context.stop.begin(endsAtMs);
    this.connections.closeAfterAnswers();
  }

  /** Stops accepting connections and closes the idle ones. */
  close(): void {
    this._options.context.stop.leaveRotation();
    this._server.close();
  }

  /** Answers a request as not run if it has neither been forwarded to a target nor answered. */
  refuseUnserved({ response, requestId, stage }: OpenRequest): void {
    if (stage !== 'serving' && !response.headersSent) this._refuseStopping(response, requestId);
  }

  /** Headers about the connection that an answer carries: names and values, alternating. */
  connectionHeaders(response: ServerResponse): readonly string[] {
    return this.isDraining && this.connections.isLatest(response) ? ['Connection', 'close'] : [];
  }

  private _handleCallerError(error: NodeJS.ErrnoException, socket: Socket): void {
    if (!socket.writable) return;
    if (this.connections.isServing(socket)) {
      // An answer of this node would become a part of the answer in progress, or contradict it.
      socket.resetAndDestroy();
      return;
    }
    if (socket.bytesRead === 0) {
      // The first request may be on its way, and must not get an answer that was written before it.
      socket.destroySoon();
      return;
    }
    const status = CLIENT_ERROR_STATUSES.get(error.code) ?? '400 Bad Request';
    socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
  }

  private async _handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.socket.writableEnded) {
      // The connection is being closed, so that the request could not be answered.
      request.socket.destroy();
      return;
    }
    const startedAtMs = this._options.context.clock.monotonic();
    response.on('error', () => {
      this._options.context.counters.add('monsoonreach_caller_errors_total');
    });
    const caller = decodeCallerRequest(request.headers);
    if (!this.connections.startRequest(response, caller.requestId)) return;
    const content = this._collectBody(request, response);
    await this._options.gate.pass();
    this.connections.setStage(response, 'reading');
    const bounds = this._findBodyBounds(request, caller);
    if (!bounds) {
      this._refuseUnconfigured(response, caller.requestId);
      return;
    }
    const body = await this._readBody(request, response, caller, {
      content,
      maxBytes: bounds.maxBytes,
      remainingMs: startedAtMs + bounds.timeoutMs - this._options.context.clock.monotonic(),
    });
    if (body === 'ended') return;
    if (this._isStoppingBehindAnother(response)) {
      this._refuseStopping(response, caller.requestId);
      return;
    }
    // Run at once, it would be lost with its answer if the connection ends with an earlier one.
    await this.connections.waitForTurn(response);
    await waitForPendingCloses();
    if (request.socket.destroyed || this.connections.isEnding(request.socket)) return;
    // The configuration may have changed while the body was read; the trust in keys concerns the one in force now.
    const table = this._options.table();
    if (!table) {
      this._refuseUnconfigured(response, caller.requestId);
      return;
    }
    const route = table.findRoute(request.headers.host ?? '', request.url ?? '/');
    if (!route) {
      this._refuse(response, caller.requestId, 404, 'no-route');
      return;
    }
    const access = this._checkAccess(table, route, caller);
    switch (access.kind) {
      case 'allowed':
        this._run({ request, response, caller, route, body, startedAtMs, ...access });
        return;
      case 'unknown-key':
        this._refuse(response, caller.requestId, 401, 'unknown-key');
        return;
      case 'stale':
        this._refuse(response, caller.requestId, 503, 'keys-stale', encodeRetryAfter(STALE_RETRY_AFTER_MS));
    }
  }

  private _run(options: {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly caller: CallerRequest;
    readonly route: ServingRoute;
    readonly body: Buffer | undefined;
    readonly startedAtMs: number;
    readonly workspace: string | undefined;
    readonly priority: number | undefined;
    readonly workspaceHomes?: Homes;
  }): void {
    const { priority, ...rest } = options;
    const { caller, route, response, startedAtMs } = rest;
    if (response.writableEnded || response.destroyed) return;
    const { stop, clock } = this._options.context;
    if (clock.monotonic() - startedAtMs >= Math.min(caller.timeoutMs ?? Infinity, route.timeoutMs)) {
      this._refuse(response, caller.requestId, 503, 'timeout', encodeRetryAfter(0));
      return;
    }
    if (stop.estimate({ route, ...caller, startedAtMs })?.canFinish === false) {
      this._refuseStopping(response, caller.requestId);
      return;
    }
    this.connections.setStage(response, 'serving');
    const urgency = Math.min(9, Math.max(0, priority ?? DEFAULT_URGENCY));
    new RequestRun({ context: this._options.context, urgency, ...rest }).start();
  }

  /** Bounds of a request's body, in bytes and in milliseconds from the request's head; undefined without a configuration. */
  private _findBodyBounds(
    request: IncomingMessage,
    caller: CallerRequest,
  ): { readonly maxBytes: number; readonly timeoutMs: number } | undefined {
    const table = this._options.table();
    if (!table) return undefined;
    const { maxBodyBytes: maxBytes, headerTimeoutMs } = table.configuration.limits;
    const route = table.findRoute(request.headers.host ?? '', request.url ?? '/');
    return {
      maxBytes,
      timeoutMs: Math.min(caller.timeoutMs ?? Infinity, route?.timeoutMs ?? headerTimeoutMs),
    };
  }

  private _refuseUnconfigured(response: ServerResponse, requestId: string): void {
    this._refuse(response, requestId, 503, 'no-configuration', encodeRetryAfter(STALE_RETRY_AFTER_MS));
  }

  /** Whether an answer would have to wait for another one so late in a stop that it may not be sent in time. */
  private _isStoppingBehindAnother(response: ServerResponse): boolean {
    return this._options.context.stop.hasLeftRotation && this.connections.isBehindAnother(response);
  }

  /** Refuses a request for which this process has no time left; another node can serve it at once. */
  private _refuseStopping(response: ServerResponse, requestId: string): void {
    this._refuse(response, requestId, 503, 'stopping', encodeRetryAfter(0));
  }

  private _checkAccess(table: RouteTable, route: ServingRoute, caller: CallerRequest): Access {
    const { trust } = this._options;
    const priority = route.priority;
    if (!table.configuration.workspaces || !route.isKeyRequired) {
      return { kind: 'allowed', workspace: undefined, priority };
    }
    if (!trust.isTrusted()) return { kind: 'stale' };
    const workspace = caller.apiKey === undefined ? undefined : table.findWorkspace(caller.apiKey);
    if (!workspace) return { kind: 'unknown-key' };
    return {
      kind: 'allowed',
      workspace: workspace.name,
      priority: workspace.priority ?? priority,
      workspaceHomes: workspace.homes,
    };
  }

  /** Collects a request's body from its head on, so that its chunks do not queue up; undefined if it has none. */
  private _collectBody(request: IncomingMessage, response: ServerResponse): BodyBuffer | undefined {
    if (
      request.headers['content-length'] === undefined &&
      request.headers['transfer-encoding'] === undefined
    ) {
      request.resume();
      return undefined;
    }
    const content = new BodyBuffer();
    this._bodies.set(response, content);
    request.on('data', (chunk: Buffer) => {
      this.connections.recordChunk(response);
      if (!this._bodies.has(response)) return;
      const limit = this._options.table()?.configuration.limits.maxBodyBytes ?? MAX_UNCONFIGURED_BODY_BYTES;
      if (content.length + chunk.length > limit) {
        this._bodies.delete(response);
        content.clear();
        this.connections.stopReading(request.socket);
        request.emit(BODY_TOO_LARGE);
      } else content.append(chunk);
      this.connections.recordBody(response, content.capacity);
    });
    return content;
  }

  private async _readBody(
    request: IncomingMessage,
    response: ServerResponse,
    caller: CallerRequest,
    {
      content,
      maxBytes,
      remainingMs,
    }: {
      readonly content: BodyBuffer | undefined;
      readonly maxBytes: number;
      readonly remainingMs: number;
    },
  ): Promise<Buffer | undefined | 'ended'> {
    if (!content) return undefined;
    const isTooLarge = () =>
      Number(request.headers['content-length'] ?? 0) > maxBytes || content.length > maxBytes;
    const end = await new Promise<'complete' | 'too-large' | 'late' | 'gone'>((resolve) => {
      const timer = setTimeout(resolve, Math.max(0, remainingMs), 'late');
      const finish = (end: 'complete' | 'too-large' | 'gone') => {
        clearTimeout(timer);
        resolve(end);
      };
      if (isTooLarge() || (!this._bodies.has(response) && !request.socket.destroyed)) finish('too-large');
      else if (request.readableEnded) finish('complete');
      else if (request.destroyed) finish('gone');
      request.once(BODY_TOO_LARGE, () => {
        finish('too-large');
      });
      request.once('end', () => {
        finish('complete');
      });
      request.once('error', () => {
        finish('gone');
      });
      request.once('close', () => {
        finish('gone');
      });
    });
    this._bodies.delete(response);
    if (end === 'complete' && !response.writableEnded) {
      const body = content.toBuffer();
      this.connections.recordBody(response, body.length);
      return body;
    }
    content.clear();
    this.connections.recordBody(response, 0);
    if (response.writableEnded) return 'ended';
    switch (end) {
      case 'too-large':
        this.connections.stopReading(request.socket);
        this._refuse(response, caller.requestId, 413, 'body-too-large', { Connection: 'close' });
        break;
      case 'late':
        this._refuse(response, caller.requestId, 408, 'body-late', { Connection: 'close' });
        request.destroy();
        break;
      case 'complete':
      case 'gone':
        this._options.context.counters.add('monsoonreach_callers_gone_total');
        this._options.context.log.info('caller disconnected before its request was read', {
          request: caller.requestId,
        });
    }
    return 'ended';
  }

  /** Refuses the first request of a connection that is closed to free memory; the others get no answer. */
  private _refuseForMemory(requests: readonly [OpenRequest, ...OpenRequest[]]): void {
    for (const { response } of requests) {
      this._bodies.get(response)?.clear();
      this._bodies.delete(response);
    }
    const [{ response, requestId }] = requests;
    const headers = { ...encodeRetryAfter(MEMORY_RETRY_AFTER_MS), Connection: 'close' };
    this._refuse(response, requestId, 503, 'memory', headers);
  }

  private _refuse(
    response: ServerResponse,
    requestId: string,
    status: number,
    reason: string,
    headers: Readonly<Record<string, string>> = {},
  ): void {
    const { context, trust } = this._options;
    context.counters.add('monsoonreach_refusals_total', { reason });
    context.log.info('request refused', {
      request: requestId,
      status,
      reason,
      version: context.configuration()?.version,
      trustAgeMs: Math.round(trust.ageMs()),
    });
    context.sendProblem(response, status, { reason, run: 'not-run' }, headers);
  }
}

/**
 * Resolves when the closes of connections that had arrived together with their requests have been read: the end of a
 * connection is read one turn of the event loop after its last bytes.
 */
async function waitForPendingCloses(): Promise<void> {
  await setImmediate();
  await setImmediate();
}

/** Statuses of answers to requests that cannot be read, by the code of the error. */
const CLIENT_ERROR_STATUSES: ReadonlyMap<string | undefined, string> = new Map([
  ['HPE_HEADER_OVERFLOW', '431 Request Header Fields Too Large'],
  ['ERR_HTTP_REQUEST_TIMEOUT', '408 Request Timeout'],
]);

type Access =
  | {
      readonly kind: 'allowed';
      readonly workspace: string | undefined;
      readonly priority: number | undefined;
      readonly workspaceHomes?: Homes;
    }
  | { readonly kind: 'unknown-key' }
  | { readonly kind: 'stale' };

/** Answers with a problem document of this node, unless an answer has begun. */
export function sendProblem(
  connectionHeaders: readonly string[],
  response: ServerResponse,
  status: number,
  body: Readonly<Record<string, string>>,
  headers: Readonly<Record<string, string>> = {},
): void {
  if (response.headersSent || response.destroyed) return;
  const text = JSON.stringify(body);
  response.writeHead(status, [
    ...Object.entries({
      'Content-Type': 'application/problem+json',
      'Content-Length': String(Buffer.byteLength(text)),
      ...headers,
    }).flat(),
    ...connectionHeaders,
  ]);
  response.end(text);
}
