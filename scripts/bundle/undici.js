import requestOn from '../../node_modules/undici/lib/api/api-request.js';
import Dispatcher from '../../node_modules/undici/lib/dispatcher/dispatcher.js';

/** The undici modules that the node uses; undici's entry point also loads fetch, WebSocket and mocks at each start. */
export { default as Agent } from '../../node_modules/undici/lib/dispatcher/agent.js';
export { default as Client } from '../../node_modules/undici/lib/dispatcher/client.js';
export { default as Pool } from '../../node_modules/undici/lib/dispatcher/pool.js';
export { default as buildConnector } from '../../node_modules/undici/lib/core/connect.js';
export { default as errors } from '../../node_modules/undici/lib/core/errors.js';

// undici's entry point attaches its API methods to Dispatcher in the same way.
Object.assign(Dispatcher.prototype, { request: requestOn });

/** Sends a request through the dispatcher given in its options. */
export function request(url, { dispatcher, ...options }) {
  const { origin, pathname, search } = new URL(url);
  return dispatcher.request({
    ...options,
    origin,
    path: `${pathname}${search}`,
    method: options.method ?? 'GET',
  });
}
