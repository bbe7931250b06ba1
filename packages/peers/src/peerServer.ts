import { readFileSync, unwatchFile, watchFile } from 'node:fs';
import http2 from 'node:http2';
import { Code, ConnectError, type ConnectRouter, type Interceptor } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import { isEqualInConstantTime, splitAddress } from '@monsoonreach/core';

/** Header with the secret that all processes of a deployment share. */
export const SECRET_HEADER = 'x-monsoonreach-secret';

/** Paths of this node's certificate, its private key, and the CA that signs the peers' certificates. */
export interface PeerTls {
  readonly certificate: string;
  readonly key: string;
  readonly ca: string;
}

/** Settings and routes of a peer server. */
export interface PeerServerOptions {
  readonly address: string;
  readonly secret: string;
  readonly routes: (router: ConnectRouter) => void;
  readonly tls?: PeerTls | undefined;
}

type PeerHttpServer = http2.Http2Server | http2.Http2SecureServer;

/** Serves the peer services over HTTP/2 to callers that know the secret, with mutual TLS if `tls` is set. */
export class PeerServer {
  private readonly _server: PeerHttpServer;
  private readonly _sessions = new Set<http2.ServerHttp2Session>();
  private _stopWatching: () => void = () => undefined;

  constructor(private readonly _options: PeerServerOptions) {
    const handler = connectNodeAdapter({
      routes: _options.routes,
      interceptors: [checkSecret(_options.secret)],
    });
    this._server = this._createServer(handler);
    this._server.on('session', (session: http2.ServerHttp2Session) => {
      this._sessions.add(session);
      session.on('close', () => this._sessions.delete(session));
    });
  }

  listen(): Promise<void> {
    const { host, port } = splitAddress(this._options.address);
    return new Promise((resolve, reject) => {
      this._server.once('error', reject);
      this._server.listen(port, host, resolve);
    });
  }

  async close(): Promise<void> {
    this._stopWatching();
    const closed = new Promise<void>((resolve) => {
      this._server.close(() => {
        resolve();
      });
    });
    for (const session of this._sessions) session.destroy();
    await closed;
  }

  private _createServer(handler: ReturnType<typeof connectNodeAdapter>): PeerHttpServer {
    const { tls } = this._options;
    if (!tls) return http2.createServer(handler);
    const server = http2.createSecureServer(
      { ...readTls(tls), requestCert: true, rejectUnauthorized: true },
      handler,
    );
    this._stopWatching = watchCertificate(tls, () => {
      server.setSecureContext(readTls(tls));
    });
    return server;
  }
}

/** Interval at which the certificate file is polled for renewal, in milliseconds. */
const CERTIFICATE_POLL_INTERVAL_MS = 1_000;

/** Calls the listener when the certificate file changes, also by a rename; returns a function that stops watching. */
export function watchCertificate(tls: PeerTls, onRenewed: () => void): () => void {
  watchFile(tls.certificate, { persistent: false, interval: CERTIFICATE_POLL_INTERVAL_MS }, onRenewed);
  return () => {
    unwatchFile(tls.certificate, onRenewed);
  };
}

/** Reads the files of a node's TLS identity. */
export function readTls(tls: PeerTls): { readonly cert: Buffer; readonly key: Buffer; readonly ca: Buffer } {
  return { cert: readFileSync(tls.certificate), key: readFileSync(tls.key), ca: readFileSync(tls.ca) };
}

function checkSecret(secret: string): Interceptor {
  return (next) => (request) => {
    const receivedSecret = request.header.get(SECRET_HEADER) ?? '';
    if (!isEqualInConstantTime(receivedSecret, secret)) {
      throw new ConnectError('The shared secret is missing or wrong.', Code.Unauthenticated);
    }
    return next(request);
  };
}
