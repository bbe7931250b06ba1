import {
  assignVacantShards,
  chooseOwner,
  countOwners,
  createRandom,
  findShard,
  FleetMembers,
  handOverShards,
  listOwners,
  type Member,
  mergeOwnership,
  MAX_EPOCHS_PER_TERM,
  NO_OWNERS,
  type Ownership,
  SHARD_COUNT,
  sumTerms,
  TermRangeError,
  toTerm,
} from '@monsoonreach/core';
import t from 'tap';

const TIMEOUTS = { relayedMs: 2_000, directMs: 30_000 };

function createCandidates(...ids: readonly string[]) {
  return ids.map((id) => ({ id, address: `${id}:1` }));
}

function assign(ownership: Ownership, ids: readonly string[], ownerCount: number, offset: number) {
  return (
    assignVacantShards({
      ownership,
      candidates: createCandidates(...ids),
      ownerCount,
      term: toTerm({ era: 1, offset }),
    }) ?? ownership
  );
}

/** Hands shards to and fro until the terms that are reserved for their record are used up. */
function handOverOften(ownership: Ownership): Ownership {
  let last = ownership;
  for (;;) {
    const next = handOverShards(last, last[0]?.id ?? '', createCandidates('a', 'b'));
    if (!next) return last;
    last = next;
  }
}

function countByOwner(ownership: Ownership): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const owner of ownership) if (owner) counts[owner.id] = (counts[owner.id] ?? 0) + 1;
  return counts;
}

void t.test('all shards are divided evenly among the wanted number of owners', (t) => {
  for (const { instances, owners } of [
    { instances: 0, owners: 1 },
    { instances: 66, owners: 1 },
    { instances: 216, owners: 1 },
    { instances: 875, owners: 4 },
    { instances: 4_800, owners: 19 },
  ]) {
    t.equal(countOwners(instances), owners);
  }
  t.same(countByOwner(assign(NO_OWNERS, ['a', 'b', 'c'], 1, 0)), { a: SHARD_COUNT });
  t.same(countByOwner(assign(NO_OWNERS, ['a', 'b', 'c'], 2, 0)), { a: 16, b: 16 });
  t.end();
});

void t.test('load pattern, an owner is lost: only its shards change, and with a higher term', (t) => {
  const before = assign(NO_OWNERS, ['a', 'b', 'c', 'd'], 3, 0);
  const after = assign(before, ['a', 'c', 'd'], 3, 1);
  for (const [shard, owner] of after.entries()) {
    if (before[shard]?.id === 'b') {
      t.ok((owner?.term ?? 0) > (before[shard]?.term ?? 0));
    } else t.same(owner, before[shard]);
  }
  t.same(Object.keys(countByOwner(after)).sort(), ['a', 'c', 'd'], 'a node without shards takes over');
  t.ok(Math.max(...Object.values(countByOwner(after))) <= 11, 'they stay evenly divided');
  t.equal(assignVacantShards({ ownership: after, candidates: [], ownerCount: 3, term: 99 }), undefined);
  t.end();
});

void t.test('a node that has restarted is not the owner that it was', (t) => {
  const before = assign(NO_OWNERS, ['a#1'], 1, 0);
  const after = assign(before, ['a#2'], 1, 1);
  t.same(
    listOwners(after).map(({ id }) => id),
    ['a#2'],
  );
  t.end();
});

void t.test('views are merged by the higher term of each shard, in any order', (t) => {
  const first = assign(NO_OWNERS, ['a', 'b'], 2, 0);
  const second = assign(first, ['b', 'c'], 2, 1);
  t.same(mergeOwnership(first, second), second);
  t.equal(mergeOwnership(second, first), second, 'an older view changes nothing');
  t.ok(sumTerms(second) > sumTerms(first));
  t.end();
});

