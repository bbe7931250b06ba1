/** The steward daemon: plans and watches groups, and writes checkpoints. */
export * from './checkpointWriter.js';
export * from './engineReconciler.js';
export * from './groupHealth.js';
export * from './groupPlanner.js';
export * from './prober.js';
export * from './steward.js';
export * from './watcher.js';
