import { type AddressInfo, createServer, type Server, type Socket } from 'node:net';
import { type EngineCallFailureReason, EngineClient } from '@monsoonreach/targets';
import t from 'tap';

const TIMEOUT_MS = 300;

async function listen(onConnection: (socket: Socket) => void): Promise<Server> {
  const server = createServer(onConnection);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return server;
}

// A reset connection was told like an address at which nothing listens.
void t.test('a failed call tells a reset connection from a refused one', async (t) => {
  const cases: readonly {
    readonly name: string;
    readonly onConnection: ((socket: Socket) => void) | undefined;
    readonly reason: EngineCallFailureReason;
  }[] = [
    { name: 'nothing listens', onConnection: undefined, reason: 'unreachable' },
    {
      name: 'reset',
      onConnection: (socket) => socket.once('data', () => socket.resetAndDestroy()),
      reason: 'reset',
    },
    {
      name: 'closed',
      onConnection: (socket) => socket.once('data', () => socket.destroy()),
      reason: 'reset',
    },
    { name: 'no answer', onConnection: (socket) => socket.resume(), reason: 'timeout' },
  ];
  for (const { name, onConnection, reason } of cases) {
    const sockets: Socket[] = [];
    const server = await listen((socket) => {
      sockets.push(socket);
      onConnection?.(socket);
    });
    const { port } = server.address() as AddressInfo;
    if (!onConnection) await new Promise((resolve) => server.close(resolve));
    const client = new EngineClient(`127.0.0.1:${port}`);
    const error = await client.readStatus(TIMEOUT_MS).catch((caught: unknown) => caught);
    t.match(error, { reason }, name);
    await client.close();
    for (const socket of sockets) socket.destroy();
    server.close();
  }
});
