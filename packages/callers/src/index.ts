/** Callers: the front door over HTTP. */
export * from './callerServer.js';
export * from './problem.js';
export * from './requests.js';
