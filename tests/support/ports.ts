import { createServer, type Server } from 'node:net';

/** Between the well-known ports and the range from which the system assigns ports of outgoing connections. */
const FIRST_PORT = 10_000;
const LAST_PORT = 32_000;
/** Ports in a block, which one process claims: processes run concurrently and must not take each other's ports. */
const BLOCK_SIZE = 50;
const BLOCK_COUNT = Math.floor((LAST_PORT - FIRST_PORT) / BLOCK_SIZE);

/** Ports of the claimed block that were not taken yet. */
let untakenPorts: readonly number[] = [];
/** Block that is tried next. */
let nextBlock = process.pid % BLOCK_COUNT;

/**
 * Finds free loopback ports. They stay free until a server listens on them, as neither outgoing connections nor
 * other processes that call this take ports of the claimed block.
 */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = await takePort();
    const server = await listen(port);
    if (!server) continue;
    await close(server);
    ports.push(port);
  }
  return ports;
}

async function takePort(): Promise<number> {
  if (untakenPorts.length === 0) untakenPorts = await claimBlock();
  const [port = 0, ...others] = untakenPorts;
  untakenPorts = others;
  return port;
}

/** Claims a block for the life of this process by listening on its first port; returns the others. */
async function claimBlock(): Promise<readonly number[]> {
  for (let attempt = 0; attempt < BLOCK_COUNT; attempt++) {
    const firstPort = FIRST_PORT + (nextBlock++ % BLOCK_COUNT) * BLOCK_SIZE;
    const claim = await listen(firstPort);
    if (!claim) continue;
    claim.unref();
    return Array.from({ length: BLOCK_SIZE - 1 }, (_, index) => firstPort + 1 + index);
  }
  throw new Error(
    `All ${BLOCK_COUNT} blocks of ports from ${FIRST_PORT} on are claimed; end other test processes.`,
  );
}

/** Resolves with the listening server, or undefined if the port is in use. */
function listen(port: number): Promise<Server | undefined> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once('error', () => {
      resolve(undefined);
    });
    server.listen(port, '127.0.0.1', () => {
      resolve(server);
    });
  });
}

function close(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => {
      resolve();
    });
  });
}
