import {
  Counters,
  createMemberId,
  createRandom,
  findShard,
  type Member,
  systemClock,
} from '@monsoonreach/core';
import { DecisionLog, type PeerExchange, ShardOwnership, StoreHistory } from '@monsoonreach/node';
import { StoreClient, type StorePosition, StoreUnavailableError, Topic } from '@monsoonreach/platform';
import t, { type Test } from 'tap';
import { StoreStandin } from '../platform/storeStandin.js';
import { sleep } from '../standins/http.js';

/** Interval at which the nodes describe their views to each other, in milliseconds. */
const GOSSIP_INTERVAL_MS = 40;
/** Time in which a claim is made, also by a node with the lowest rank, in milliseconds. */
const CLAIM_TIME_MS = 2_000;
/** Domains that together have targets in all shards. */
const DOMAINS = Array.from({ length: 400 }, (_, index) => `fabric-${index}`);

type Exchange = Pick<PeerExchange, 'listLive' | 'probe' | 'send' | 'broadcast'>;

/** A store client whose next append is made, or not, by the test. */
class InterceptedStoreClient extends StoreClient {
  /** Whether the store refuses the calls of this node. */
  isRefused = false;
  interceptAppend: ((execute: () => Promise<StorePosition>) => Promise<StorePosition>) | undefined;

  override append(...args: Parameters<StoreClient['append']>): Promise<StorePosition> {
    if (this.isRefused) return Promise.reject(new StoreUnavailableError('Refused.', true));
    const { interceptAppend } = this;
    this.interceptAppend = undefined;
    const execute = () => super.append(...args);
    return interceptAppend ? interceptAppend(execute) : execute();
  }
}

/** The part of a node that claims shards. */
class OwnerNode {
  readonly self: Member;
  readonly store: InterceptedStoreClient;
  readonly ownership: ShardOwnership;
  isRunning = false;

  constructor(network: Network, name: string) {
    const counters = new Counters();
    const log = new DecisionLog(name, 'hidden', systemClock, counters);
    const history = new StoreHistory({ clock: systemClock, log });
    const address = `${name}.example:1`;
    this.self = { node: name, id: createMemberId(name, '1'), address, failureDomain: 'zone-1', capacity: 1 };
    this.store = new InterceptedStoreClient(network.storeAddress, {
      onEra: (era) => {
        history.observe(era);
      },
    });
    const common = { clock: systemClock, random: createRandom(1), counters, log, history };
    this.ownership = new ShardOwnership({
      ...common,
      self: this.self,
      store: this.store,
      exchange: network.createExchange(this) as PeerExchange,
      countInstances: () => network.instances,
      onOwner: () => undefined,
    });
  }

  start(): void {
    this.isRunning = true;
    void this.ownership.run();
  }

  /** Ends without handing shards over, as a killed process does. */
  kill(): void {
    this.isRunning = false;
    this.ownership.stop();
  }
}

/** Nodes with one store; messages arrive at once, and links between nodes can be cut. */
class Network {
  readonly store = new StoreStandin();
  readonly nodes: OwnerNode[] = [];
  storeAddress = '';
  instances = 1;
  /** Whether the nodes reach each other. */
  isConnected = true;
  /** Names of the nodes to which messages are lost. */
  deaf: readonly string[] = [];
  /** Whether the nodes tell each other the owners that they know. */
  isGossiping = true;
  /** The nodes that acted as owner of a shard in a term, by shard and term. */
  private readonly _owners = new Map<string, Set<string>>();
  private _timer: NodeJS.Timeout | undefined;

  async start(): Promise<void> {
    this.storeAddress = await this.store.start();
    this._timer = setInterval(() => {
      this._tick();
    }, GOSSIP_INTERVAL_MS);
  }

  add(name: string): OwnerNode {
    const node = new OwnerNode(this, name);
    this.nodes.push(node);
    return node;
  }

  createExchange(node: OwnerNode): Exchange {
    const listReachable = () =>
      this.nodes.filter((other) => other !== node && other.isRunning && node.isRunning && this.isConnected);
    const deliver = (others: readonly OwnerNode[], message: Parameters<Exchange['broadcast']>[0]) => {
      if (message.kind !== 'ownership') return;
      for (const { self, ownership } of others) {
        if (!this.deaf.includes(self.node)) ownership.receive({ version: 2, ...message });
      }
    };
    return {
      listLive: () => listReachable().map(({ self }) => self),
      probe: (asked) => Promise.resolve(listReachable().some(({ self }) => self.id === asked.id)),
      send: (address, message) => {
        deliver(
          listReachable().filter(({ self }) => self.address === address),
          message,
        );
      },
      broadcast: (message) => {
        deliver(listReachable(), message);
      },
    };
  }

