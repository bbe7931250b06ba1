import { createMemberId, createRandom, type Evacuations, systemClock } from '@monsoonreach/core';
import {
  HeadMonitor,
  PeerExchange,
  Planning,
  RemovedInstances,
  ShardOwnership,
  StoreHistory,
} from '@monsoonreach/node';
import { decodeConfiguration, StoreClient } from '@monsoonreach/platform';
import { createConfiguration } from '../platform/platformFleet.js';
import { createInstanceList, replaceList } from './instanceList.js';
import { findFreePorts } from './ports.js';

/** Creates the planner of one node, with an instance list that holds the given entries. */
export async function createPlanner(
  name: string,
  store: string,
  entries: readonly (readonly [string, unknown])[],
  options: {
    readonly getServedAtMs?: (group: string) => number;
    readonly evacuations?: Evacuations;
  } = {},
) {
  const { list, log, counters } = createInstanceList({ node: name });
  replaceList(list, entries);
  const [port = 0] = await findFreePorts(1);
  const configuration = decodeConfiguration(Buffer.from(JSON.stringify(createConfiguration(1))));
  const self = {
    node: name,
    id: createMemberId(name, '1'),
    address: `127.0.0.1:${port}`,
    failureDomain: 'zone-1',
    capacity: 1,
  };
  const common = { clock: systemClock, random: createRandom(port), counters, log };
  const removed = new RemovedInstances({ list, clock: systemClock, configuration: () => configuration });
  const exchange: PeerExchange = new PeerExchange({
    ...common,
    self,
    owners: () => ownership.listAddresses(),
    describeState: () => ({
      storeAgeMs: 0,
      isFirstHand: true,
      configurationVersion: 1,
      isLeaving: false,
      hasTraffic: true,
      ...ownership.describe(),
      crashes: [],
      removed: removed.describe(),
    }),
    onDigest: (digest, from) => {
      removed.recordPeer(digest.removed);
      ownership.answerDigest(digest, from);
    },
    onContact: () => undefined,
    onMessage: (message) => {
      if (message.kind === 'ownership') ownership.receive(message);
    },
  });
  const ownership: ShardOwnership = new ShardOwnership({
    ...common,
    self,
    store: new StoreClient(store),
    history: new StoreHistory({ clock: systemClock, log }),
    exchange,
    countInstances: () => 10,
    onOwner: () => undefined,
  });
  const heads = new HeadMonitor({
    node: name,
    list,
    clock: systemClock,
    log,
    configuration: () => configuration,
    peers: () => [],
    isOwned: () => true,
    onFinding: () => undefined,
  });
  const planning = new Planning({
    ...common,
    node: self.id,
    list,
    ownership,
    configuration: () => configuration,
    isListSettled: () => true,
    demand: () => new Map(),
    hasTraffic: () => true,
    ...(options.evacuations ? { evacuations: options.evacuations } : {}),
    heads,
    removed,
    countNodes: () => 1,
    listUsers: () => [],
    getServedAtMs: options.getServedAtMs ?? (() => -Infinity),
  });
  const start = async () => {
    await exchange.start();
    void ownership.run();
    void planning.run();
  };
  const stop = () => {
    planning.stop();
    ownership.stop();
    exchange.stop();
  };
  return { self, planning, ownership, exchange, list, heads, removed, counters, start, stop };
}
