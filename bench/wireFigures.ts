import { createServer, type Server, type Socket } from 'node:net';
import { createRandom, ManualClock, Membership, Counters } from '@monsoonreach/core';
import { DigestExchange, PeerClients, PeerServer } from '@monsoonreach/peers';
import { EngineClient } from '@monsoonreach/targets';
import { connect } from 'node:net';
import { EngineStandin } from '../tests/standins/engineStandin.js';
import { findFreePorts } from '../tests/support/ports.js';

const CALLS = 200;

/** Counts the bytes of both directions between a client and a port. */
class CountingRelay {
  bytes = 0;
  private readonly _sockets = new Set<Socket>();
  private readonly _server: Server;

  constructor(to: number) {
    this._server = createServer((from) => {
      const target = connect(to, '127.0.0.1');
      for (const [source, sink] of [
        [from, target],
        [target, from],
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

/** Bytes on the wire of one read-back of an engine, request and answer. */
export async function measureProbeBytes(): Promise<number> {
  const [engine = 0, relay = 0] = await findFreePorts(2);
  const standin = new EngineStandin({ port: engine });
  await standin.start();
  const counting = new CountingRelay(engine);
  await counting.listen(relay);
  const client = new EngineClient(`127.0.0.1:${relay}`);
  for (let call = 0; call < CALLS; call++) await client.readStatus(1_000);
  const bytes = counting.bytes / CALLS;
  await client.close();
  counting.close();
  standin.kill();
  return bytes;
}

/** Bytes on the wire of one call between peers beside its messages, request and answer. */
export async function measureCallBytes(): Promise<number> {
  const [server = 0, relay = 0] = await findFreePorts(2);
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
  const peerServer = new PeerServer({ address: `127.0.0.1:${server}`, secret: 'secret', routes });
  await peerServer.listen();
  const counting = new CountingRelay(server);
  await counting.listen(relay);
  const client = clients.digests(`127.0.0.1:${relay}`);
  for (let call = 0; call < CALLS; call++) await client.exchange({});
  const bytes = counting.bytes / CALLS;
  counting.close();
  await peerServer.close();
  return bytes;
}
