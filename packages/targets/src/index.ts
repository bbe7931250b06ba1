/** HTTP clients of targets: engines of model groups, and plain services. */
export * from './clientCache.js';
export * from './engineClient.js';
export * from './engineStream.js';
export * from './targetClient.js';
