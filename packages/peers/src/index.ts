/** RPC services between this system's own processes: leases, log relay and digest exchange. */
export * from './convert.js';
export * from './digestExchange.js';
export * from './generated/monsoonreach/v1/peers_pb.js';
export * from './logRelay.js';
export * from './peerClients.js';
export * from './peerServer.js';
export * from './relayedLog.js';
