import { createServer } from 'node:net';

/** Ports below the range from which the system takes those of outgoing connections, and well above the known ones. */
const FIRST_PORT = 10_000;
const LAST_PORT = 32_000;
/** Distance between the first ports of two test processes, as test files run side by side. */
const BLOCK_SIZE = 50;
const BLOCKS = Math.floor((LAST_PORT - FIRST_PORT) / BLOCK_SIZE);

/** Ports of this process's block that were handed out. */
let taken = 0;

/**
 * Finds free loopback ports. They are free until a server listens on them: no outgoing connection gets one of
 * them, nor does another test process.
 */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = nextPort();
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

function nextPort(): number {
  const offset = (process.pid % BLOCKS) * BLOCK_SIZE + taken++;
  return FIRST_PORT + (offset % (BLOCKS * BLOCK_SIZE));
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
