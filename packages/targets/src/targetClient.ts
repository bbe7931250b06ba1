import {
  BodyTooLargeError,
  type FailedReason,
  MonsoonreachError,
  readBoundedBody,
  splitAddress,
  type UnsentEvidence,
} from '@monsoonreach/core';
import { buildConnector, type Dispatcher, Pool } from 'undici';
import { ResetDetector } from './resetDetector.js';

const CONNECT_TIMEOUT_MS = 800;
/** Largest answer that is read whole, in bytes. */
const MAX_ANSWER_BYTES = 4_194_304;

/** A call to a target did not yield a complete response. */
export class TargetCallError extends MonsoonreachError {
  readonly code = 'target-call';

  constructor(
    readonly reason: FailedReason,
    /** True only when it is certain that no byte of the request was sent. */
    readonly isProvenUnsent: boolean,
    message: string,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}

/** Whether it is certain that no byte of the request was sent. */
export function isUnsent(error: TargetCallError): error is TargetCallError & UnsentEvidence {
  return error.isProvenUnsent;
}

/** One call to a target. */
export interface TargetRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string | Uint8Array | null;
  readonly requestId: string;
  /** Timeout for the response headers, in milliseconds. */
  readonly firstByteTimeoutMs: number;
  /** Maximum time between two chunks of the response body, in milliseconds. */
  readonly idleTimeoutMs: number;
  readonly signal: AbortSignal;
}

/** A target's response with its status and headers; the body is read by iterating over it. */
export interface TargetAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: AsyncIterable<Uint8Array>;
}

/** Checks that tests disable, to show that results are wrong without them. */
export interface TargetGuards {
  readonly checksEcho: boolean;
}

/** Options of a target client. */
export interface TargetClientOptions {
  readonly connections?: number;
  readonly guards?: TargetGuards;
}

/**
 * Calls one target without pipelining. After a timeout, a cancellation or a wrong `x-request-id` echo, the
 * connection is destroyed together with its response and never reused.
 */
export class TargetClient {
  private readonly _pool: Pool;
  /** Sends over the pool; an answer fails if its connection is reset. */
  private readonly _dispatcher: Dispatcher;
  private readonly _checksEcho: boolean;

  constructor(
    readonly address: string,
    options: TargetClientOptions = {},
  ) {
    const { host, port } = splitAddress(address);
    this._checksEcho = options.guards?.checksEcho ?? true;
    const resets = new ResetDetector(buildConnector({ timeout: CONNECT_TIMEOUT_MS }));
    this._pool = new Pool(`http://${host.includes(':') ? `[${host}]` : host}:${port}`, {
      connections: options.connections ?? 64,
      pipelining: 1,
      connect: resets.connect,
    });
    this._dispatcher = this._pool.compose(resets.intercept);
  }

  /** @throws TargetCallError when no response headers arrive, or they do not echo this request's `x-request-id`. */
  async call(request: TargetRequest): Promise<TargetAnswer> {
    const response = await this._send(request);
    const headers = flattenHeaders(response.headers);
    if (this._checksEcho && headers['x-request-id'] !== request.requestId) {
      response.body.on('error', () => undefined);
      response.body.destroy();
      throw new TargetCallError('wrong-echo', false, `${this.address} answered another request; discarded.`);
    }
    return { status: response.statusCode, headers, body: readBody(this.address, response.body) };
  }

  async close(): Promise<void> {
    await this._pool.destroy();
  }

  private async _send(request: TargetRequest): Promise<Dispatcher.ResponseData> {
    try {
      return await this._dispatcher.request({
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers: { ...request.headers, 'x-request-id': request.requestId },
        body: request.body,
        headersTimeout: request.firstByteTimeoutMs,
        bodyTimeout: request.idleTimeoutMs,
        signal: request.signal,
        // Undici never retries a request on its own when it is marked as not idempotent.
        idempotent: false,
      });
    } catch (error) {
      throw toCallError(this.address, error);
    }
  }
}

const UNSENT_CODES: readonly unknown[] = ['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH'];
const TIMEOUT_CODES: readonly unknown[] = ['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT'];

function toCallError(address: string, error: unknown): TargetCallError {
  const { code, name } = error as { readonly code?: unknown; readonly name?: unknown };
  const options = { cause: error };
  if (UNSENT_CODES.includes(code)) {
    return new TargetCallError('target-lost', true, `${address} refused the connection.`, options);
  }
  if (TIMEOUT_CODES.includes(code) || name === 'TimeoutError') {
    return new TargetCallError('target-timeout', false, `Timed out waiting for ${address}.`, options);
  }
  if (name === 'AbortError') {
    return new TargetCallError('caller-gone', false, `The call to ${address} was cancelled.`, options);
  }
  return new TargetCallError('target-lost', false, `The connection to ${address} was lost.`, options);
}

/**
 * Reads the body of an answer to its end.
 * @throws TargetCallError when it ends early, or is larger than any that is sound.
 */
export async function readWholeBody({ body }: TargetAnswer): Promise<Buffer> {
  try {
    return await readBoundedBody(body, MAX_ANSWER_BYTES);
  } catch (error) {
    if (!(error instanceof BodyTooLargeError)) throw error;
    throw new TargetCallError('target-lost', false, error.message, { cause: error });
  }
}

async function* readBody(address: string, body: AsyncIterable<unknown>): AsyncGenerator<Uint8Array> {
  try {
    for await (const chunk of body) yield chunk as Uint8Array;
  } catch (error) {
    throw toCallError(address, error);
  }
}

function flattenHeaders(headers: Dispatcher.ResponseData['headers']): Readonly<Record<string, string>> {
  const entries = Object.entries(headers).map(([name, value]) => [
    name.toLowerCase(),
    Array.isArray(value) ? value.join(', ') : (value ?? ''),
  ]);
  return Object.fromEntries(entries) as Record<string, string>;
}
