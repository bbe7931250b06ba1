import type { Server } from 'node:http';
import { listen, readText, sendJson, sleep } from './http.js';
import { Journal } from './journal.js';

/** Options of a service stand-in. */
export interface ServiceStandinOptions {
  readonly port: number;
  readonly journal?: string;
  readonly delayMs?: number;
}

/** Starts the stand-in of a booking service, which runs and counts every order that it gets. */
export async function startService(options: ServiceStandinOptions): Promise<Server> {
  const journal = new Journal(options.journal);
  const address = `127.0.0.1:${options.port}`;
  let orders = 0;
  return listen(async (request, response, url) => {
    const body = await readText(request);
    const requestId = String(request.headers['x-request-id'] ?? '');
    response.setHeader('x-request-id', requestId);
    if (url.pathname === '/runs') return sendJson(response, 200, { orders });
    if (request.method === 'POST') {
      orders++;
      const key = request.headers['idempotency-key'];
      journal.write({ event: 'order', address, requestId, key, body });
    }
    await sleep(options.delayMs ?? 5);
    sendJson(response, 200, { target: address, path: url.pathname, echo: body, orders });
  }, options.port);
}
