import { Counters, createMemberId, createRandom, type Member, systemClock } from '@monsoonreach/core';
import { DecisionLog, PeerDiscovery, type PeerExchange, StoreHistory, TopicServer } from '@monsoonreach/node';
import { StoreClient, type StorePosition, Topic } from '@monsoonreach/platform';
import t, { type Test } from 'tap';
import { StoreStandin } from '../platform/storeStandin.js';
import { sleep } from '../standins/http.js';
import { findFreePorts } from '../support/ports.js';

/** Longest time until a registration is in the store, in milliseconds; a few attempts. */
const REGISTRATION_TIME_MS = 2_500;

/** A store client whose next append of a keyed record is made by the test. */
class InterceptedStoreClient extends StoreClient {
  interceptAppend: ((execute: () => Promise<StorePosition>) => Promise<StorePosition>) | undefined;

  override appendKeyed(...args: Parameters<StoreClient['appendKeyed']>): Promise<StorePosition> {
    const { interceptAppend } = this;
    this.interceptAppend = undefined;
    const execute = () => super.appendKeyed(...args);
    return interceptAppend ? interceptAppend(execute) : execute();
  }
}

/** The part of a node that finds the others. */
class DiscoveringNode {
  readonly members = new Set<string>();
  readonly history: StoreHistory;
  readonly store: InterceptedStoreClient;
  readonly discovery: PeerDiscovery;
  private readonly _server: TopicServer;

  constructor(name: string, address: string, storeAddress: string) {
    const counters = new Counters();
    const log = new DecisionLog(name, 'hidden', systemClock, counters);
    const self: Member = {
      node: name,
      id: createMemberId(name, '1'),
      address,
      failureDomain: 'zone-1',
      capacity: 1,
    };
    this.history = new StoreHistory({ clock: systemClock, log });
    this.store = new InterceptedStoreClient(storeAddress, {
      onEra: (era) => {
        this.history.observe(era);
      },
    });
    const addMembers = (members: readonly Member[]) => {
      for (const { node } of members) this.members.add(node);
    };
    const common = { self, store: this.store, history: this.history, random: createRandom(1), log };
    this.discovery = new PeerDiscovery({
      ...common,
      exchange: { addMembers } as PeerExchange,
      isFirstStart: false,
    });
    this._server = new TopicServer({
      address,
      mirrors: new Map(),
      counters,
      members: () => [self],
      onMembers: addMembers,
    });
  }

  start(): Promise<void> {
    return this._server.start();
  }

  /** Reads the store, as the followers of its topics do all the time. */
  async readStore(): Promise<readonly string[]> {
    const { records } = await this.store.readNewest(Topic.nodes);
    return records.map(({ key }) => key).sort();
  }

  async waitUntilRegistered(): Promise<boolean> {
    for (const endsAtMs = Date.now() + REGISTRATION_TIME_MS; Date.now() < endsAtMs; await sleep(20)) {
      const names = await this.readStore().catch(() => []);
      if (names.length > 0) return true;
    }
    return false;
  }
}

async function createNodes(t: Test) {
  const store = new StoreStandin();
  const storeAddress = await store.start();
  t.teardown(() => {
    store.stop();
  });
  const [firstPort = 0, secondPort = 0] = await findFreePorts(2);
  const first = new DiscoveringNode('a', `127.0.0.1:${firstPort}`, storeAddress);
  const second = new DiscoveringNode('b', `127.0.0.1:${secondPort}`, storeAddress);
  await first.start();
  await second.start();
  return { store, first, second };
}

// Guards against a node that starts after a restore, finds no other one and forms groups on its own.
for (const { name, restore } of [
  {
    name: 'its entry is lost',
    restore: async ({ store, first }: Awaited<ReturnType<typeof createNodes>>) => {
      const copy = store.copy();
      await first.discovery.register();
      store.restore(copy);
    },
  },
  {
    name: 'its entry is lost and the store refuses calls at first',
    restore: async ({ store, first }: Awaited<ReturnType<typeof createNodes>>) => {
      const copy = store.copy();
      await first.discovery.register();
      store.restore(copy);
      await first.readStore();
      store.mode = 'busy';
      await sleep(700);
      store.mode = 'well';
    },
  },
  {
    name: 'its entry is lost before the answer arrives',
    restore: async ({ store, first }: Awaited<ReturnType<typeof createNodes>>) => {
      const copy = store.copy();
      first.store.interceptAppend = async (execute) => {
        const position = await execute();
        store.restore(copy);
        // A peer has read the restored store meanwhile.
        first.history.observe(position.era + 1);
        return position;
      };
      await first.discovery.register();
    },
  },
]) {
  void t.test(`a node that has registered does so again in a store that was restored: ${name}`, async (t) => {
    const nodes = await createNodes(t);
    await restore(nodes);
    t.ok(await nodes.first.waitUntilRegistered());
  });
}

// Guards against an owner that no new node finds: shards are handed over also while the store refuses calls.
void t.test(
  'a node that becomes an owner while the store refuses calls registers as soon as it answers',
  async (t) => {
    const { store, first } = await createNodes(t);
    store.mode = 'busy';
    await Promise.race([first.discovery.register(), sleep(700)]);
    store.mode = 'well';
    t.ok(await first.waitUntilRegistered());
  },
);

// Guards against two nodes that each plan groups, as neither finds the other.
void t.test('two nodes that start while the store is restored find each other', async (t) => {
  const { store, first, second } = await createNodes(t);
  const copy = store.copy();
  first.store.interceptAppend = async (execute) => {
    await second.discovery.register();
    store.restore(copy);
    await second.readStore();
    return execute();
  };
  const isFound = await Promise.race([
    first.discovery.run().then(() => true),
    sleep(5_000).then(() => false),
  ]);
  t.ok(isFound);
  t.same([...first.members], ['b']);
  t.same([...second.members], ['a']);
});

t.teardown(() => {
  // A node that finds no other one would go on looking.
  setTimeout(() => process.exit(), 200);
});
