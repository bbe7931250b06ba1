import { createServer } from 'node:net';

/** Between the well-known ports and the range from which the system assigns ports of outgoing connections. */
const FIRST_PORT = 10_000;
const LAST_PORT = 32_000;
/** Ports in the block of one test process: test files run concurrently and must not take each other's ports. */
const BLOCK_SIZE = 50;
const BLOCK_COUNT = Math.floor((LAST_PORT - FIRST_PORT) / BLOCK_SIZE);

/** Number of ports of this process's block that were taken. */
let takenCount = 0;

/**
 * Finds free loopback ports. They stay free until a server listens on them, as neither outgoing connections nor
 * other test processes take ports of this block.
 */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = takePort();
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

function takePort(): number {
  const offset = (process.pid % BLOCK_COUNT) * BLOCK_SIZE + takenCount++;
  return FIRST_PORT + (offset % (BLOCK_COUNT * BLOCK_SIZE));
}

function isFree(port: number): Promise<boolean> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, '127.0.0.1', () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}
