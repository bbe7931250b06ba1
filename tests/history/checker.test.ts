import t from 'tap';
import type { CallerEntry } from './callers.js';
import { checkHistories, type Histories } from './checker.js';

const caller = (result: CallerEntry['result'], requestId = 'r1'): CallerEntry => ({
  kind: 'order',
  startedAtMs: 0,
  endedAtMs: 1,
  entry: 'e',
  mark: 'k',
  requestId,
  result,
});

const NOTHING: Histories = {
  callers: [],
  journal: [],
  leaving: [],
  configurations: new Map(),
  killed: [],
};

const load = (epoch: number, group: string, members: readonly string[], atMs = 0) => ({
  event: 'order-load',
  address: 'i1',
  boot: 'b',
  group,
  fencing: epoch,
  members,
  atMs,
});

const cases: readonly {
  readonly name: string;
  readonly histories: Histories;
  readonly promises: readonly string[];
}[] = [
  { name: 'nothing happened', histories: NOTHING, promises: [] },
  {
    name: 'a key ran twice',
    histories: {
      ...NOTHING,
      journal: [
        { event: 'order', key: 'k' },
        { event: 'order', key: 'k' },
      ],
    },
    promises: ['runs at most once'],
  },
  {
    name: 'told not run, but run',
    histories: {
      ...NOTHING,
      callers: [caller({ kind: 'problem', run: 'not-run', reason: 'queue-full' })],
      journal: [{ event: 'order', key: 'k', requestId: 'r1' }],
    },
    promises: ['not run means not run'],
  },
  {
    name: "somebody else's answer, cut short",
    histories: { ...NOTHING, callers: [caller({ kind: 'answered', isOwn: false, isWhole: false })] },
    promises: ["the caller's own answer", 'the whole answer'],
  },
  {
    name: 'a configuration went back',
    histories: { ...NOTHING, configurations: new Map([['e', [1, 2, 1]]]) },
    promises: ['configuration never reverts'],
  },
  {
    name: 'a leaving target got work',
    histories: {
      ...NOTHING,
      journal: [load(7, 'g', ['i2', 'i1']), { event: 'completion', address: 'i2', epoch: 7, atMs: 4_000 }],
      leaving: [{ address: 'i1', fromMs: 0, toMs: 5_000 }],
    },
    promises: ['leaving targets get no new work'],
  },
  {
    name: 'a broken group got work',
    histories: {
      ...NOTHING,
      journal: [load(7, 'g', ['i1', 'i2']), { event: 'completion', epoch: 7, atMs: 9_000 }],
      killed: [{ address: 'i1', atMs: 1_000 }],
    },
    promises: ['no group serves while an instance is missing'],
  },
  {
    name: 'an instance was in two groups',
    histories: { ...NOTHING, journal: [load(7, 'g', ['i1']), load(9, 'h', ['i1'])] },
    promises: ['no instance in two groups'],
  },
];

for (const { name, histories, promises } of cases) {
  void t.test(`the checker sees: ${name}`, (t) => {
    t.same(
      checkHistories(histories).map(({ promise }) => promise),
      promises,
    );
    t.end();
  });
}
