/** What both daemons share: a node of the fleet, and how a process starts and stops. */
export * from './fleetNode.js';
export * from './leasePuller.js';
export * from './liveInstances.js';
export * from './process.js';
