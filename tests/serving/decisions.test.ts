import {
  chooseTarget,
  createRandom,
  DemandMeter,
  EventFramer,
  judgeSilence,
  KeyTrust,
  ManualClock,
  MemberChecks,
  observeGroups,
  predictFirstEventMs,
  RetryAllowance,
  type TargetCandidate,
  TargetHealth,
  UnlistedHeads,
} from '@monsoonreach/core';
import t from 'tap';
import { describeGroup, describeInstance, ENGINE, LARGE, SERVICE, SMALL } from './support.js';

const SIZE = { promptTokens: 1_000, answerTokens: 150 };

function describeTarget(key: string, requests: number): TargetCandidate {
  return {
    key,
    instance: describeInstance(key),
    slots: ENGINE.slots,
    engine: { profile: ENGINE, model: LARGE },
    load: { requests, contextTokens: requests * 1_000, unreadTokens: 0 },
  };
}

interface Choice {
  readonly name: string;
  readonly loads: Readonly<Record<string, number>>;
  readonly silent?: readonly string[];
  readonly failing?: readonly string[];
  readonly tried?: readonly string[];
  readonly chosen: string;
}

const choices: readonly Choice[] = [
  { name: 'load pattern, a jump: the less busy group', loads: { a: 16, b: 4 }, chosen: 'b' },
  {
    name: 'load pattern, a jump: nothing more when all are full',
    loads: { a: 23, b: 23 },
    chosen: 'all-full',
  },
  {
    name: 'load pattern, a silent group: the one that moves',
    loads: { a: 1, b: 12 },
    silent: ['a'],
    chosen: 'b',
  },
  { name: 'all groups silent', loads: { a: 1, b: 2 }, silent: ['a', 'b'], chosen: 'all-silent' },
  {
    name: 'load pattern, a failing target: its failures count as time',
    loads: { a: 1, b: 6 },
    failing: ['a'],
    chosen: 'b',
  },
  { name: 'a second attempt goes elsewhere', loads: { a: 1, b: 12 }, tried: ['a'], chosen: 'b' },
  { name: 'no target at all', loads: {}, chosen: 'no-target' },
];

for (const { name, loads, silent = [], failing = [], tried = [], chosen } of choices) {
  void t.test(name, (t) => {
    const health = new TargetHealth();
    for (const key of silent) health.noteSilence(key, 1_000);
    for (const key of failing) for (let count = 0; count < 10; count++) health.noteOutcome(key, true, 1_000);
    const choice = chooseTarget(
      Object.entries(loads).map(([key, requests]) => describeTarget(key, requests)),
      {
        nowMs: 1_000,
        random: createRandom(1),
        health,
        failureDomain: 'zone-1',
        size: SIZE,
        tried: new Set(tried),
      },
    );
    t.equal(choice.kind === 'chosen' ? choice.candidate.key : choice.reason, chosen);
    t.end();
  });
}

void t.test('suspicion grows with each silence, and ends with the first bytes', (t) => {
  const health = new TargetHealth();
  health.noteSilence('a', 0);
  t.ok(health.isSuspect('a', 600));
  t.notOk(health.isSuspect('a', 800));
  health.noteSilence('a', 800);
  t.ok(health.isSuspect('a', 2_000));
  health.noteProgress('a', 2_000);
  t.notOk(health.isSuspect('a', 2_001));
  t.end();
});

const evidence = {
  silentMs: 400,
  targetSilentMs: 400,
  hasBegun: true,
  predictedMs: 60,
  pauseObjectiveMs: 250,
  isPlainCall: false,
};
const silences = [
  { name: 'a short pause', change: { silentMs: 200, targetSilentMs: 200 }, verdict: 'wait' },
  { name: 'all streams of the target stand still', change: {}, verdict: 'target-silent' },
  { name: 'other streams move', change: { targetSilentMs: 50 }, verdict: 'wait' },
  {
    name: 'one connection is silent for long',
    change: { silentMs: 1_000, targetSilentMs: 50 },
    verdict: 'connection-silent',
  },
  {
    name: 'a first event that is due',
    change: { hasBegun: false, silentMs: 240, targetSilentMs: 240 },
    verdict: 'wait',
  },
  { name: 'a first event that is overdue', change: { hasBegun: false }, verdict: 'target-silent' },
  { name: 'a plain call', change: { isPlainCall: true }, verdict: 'connection-silent' },
] as const;
for (const { name, change, verdict } of silences) {
  void t.test(`silence: ${name}`, (t) => {
    t.equal(judgeSilence({ ...evidence, ...change }), verdict);
    t.end();
  });
}

