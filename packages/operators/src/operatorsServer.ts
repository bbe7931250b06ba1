import { createServer, type Server } from 'node:http';
import { type Counters, splitAddress } from '@monsoonreach/core';
import { H3, toNodeHandler } from 'h3';

/** Address and data sources of the operators' server. */
export interface OperatorsServerOptions {
  readonly address: string;
  readonly counters: Counters;
  readonly isReady: () => boolean;
  /** Returns the value served as JSON at `/status`. */
  readonly getStatus: () => unknown;
  /** Returns the lines that explain a request or group; empty if nothing is recorded. */
  readonly explain: (subject: string) => readonly string[];
}

/** HTTP server for operators: `/healthz`, `/readyz`, `/metrics`, `/status` and `/explain/<subject>`. */
export class OperatorsServer {
  private readonly _server: Server;

  constructor(private readonly _options: OperatorsServerOptions) {
    const handle = toNodeHandler(this._createApp());
    this._server = createServer((request, response) => {
      void handle(request, response);
    });
  }

  listen(): Promise<void> {
    const { host, port } = splitAddress(this._options.address);
    return new Promise((resolve, reject) => {
      this._server.once('error', reject);
      this._server.listen(port, host, resolve);
    });
  }

  close(): Promise<void> {
    this._server.closeAllConnections();
    return new Promise((resolve) => {
      this._server.close(() => {
        resolve();
      });
    });
  }

  private _createApp(): H3 {
    const { counters, isReady, getStatus, explain } = this._options;
    const app = new H3();
    app.get('/healthz', () => 'ok\n');
    app.get(
      '/readyz',
      () => new Response(isReady() ? 'ready\n' : 'not ready\n', { status: isReady() ? 200 : 503 }),
    );
    app.get(
      '/metrics',
      () => new Response(counters.expose(), { headers: { 'content-type': 'text/plain; version=0.0.4' } }),
    );
    app.get('/status', () => Response.json(getStatus()));
    app.get('/explain/:subject', (event) => {
      const subject = decodeURIComponent(event.context.params?.['subject'] ?? '');
      return Response.json({ lines: explain(subject) });
    });
    return app;
  }
}
