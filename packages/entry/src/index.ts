/** The entry daemon: serves callers, and sends their requests to groups and service targets. */
export * from './atMostOnce.js';
export * from './completions.js';
export * from './drainWindow.js';
export * from './entry.js';
export * from './entryContext.js';
export * from './groupDirectory.js';
export * from './requestTraces.js';
