import type { Server } from 'node:http';
import { listen, readText, sendJson } from './http.js';

interface Registration {
  readonly instance: Readonly<Record<string, unknown>>;
  registeredAtMs: number;
}

/** Time for which an instance stays listed after its last registration, in milliseconds: the list lags. */
const REGISTRATION_EXPIRY_MS = 3_000;

/** Starts the stand-in of the platform's live list; instances register themselves. */
export async function startLiveList(port = 0): Promise<Server> {
  const registrations = new Map<string, Registration>();
  const leaving = new Set<string>();
  let isDown = false;
  return listen(async (request, response, url) => {
    const address = url.searchParams.get('address') ?? '';
    if (url.pathname === '/faults') {
      ({ isDown = false } = JSON.parse(await readText(request)) as { isDown?: boolean });
      return sendJson(response, 200, {});
    }
    if (request.method === 'PUT') {
      const instance = JSON.parse(await readText(request)) as Record<string, unknown>;
      registrations.set(String(instance['address']), { instance, registeredAtMs: Date.now() });
      return sendJson(response, 200, {});
    }
    if (request.method === 'POST' && url.pathname === '/leaving') {
      leaving.add(address);
      return sendJson(response, 200, {});
    }
    if (request.method === 'DELETE') {
      leaving.delete(address);
      return sendJson(response, 200, {});
    }
    if (isDown) return void response.destroy();
    const instances = [...registrations.values()]
      .filter(({ registeredAtMs }) => Date.now() - registeredAtMs < REGISTRATION_EXPIRY_MS)
      .map(({ instance }) => ({
        ...instance,
        state: leaving.has(String(instance['address'])) ? 'leaving' : 'live',
      }));
    return sendJson(response, 200, { instances });
  }, port);
}
