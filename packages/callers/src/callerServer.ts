import { createServer, type Server, type ServerResponse } from 'node:http';
import { type Clock, type Outcome, splitAddress, Undispatched } from '@monsoonreach/core';
import { type H3Event, H3, toNodeHandler } from 'h3';
import { v7 as uuidv7 } from 'uuid';
import * as z from 'zod';
import { BodyError, readBody } from './body.js';
import { CallerConnections } from './callerConnections.js';
import { toEventStream } from './eventStream.js';
import { toProblemResponse } from './problem.js';
import type { CallContext, CallerHandler, CompletionAnswer, ServiceAnswer } from './requests.js';

const MAX_HEADER_BYTES = 16_384;
const MAX_CONNECTIONS = 10_000;
/** Interval at which Node.js checks connections for header and request timeouts, in milliseconds. */
const CONNECTION_CHECK_INTERVAL_MS = 1_000;

/** Settings and handler of a caller server. */
export interface CallerServerOptions {
  readonly address: string;
  readonly headerTimeoutMs: number;
  readonly requestTimeoutMs: number;
  readonly clock: Clock;
  readonly handler: CallerHandler;
}

const completionSchema = z.looseObject({
  model: z.string().min(1),
  messages: z.array(z.unknown()).min(1),
  stream: z.boolean().nullish(),
});

/** HTTP server for callers: chat completions, models and plain services. */
export class CallerServer {
  private readonly _server: Server;
  private readonly _connections: CallerConnections;
  private _isClosing = false;

  constructor(private readonly _options: CallerServerOptions) {
    this._connections = new CallerConnections(_options.clock);
    const handle = toNodeHandler(this._createApp());
    this._server = createServer(
      {
        headersTimeout: _options.headerTimeoutMs,
        requestTimeout: _options.requestTimeoutMs * 2,
        connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
        maxHeaderSize: MAX_HEADER_BYTES,
      },
      (request, response) => {
        if (this._isClosing && !this._prepareLaterRequest(response)) return;
        if (!this._connections.startRequest(response)) return;
        if (this._isClosing) this._announceClose(response);
        // Run at once, a request would be lost with its answer if the connection ends with an earlier one.
        void this._connections.waitForTurn(response).then(() => {
          if (!request.socket.destroyed) void handle(request, response);
        });
      },
    );
    this._server.maxConnections = MAX_CONNECTIONS;
    this._connections.attach(this._server);
  }

  /** Number of requests whose response is not complete. */
  get inProgress(): number {
    return this._connections.listOpenRequests().length;
  }

  listen(): Promise<void> {
    const { host, port } = splitAddress(this._options.address);
    return new Promise((resolve, reject) => {
      this._server.once('error', reject);
      this._server.listen(port, host, resolve);
    });
  }

  /** Closes each connection after its current response, so that callers reconnect elsewhere. */
  startClosing(): void {
    this._isClosing = true;
    this._connections.closeAfterAnswers();
    for (const { response } of this._connections.listOpenRequests()) this._announceClose(response);
  }

  /** Stops accepting connections and closes idle ones; resolves when the last request has ended. */
  async close(): Promise<void> {
    this.startClosing();
    const closed = new Promise<void>((resolve) => {
      this._server.close(() => {
        resolve();
      });
    });
    await closed;
  }

  /** Closes all connections and so aborts the requests in progress; returns their number. */
  abortRequests(): number {
    const abortedRequests = this.inProgress;
    this._server.closeAllConnections();
    return abortedRequests;
  }

  /** Lets the connection end with the response, unless its head has been sent or a later request has arrived. */
  private _announceClose(response: ServerResponse): void {
    if (!response.headersSent && this._connections.isLatest(response))
      response.setHeader('connection', 'close');
  }

