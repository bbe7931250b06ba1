/** The system's own processes: the services that they offer one another. */
export * from './convert.js';
export * from './digestExchange.js';
export * from './generated/monsoonreach/v1/peers_pb.js';
export * from './logRelay.js';
export * from './peerClients.js';
export * from './peerServer.js';
export * from './relayedLog.js';