void t.test('a group that is busier, or has prompts to read, is slower to the first event', (t) => {
  const idle = predictFirstEventMs(ENGINE, LARGE, { requests: 0, contextTokens: 0, unreadTokens: 0 }, SIZE);
  const busy = predictFirstEventMs(
    ENGINE,
    LARGE,
    { requests: 17, contextTokens: 17_000, unreadTokens: 0 },
    SIZE,
  );
  const reading = predictFirstEventMs(
    ENGINE,
    LARGE,
    { requests: 17, contextTokens: 17_000, unreadTokens: 9_000 },
    SIZE,
  );
  const full = predictFirstEventMs(
    ENGINE,
    LARGE,
    { requests: 22, contextTokens: 22_000, unreadTokens: 0 },
    SIZE,
  );
  t.ok(idle < busy && busy < reading && reading < full);
  t.ok(predictFirstEventMs(ENGINE, SMALL, { requests: 0, contextTokens: 0, unreadTokens: 0 }, SIZE) < idle);
  t.end();
});

void t.test('demand counts what arrives, and forgets it', (t) => {
  const meter = new DemandMeter();
  for (let nowMs = 0; nowMs < 20_000; nowMs += 50) meter.note(ENGINE, LARGE, SIZE, nowMs);
  const needed = meter.groups(20_000).get('large') ?? 0;
  t.ok(needed > 1 && needed < 6, `${needed} groups`);
  t.ok((meter.groups(60_000).get('large') ?? 0) < needed / 100);
  t.end();
});

void t.test('retries: a share of the requests and a part of the slack, in any window', (t) => {
  const allowance = new RetryAllowance({ share: 0.2, slack: 120, windowMs: 10_000 }, () => 6);
  let taken = 0;
  for (let nowMs = 0; nowMs < 10_000; nowMs += 10) {
    allowance.noteRequest('service', nowMs);
    if (allowance.take('service', nowMs)) taken++;
  }
  t.ok(taken <= 0.2 * 1_000 + 120 / 6);
  t.ok(taken > 100);
  t.notOk(new RetryAllowance({ share: 0.2, slack: 0, windowMs: 10_000 }, () => 6).take('service', 0));
  t.end();
});

const trusts = [
  {
    name: 'fresh',
    act: (clock: ManualClock) => {
      clock.advance(1_000);
    },
    isTrusted: true,
  },
  {
    name: 'out of touch',
    act: (clock: ManualClock) => {
      clock.advance(4_500);
    },
    isTrusted: false,
  },
  {
    name: 'a clock that steps ahead',
    act: (clock: ManualClock) => {
      clock.skew(2_400);
    },
    isTrusted: false,
  },
  {
    name: 'a clock that steps back',
    act: (clock: ManualClock) => {
      clock.skew(-2_400);
    },
    isTrusted: false,
  },
  {
    name: 'a clock that drifts',
    act: (clock: ManualClock) => {
      clock.skew(50);
    },
    isTrusted: true,
  },
];
for (const { name, act, isTrusted } of trusts) {
  void t.test(`trust in keys: ${name}`, (t) => {
    const clock = new ManualClock();
    const trust = new KeyTrust(clock, 5_000);
    t.notOk(trust.isTrusted(), 'nothing is trusted before the first contact');
    trust.confirm(clock.monotonic());
    act(clock);
    t.equal(trust.isTrusted(), isTrusted);
    trust.confirm(clock.monotonic());
    t.ok(trust.isTrusted());
    t.end();
  });
}

