/** The operators' HTTP server of each process, and the `monsoonreach` command line. */
export * from './commands.js';
export * from './documentCheck.js';
export * from './documentDiff.js';
export * from './fleetSummary.js';
export * from './operatorsServer.js';
export * from './publisher.js';
export * from './questionnaire.js';
