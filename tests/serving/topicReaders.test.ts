import { chooseReader, findFreshestPeer, type ReaderCandidate } from '@monsoonreach/core';
import t from 'tap';

const DOMAINS = ['zone-1', 'zone-2', 'zone-3'];

function createFleet(size: number, domains = DOMAINS): readonly ReaderCandidate[] {
  return Array.from({ length: size }, (_, index) => ({
    node: `node-${index}`,
    address: `10.0.0.${index}:1`,
    failureDomain: domains[index % domains.length] ?? '',
  }));
}

interface FleetOptions {
  readonly owners?: readonly number[];
  readonly doubted?: readonly string[];
}

/** Returns the node that each node reads through, when every node knows all others; undefined for readers. */
function findReaders(nodes: readonly ReaderCandidate[], { owners = [], doubted = [] }: FleetOptions = {}) {
  const ownerAddresses = new Set(owners.flatMap((index) => nodes[index]?.address ?? []));
  return nodes.map((self) =>
    chooseReader({ self, nodes, owners: ownerAddresses, doubted: new Set(doubted) }),
  );
}

const cases = [
  { nodes: 1, owners: [], readers: 1 },
  { nodes: 7, owners: [5], readers: 2 },
  { nodes: 9, owners: [], readers: 2 },
  { nodes: 86, owners: [3], readers: 3 },
  { nodes: 195, owners: [0, 1, 2, 3], readers: 6 },
  { nodes: 410, owners: [], readers: 9 },
];

for (const { nodes, owners, readers } of cases) {
  void t.test(`load pattern: of ${nodes} nodes, ${readers} read the store, the owners among them`, (t) => {
    const found = findReaders(createFleet(nodes), { owners });
    t.equal(found.filter((reader) => reader === undefined).length, readers);
    for (const owner of owners) t.equal(found[owner], undefined);
    t.end();
  });
}

void t.test('each node of a large fleet reads through a node of its own failure domain', (t) => {
  const fleet = createFleet(120);
  for (const [index, reader] of findReaders(fleet).entries()) {
    if (reader) t.equal(reader.failureDomain, fleet[index]?.failureDomain);
  }
  t.end();
});

void t.test('the readers of a failure domain share its nodes', (t) => {
  const clients = new Map<string, number>();
  for (const reader of findReaders(createFleet(180, ['zone-1']))) {
    if (reader) clients.set(reader.node, (clients.get(reader.node) ?? 0) + 1);
  }
  t.equal(clients.size, 3);
  t.ok(Math.max(...clients.values()) < 90);
  t.end();
});

void t.test('a node whose reader is doubted reads through another one, or the store itself', (t) => {
  const fleet = createFleet(9);
  const readers = findReaders(fleet);
  const follower = readers.findIndex((reader) => reader !== undefined);
  const first = readers[follower]?.address ?? '';
  const second = findReaders(fleet, { doubted: [first] })[follower];
  t.ok(second);
  t.not(second?.address, first);
  t.equal(findReaders(fleet, { doubted: [first, second?.address ?? ''] })[follower], undefined);
  t.end();
});

const substituteCases = [
  { nodes: 9, owners: [], readers: 2, substitutes: 2 },
  { nodes: 9, owners: [4, 5], readers: 2, substitutes: 2 },
  { nodes: 86, owners: [], readers: 3, substitutes: 3 },
];

for (const { nodes: size, owners, readers, substitutes } of substituteCases) {
  void t.test(
    `load pattern: of ${size} nodes, the same few read in place of readers that are doubted`,
    (t) => {
      const fleet = createFleet(size);
      const regular = fleet.filter((_, index) => findReaders(fleet, { owners })[index] === undefined);
      const doubted = regular.map(({ address }) => address);
      const found = findReaders(fleet, { owners, doubted });
      const reading = fleet.filter((_, index) => found[index] === undefined);
      t.equal(regular.length, readers);
      t.equal(reading.length, readers + substitutes);
      for (const reader of found) {
        if (!reader) continue;
        t.ok(reader.isSubstitute);
        t.ok(reading.some(({ node }) => node === reader.node));
        t.notOk(doubted.includes(reader.address));
      }
      const allDoubted = reading.map(({ address }) => address);
      t.ok(findReaders(fleet, { owners, doubted: allDoubted }).every((reader) => reader === undefined));
      t.end();
    },
  );
}

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
      address: `node-${index}`,
      failureDomain: 'zone-1',
      storeAgeMs,
      isFirstHand: !secondHand.includes(`node-${index}`),
    }));
    t.equal(findFreshestPeer(peers, new Set(doubted), 1_900)?.node, expected);
    t.end();
  });
}
