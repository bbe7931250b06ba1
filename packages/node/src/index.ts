export * from './decisionLog.js';
export * from './headWatch.js';
export * from './instanceList.js';
export * from './node.js';
export * from './peerExchange.js';
export * from './planning.js';
export * from './settings.js';
export * from './targetConnections.js';
