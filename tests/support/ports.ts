import { createServer } from 'node:net';

/** Finds free loopback ports. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  const servers = await Promise.all(Array.from({ length: count }, () => open()));
  const ports = servers.map((server) => (server.address() as { readonly port: number }).port);
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}

function open(): Promise<ReturnType<typeof createServer>> {
  const server = createServer();
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () => {
      resolve(server);
    });
  });
}
