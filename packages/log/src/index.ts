/** Clients of the platform's log and of its list of instances. */
export * from './httpLog.js';
export * from './liveList.js';
export * from './logWriter.js';
export * from './streamFollower.js';
