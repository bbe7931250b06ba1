/** Operators: their port on each process, and their command line. */
export * from './operatorsServer.js';
export * from './publisher.js';
