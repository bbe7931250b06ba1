import {
  controlDefinition,
  type ControlBody,
  type Groups,
  type PlannedInstance,
  planFabricDomain,
  StreamReducer,
} from '@monsoonreach/core';
import t from 'tap';
import { createConfiguration } from '../steward/stewardFixtures.js';

function releaseAll(addresses: readonly string[]): Groups {
  const reducer = new StreamReducer(controlDefinition);
  for (const [index, address] of addresses.entries()) {
    const instance = { address, boot: 'b1' };
    const body: ControlBody = { kind: 'release', instance, basis: 0, settled: [] };
    const writer = { address: 's', incarnation: '1' };
    reducer.apply(index + 1, { format: 1, writer, sequence: index + 1, writtenAtMs: 0, body });
  }
  return reducer.state;
}

// A spare that had restarted was assigned under its former boot id, and the new group was dissolved at once.
void t.test('a group is formed of spares that answer and are as their release tells', (t) => {
  const addresses = ['i1', 'i2', 'i3'];
  const cases: readonly {
    readonly name: string;
    readonly first: Partial<PlannedInstance>;
    readonly members: readonly string[];
  }[] = [
    { name: 'all free', first: {}, members: ['i1', 'i2'] },
    { name: 'one silent', first: { isReachable: false }, members: ['i2', 'i3'] },
    { name: 'one leaving', first: { isLeaving: true }, members: ['i2', 'i3'] },
    { name: 'one restarted or busy', first: { isReleaseOutdated: true }, members: ['i2', 'i3'] },
  ];
  for (const { name, first, members } of cases) {
    const instances = new Map(
      addresses.map((address): readonly [string, PlannedInstance] => {
        const place = { failureDomain: 'a', fabricDomain: 'f', accelerators: 8 };
        const state = { isLeaving: false, isListed: true, isReachable: true, isReleaseOutdated: false };
        return [address, { address, ...place, ...state, ...(address === 'i1' ? first : {}) }];
      }),
    );
    const steps = planFabricDomain({
      groups: releaseAll(addresses),
      configuration: createConfiguration({ checksFencing: true }),
      instances,
      fabricDomain: 'f',
      health: () => ({ phase: 'unknown', missing: [], restarted: [] }),
      loadMs: 10_000,
    });
    t.match(steps, [{ kind: 'assign', members: members.map((address) => ({ address })) }], name);
  }
  t.end();
});