void t.test(
  'load pattern, a rolling stop while the store is out: shards are handed over with a higher term',
  (t) => {
    let ownership = assign(NO_OWNERS, ['a', 'b', 'c'], 1, 4);
    for (const [from, to] of [
      ['a', 'b'],
      ['b', 'c'],
      ['c', 'a'],
    ] as const) {
      const handedOver = handOverShards(ownership, from, createCandidates(from, to)) ?? [];
      t.same(countByOwner(handedOver), { [to]: SHARD_COUNT });
      t.ok(handedOver.every((owner, shard) => (owner?.term ?? 0) > (ownership[shard]?.term ?? 0)));
      ownership = handedOver;
    }
    t.ok(
      ownership.every((owner) => (owner?.term ?? 0) < toTerm({ era: 1, offset: 5 })),
      'the next record of the store still has a higher term',
    );
    t.end();
  },
);

// Guards against a term that is given twice: the store gives offsets out again after it was restored.
void t.test('terms rise with the offset and, whatever the offset, with the era of the store', (t) => {
  const positions = [
    { era: 0, offset: 0 },
    { era: 0, offset: 1 },
    { era: 0, offset: 1_048_574 },
    { era: 1, offset: 0 },
    { era: 1, offset: 500_000 },
    { era: 2, offset: 0 },
    { era: 2, offset: 1_048_574 },
    { era: 3, offset: 0 },
    { era: 5_000, offset: 0 },
  ];
  const terms = positions.map(toTerm);
  for (const [index, term] of terms.entries()) {
    const position = JSON.stringify(positions[index]);
    const last = handOverOften(
      assignVacantShards({
        ownership: NO_OWNERS,
        candidates: createCandidates('a'),
        ownerCount: 1,
        term,
      }) ?? NO_OWNERS,
    );
    const next = terms[index + 1] ?? Infinity;
    t.ok((last[0]?.term ?? Infinity) < next, `${position}: lower than the next, also after handovers`);
    t.ok(Number.isSafeInteger((term + 16) * MAX_EPOCHS_PER_TERM), `${position}: epochs are exact`);
    t.ok(Number.isSafeInteger(sumTerms(last)), `${position}: the stamp is exact`);
  }
  t.end();
});

// Guards against terms that overlap with those of the next era, or that no longer differ once they are rounded.
void t.test('a position beyond the terms of its era gets none', (t) => {
  for (const position of [
    { era: 0, offset: 1_048_575 },
    { era: 7, offset: 2_000_000 },
    { era: 10_000, offset: 0 },
    { era: Number.MAX_SAFE_INTEGER, offset: 0 },
  ]) {
    t.throws(() => toTerm(position), TermRangeError, JSON.stringify(position));
  }
  t.end();
});

void t.test('shards are not handed over beyond the terms that are reserved for their record', (t) => {
  let ownership: Ownership | undefined = assign(NO_OWNERS, ['a', 'b'], 1, 0);
  let handovers = 0;
  for (let turn = 0; ownership && turn < 100; turn++) {
    const [from, to] = turn % 2 === 0 ? (['a', 'b'] as const) : (['b', 'a'] as const);
    ownership = handOverShards(ownership, from, createCandidates(to));
    if (ownership) handovers++;
    for (const owner of ownership ?? []) t.ok((owner?.term ?? 0) < toTerm({ era: 1, offset: 1 }));
  }
  t.equal(handovers, 15);
  t.end();
});

void t.test('a shard is handed over only by its owner, and only if there is a successor', (t) => {
  const ownership = assign(NO_OWNERS, ['a', 'b'], 1, 0);
  t.equal(handOverShards(ownership, 'b', createCandidates('a')), undefined);
  t.equal(handOverShards(ownership, 'a', createCandidates('a')), undefined);
  t.end();
});

void t.test('fabric domains spread over the shards', (t) => {
  const shards = new Set(Array.from({ length: 137 }, (_, domain) => findShard(`zone-d${domain}`)));
  t.ok(shards.size > 24, `${shards.size} shards`);
  t.end();
});

function createMember(node: string, capacity: number): Member {
  return { node, id: `${node}#1`, address: `${node}:1`, failureDomain: 'zone-1', capacity };
}

