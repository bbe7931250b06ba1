import { chooseReader, findFreshestPeer, type ReaderCandidate } from '@monsoonreach/core';
import t from 'tap';

const DOMAINS = ['zone-1', 'zone-2', 'zone-3'];

function createFleet(size: number): readonly ReaderCandidate[] {
  return Array.from({ length: size }, (_, index) => ({
    node: `node-${index}`,
    failureDomain: DOMAINS[index % DOMAINS.length] ?? '',
    storeAgeMs: 100,
    isFirstHand: true,
  }));
}

/** Counts the nodes that read the store themselves, when every node knows all others. */
function countReaders(fleet: readonly ReaderCandidate[], doubted: ReadonlySet<string> = new Set()): number {
  return fleet.filter(({ node, failureDomain }) => {
    const peers = fleet.filter((peer) => peer.node !== node);
    return chooseReader({ node, failureDomain, peers, doubted }) === undefined;
  }).length;
}

const cases = [
  { nodes: 1, maxReaders: 1 },
  { nodes: 7, maxReaders: 3 },
  { nodes: 86, maxReaders: 6 },
  { nodes: 410, maxReaders: 27 },
];

for (const { nodes, maxReaders } of cases) {
  void t.test(`load pattern: of ${nodes} nodes, at most ${maxReaders} read the store`, (t) => {
    const readers = countReaders(createFleet(nodes));
    t.ok(readers >= 1 && readers <= maxReaders, `${readers} readers`);
    t.end();
  });
}

void t.test(
  'each node reads through a node of its own failure domain, and the readers share the load',
  (t) => {
    const fleet = createFleet(120);
    const clients = new Map<string, number>();
    for (const { node, failureDomain } of fleet) {
      const peers = fleet.filter((peer) => peer.node !== node);
      const reader = chooseReader({ node, failureDomain, peers, doubted: new Set() });
      if (reader === undefined) continue;
      t.equal(fleet.find((peer) => peer.node === reader)?.failureDomain, failureDomain);
      clients.set(reader, (clients.get(reader) ?? 0) + 1);
    }
    t.ok(Math.max(...clients.values()) < 30);
    t.end();
  },
);

void t.test('a node whose reader is doubted reads the store itself', (t) => {
  const fleet = createFleet(6);
  const follower = fleet.find(({ node, failureDomain }) => {
    const peers = fleet.filter((peer) => peer.node !== node);
    return chooseReader({ node, failureDomain, peers, doubted: new Set() }) !== undefined;
  });
  if (!follower) throw new Error('Expected a node that reads through another one.');
  const peers = fleet.filter(({ node }) => node !== follower.node);
  const view = { ...follower, peers, doubted: new Set<string>() };
  const reader = chooseReader(view);
  t.equal(chooseReader({ ...view, doubted: new Set([reader ?? '']) }), undefined);
  t.end();
});

const peerCases: readonly {
  readonly name: string;
  readonly ages: readonly number[];
  readonly doubted: readonly string[];
  readonly secondHand: readonly string[];
  readonly expected: string | undefined;
}[] = [
  {
    name: 'the peer with the latest contact',
    ages: [900, 200, 1_400],
    doubted: [],
    secondHand: [],
    expected: 'node-1',
  },
  {
    name: 'a peer that is not doubted',
    ages: [900, 200, 1_400],
    doubted: ['node-1'],
    secondHand: [],
    expected: 'node-0',
  },
  {
    name: 'no peer whose contact is too old',
    ages: [9_000, 2_500],
    doubted: [],
    secondHand: [],
    expected: undefined,
  },
  {
    name: 'a peer that reads the store itself',
    ages: [900, 200],
    doubted: [],
    secondHand: ['node-1'],
    expected: 'node-0',
  },
];

for (const { name, ages: peerAges, doubted, secondHand, expected } of peerCases) {
  void t.test(`a node that the store rejects reads through ${name}`, (t) => {
    const peers = peerAges.map((storeAgeMs, index) => ({
      node: `node-${index}`,
      failureDomain: 'zone-1',
      storeAgeMs,
      isFirstHand: !secondHand.includes(`node-${index}`),
    }));
    t.equal(findFreshestPeer({ peers, doubted: new Set(doubted) }, 1_900), expected);
    t.end();
  });
}
