/** The steward daemon: plans and watches groups, and writes checkpoints. */
export * from './checkpointing.js';
export * from './engineOrders.js';
export * from './planning.js';
export * from './prober.js';
export * from './steward.js';
export * from './watcher.js';
