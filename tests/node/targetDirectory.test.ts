import { Evacuations, LoadTracker, systemClock, type TargetInstance } from '@monsoonreach/core';
import { type ShardOwnership, TargetDirectory } from '@monsoonreach/node';
import { decodeConfiguration, parseEvacuationKey } from '@monsoonreach/platform';
import t from 'tap';
import { createConfiguration } from '../platform/platformFleet.js';
import { createInstanceList, replaceList } from '../support/instanceList.js';

type Entry = Partial<TargetInstance['membership']> & { readonly born?: number; readonly zone?: string };

/** The entry of an instance that is in a group, or in none. */
function createEntry(id: string, { born = 1, zone = 'zone-1', ...group }: Entry): readonly [string, unknown] {
  return [
    id,
    {
      service: 'engines',
      address: '127.0.0.1:1',
      zone,
      state: 'ready',
      staged: ['model-a'],
      models: [{ name: 'model-a' }],
      born,
      ...('group' in group ? { group: { ...group, name: group.group } } : {}),
    },
  ];
}

const head = createEntry('head', { group: 'model-a.5', epoch: 5, rank: 0, state: 'open' });
const member = createEntry('member', { group: 'model-a.5', epoch: 5, rank: 1, state: 'ready' });

const cases = [
  { name: 'all members are in the group', listed: [head, member], isTarget: true },
  { name: 'a member has left', listed: [head, createEntry('member', {})], isTarget: false },
  {
    name: 'a member is in a later group',
    listed: [head, createEntry('member', { group: 'model-a.9', epoch: 9, rank: 1, state: 'joining' })],
    isTarget: false,
  },
  { name: 'a member has restarted', listed: [head, createEntry('member', { born: 2 })], isTarget: false },
  {
    name: 'a member is not listed, as it may be cut off from the store only',
    listed: [head],
    isTarget: true,
  },
  {
    name: 'an older entry of a member is read',
    listed: [head, createEntry('member', { group: 'model-a.3', epoch: 3, rank: 0, state: 'ready' })],
    isTarget: true,
  },
];

// A head that was silent while its members left got requests again, which could not run.
for (const { name, listed, isTarget } of cases) {
  void t.test(`a group ${isTarget ? 'takes' : 'gets no'} requests if ${name}`, (t) => {
    const { list } = createInstanceList();
    const ownership = { stamp: 0 } as ShardOwnership;
    const directory = new TargetDirectory(list, new LoadTracker(() => undefined), ownership);
    const configuration = decodeConfiguration(Buffer.from(JSON.stringify(createConfiguration(1))));
    const countTargets = (entries: readonly (readonly [string, unknown])[]) => {
      replaceList(list, entries);
      return directory.findCandidates(configuration, 'engines', 'model-a').length;
    };
    t.equal(countTargets([head, member]), 1);
    t.equal(countTargets(listed), isTarget ? 1 : 0);
    t.end();
  });
}

const farMember = createEntry('member', {
  group: 'model-a.5',
  epoch: 5,
  rank: 1,
  state: 'ready',
  zone: 'zone-3',
});
const homeCases: readonly {
  readonly name: string;
  readonly before?: readonly (readonly [string, unknown])[];
  readonly listed: readonly (readonly [string, unknown])[];
  readonly domains: readonly string[];
  readonly isOwnerAsked: boolean;
}[] = [
  { name: 'all members at home', listed: [head, member], domains: ['zone-1'], isOwnerAsked: true },
  {
    name: 'a member elsewhere',
    listed: [head, farMember],
    domains: ['zone-1', 'zone-3'],
    isOwnerAsked: false,
  },
  {
    name: 'a member elsewhere that is no longer listed',
    before: [head, farMember],
    listed: [head],
    domains: ['zone-1', 'zone-3'],
    isOwnerAsked: false,
  },
];

// Guards against a group that counts as at home because its head is, and against asking an owner that has none at home.
for (const { name, before = [], listed, domains, isOwnerAsked } of homeCases) {
  void t.test(`failure domains of a group: ${name}`, (t) => {
    const { list } = createInstanceList();
    const owner = { id: 'node-1', address: '127.0.0.1:2', term: 1 };
    const ownership = { stamp: 0, findOwner: () => owner } as unknown as ShardOwnership;
    const directory = new TargetDirectory(list, new LoadTracker(() => undefined), ownership);
    const configuration = decodeConfiguration(Buffer.from(JSON.stringify(createConfiguration(1))));
    for (const entries of [before, listed]) {
      replaceList(list, entries);
      directory.findCandidates(configuration, 'engines', 'model-a');
    }
    const [candidate] = directory.findCandidates(configuration, 'engines', 'model-a');
    t.same([...(candidate?.failureDomains ?? [])].sort(), domains);
    const home = new Set(['zone-1']);
    t.equal(directory.findOwners(configuration, 'engines', 'model-a').length, 1);
    t.equal(directory.findOwners(configuration, 'engines', 'model-a', home).length, isOwnerAsked ? 1 : 0);
    t.end();
  });
}

const inZone2 = ([id, entry]: readonly [string, unknown]) =>
  [id, { ...(entry as Readonly<Record<string, unknown>>), zone: 'zone-2' }] as const;

// Guards against an owner that is asked for targets which no request may reach, and against a group whose member in an
// evacuated domain is forgotten as its entry is removed.
void t.test('the owner of a group is not asked while a domain of a known member is excluded', (t) => {
  const { list } = createInstanceList();
  const ownership = { stamp: 0, findOwner: () => ({ id: 'o', address: 'o', term: 1 }) } as unknown;
  const evacuations = new Evacuations(systemClock, 60_000);
  const loads = new LoadTracker(() => undefined);
  const directory = new TargetDirectory(list, loads, ownership as ShardOwnership, evacuations);
  const configuration = decodeConfiguration(Buffer.from(JSON.stringify(createConfiguration(1))));
  const findOwners = () => directory.findOwners(configuration, 'engines', 'model-a');
  replaceList(list, [head, inZone2(member)]);
  t.match(findOwners(), [{ address: 'o', capacity: 8 }]);
  replaceList(list, [head]);
  const [candidate] = directory.findCandidates(configuration, 'engines', 'model-a');
  t.same(candidate?.failureDomains, ['zone-1', 'zone-2']);
  evacuations.order({ failureDomain: 'zone-2', offset: 1 }, systemClock.monotonic());
  t.match(findOwners(), [{ address: 'o', capacity: 8, isAvoided: true }]);
  evacuations.applySnapshot([]);
  evacuations.applySnapshot([{ failureDomain: 'zone-2', offset: 1 }]);
  t.same(findOwners(), []);
  evacuations.applySnapshot([]);
  t.same(findOwners(), [{ address: 'o', capacity: 8 }]);
  t.end();
});

// Guards against records of other keys that are taken for orders.
void t.test('the key of an evacuation names its failure domain', (t) => {
  t.equal(parseEvacuationKey('evacuate/zone-1'), 'zone-1');
  for (const key of ['config', 'evacuate/', 'evacuate', 'other/evacuate/zone-1']) {
    t.equal(parseEvacuationKey(key), undefined, key);
  }
  t.end();
});
