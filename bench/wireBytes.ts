import { createServer, type Server, type Socket } from 'node:net';
import { createRandom, ManualClock, Membership, Counters } from '@monsoonreach/core';
import { DigestExchange, PeerClients, PeerServer } from '@monsoonreach/peers';
import { EngineClient } from '@monsoonreach/targets';
import { connect } from 'node:net';
import { EngineStandin } from '../tests/standins/engineStandin.js';
import { findFreePorts } from '../tests/support/ports.js';

const CALLS = 200;

/** TCP proxy that counts the bytes sent in both directions. */
class CountingProxy {
  bytes = 0;
  private readonly _sockets = new Set<Socket>();
  private readonly _server: Server;

  constructor(targetPort: number) {
    this._server = createServer((client) => {
      const target = connect(targetPort, '127.0.0.1');
      for (const [source, sink] of [
        [client, target],
        [target, client],
      ] as const) {
        this._sockets.add(source);
        source.on('data', (chunk: Buffer) => {
          this.bytes += chunk.length;
        });
        source.pipe(sink);
        source.on('error', () => undefined);
      }
    });
  }

  listen(port: number): Promise<void> {
    return new Promise((resolve) => {
      this._server.listen(port, '127.0.0.1', resolve);
    });
  }

  close(): void {
    for (const socket of this._sockets) socket.destroy();
    this._server.close();
  }
}

/** Measures the bytes on the wire of one status probe of an engine, request and response. */
export async function measureProbeBytes(): Promise<number> {
  const [enginePort = 0, proxyPort = 0] = await findFreePorts(2);
  const standin = new EngineStandin({ port: enginePort });
  await standin.start();
  const proxy = new CountingProxy(enginePort);
  await proxy.listen(proxyPort);
  const client = new EngineClient(`127.0.0.1:${proxyPort}`);
  for (let call = 0; call < CALLS; call++) await client.readStatus(1_000);
  const bytes = proxy.bytes / CALLS;
  await client.close();
  proxy.close();
  standin.kill();
  return bytes;
}

/** Measures the bytes on the wire of one call between peers with empty messages, request and response. */
export async function measureCallBytes(): Promise<number> {
  const [serverPort = 0, proxyPort = 0] = await findFreePorts(2);
  const clock = new ManualClock();
  const self = { node: 'a', incarnation: 1, role: 'entry' as const, failureDomain: 'a' };
  const membership = new Membership({ clock, random: createRandom(1), self, seeds: [] });
  const clients = new PeerClients({ secret: 'secret' });
  const exchange = new DigestExchange({
    membership,
    clients,
    counters: new Counters(),
    refresh: () => undefined,
    onLearned: () => undefined,
  });
  const routes = (router: Parameters<typeof exchange.register>[0]) => {
    exchange.register(router);
  };
  const peerServer = new PeerServer({ address: `127.0.0.1:${serverPort}`, secret: 'secret', routes });
  await peerServer.listen();
  const proxy = new CountingProxy(serverPort);
  await proxy.listen(proxyPort);
  const client = clients.getDigestClient(`127.0.0.1:${proxyPort}`);
  for (let call = 0; call < CALLS; call++) await client.exchange({});
  const bytes = proxy.bytes / CALLS;
  proxy.close();
  await peerServer.close();
  return bytes;
}
