export * from './node.js';
export * from './settings.js';
