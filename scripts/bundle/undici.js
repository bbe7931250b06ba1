import requestOn from '../../node_modules/undici/lib/api/api-request.js';
import Dispatcher from '../../node_modules/undici/lib/dispatcher/dispatcher.js';

/** The parts of undici that the node uses; its whole entry also loads fetch, WebSocket and mocks at each start. */
export { default as Agent } from '../../node_modules/undici/lib/dispatcher/agent.js';
export { default as Client } from '../../node_modules/undici/lib/dispatcher/client.js';
export { default as Pool } from '../../node_modules/undici/lib/dispatcher/pool.js';
export { default as buildConnector } from '../../node_modules/undici/lib/core/connect.js';

// The library's entry adds its calls to all dispatchers in this way.
Object.assign(Dispatcher.prototype, { request: requestOn });

/** Sends a request on the dispatcher that is given with it. */
export function request(url, { dispatcher, ...options }) {
  const { origin, pathname, search } = new URL(url);
  return dispatcher.request({
    ...options,
    origin,
    path: `${pathname}${search}`,
    method: options.method ?? 'GET',
  });
}
