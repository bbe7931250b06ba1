import type { Server } from 'node:http';
import { listen, readText, sendJson } from './http.js';

interface Listing {
  readonly instance: Readonly<Record<string, unknown>>;
  heardAtMs: number;
}

/** How long an instance stays on the list after its last word, in milliseconds: the list lags. */
const LAG_MS = 3_000;

/** Starts the stand-in of the platform's live list; instances put themselves on it. */
export async function startLiveList(port = 0): Promise<Server> {
  const listings = new Map<string, Listing>();
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
      listings.set(String(instance['address']), { instance, heardAtMs: Date.now() });
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
    const instances = [...listings.values()]
      .filter(({ heardAtMs }) => Date.now() - heardAtMs < LAG_MS)
      .map(({ instance }) => ({
        ...instance,
        state: leaving.has(String(instance['address'])) ? 'leaving' : 'live',
      }));
    return sendJson(response, 200, { instances });
  }, port);
}
