import t from 'tap';
import type { CallRecord } from './callers.js';
import { checkHistories, type Histories } from './checker.js';

const describeCall = (result: CallRecord['result'], requestId = 'r1'): CallRecord => ({
  kind: 'order',
  startedAtMs: 0,
  endedAtMs: 1,
  entry: 'e',
  mark: 'k',
  requestId,
  result,
});

const EMPTY_HISTORIES: Histories = {
  callers: [],
  journal: [],
  leaving: [],
  configurations: new Map(),
  kills: [],
};

const describeLoad = (epoch: number, group: string, members: readonly string[], atMs = 0) => ({
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
  { name: 'nothing for empty histories', histories: EMPTY_HISTORIES, promises: [] },
  {
    name: 'a key that ran twice',
    histories: {
      ...EMPTY_HISTORIES,
      journal: [
        { event: 'order', key: 'k' },
        { event: 'order', key: 'k' },
      ],
    },
    promises: ['runs at most once'],
  },
  {
    name: 'an order that ran although its caller was answered not-run',
    histories: {
      ...EMPTY_HISTORIES,
      callers: [describeCall({ kind: 'problem', run: 'not-run', reason: 'queue-full' })],
      journal: [{ event: 'order', key: 'k', requestId: 'r1' }],
    },
    promises: ['not run means not run'],
  },
  {
    name: "a truncated answer to another caller's request",
    histories: {
      ...EMPTY_HISTORIES,
      callers: [describeCall({ kind: 'answered', isOwn: false, isWhole: false })],
    },
    promises: ["the caller's own answer", 'the whole answer'],
  },
  {
    name: 'an entry that went back to an older configuration',
    histories: { ...EMPTY_HISTORIES, configurations: new Map([['e', [1, 2, 1]]]) },
    promises: ['configuration never reverts'],
  },
  {
    name: 'a leaving target that got work',
    histories: {
      ...EMPTY_HISTORIES,
      journal: [
        describeLoad(7, 'g', ['i2', 'i1']),
        { event: 'completion', address: 'i2', epoch: 7, atMs: 4_000 },
      ],
      leaving: [{ address: 'i1', fromMs: 0, toMs: 5_000 }],
    },
    promises: ['leaving targets get no new work'],
  },
  {
    name: 'a group that got work after a member was killed',
    histories: {
      ...EMPTY_HISTORIES,
      journal: [describeLoad(7, 'g', ['i1', 'i2']), { event: 'completion', epoch: 7, atMs: 9_000 }],
      kills: [{ address: 'i1', atMs: 1_000 }],
    },
    promises: ['no group serves while an instance is missing'],
  },
  {
    name: 'a group that got work after a member had left it',
    histories: {
      ...EMPTY_HISTORIES,
      journal: [
        describeLoad(7, 'g', ['i1', 'i2']),
        { event: 'order-stop', address: 'i1', boot: 'b', group: 'g', fencing: 8, atMs: 1_000 },
        { event: 'completion', address: 'i2', epoch: 7, atMs: 9_000 },
      ],
    },
    promises: ['no group serves while an instance is missing'],
  },
  {
    name: 'nothing for a group whose member left and was loaded for it again',
    histories: {
      ...EMPTY_HISTORIES,
      journal: [
        describeLoad(7, 'g', ['i1', 'i2']),
        { event: 'order-stop', address: 'i1', boot: 'b', group: 'g', fencing: 6, atMs: 1_000 },
        describeLoad(7, 'g', ['i1', 'i2'], 2_000),
        { event: 'completion', address: 'i2', epoch: 7, atMs: 9_000 },
      ],
    },
    promises: [],
  },
  {
    name: 'an instance loaded for two groups',
    histories: { ...EMPTY_HISTORIES, journal: [describeLoad(7, 'g', ['i1']), describeLoad(9, 'h', ['i1'])] },
    promises: ['no instance in two groups'],
  },
];

for (const { name, histories, promises } of cases) {
  void t.test(`the checker reports ${name}`, (t) => {
    t.same(
      checkHistories(histories).map(({ promise }) => promise),
      promises,
    );
    t.end();
  });
}
