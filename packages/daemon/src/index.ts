/** Code that the entry and steward daemons share: fleet membership, and process start and stop. */
export * from './fleetNode.js';
export * from './leasePuller.js';
export * from './liveInstances.js';
export * from './process.js';
