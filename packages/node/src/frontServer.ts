import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { type KeyTrust, type RouteTable, type ServingRoute, splitAddress } from '@monsoonreach/core';
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
/** Urgency that targets assume when a request names none. */
const DEFAULT_URGENCY = 5;

/** Dependencies of {@link FrontServer}. */
export interface FrontServerOptions {
  readonly address: string;
  readonly context: ServingContext;
  readonly trust: KeyTrust;
  readonly table: () => RouteTable | undefined;
  readonly gate: StartGate;
}

/** HTTP server for callers: finds the route and workspace of each request, and starts forwarding it. */
export class FrontServer {
  private readonly _server: Server;
  /** Number of forwarded requests by connection whose answer is not complete. */
  private readonly _forwarded = new WeakMap<Socket, number>();
  private _isDraining = false;

  constructor(private readonly _options: FrontServerOptions) {
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
    this._server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      this._handleCallerError(error, socket as Socket);
    });
  }

  get isDraining(): boolean {
    return this._isDraining;
  }

  listen(): Promise<void> {
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

  /** Makes every answer from now on ask the caller to close the connection. */
  drain(): void {
    this._isDraining = true;
  }

  /** Stops accepting connections and closes the idle ones. */
  close(): void {
    this._server.close();
    this._server.closeIdleConnections();
  }

  /** Headers about the connection that every answer carries: names and values, alternating. */
  connectionHeaders(): readonly string[] {
    return this._isDraining ? ['Connection', 'close'] : [];
  }

  private _handleCallerError(error: NodeJS.ErrnoException, socket: Socket): void {
    if (!socket.writable) return;
    if ((this._forwarded.get(socket) ?? 0) > 0) {
      // An answer of this node would become a part of the answer in progress, or contradict it.
      socket.resetAndDestroy();
      return;
    }
    const status = CLIENT_ERROR_STATUSES.get(error.code) ?? '400 Bad Request';
    socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
  }

  private _countForwarded({ socket }: IncomingMessage, response: ServerResponse): void {
    this._forwarded.set(socket, (this._forwarded.get(socket) ?? 0) + 1);
    response.once('close', () => {
      this._forwarded.set(socket, (this._forwarded.get(socket) ?? 1) - 1);
    });
  }

  private async _handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const startedAtMs = this._options.context.clock.monotonic();
    response.on('error', () => {
      this._options.context.counters.add('monsoonreach_caller_errors_total');
    });
    await this._options.gate.pass();
    const table = this._options.table();
    const caller = decodeCallerRequest(request.headers);
    if (!table) {
      this._refuse(response, caller, 503, 'no-configuration', encodeRetryAfter(STALE_RETRY_AFTER_MS));
      return;
    }
    const { limits } = table.configuration;
    const route = table.findRoute(request.headers.host ?? '', request.url ?? '/');
    const timeoutMs = Math.min(caller.timeoutMs ?? Infinity, route?.timeoutMs ?? limits.headerTimeoutMs);
    const body = await this._readBody(request, response, caller, {
      maxBytes: limits.maxBodyBytes,
      remainingMs: startedAtMs + timeoutMs - this._options.context.clock.monotonic(),
    });
    if (body === 'ended') return;
    if (!route) {
      this._refuse(response, caller, 404, 'no-route');
      return;
    }
    const access = this._checkAccess(table, route, caller);
    switch (access.kind) {
      case 'allowed':
        this._run({ request, response, caller, route, body, startedAtMs, ...access });
        return;
      case 'unknown-key':
        this._refuse(response, caller, 401, 'unknown-key');
        return;
      case 'stale':
        this._refuse(response, caller, 503, 'keys-stale', encodeRetryAfter(STALE_RETRY_AFTER_MS));
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
  }): void {
    const { priority, ...rest } = options;
    if (rest.response.destroyed) return;
    this._countForwarded(rest.request, rest.response);
    const urgency = Math.min(9, Math.max(0, priority ?? DEFAULT_URGENCY));
    new RequestRun({ context: this._options.context, urgency, ...rest }).start();
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
    return { kind: 'allowed', workspace: workspace.name, priority: workspace.priority ?? priority };
  }

  private async _readBody(
    request: IncomingMessage,
    response: ServerResponse,
    caller: CallerRequest,
    { maxBytes, remainingMs }: { readonly maxBytes: number; readonly remainingMs: number },
  ): Promise<Buffer | undefined | 'ended'> {
    if (
      request.headers['content-length'] === undefined &&
      request.headers['transfer-encoding'] === undefined
    ) {
      request.resume();
      return undefined;
    }
    const chunks: Buffer[] = [];
    let length = 0;
    let isLate = false;
    const timer = setTimeout(
      () => {
        isLate = true;
        this._refuse(response, caller, 408, 'body-late', { Connection: 'close' });
        request.destroy();
      },
      Math.max(0, remainingMs),
    );
    try {
      for await (const chunk of request as AsyncIterable<Buffer>) {
        length += chunk.length;
        if (length > maxBytes) {
          this._refuse(response, caller, 413, 'body-too-large', { Connection: 'close' });
          return 'ended';
        }
        chunks.push(chunk);
      }
    } catch (error) {
      if (isLate) return 'ended';
      this._options.context.counters.add('monsoonreach_callers_gone_total');
      this._options.context.log.info('caller disconnected before its request was read', {
        request: caller.requestId,
        error: String(error),
      });
      return 'ended';
    } finally {
      clearTimeout(timer);
    }
    return Buffer.concat(chunks, length);
  }

  private _refuse(
    response: ServerResponse,
    caller: CallerRequest,
    status: number,
    reason: string,
    headers: Readonly<Record<string, string>> = {},
  ): void {
    const { context, trust } = this._options;
    context.counters.add('monsoonreach_refusals_total', { reason });
    context.log.info('request refused', {
      request: caller.requestId,
      status,
      reason,
      version: context.configuration()?.version,
      trustAgeMs: Math.round(trust.ageMs()),
    });
    context.sendProblem(response, status, { reason, run: 'not-run' }, headers);
  }
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
