import { Counters, createRandom, systemClock, type TargetInstance } from '@monsoonreach/core';
import { DecisionLog, HeadMonitor, InstanceList, PeerExchange, Planning } from '@monsoonreach/node';
import { decodeConfiguration, StoreClient } from '@monsoonreach/platform';
import t from 'tap';
import { sleep } from '../standins/http.js';
import { findFreePorts } from '../support/ports.js';
import { createConfiguration } from '../platform/platformFleet.js';
import { InstanceFleet } from '../platform/instanceStandin.js';
import { StoreStandin } from '../platform/storeStandin.js';

/** Creates the planner of one node, with an instance list that holds the given entries. */
async function createPlanner(name: string, store: string, entries: readonly [string, unknown][]) {
  const counters = new Counters();
  const log = new DecisionLog(name, 'hidden', systemClock, counters);
  const [port = 0] = await findFreePorts(1);
  const configuration = decodeConfiguration(Buffer.from(JSON.stringify(createConfiguration(1))));
  const list = new InstanceList(systemClock, log, counters, () => -Infinity);
  list.replaceAll(entries.map(([key, value]) => ({ key, value: Buffer.from(JSON.stringify(value)) })));
  const random = createRandom(1);
  const common = { clock: systemClock, random, counters, log };
  const exchange: PeerExchange = new PeerExchange({
    ...common,
    node: name,
    address: `127.0.0.1:${port}`,
    incarnation: name,
    ownTerm: () => planning.term,
    describeState: () => ({
      failureDomain: 'zone-1',
      storeAgeMs: 0,
      isFirstHand: true,
      version: 1,
      isLeaving: false,
      loads: {},
      silent: [],
      heads: {},
      hasTraffic: true,
      demand: {},
    }),
    onDigest: () => undefined,
    onPlacement: () => undefined,
  });
  const planning: Planning = new Planning({
    ...common,
    node: name,
    store: new StoreClient(store),
    list,
    exchange,
    configuration: () => configuration,
    isListSettled: () => true,
    demand: () => new Map(),
    hasTraffic: () => true,
    heads: new HeadMonitor({ list, clock: systemClock, log, configuration: () => configuration }),
  });
  return { planning, exchange, list };
}

function createEntry(
  id: string,
  address: string,
  group: Partial<NonNullable<TargetInstance['membership']>>,
): unknown {
  return {
    service: 'engines',
    address,
    zone: 'zone-1',
    state: 'ready',
    domain: 'domain-1',
    staged: ['model-a'],
    models: [{ name: 'model-a' }],
    group: { name: 'old', epoch: 5, state: 'ready', ...group },
    born: 1,
    id,
  };
}

void t.test(
  'a planner that takes over leaves an open group alone that an outdated list shows as ready',
  async (t) => {
    const store = new StoreStandin();
    const address = await store.start();
    const fleet = new InstanceFleet(store, 1);
    t.teardown(() => {
      fleet.stop();
      store.stop();
    });
    const head = await fleet.add('head', 'engines', 'domain-1');
    const spare = await fleet.add('spare', 'engines', 'domain-1');
    // The previous planner opened the group after the list was written; the list lacks the group's second member.
    head.setGroup({ name: 'old', epoch: 5, rank: 0, members: ['head', 'gone'], state: 'open' }, 2);
    spare.setGroup({ name: 'other', epoch: 4, rank: 0, members: ['spare'], state: 'ready' }, 1);
    const { planning, exchange } = await createPlanner('node-1', address, [
      ['head', createEntry('head', head.address, { rank: 0 })],
      ['spare', { ...(createEntry('spare', spare.address, { rank: 0, epoch: 4 }) as object) }],
    ]);
    await exchange.start();
    void planning.run();
    await sleep(3_000);
    t.type(planning.term, 'number');
    t.equal(head.group?.state, 'open', 'the open group is left alone');
    t.equal(head.group?.name, 'old');
    planning.stop();
    exchange.stop();
  },
);

void t.test('exactly one of the nodes that start at the same time plans', async (t) => {
  const store = new StoreStandin();
  const address = await store.start();
  const nodes = await Promise.all(
    Array.from({ length: 5 }, (_, index) => createPlanner(`node-${index}`, address, [])),
  );
  const addresses = nodes.map(({ exchange }) => exchange.address);
  for (const { exchange, planning } of nodes) {
    exchange.addAddresses(addresses);
    await exchange.start();
    void planning.run();
  }
  await sleep(3_000);
  t.equal(nodes.filter(({ planning }) => planning.term !== undefined).length, 1);
  for (const { exchange, planning } of nodes) {
    planning.stop();
    exchange.stop();
  }
  store.stop();
  setTimeout(() => process.exit(), 100);
});