const event = (id: number) => `id: ${id}\ndata: x\n\n`;
const framings = [
  { name: 'whole events', chunks: [event(1) + event(2)], passed: event(1) + event(2), lastId: '2', rest: 0 },
  {
    name: 'an event in parts',
    chunks: ['id: 1\nda', 'ta: x\n', '\n'],
    passed: event(1),
    lastId: '1',
    rest: 0,
  },
  {
    name: 'an event that breaks off',
    chunks: [event(1), 'id: 2\nda'],
    passed: event(1),
    lastId: '1',
    rest: 8,
  },
  {
    name: 'a first line beside the id',
    chunks: ['weights: 3\nid: 4\ndata: x\n\n'],
    passed: 'weights: 3\nid: 4\ndata: x\n\n',
    lastId: '4',
    rest: 0,
  },
];
for (const { name, chunks, passed, lastId, rest } of framings) {
  void t.test(`events: ${name}`, (t) => {
    const framer = new EventFramer();
    const batches = chunks.flatMap((chunk) => framer.push(Buffer.from(chunk)) ?? []);
    t.equal(batches.map(({ bytes }) => bytes.toString()).join(''), passed);
    t.equal(batches.at(-1)?.lastId, lastId);
    t.equal(framer.pendingBytes, rest);
    t.end();
  });
}

void t.test('members of a silent group are asked once, and again only if they are silent', (t) => {
  const checks = new MemberChecks();
  const members = [
    { id: 'a', group: 'g' },
    { id: 'b', group: 'g' },
    { id: 'c', group: 'other' },
  ];
  t.same(checks.toAsk(members, 0), []);
  checks.suspect('g', 0);
  t.same(checks.toAsk(members, 0), ['a', 'b']);
  checks.note('a', true);
  checks.note('b', false);
  t.same([...checks.lost()], []);
  t.same(checks.toAsk(members, 200), ['b']);
  checks.note('b', false);
  t.same([...checks.lost()], ['b']);
  t.same(checks.toAsk(members, 400), ['b']);
  checks.note('b', true);
  t.same([...checks.lost()], []);
  t.end();
});

const GROUP = 'g@5';
const [head = describeInstance('none'), ...members] = describeGroup('g', 5, LARGE, [
  'open',
  'ready',
  'ready',
]);
const heads = [
  { name: 'nobody has asked yet', own: [], peers: [], isReleased: false },
  {
    name: 'it serves, as a partition from the store does not stop it',
    own: ['open'],
    peers: ['silent'],
    isReleased: false,
  },
  {
    name: 'it serves as a peer finds, though it is silent here',
    own: ['none', 'none', 'none'],
    peers: ['serving', 'silent'],
    isReleased: false,
  },
  { name: 'it has closed', own: ['ready'], peers: [], isReleased: true },
  { name: 'it is broken, as a peer finds', own: [], peers: ['idle'], isReleased: true },
  {
    name: 'it is silent here, but only one peer says so of two',
    own: ['none', 'none', 'none'],
    peers: ['silent', undefined],
    isReleased: false,
  },
  {
    name: 'it is silent to three nodes',
    own: ['none', 'none', 'none'],
    peers: ['silent', 'silent'],
    isReleased: true,
  },
  { name: 'it was silent only once', own: ['none'], peers: ['silent'], isReleased: false },
] as const;
for (const { name, own, peers, isReleased } of heads) {
  void t.test(`a head that is not listed: ${name}`, (t) => {
    const watch = new UnlistedHeads();
    const listed = (instances: readonly (typeof head)[]) => observeGroups(SERVICE, instances);
    watch.update(listed([head, ...members]), 0);
    watch.update(listed(members), 100);
    t.same(watch.toAsk(), [head]);
    for (const answer of own) {
      watch.note(head, answer === 'none' ? 'none' : head.membership && { ...head.membership, state: answer });
    }
    const findings = peers.map(
      (finding) => new Map(finding === undefined ? [] : [[GROUP, finding] as const]),
    );
    t.equal(watch.isReleased(GROUP, findings, 200), isReleased);
    t.end();
  });
}

void t.test('a head that is listed again is asked no more', (t) => {
  const watch = new UnlistedHeads();
  watch.update(observeGroups(SERVICE, [head, ...members]), 0);
  watch.update(observeGroups(SERVICE, members), 100);
  watch.update(observeGroups(SERVICE, [head, ...members]), 200);
  t.same(watch.toAsk(), []);
  t.end();
});
