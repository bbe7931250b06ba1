import {
  BodyTooLargeError,
  MonsoonreachError,
  type OrderKind,
  readBoundedBody,
  splitAddress,
} from '@monsoonreach/core';
import { Pool } from 'undici';
import * as z from 'zod';

const CONNECT_TIMEOUT_MS = 500;
/** Largest answer that is read, in bytes. */
const MAX_ANSWER_BYTES = 65_536;

const statusSchema = z.object({
  boot: z.string(),
  phase: z.enum(['idle', 'loading', 'ready']),
  group: z.string().nullable(),
  epoch: z.number().int(),
  model: z.string().nullable(),
  version: z.string().nullable(),
  /** Highest fencing token received since the engine started; 0 if the engine does not check them. */
  fencing: z.number().int(),
  inFlight: z.number().int(),
  leaving: z.boolean(),
  failureDomain: z.string(),
  fabricDomain: z.string(),
  accelerators: z.number().int(),
});

/** Response of an engine to `GET /v1/status`. */
export type EngineStatus = Readonly<z.infer<typeof statusSchema>>;

/** Body of `POST /v1/orders`; `fencing` is the log position of the record that the order carries out. */
export interface EngineOrder {
  readonly order: OrderKind;
  readonly group: string;
  readonly fencing: number;
  readonly model?: string;
  readonly version?: string;
  readonly rank?: number;
  readonly members?: readonly string[];
}

/** Why a call to an engine failed; `unreachable` means that nothing listens at its address. */
export type EngineCallFailureReason = 'unreachable' | 'reset' | 'timeout' | 'refused' | 'malformed';

/** A call to an engine failed, for the reason in `reason`. */
export class EngineCallError extends MonsoonreachError {
  readonly code = 'engine-call';

  constructor(
    readonly reason: EngineCallFailureReason,
    message: string,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}

/** Client of one engine's control API: `GET /v1/status` and `POST /v1/orders`. */
export class EngineClient {
  private readonly _pool: Pool;

  constructor(readonly address: string) {
    const { host, port } = splitAddress(address);
    const origin = `http://${host.includes(':') ? `[${host}]` : host}:${port}`;
    this._pool = new Pool(origin, { connections: 2, connect: { timeout: CONNECT_TIMEOUT_MS } });
  }

  /** @throws EngineCallError when no successful response arrives in time; ZodError when its shape is wrong. */
  async readStatus(timeoutMs: number): Promise<EngineStatus> {
    return statusSchema.parse(await this._call('GET', '/v1/status', timeoutMs));
  }

  /** @throws EngineCallError; `refused` means that the engine did not carry out the order. */
  async sendOrder(order: EngineOrder, timeoutMs: number): Promise<void> {
    await this._call('POST', '/v1/orders', timeoutMs, JSON.stringify(order));
  }

  async close(): Promise<void> {
    await this._pool.destroy();
  }

  private async _call(
    method: 'GET' | 'POST',
    path: string,
    timeoutMs: number,
    body?: string,
  ): Promise<unknown> {
    const timeouts = {
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
      signal: AbortSignal.timeout(timeoutMs),
    };
    try {
      const headers = { 'content-type': 'application/json' };
      const response = await this._pool.request({ method, path, headers, body: body ?? null, ...timeouts });
      const text = (await readBoundedBody(response.body, MAX_ANSWER_BYTES)).toString('utf8');
      if (response.statusCode < 300) return JSON.parse(text) as unknown;
      throw new EngineCallError(
        'refused',
        `Engine ${this.address} responded with status ${response.statusCode} to ${path}: ${text}`,
      );
    } catch (error) {
      if (error instanceof EngineCallError) throw error;
      throw new EngineCallError(
        toFailureReason(error),
        `No valid response from engine ${this.address} to ${path}.`,
        { cause: error },
      );
    }
  }
}

const RESET_CODES: readonly unknown[] = ['ECONNRESET', 'EPIPE', 'UND_ERR_SOCKET'];

function toFailureReason(error: unknown): EngineCallFailureReason {
  if ([SyntaxError, z.ZodError, BodyTooLargeError].some((type) => error instanceof type)) return 'malformed';
  const code = (error as { readonly code?: unknown }).code;
  if (code === 'ECONNREFUSED') return 'unreachable';
  return RESET_CODES.includes(code) ? 'reset' : 'timeout';
}
