import { type Log, type LogReadOptions, type LogSlice, LogUnavailableError } from '@monsoonreach/core';
import { type Dispatcher, Pool } from 'undici';
import * as z from 'zod';

/** Time after which the response to an append counts as lost, in milliseconds. */
const APPEND_TIMEOUT_MS = 3_000;
const READ_TIMEOUT_MS = 3_000;
const CONNECTIONS = 8;

const sliceSchema = z.object({
  batches: z.array(z.object({ offset: z.number().int(), entries: z.array(z.string()) })),
  first: z.number().int(),
  head: z.number().int(),
});
const appendedSchema = z.object({ offset: z.number().int() });

/**
 * The platform's append-only log over HTTP: `POST /streams/<name>` with `{entries}` returns `{offset}`;
 * `GET /streams/<name>?from=&waitMs=&limit=` returns `{batches, first, head}`.
 */
export class HttpLog implements Log {
  private readonly _pool: Pool;

  constructor(address: string) {
    this._pool = new Pool(`http://${address}`, { connections: CONNECTIONS, connect: { timeout: 1_000 } });
  }

  async append(stream: string, entries: readonly string[], signal?: AbortSignal): Promise<number> {
    const body = JSON.stringify({ entries });
    const response = await this._request({
      method: 'POST',
      path: `/streams/${encodeURIComponent(stream)}`,
      headers: { 'content-type': 'application/json' },
      body,
      headersTimeout: APPEND_TIMEOUT_MS,
      bodyTimeout: APPEND_TIMEOUT_MS,
      ...(signal ? { signal } : {}),
    });
    return parse(appendedSchema, response).offset;
  }

  async read(stream: string, from: number, options: LogReadOptions = {}): Promise<LogSlice> {
    const waitMs = options.waitMs ?? 0;
    const query = `from=${from}&waitMs=${waitMs}&limit=${options.limit ?? 500}`;
    const response = await this._request({
      method: 'GET',
      path: `/streams/${encodeURIComponent(stream)}?${query}`,
      headersTimeout: READ_TIMEOUT_MS + waitMs,
      bodyTimeout: READ_TIMEOUT_MS,
      ...(options.signal ? { signal: options.signal } : {}),
    });
    return { ...parse(sliceSchema, response), isCurrent: true };
  }

  async close(): Promise<void> {
    await this._pool.destroy();
  }

  private async _request(options: Dispatcher.RequestOptions): Promise<unknown> {
    try {
      const response = await this._pool.request(options);
      const body = await response.body.text();
      if (response.statusCode === 200) return JSON.parse(body) as unknown;
      throw new LogUnavailableError(`The log answered ${response.statusCode} to ${options.path}.`);
    } catch (error) {
      if (error instanceof LogUnavailableError) throw error;
      throw new LogUnavailableError(`No answer from the log to ${options.path}.`, { cause: error });
    }
  }
}

function parse<Shape>(schema: z.ZodType<Shape>, value: unknown): Shape {
  const result = schema.safeParse(value);
  if (!result.success)
    throw new LogUnavailableError(`The log's answer is malformed: ${result.error.message}`);
  return result.data;
}
