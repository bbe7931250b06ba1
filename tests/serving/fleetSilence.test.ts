import { isSilentForMost } from '@monsoonreach/core';
import t from 'tap';

const cases: readonly {
  readonly name: string;
  readonly reporters: readonly string[];
  readonly users: readonly string[];
  readonly nodeCount: number;
  readonly isSilent: boolean;
}[] = [
  { name: 'one of six', reporters: ['a'], users: ['a', 'b', 'c'], nodeCount: 6, isSilent: false },
  { name: 'one of six, the only user', reporters: ['a'], users: ['a'], nodeCount: 6, isSilent: false },
  { name: 'the only node', reporters: ['a'], users: ['a'], nodeCount: 1, isSilent: true },
  { name: 'two, and no other user', reporters: ['a', 'b'], users: ['a'], nodeCount: 6, isSilent: true },
  {
    name: 'two, while as many are served',
    reporters: ['a', 'b'],
    users: ['a', 'b', 'c', 'd'],
    nodeCount: 6,
    isSilent: false,
  },
  {
    name: 'most, while one has not told yet',
    reporters: ['a', 'b', 'c'],
    users: ['b', 'c', 'd'],
    nodeCount: 6,
    isSilent: true,
  },
];

for (const { name, reporters, users, nodeCount, isSilent } of cases) {
  // Guards against groups that are avoided by all nodes, or ended, as some have lost their paths to them.
  void t.test(`a target is silent for most nodes: ${name}`, (t) => {
    t.equal(isSilentForMost({ reporters: new Set(reporters), users, nodeCount }), isSilent);
    t.end();
  });
}
