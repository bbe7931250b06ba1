/** The HTTP server for callers. */
export * from './callerServer.js';
export * from './problem.js';
export * from './requests.js';