void t.test('nodes with more capacity are preferred; leaving and lost ones are not live', (t) => {
  const members = new FleetMembers(createMember('self', 1));
  for (const [node, capacity] of [
    ['small', 0.3],
    ['large', 1.4],
    ['middle', 0.7],
  ] as const) {
    members.recordDigest(createMember(node, capacity), false, 0);
  }
  const listLive = (nowMs: number) => members.listLive(TIMEOUTS, nowMs).map(({ node }) => node);
  t.same(listLive(1_000), ['large', 'middle', 'small']);
  members.recordDigest(createMember('large', 1.4), true, 1_000);
  t.same(listLive(1_000), ['middle', 'small']);
  members.recordDigest(createMember('small', 0.3), false, 40_000);
  t.same(listLive(40_000), ['small']);
  t.end();
});

void t.test(
  'load pattern, hundreds of nodes: the loss of a node with duties is noticed long before a round ends',
  (t) => {
    const members = new FleetMembers(createMember('self', 1));
    members.add(createMember('owner', 1.4), 0);
    members.add(createMember('other', 0.3), 0);
    const owners = new Set(['owner:1']);
    members.updateRelayed(owners, TIMEOUTS, 10_000);
    const isLive = (node: string, nowMs: number) =>
      members.listLive(TIMEOUTS, nowMs).some((member) => member.node === node);
    t.ok(isLive('owner', 11_000), 'it is relayed only since one second');
    members.recordHeard('owner:1', '1', 13_000);
    members.updateRelayed(owners, TIMEOUTS, 14_000);
    t.ok(isLive('owner', 14_000), 'another node heard of it');
    t.notOk(isLive('owner', 16_000), 'no node heard of it for three seconds');
    t.end();
  },
);

void t.test(
  'load pattern, many nodes ask: owners are drawn by their capacity and by what they have left',
  (t) => {
    const random = createRandom(7);
    const owners = [
      { address: 'full', capacity: 100, free: { count: 0, ageMs: 20 } },
      { address: 'half', capacity: 100, free: { count: 50, ageMs: 20 } },
      { address: 'unknown', capacity: 100, free: undefined },
    ];
    const counts = new Map<string, number>();
    for (let request = 0; request < 3_000; request++) {
      const owner = chooseOwner(owners, random) ?? '';
      counts.set(owner, (counts.get(owner) ?? 0) + 1);
    }
    t.ok((counts.get('full') ?? 0) < 450, 'the full owner is asked when it is drawn twice');
    t.ok((counts.get('half') ?? 0) > 900);
    t.ok((counts.get('unknown') ?? 0) > 900);
    t.equal(chooseOwner([], random), undefined);
    t.end();
  },
);

void t.test('load pattern, a node restarts at once: all notice that it is another start of it', (t) => {
  const members = new FleetMembers(createMember('self', 1));
  members.recordDigest(createMember('owner', 1.4), false, 1_000);
  const findId = () => members.listLive(TIMEOUTS, 3_000)[0]?.id;
  members.recordHeard('owner:1', '2', 900);
  t.equal(findId(), 'owner#1', 'what was heard earlier is not newer');
  members.recordHeard('owner:1', '2', 2_000);
  t.equal(findId(), 'owner#2');
  members.recordHeard('owner:1', '1', 1_500);
  t.equal(findId(), 'owner#2');
  t.end();
});

void t.test('a node that does not answer is lost until it is heard of again', (t) => {
  const members = new FleetMembers(createMember('self', 1));
  members.recordDigest(createMember('owner', 1.4), false, 1_000);
  members.recordLost('owner:1', 2_000);
  members.recordHeard('owner:1', '1', 1_800);
  t.equal(members.listLive(TIMEOUTS, 2_100).length, 0, 'others heard of it before it was asked');
  members.recordHeard('owner:1', '1', 2_200);
  t.equal(members.listLive(TIMEOUTS, 2_300).length, 1);
  t.end();
});