  /**
   * Lets a connection last for a request behind others. Returns false if its end is announced already: the request must
   * not be run, as it cannot be answered.
   */
  private _prepareLaterRequest({ req: { socket } }: ServerResponse): boolean {
    const earlier = this._connections
      .listOpenRequests()
      .map(({ response }) => response)
      .filter(({ req }) => req.socket === socket);
    if (socket.writableEnded || earlier.some((response) => response.headersSent && isLast(response)))
      return false;
    for (const response of earlier) if (!response.headersSent) response.removeHeader('connection');
    return true;
  }

  private _createApp(): H3 {
    const { handler } = this._options;
    const app = new H3();
    app.get('/healthz', () => 'ok\n');
    app.get(
      '/readyz',
      () =>
        new Response(handler.isReady() ? 'ready\n' : 'not ready\n', {
          status: handler.isReady() ? 200 : 503,
        }),
    );
    app.post('/v1/chat/completions', (event) =>
      this._serve(event, (context) => this._complete(event, context)),
    );
    app.get('/v1/models', (event) => this._serve(event, (context) => this._listModels(context)));
    app.all('/services/**', (event) => this._serve(event, (context) => this._callService(event, context)));
    app.all('/**', (event) =>
      this._serve(event, (context) => Promise.resolve(context.undispatched.refuse('not-found'))),
    );
    return app;
  }

  /** Runs one request: assigns its id, authenticates the caller, maps errors to problems and reports the end. */
  private async _serve(
    event: H3Event,
    handleCall: (context: CallContext) => Promise<Response | Outcome<never>>,
  ): Promise<Response> {
    const { handler, clock } = this._options;
    const startedAtMs = clock.monotonic();
    const requestId = uuidv7();
    const undispatched = new Undispatched();
    const workspace = handler.authenticate(readToken(event.req));
    const signal = createCallerSignal(event);
    const result =
      workspace === undefined
        ? refuseUnauthenticated(undispatched)
        : await this._runHandler({ requestId, workspace, signal, undispatched }, handleCall);
    if (result instanceof Response) return result;
    if (result.kind === 'answered')
      throw new TypeError('A route handler returned an answered outcome; it must return a Response instead.');
    handler.onEnded({ requestId, outcome: result, durationMs: clock.monotonic() - startedAtMs });
    return toProblemResponse(result, requestId);
  }

  private async _runHandler(
    context: CallContext,
    handleCall: (context: CallContext) => Promise<Response | Outcome<never>>,
  ): Promise<Response | Outcome<never>> {
    try {
      return await handleCall(context);
    } catch (error) {
      if (!(error instanceof BodyError)) throw error;
      const reason = error.code === 'body-too-large' ? 'body-too-large' : 'bad-request';
      return context.undispatched.refuse(reason, { detail: error.message });
    }
  }

  private async _complete(event: H3Event, context: CallContext): Promise<Response | Outcome<never>> {
    const body = Buffer.from(await this._readBody(event)).toString('utf8');
    if (!this._isAuthenticated(event, context)) return refuseUnauthenticated(context.undispatched);
    const parsed = completionSchema.safeParse(parseJson(body));
    if (!parsed.success) {
      const detail = parsed.error.issues
        .map(({ path, message }) => `${path.join('.')}: ${message}`)
        .join('; ');
      return context.undispatched.refuse('bad-request', { detail: `Not a chat completion: ${detail}` });
    }
    const isStreaming = parsed.data.stream === true;
    const startedAtMs = this._options.clock.monotonic();
    const outcome = await this._options.handler.complete(
      { model: parsed.data.model, isStreaming, body },
      context,
    );
    if (outcome.kind !== 'answered') return outcome;
    return this._toCompletionResponse(outcome.answer, context, startedAtMs);
  }

