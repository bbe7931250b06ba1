/** The callers' front door as a daemon. */
export * from './atMostOnce.js';
export * from './entry.js';
