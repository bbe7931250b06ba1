export * from './node.js';
export * from './settings.js';
export * from './targetConnections.js';
