import { InstanceKnowledge, type MemberState, type TargetInstance } from '@monsoonreach/core';
import t from 'tap';
import { describeInstance, LARGE } from './support.js';

const GROUP = 'group-8';
const EPOCH = 8;

function headIn(state: MemberState, epoch = EPOCH): TargetInstance {
  return describeInstance('head', {
    stagedModels: [LARGE.name],
    models: [LARGE.name],
    membership: { group: GROUP, epoch, rank: 0, state },
  });
}

/** What a planner learns, in order. */
type Step =
  | { readonly kind: 'open' | 'close'; readonly atMs: number; readonly count: number }
  | { readonly kind: 'report'; readonly atMs: number; readonly state: MemberState; readonly count: number };

interface Case {
  readonly name: string;
  readonly steps: readonly Step[];
  readonly listed: MemberState;
  readonly listChangedAtMs: number;
  readonly atMs: number;
  readonly state: MemberState;
}

const cases: readonly Case[] = [
  {
    name: 'a report from before the opening, when the list shows the opening since, does not outweigh the list',
    steps: [{ kind: 'report', atMs: 1_000, state: 'ready', count: 3 }],
    listed: 'open',
    listChangedAtMs: 900,
    atMs: 8_000,
    state: 'open',
  },
  {
    name: 'a head that begins to open counts as serving while list and reports still say ready',
    steps: [
      { kind: 'open', atMs: 1_000, count: 4 },
      { kind: 'report', atMs: 1_300, state: 'ready', count: 4 },
    ],
    listed: 'ready',
    listChangedAtMs: 500,
    atMs: 8_000,
    state: 'open',
  },
  {
    name: 'a report with fewer orders than were begun is passed over',
    steps: [
      { kind: 'open', atMs: 1_000, count: 4 },
      { kind: 'report', atMs: 1_100, state: 'ready', count: 3 },
    ],
    listed: 'ready',
    listChangedAtMs: 500,
    atMs: 1_200,
    state: 'open',
  },
  {
    name: 'a head that broke after it was opened is broken',
    steps: [
      { kind: 'open', atMs: 1_000, count: 4 },
      { kind: 'report', atMs: 6_000, state: 'broken', count: 4 },
    ],
    listed: 'open',
    listChangedAtMs: 1_400,
    atMs: 6_100,
    state: 'broken',
  },
  {
    name: 'a head that was closed is not serving any more once it reports so',
    steps: [
      { kind: 'close', atMs: 1_000, count: 4 },
      { kind: 'report', atMs: 1_500, state: 'ready', count: 4 },
    ],
    listed: 'open',
    listChangedAtMs: 100,
    atMs: 1_600,
    state: 'ready',
  },
  {
    name: 'a head that was told to close is closing while the list still shows it open',
    steps: [{ kind: 'close', atMs: 1_000, count: 4 }],
    listed: 'open',
    listChangedAtMs: 100,
    atMs: 1_100,
    state: 'closing',
  },
  {
    name: 'the list counts when it changed after the report',
    steps: [{ kind: 'report', atMs: 1_000, state: 'ready', count: 4 }],
    listed: 'broken',
    listChangedAtMs: 1_400,
    atMs: 1_500,
    state: 'broken',
  },
];

function learn(knowledge: InstanceKnowledge, step: Step): void {
  if (step.kind === 'report') {
    knowledge.noteReport(headIn(step.state), step.count, step.atMs);
    return;
  }
  const instance = headIn(step.kind === 'open' ? 'ready' : 'open');
  knowledge.noteBegun({ kind: step.kind, instance, group: GROUP, epoch: EPOCH }, step.count, step.atMs);
}

for (const { name, steps, listed, listChangedAtMs, atMs, state } of cases) {
  void t.test(name, (t) => {
    const knowledge = new InstanceKnowledge();
    for (const step of steps) learn(knowledge, step);
    const instances = new Map([['head', headIn(listed)]]);
    const merged = knowledge.merge({ instances, changedAtMs: () => listChangedAtMs }, atMs);
    t.equal(merged.get('head')?.membership?.state, state);
    t.end();
  });
}

void t.test('what was known of an earlier start of an instance is forgotten', (t) => {
  const knowledge = new InstanceKnowledge();
  knowledge.noteReport(headIn('open'), 4, 1_000);
  const again = { ...headIn('ready'), startedAtMs: 2, membership: undefined };
  const merged = knowledge.merge({ instances: new Map([['head', again]]), changedAtMs: () => 500 }, 1_100);
  t.equal(merged.get('head')?.membership, undefined);
  t.equal(knowledge.orderCount(again), undefined);
  t.end();
});
