import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type KeyTrust, type RouteTable, type ServingRoute, splitAddress } from '@monsoonreach/core';
import { type CallerRequest, decodeCallerRequest, encodeRetryAfter } from '@monsoonreach/platform';
import { RequestRun } from './requestRun.js';
import type { ServingContext } from './servingContext.js';

/** Largest header block that a connection is read for, in bytes; the configuration's own limit is below. */
const MAX_HEADER_BYTES = 65_536;
/** How much longer than the configured idle time a connection is kept, in milliseconds, so that callers close first. */
const IDLE_SLACK_MS = 2_000;
/** Time after which a caller with a key may find this node in touch with the store again, in milliseconds. */
const STALE_WAIT_MS = 700;
/** Urgency that targets take for granted where none is named. */
const DEFAULT_URGENCY = 5;

/** What a front server is made of. */
export interface FrontServerOptions {
  readonly address: string;
  readonly context: ServingContext;
  readonly trust: KeyTrust;
  readonly table: () => RouteTable | undefined;
}

/** The callers' door: takes requests, finds their route and workspace, and starts their runs. */
export class FrontServer {
  private readonly _server: Server;
  private _isDraining = false;

  constructor(private readonly _options: FrontServerOptions) {
    // Node's own server, as requests are passed on byte for byte and connections are ended one by one.
    this._server = createServer(
      { maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: 0 },
      (request, response) => {
        void this._take(request, response);
      },
    );
    this._server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      const status =
        error.code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : '400 Bad Request';
      if (socket.writable) socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
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

  /** Takes the bounds of a new configuration. */
  configure(limits: { readonly headerTimeoutMs: number; readonly idleTimeoutMs: number }): void {
    this._server.headersTimeout = limits.headerTimeoutMs + IDLE_SLACK_MS;
    this._server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_SLACK_MS;
  }

  /** From now on each answer asks the caller to use another connection. */
  drain(): void {
    this._isDraining = true;
  }

  /** Takes no new connections, and closes those without a request. */
  close(): void {
    this._server.close();
    this._server.closeIdleConnections();
  }

  /** Headers that every answer carries for its connection. */
  connectionHeaders(): readonly string[] {
    return this._isDraining ? ['Connection', 'close'] : [];
  }

  private async _take(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const startedAtMs = this._options.context.clock.monotonic();
    response.on('error', () => {
      this._options.context.counters.add('monsoonreach_caller_errors_total');
    });
    const table = this._options.table();
    const caller = decodeCallerRequest(request.headers);
    if (!table) {
      this._answer(response, caller, 503, 'no-configuration', encodeRetryAfter(STALE_WAIT_MS));
      return;
    }
    const body = await this._readBody(request, response, caller, table.configuration.limits.maxBodyBytes);
    if (body === 'ended') return;
    const route = table.findRoute(request.headers.host ?? '', request.url ?? '/');
    if (!route) {
      this._answer(response, caller, 404, 'no-route');
      return;
    }
    const access = this._checkKey(table, route, caller);
    switch (access.kind) {
      case 'allowed':
        this._run({ request, response, caller, route, body, startedAtMs, ...access });
        return;
      case 'unknown-key':
        this._answer(response, caller, 401, 'unknown-key');
        return;
      case 'stale':
        this._answer(response, caller, 503, 'keys-stale', encodeRetryAfter(STALE_WAIT_MS));
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
    const urgency = Math.min(9, Math.max(0, priority ?? DEFAULT_URGENCY));
    new RequestRun({ context: this._options.context, urgency, ...rest }).start();
  }

  private _checkKey(table: RouteTable, route: ServingRoute, caller: CallerRequest): Access {
    const { trust } = this._options;
    const priority = route.priority;
    if (!table.configuration.workspaces || !route.needsKey) {
      return { kind: 'allowed', workspace: undefined, priority };
    }
    if (!trust.isTrusted()) return { kind: 'stale' };
    const workspace = caller.key === undefined ? undefined : table.findWorkspace(caller.key);
    if (!workspace) return { kind: 'unknown-key' };
    return { kind: 'allowed', workspace: workspace.name, priority: workspace.priority ?? priority };
  }

  private async _readBody(
    request: IncomingMessage,
    response: ServerResponse,
    caller: CallerRequest,
    maxBytes: number,
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
    try {
      for await (const chunk of request as AsyncIterable<Buffer>) {
        length += chunk.length;
        if (length > maxBytes) {
          this._answer(response, caller, 413, 'body-too-large', { Connection: 'close' });
          return 'ended';
        }
        chunks.push(chunk);
      }
    } catch (error) {
      this._options.context.counters.add('monsoonreach_callers_gone_total');
      this._options.context.log.info('caller gone before its request was read', {
        request: caller.requestId,
        error: String(error),
      });
      return 'ended';
    }
    return Buffer.concat(chunks, length);
  }

  private _answer(
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
    context.answerPlainly(response, status, { reason, run: 'not-run' }, headers);
  }
}

type Access =
  | {
      readonly kind: 'allowed';
      readonly workspace: string | undefined;
      readonly priority: number | undefined;
    }
  | { readonly kind: 'unknown-key' }
  | { readonly kind: 'stale' };

/** Answers with a small JSON document of this node's own. */
export function answerPlainly(
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
