/** Group planning, watching and checkpoints as a daemon. */
export * from './checkpointing.js';
export * from './engineOrders.js';
export * from './planning.js';
export * from './prober.js';
export * from './steward.js';
export * from './watcher.js';