  private _toCompletionResponse(
    answer: CompletionAnswer,
    context: CallContext,
    startedAtMs: number,
  ): Response {
    const { requestId } = context;
    switch (answer.kind) {
      case 'whole':
        this._reportAnswered(requestId, startedAtMs);
        return new Response(Buffer.from(answer.body), {
          status: answer.status,
          headers: {
            'content-type': answer.contentType,
            'content-length': String(Buffer.byteLength(answer.body)),
            'x-request-id': requestId,
          },
        });
      case 'stream': {
        const onEnd = (isComplete: boolean) => {
          if (isComplete) this._reportAnswered(requestId, startedAtMs);
        };
        return new Response(toEventStream(answer.events, { requestId, onEnd }), {
          headers: {
            'content-type': 'text/event-stream',
            'cache-control': 'no-store',
            'x-request-id': requestId,
          },
        });
      }
    }
  }

  private _listModels({ workspace, requestId }: CallContext): Promise<Response> {
    const models = this._options.handler.listModels(workspace);
    const data = models.map((id) => ({ id, object: 'model', created: 0, owned_by: 'monsoonreach' }));
    const headers = { 'content-type': 'application/json', 'x-request-id': requestId };
    return Promise.resolve(new Response(JSON.stringify({ object: 'list', data }), { headers }));
  }

  private async _callService(event: H3Event, context: CallContext): Promise<Response | Outcome<never>> {
    const { pathname, search } = event.url;
    const [, , service = '', ...segments] = pathname.split('/');
    const startedAtMs = this._options.clock.monotonic();
    const body = await this._readBody(event);
    if (!this._isAuthenticated(event, context)) return refuseUnauthenticated(context.undispatched);
    const outcome = await this._options.handler.callService(
      {
        service,
        method: event.req.method,
        path: `/${segments.join('/')}${search}`,
        contentType: event.req.headers.get('content-type') ?? undefined,
        idempotencyKey: event.req.headers.get('idempotency-key') ?? undefined,
        body,
      },
      context,
    );
    if (outcome.kind !== 'answered') return outcome;
    this._reportAnswered(context.requestId, startedAtMs);
    return toServiceResponse(outcome.answer, context.requestId);
  }

  /** Whether the token still names the workspace: it may have been revoked while the body was read. */
  private _isAuthenticated(event: H3Event, { workspace }: CallContext): boolean {
    return this._options.handler.authenticate(readToken(event.req)) === workspace;
  }

  private _reportAnswered(requestId: string, startedAtMs: number): void {
    const durationMs = this._options.clock.monotonic() - startedAtMs;
    this._options.handler.onEnded({
      requestId,
      outcome: { kind: 'answered', answer: undefined },
      durationMs,
    });
  }

  private _readBody(event: H3Event): Promise<Uint8Array> {
    const { handler, requestTimeoutMs } = this._options;
    return readBody(event.req, { maxBytes: handler.maxBodyBytes(), timeoutMs: requestTimeoutMs });
  }
}

/** Whether the connection ends with the response. */
function isLast(response: ServerResponse): boolean {
  return response.getHeader('connection') === 'close';
}

function toServiceResponse(answer: ServiceAnswer, requestId: string): Response {
  const headers: Record<string, string> = { 'x-request-id': requestId };
  if (answer.contentType !== undefined) headers['content-type'] = answer.contentType;
  if (answer.isReplayed) headers['idempotency-replayed'] = 'true';
  const hasBody = answer.body.byteLength > 0 && answer.status !== 204 && answer.status !== 304;
  // Callers of HTTP/1.0 read no chunks: without a length, an answer that is cut looks complete to them.
  if (hasBody) headers['content-length'] = String(answer.body.byteLength);
  return new Response(hasBody ? Buffer.from(answer.body) : null, { status: answer.status, headers });
}

function refuseUnauthenticated(undispatched: Undispatched): Outcome<never> {
  return undispatched.refuse('unauthenticated', { detail: 'Send a known bearer token.' });
}

function readToken(request: Request): string {
  return /^Bearer\s+(.+)$/i.exec(request.headers.get('authorization') ?? '')?.[1] ?? '';
}

function createCallerSignal(event: H3Event): AbortSignal {
  const controller = new AbortController();
  const response = event.runtime?.node?.res;
  response?.once('close', () => {
    controller.abort();
  });
  return controller.signal;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
