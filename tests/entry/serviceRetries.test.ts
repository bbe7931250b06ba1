import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { type Configuration, parseConfiguration } from '@monsoonreach/core';
import { TargetClients } from '@monsoonreach/targets';
import t from 'tap';
import { listen } from '../standins/http.js';
import { callService, createServiceCalls } from './serviceBench.js';

type Reaction = 'reset' | 'cut' | 'answer';

/** Starts a target that reacts to its calls in this order, and answers all later ones. */
async function startTarget(reactions: Reaction[]): Promise<Server> {
  return listen((request, response) => {
    response.setHeader('x-request-id', String(request.headers['x-request-id']));
    switch (reactions.shift() ?? 'answer') {
      case 'reset':
        request.socket.resetAndDestroy();
        break;
      case 'cut':
        response.writeHead(200, { 'content-length': 10 }).write('part');
        setTimeout(() => response.destroy(), 20);
        break;
      case 'answer':
        response.end('whole');
        break;
    }
    return Promise.resolve();
  }, 0);
}

function createConfiguration(addresses: readonly string[], idempotent: boolean): Configuration {
  return parseConfiguration(`[deployment]
name = test
[service.s]
targets = ${addresses.join(',')}
timeout = 2s
[route.r]
service = s
method = GET
path = /*
idempotent = ${idempotent ? 'yes' : 'no'}
[workspace.w]
token-sha256 = ${'0'.repeat(64)}
services = s
`);
}

// A call failed with attempts left when a connection to each target of its service had been reset.
void t.test('a call is sent again to targets that broke a connection if no other is left', async (t) => {
  const cases: readonly {
    readonly name: string;
    /** Reactions of each target to its first calls. */
    readonly reactions: readonly (readonly Reaction[])[];
    readonly idempotent?: boolean;
    readonly kind: string;
    readonly calls: number;
  }[] = [
    { name: 'the only target, reset', reactions: [['reset']], kind: 'answered', calls: 2 },
    { name: 'the only target, cut', reactions: [['cut']], kind: 'answered', calls: 2 },
    { name: 'both targets, reset', reactions: [['reset'], ['reset']], kind: 'answered', calls: 3 },
    {
      name: 'the only target, reset at every attempt',
      reactions: [['reset', 'reset', 'reset', 'reset']],
      kind: 'failed',
      calls: 4,
    },
    {
      name: 'not idempotent',
      reactions: [['reset']],
      idempotent: false,
      kind: 'in-doubt',
      calls: 1,
    },
  ];
  for (const { name, reactions, idempotent = true, kind, calls } of cases) {
    const servers = await Promise.all(reactions.map((target) => startTarget([...target])));
    let count = 0;
    for (const server of servers) server.on('request', () => count++);
    const addresses = servers.map((server) => `127.0.0.1:${(server.address() as AddressInfo).port}`);
    const clients = new TargetClients();
    const outcome = await callService(
      createServiceCalls({ configuration: createConfiguration(addresses, idempotent), targets: clients }),
    );
    t.equal(outcome.kind, kind, name);
    t.equal(count, calls, `${name}: calls`);
    await clients.close();
    for (const server of servers) {
      server.closeAllConnections();
      server.close();
    }
  }
});
