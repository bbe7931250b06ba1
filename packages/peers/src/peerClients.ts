import { type Client, createClient, type Interceptor, type Transport } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import type { DescService } from '@bufbuild/protobuf';
import { DigestService, LeaseService, LogService } from './generated/monsoonreach/v1/peers_pb.js';
import { type PeerTls, readTls, SECRET_HEADER, watchCertificate } from './peerServer.js';

/** Credentials for connections to peers. */
export interface PeerClientsOptions {
  readonly secret: string;
  readonly tls?: PeerTls | undefined;
}

/** Creates typed clients of the peer services; all clients of one peer share a connection. */
export class PeerClients {
  private readonly _transports = new Map<string, Transport>();

  constructor(private readonly _options: PeerClientsOptions) {
    // Calls in flight finish on their old connections; new calls connect with the renewed certificate.
    if (_options.tls) watchCertificate(_options.tls, () => this._transports.clear());
  }

  getLeaseClient(peer: string): Client<typeof LeaseService> {
    return this._client(LeaseService, peer);
  }

  getLogClient(peer: string): Client<typeof LogService> {
    return this._client(LogService, peer);
  }

  getDigestClient(peer: string): Client<typeof DigestService> {
    return this._client(DigestService, peer);
  }

  private _client<Service extends DescService>(service: Service, peer: string): Client<Service> {
    return createClient(service, this._transportOf(peer));
  }

  private _transportOf(peer: string): Transport {
    let transport = this._transports.get(peer);
    if (!transport) {
      transport = this._createTransport(peer);
      this._transports.set(peer, transport);
    }
    return transport;
  }

  private _createTransport(peer: string): Transport {
    const { secret, tls } = this._options;
    const addSecret: Interceptor = (next) => (request) => {
      request.header.set(SECRET_HEADER, secret);
      return next(request);
    };
    return createConnectTransport({
      baseUrl: `${tls ? 'https' : 'http'}://${peer}`,
      httpVersion: '2',
      interceptors: [addSecret],
      idleConnectionTimeoutMs: 60_000,
      ...(tls ? { nodeOptions: { ...readTls(tls), checkServerIdentity: () => undefined } } : {}),
    });
  }
}
