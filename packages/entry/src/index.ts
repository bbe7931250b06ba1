/** The entry daemon: serves callers, and sends their requests to groups and service targets. */
export * from './atMostOnce.js';
export * from './entry.js';
export * from './groupDirectory.js';