  /** Shards and terms in which more than one node has acted as owner so far. */
  listConflicts(): readonly string[] {
    return [...this._owners].flatMap(([key, owners]) =>
      owners.size > 1 ? [`${key}: ${[...owners].join()}`] : [],
    );
  }

  /** Names of the nodes that own shards. */
  listOwners(): readonly string[] {
    return this.nodes.filter(({ ownership }) => ownership.isOwner).map(({ self }) => self.node);
  }

  /** Lets all nodes read the store, from which they learn its era. */
  async readStore(): Promise<void> {
    for (const { store } of this.nodes) await store.readNewest(Topic.nodes);
  }

  async countRecords(): Promise<number> {
    const client = new StoreClient(this.storeAddress);
    const { end } = await client.read({ topic: Topic.shards, from: 0, waitMs: 0 });
    await client.close();
    return end.offset;
  }

  stop(): void {
    clearInterval(this._timer);
    for (const node of this.nodes) node.kill();
    this.store.stop();
    void Promise.all(this.nodes.map(({ store }) => store.close()));
  }

  private _tick(): void {
    for (const node of this.nodes) {
      for (const domain of DOMAINS) {
        const term = node.ownership.findOwnTerm(domain);
        if (term === undefined) continue;
        const key = `shard ${findShard(domain)} in term ${term}`;
        this._owners.set(key, (this._owners.get(key) ?? new Set()).add(node.self.node));
      }
      if (!this.isConnected || !this.isGossiping || !node.isRunning) continue;
      for (const other of this.nodes) {
        if (other === node || !other.isRunning) continue;
        other.ownership.answerDigest(node.ownership.describe(), node.self.address);
      }
    }
  }
}

async function createNetwork(t: Test, names: readonly string[]) {
  const network = new Network();
  await network.start();
  t.teardown(() => {
    network.stop();
  });
  const [first, second, third] = names.map((name) => network.add(name));
  if (!first || !second) throw new Error('Expected two names.');
  return { network, first, second, third };
}

/** Waits until a condition holds; returns whether it did in time. */
async function waitFor(isTrue: () => boolean, timeoutMs = 3 * CLAIM_TIME_MS): Promise<boolean> {
  for (const endsAtMs = Date.now() + timeoutMs; Date.now() < endsAtMs; await sleep(10)) {
    if (isTrue()) return true;
  }
  return isTrue();
}

// Guards against two owners with one fencing token: the store gives the offset of a lost claim out again.
void t.test(
  'the store loses a claim: a node that did not hear of it gets another term, so that one owner is fenced',
  async (t) => {
    const { network, first, second } = await createNetwork(t, ['a', 'b']);
    const copy = network.store.copy();
    network.isConnected = false;
    first.start();
    t.ok(await waitFor(() => first.ownership.isOwner));
    network.store.restore(copy);
    second.start();
    t.ok(await waitFor(() => second.ownership.isOwner));
    network.isConnected = true;
    await sleep(CLAIM_TIME_MS);
    t.same(network.listConflicts(), []);
    t.same(network.listOwners(), ['b'], 'the later claim is known to both');
  },
);

// Guards against shards that stay without an owner: a claim at a low offset does not replace an earlier, higher term.
void t.test(
  'the store loses records: the first claim after that replaces the owner that is gone',
  async (t) => {
    const { network, first, second } = await createNetwork(t, ['a', 'b']);
    const copy = network.store.copy();
    const writer = new StoreClient(network.storeAddress);
    for (let offset = 0; offset < 5; offset++) await writer.append(Topic.shards, Buffer.from('{}'), offset);
    await writer.close();
    first.start();
    t.ok(await waitFor(() => first.ownership.isOwner));
    second.start();
    t.ok(await waitFor(() => second.ownership.stamp === first.ownership.stamp));
    network.isConnected = false;
    first.isRunning = false;
    network.store.restore(copy);
    t.ok(await waitFor(() => second.ownership.isOwner));
    t.equal(await network.countRecords(), 1);
  },
);

