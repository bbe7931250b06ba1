import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';

/** Handles a request to a stand-in. */
export type Handler = (request: IncomingMessage, response: ServerResponse, url: URL) => void | Promise<void>;

/** Starts a stand-in's HTTP server, on the loopback interface by default; port 0 takes any free port. */
export function listen(handler: Handler, port: number, host = '127.0.0.1'): Promise<Server> {
  const server = createServer((request, response) => {
    const url = new URL(request.url ?? '/', 'http://standin');
    Promise.resolve(handler(request, response, url)).catch((error: unknown) => {
      response.destroy(error instanceof Error ? error : undefined);
    });
  });
  server.keepAliveTimeout = 60_000;
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      resolve(server);
    });
  });
}

/** Reads the whole body of a request. */
export async function readText(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
}

/** Sends a JSON answer. */
export function sendJson(response: ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(value));
}

/** Waits for `ms` milliseconds. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
