import { fileURLToPath } from 'node:url';
import { Code, ConnectError } from '@connectrpc/connect';
import { Counters, createRandom, ManualClock, Membership } from '@monsoonreach/core';
import {
  DigestExchange,
  PeerClients,
  type PeerClientsOptions,
  PeerServer,
  type PeerTls,
} from '@monsoonreach/peers';
import t from 'tap';
import { findFreePorts } from '../support/ports.js';

const toTlsPath = (name: string) =>
  fileURLToPath(new URL(`../../../tests/peers/tls/${name}`, import.meta.url));
const TRUSTED: PeerTls = {
  certificate: toTlsPath('node.pem'),
  key: toTlsPath('node.key'),
  ca: toTlsPath('ca.pem'),
};
const UNTRUSTED: PeerTls = {
  certificate: toTlsPath('other.pem'),
  key: toTlsPath('other.key'),
  ca: toTlsPath('ca.pem'),
};

const cases: readonly {
  readonly name: string;
  readonly tls?: PeerTls;
  readonly client: PeerClientsOptions;
  readonly code: Code | undefined;
}[] = [
  { name: 'the right secret is accepted', client: { secret: 's' }, code: undefined },
  { name: 'a wrong secret is refused', client: { secret: 'x' }, code: Code.Unauthenticated },
  {
    name: 'mutual TLS with the right secret is accepted',
    tls: TRUSTED,
    client: { secret: 's', tls: TRUSTED },
    code: undefined,
  },
  {
    name: 'mutual TLS with a wrong secret is refused',
    tls: TRUSTED,
    client: { secret: 'x', tls: TRUSTED },
    code: Code.Unauthenticated,
  },
  {
    name: 'a certificate of an unknown authority is refused',
    tls: TRUSTED,
    client: { secret: 's', tls: UNTRUSTED },
    code: Code.Canceled,
  },
];

for (const { name, tls, client, code } of cases) {
  void t.test(`peers: ${name}`, async (t) => {
    const [port = 0] = await findFreePorts(1);
    const address = `127.0.0.1:${port}`;
    const clock = new ManualClock();
    const self = { node: address, incarnation: 1, role: 'entry' as const, failureDomain: 'a' };
    const membership = new Membership({ clock, random: createRandom(1), self, seeds: [] });
    const clients = new PeerClients(client);
    const doNothing = () => undefined;
    const exchange = new DigestExchange({
      membership,
      clients,
      counters: new Counters(),
      refresh: doNothing,
      onLearned: doNothing,
    });
    const server = new PeerServer({
      address,
      secret: 's',
      tls,
      routes: (router) => {
        exchange.register(router);
      },
    });
    await server.listen();
    const result = await clients
      .getDigestClient(address)
      .exchange({ from: 'b', full: true }, { timeoutMs: 10_000 })
      .catch((error: unknown) => ConnectError.from(error));
    if (code === undefined) t.notOk(result instanceof ConnectError);
    else t.equal(result instanceof ConnectError ? result.code : undefined, code, String(result));
    await server.close();
  });
}