// Guards against two owners in one term: a claim that follows records of an earlier era counts as confirmed, or is found
// in the log and counts as confirmed there.
for (const { name, isAnswered } of [
  { name: 'and its claim is answered', isAnswered: true },
  { name: 'and its claim is not answered', isAnswered: false },
]) {
  void t.test(
    `the store is restored between the read and the claim of a node, ${name}: no term has two owners`,
    async (t) => {
      const { network, first, second } = await createNetwork(t, ['a', 'b']);
      const copy = network.store.copy();
      network.isConnected = false;
      first.store.interceptAppend = async (execute) => {
        second.start();
        await waitFor(() => second.ownership.isOwner);
        network.store.restore(copy);
        const position = await execute();
        if (!isAnswered) throw new StoreUnavailableError('The answer was lost.', false);
        return position;
      };
      first.start();
      t.ok(await waitFor(() => first.ownership.isOwner));
      network.isConnected = true;
      await sleep(CLAIM_TIME_MS);
      t.same(network.listConflicts(), []);
      t.same(network.listOwners(), ['a'], 'the later claim is known to both');
    },
  );
}

// Guards against owners that the store has forgotten: a node that starts later would take their shards over.
for (const { name, instances, owners, hinder } of [
  { name: 'one owner', instances: 1, owners: 1, hinder: () => undefined },
  { name: 'several owners', instances: 1_000, owners: 3, hinder: () => undefined },
  {
    name: 'a store that refuses calls for a while',
    instances: 1,
    owners: 1,
    hinder: ({ store }: Network) => {
      store.mode = 'busy';
      setTimeout(() => {
        store.mode = 'well';
      }, 1_500);
    },
  },
  {
    name: 'an owner that the store refuses for good',
    instances: 1,
    owners: 1,
    hinder: ({ nodes }: Network) => {
      for (const { ownership, store } of nodes) if (ownership.isOwner) store.isRefused = true;
    },
  },
]) {
  void t.test(
    `the store loses the claim of owners that live: they keep their shards and terms when a node starts later, with ${name}`,
    async (t) => {
      const { network, first, second, third } = await createNetwork(t, ['a', 'b', 'c']);
      const copy = network.store.copy();
      network.instances = instances;
      await network.readStore();
      first.start();
      second.start();
      third?.start();
      t.ok(await waitFor(() => network.nodes.every(({ ownership }) => ownership.stamp > 0)));
      await sleep(CLAIM_TIME_MS);
      t.equal(network.listOwners().length, owners);
      const terms = DOMAINS.map((domain) => first.ownership.findOwner(domain));
      network.store.restore(copy);
      await network.readStore();
      hinder(network);
      await sleep(2 * CLAIM_TIME_MS);
      t.equal(await network.countRecords(), 1, 'one of them writes');
      network.isGossiping = false;
      const late = network.add('late');
      late.start();
      t.ok(await waitFor(() => late.ownership.stamp > 0));
      t.same(
        DOMAINS.map((domain) => late.ownership.findOwner(domain)),
        terms,
        'the node that starts later finds the owners in the store',
      );
      t.equal(late.ownership.isOwner, false);
    },
  );
}

// Guards against shards whose new owner does not learn of them: two different views had the same stamp.
void t.test(
  'two owners stop while the store refuses calls, and each is heard by another node only: the others agree',
  async (t) => {
    const { network, first, second } = await createNetwork(t, ['a', 'b', 'c', 'd']);
    network.instances = 300;
    first.start();
    second.start();
    t.ok(await waitFor(() => network.listOwners().length === 2));
    const [, , third, fourth] = network.nodes;
    third?.start();
    fourth?.start();
    const stamp = () => first.ownership.stamp;
    t.ok(await waitFor(() => network.nodes.every(({ ownership }) => ownership.stamp === stamp())));
    network.store.mode = 'busy';
    for (const [node, deaf] of [
      [first, ['b', 'd']],
      [second, ['c']],
    ] as const) {
      network.deaf = deaf;
      node.ownership.stop();
      node.isRunning = false;
    }
    network.deaf = [];
    await sleep(CLAIM_TIME_MS);
    const listOwnerNames = (node: OwnerNode | undefined) =>
      DOMAINS.map((domain) => node?.ownership.findOwner(domain)?.id);
    t.same(listOwnerNames(third), listOwnerNames(fourth));
    t.notOk(
      listOwnerNames(third).some((id) => id === first.self.id || id === second.self.id),
      'all shards have a new owner',
    );
  },
);
