import { MonsoonreachError } from '@monsoonreach/core';
import { Pool } from 'undici';
import * as z from 'zod';

const RESPONSE_TIMEOUT_MS = 2_000;

const instanceSchema = z.object({
  address: z.string(),
  kind: z.enum(['engine', 'service']),
  failureDomain: z.string(),
  fabricDomain: z.string(),
  accelerators: z.number().int().nonnegative(),
  state: z.enum(['live', 'leaving']),
});

/** One instance in the platform's list; the list lags behind the instance's actual state. */
export type ListedInstance = Readonly<z.infer<typeof instanceSchema>>;

/** The live list could not be read; callers keep using the last list that was read. */
export class LiveListUnavailableError extends MonsoonreachError {
  readonly code = 'live-list-unavailable';
}

/** The platform's list of live and leaving instances. */
export interface LiveList {
  /** @throws LiveListUnavailableError when no valid response arrives. */
  read(): Promise<readonly ListedInstance[]>;
}

/** Reads the live list over HTTP: `GET /instances` returns `{instances}`. */
export class HttpLiveList implements LiveList {
  private readonly _pool: Pool;

  constructor(address: string) {
    this._pool = new Pool(`http://${address}`, { connections: 1, connect: { timeout: 1_000 } });
  }

  async read(): Promise<readonly ListedInstance[]> {
    try {
      const timeouts = { headersTimeout: RESPONSE_TIMEOUT_MS, bodyTimeout: RESPONSE_TIMEOUT_MS };
      const response = await this._pool.request({ method: 'GET', path: '/instances', ...timeouts });
      const body: unknown = await response.body.json();
      return z.object({ instances: z.array(instanceSchema) }).parse(body).instances;
    } catch (error) {
      throw new LiveListUnavailableError('No valid response from the live list.', { cause: error });
    }
  }

  async close(): Promise<void> {
    await this._pool.destroy();
  }
}
