import {
  chooseTarget,
  createRandom,
  DemandMeter,
  EventFramer,
  classifySilence,
  type HeadFinding,
  KeyTrust,
  ManualClock,
  MemberProbes,
  type MemberState,
  observeGroups,
  predictFirstEventMs,
  RetryWindowBudget,
  type TargetCandidate,
  TargetHealth,
  UnlistedHeads,
} from '@monsoonreach/core';
import t from 'tap';
import {
  createGroupMembers,
  createInstance,
  ENGINE_PROFILE,
  LARGE_MODEL,
  SERVICE,
  SMALL_MODEL,
} from './fixtures.js';

const SIZE = { promptTokens: 1_000, answerTokens: 150 };

function createCandidate(key: string, requests: number): TargetCandidate {
  return {
    key,
    instance: createInstance(key),
    slots: ENGINE_PROFILE.slots,
    engine: { profile: ENGINE_PROFILE, model: LARGE_MODEL },
    load: { requests, contextTokens: requests * 1_000, pendingPromptTokens: 0 },
  };
}

interface ChoiceCase {
  readonly name: string;
  readonly loads: Readonly<Record<string, number>>;
  readonly silent?: readonly string[];
  readonly failing?: readonly string[];
  readonly tried?: readonly string[];
  readonly chosen: string;
}

const choiceCases: readonly ChoiceCase[] = [
  { name: 'load pattern, a jump: the less busy group is chosen', loads: { a: 16, b: 4 }, chosen: 'b' },
  {
    name: 'load pattern, a jump: no group is chosen when all are full',
    loads: { a: 23, b: 23 },
    chosen: 'all-full',
  },
  {
    name: 'load pattern, a silent group: the one that makes progress is chosen',
    loads: { a: 1, b: 12 },
    silent: ['a'],
    chosen: 'b',
  },
  {
    name: 'no group is chosen when all are silent',
    loads: { a: 1, b: 2 },
    silent: ['a', 'b'],
    chosen: 'all-silent',
  },
  {
    name: 'load pattern, a failing target: its failures count as added time',
    loads: { a: 1, b: 6 },
    failing: ['a'],
    chosen: 'b',
  },
  { name: 'a second attempt goes to another group', loads: { a: 1, b: 12 }, tried: ['a'], chosen: 'b' },
  { name: 'nothing is chosen when there are no targets', loads: {}, chosen: 'no-target' },
];

for (const { name, loads, silent = [], failing = [], tried = [], chosen } of choiceCases) {
  void t.test(name, (t) => {
    const health = new TargetHealth();
    for (const key of silent) health.recordSilence(key, 1_000);
    for (const key of failing)
      for (let count = 0; count < 10; count++) health.recordOutcome(key, true, 1_000);
    const choice = chooseTarget(
      Object.entries(loads).map(([key, requests]) => createCandidate(key, requests)),
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

void t.test('a target is suspected for longer after each silence, and cleared by its first bytes', (t) => {
  const health = new TargetHealth();
  health.recordSilence('a', 0);
  t.ok(health.isSuspect('a', 600));
  t.notOk(health.isSuspect('a', 800));
  health.recordSilence('a', 800);
  t.ok(health.isSuspect('a', 2_000));
  health.recordProgress('a', 2_000);
  t.notOk(health.isSuspect('a', 2_001));
  t.end();
});

const EVIDENCE = {
  silentMs: 400,
  targetSilentMs: 400,
  hasBegun: true,
  predictedMs: 60,
  pauseObjectiveMs: 250,
  usualPauseMs: 0,
  isPlainCall: false,
};
const silenceCases = [
  { name: 'a short pause is tolerated', change: { silentMs: 200, targetSilentMs: 200 }, verdict: 'wait' },
  {
    name: 'a target is silent when none of its streams makes progress',
    change: {},
    verdict: 'target-silent',
  },
  {
    name: 'a target that is known to be slow is not silent at its usual pace',
    change: { usualPauseMs: 380 },
    verdict: 'wait',
  },
  {
    name: 'a target that is known to be slow is silent at twice its usual pause',
    change: { usualPauseMs: 380, silentMs: 800, targetSilentMs: 800 },
    verdict: 'target-silent',
  },
  {
    name: 'a pause is tolerated longer while other streams make progress',
    change: { targetSilentMs: 50 },
    verdict: 'wait',
  },
  {
    name: 'a long pause is blamed on the connection while other streams make progress',
    change: { silentMs: 1_000, targetSilentMs: 50 },
    verdict: 'connection-silent',
  },
  {
    name: 'the first event may be late within the tolerance',
    change: { hasBegun: false, silentMs: 240, targetSilentMs: 240 },
    verdict: 'wait',
  },
  {
    name: 'a target is silent when its first event is overdue',
    change: { hasBegun: false },
    verdict: 'target-silent',
  },
  {
    name: 'a plain call without an answer is blamed on the connection',
    change: { isPlainCall: true },
    verdict: 'connection-silent',
  },
] as const;
for (const { name, change, verdict } of silenceCases) {
  void t.test(`silence: ${name}`, (t) => {
    t.equal(classifySilence({ ...EVIDENCE, ...change }), verdict);
    t.end();
  });
}

void t.test('the predicted time to the first event grows with requests and pending prompt tokens', (t) => {
  const idle = predictFirstEventMs(
    ENGINE_PROFILE,
    LARGE_MODEL,
    { requests: 0, contextTokens: 0, pendingPromptTokens: 0 },
    SIZE,
  );
  const busy = predictFirstEventMs(
    ENGINE_PROFILE,
    LARGE_MODEL,
    { requests: 17, contextTokens: 17_000, pendingPromptTokens: 0 },
    SIZE,
  );
  const prefilling = predictFirstEventMs(
    ENGINE_PROFILE,
    LARGE_MODEL,
    { requests: 17, contextTokens: 17_000, pendingPromptTokens: 9_000 },
    SIZE,
  );
  const full = predictFirstEventMs(
    ENGINE_PROFILE,
    LARGE_MODEL,
    { requests: 22, contextTokens: 22_000, pendingPromptTokens: 0 },
    SIZE,
  );
  t.ok(idle < busy && busy < prefilling && prefilling < full);
  t.ok(
    predictFirstEventMs(
      ENGINE_PROFILE,
      SMALL_MODEL,
      { requests: 0, contextTokens: 0, pendingPromptTokens: 0 },
      SIZE,
    ) < idle,
  );
  t.end();
});

void t.test('demand follows arriving requests and decays without them', (t) => {
  const meter = new DemandMeter();
  for (let nowMs = 0; nowMs < 20_000; nowMs += 50)
    meter.recordRequest(ENGINE_PROFILE, LARGE_MODEL, SIZE, nowMs);
  const needed = meter.getNeededGroups(20_000).get('large') ?? 0;
  t.ok(needed > 1 && needed < 6, `${needed} groups`);
  t.ok((meter.getNeededGroups(60_000).get('large') ?? 0) < needed / 100);
  t.end();
});

void t.test('retries in a window are bounded by a share of its requests and a part of the slack', (t) => {
  const allowance = new RetryWindowBudget({ share: 0.2, slack: 120, windowMs: 10_000 }, () => 6);
  let taken = 0;
  for (let nowMs = 0; nowMs < 10_000; nowMs += 10) {
    allowance.recordRequest('service', nowMs);
    if (allowance.tryTakeRetry('service', nowMs)) taken++;
  }
  t.ok(taken <= 0.2 * 1_000 + 120 / 6);
  t.ok(taken > 100);
  t.notOk(
    new RetryWindowBudget({ share: 0.2, slack: 0, windowMs: 10_000 }, () => 6).tryTakeRetry('service', 0),
  );
  t.end();
});

const trustCases = [
  {
    name: 'fresh',
    act: (clock: ManualClock) => {
      clock.advance(1_000);
    },
    isTrusted: true,
  },
  {
    name: 'long after the last contact',
    act: (clock: ManualClock) => {
      clock.advance(4_500);
    },
    isTrusted: false,
  },
  {
    name: 'after the clock steps forward',
    act: (clock: ManualClock) => {
      clock.skew(2_400);
    },
    isTrusted: false,
  },
  {
    name: 'after the clock steps back',
    act: (clock: ManualClock) => {
      clock.skew(-2_400);
    },
    isTrusted: false,
  },
  {
    name: 'while the clock drifts a little',
    act: (clock: ManualClock) => {
      clock.skew(50);
    },
    isTrusted: true,
  },
];
for (const { name, act, isTrusted } of trustCases) {
  void t.test(`keys are trusted only while fresh: ${name}`, (t) => {
    const clock = new ManualClock();
    const trust = new KeyTrust(clock, 5_000);
    t.notOk(trust.isTrusted(), 'nothing is trusted before the first contact');
    trust.confirm(clock.monotonic(), clock.monotonic());
    act(clock);
    t.equal(trust.isTrusted(), isTrusted);
    trust.confirm(clock.monotonic(), clock.monotonic());
    t.ok(trust.isTrusted());
    t.end();
  });
}

const encodeEvent = (id: number) => `id: ${id}\ndata: x\n\n`;
const framingCases = [
  {
    name: 'complete events are passed on',
    chunks: [encodeEvent(1) + encodeEvent(2)],
    passed: encodeEvent(1) + encodeEvent(2),
    lastId: '2',
    pendingBytes: 0,
  },
  {
    name: 'an event in several chunks is passed on once complete',
    chunks: ['id: 1\nda', 'ta: x\n', '\n'],
    passed: encodeEvent(1),
    lastId: '1',
    pendingBytes: 0,
  },
  {
    name: 'an incomplete event is held back',
    chunks: [encodeEvent(1), 'id: 2\nda'],
    passed: encodeEvent(1),
    lastId: '1',
    pendingBytes: 8,
  },
  {
    name: 'an event with a field before its id is passed on',
    chunks: ['weights: 3\nid: 4\ndata: x\n\n'],
    passed: 'weights: 3\nid: 4\ndata: x\n\n',
    lastId: '4',
    pendingBytes: 0,
  },
];
for (const { name, chunks, passed, lastId, pendingBytes } of framingCases) {
  void t.test(`events: ${name}`, (t) => {
    const framer = new EventFramer();
    const batches = chunks.flatMap((chunk) => framer.push(Buffer.from(chunk)) ?? []);
    t.equal(batches.map(({ bytes }) => bytes.toString()).join(''), passed);
    t.equal(batches.at(-1)?.lastId, lastId);
    t.equal(framer.pendingBytes, pendingBytes);
    t.end();
  });
}

void t.test('members of a silent group are asked once, and again only while they do not answer', (t) => {
  const checks = new MemberProbes();
  const members = [
    { id: 'a', group: 'g' },
    { id: 'b', group: 'g' },
    { id: 'c', group: 'other' },
  ];
  t.same(checks.takeDueProbes(members, 0), []);
  checks.suspectGroup('g', 'node-1', 0);
  t.same(checks.takeDueProbes(members, 0), ['a', 'b']);
  checks.recordResult('a', 'answered', 50);
  checks.recordResult('b', 'silent', 150);
  t.same([...checks.getLostMembers()], []);
  t.same(checks.takeDueProbes(members, 200), ['b']);
  checks.recordResult('b', 'silent', 350);
  t.same([...checks.getLostMembers()], ['b']);
  t.same(checks.takeDueProbes(members, 400), ['b']);
  checks.recordResult('b', 'answered', 450);
  t.same([...checks.getLostMembers()], []);
  t.end();
});

void t.test('a group counts as stalled by the nodes that report it, each once and only for a while', (t) => {
  const checks = new MemberProbes();
  checks.suspectGroup('g', 'node-1', 0);
  checks.suspectGroup('g', 'node-1', 100);
  t.equal(checks.listReporters('g', 200).size, 1);
  checks.suspectGroup('g', 'node-2', 3_000);
  t.equal(checks.listReporters('g', 3_500).size, 2);
  t.equal(checks.listReporters('g', 6_000).size, 1);
  t.equal(checks.listReporters('other', 0).size, 0);
  t.end();
});

// Reports of a silence that was over counted for the next one, so that one node's probes ended a group.
void t.test('reports from before a silent head last answered are of an earlier silence', (t) => {
  const checks = new MemberProbes();
  checks.suspectGroup('g', 'node-1', 0);
  checks.suspectGroup('g', 'node-2', 100);
  t.equal(checks.listReporters('g', 200, 'head').size, 2, 'it has not answered since');
  checks.recordResult('head', 'answered', 1_000);
  t.equal(checks.listReporters('g', 2_000, 'head').size, 0);
  t.equal(checks.listReporters('g', 2_000).size, 2, 'the group may be stalled while its head answers');
  checks.suspectGroup('g', 'node-2', 2_100);
  t.equal(checks.listReporters('g', 2_200, 'head').size, 1);
  t.end();
});

void t.test('an instance that does not answer another request is probed as well', (t) => {
  const checks = new MemberProbes();
  checks.recordResult('a', 'silent', 0);
  t.same(checks.takeDueProbes([{ id: 'a', group: '' }], 1_000), ['a']);
  checks.recordResult('a', 'silent', 1_150);
  t.same([...checks.getLostMembers()], ['a']);
  t.end();
});

const GROUP = 'g@5';
const [head = createInstance('none'), ...members] = createGroupMembers('g', 5, LARGE_MODEL, [
  'open',
  'ready',
  'ready',
]);
const headCases: readonly {
  readonly name: string;
  /** This node's questions: the state that the head reports, or that there is none. */
  readonly own: readonly (MemberState | 'silent')[];
  readonly peers: readonly (HeadFinding | undefined)[];
  readonly isReleased: boolean;
}[] = [
  { name: 'its members stay reserved before any node has asked it', own: [], peers: [], isReleased: false },
  {
    name: 'its members stay reserved while it serves, cut off from the store',
    own: ['open'],
    peers: ['silent'],
    isReleased: false,
  },
  {
    name: 'its members stay reserved while a peer finds it serving, though it is silent here',
    own: ['silent', 'silent', 'silent'],
    peers: ['serving', 'silent'],
    isReleased: false,
  },
  { name: 'its members are released once it has closed', own: ['ready'], peers: [], isReleased: true },
  {
    name: 'its members are released once a peer finds it broken',
    own: [],
    peers: ['idle'],
    isReleased: true,
  },
  {
    name: 'its members stay reserved while only one of two peers finds it silent too',
    own: ['silent', 'silent', 'silent'],
    peers: ['silent', undefined],
    isReleased: false,
  },
  {
    name: 'its members are released once three nodes find it silent',
    own: ['silent', 'silent', 'silent'],
    peers: ['silent', 'silent'],
    isReleased: true,
  },
  {
    name: 'its members stay reserved after a single missed answer',
    own: ['silent'],
    peers: ['silent'],
    isReleased: false,
  },
];
for (const { name, own, peers, isReleased } of headCases) {
  void t.test(`a head that is not listed any more: ${name}`, (t) => {
    const watch = new UnlistedHeads();
    const listed = (instances: readonly (typeof head)[]) => observeGroups(SERVICE, instances);
    watch.update(listed([head, ...members]), 0);
    watch.update(listed(members), 100);
    t.same(watch.getHeadsToProbe(), [head]);
    for (const [index, answer] of own.entries()) {
      watch.recordAnswer(
        head,
        answer === 'silent' ? answer : head.membership && { ...head.membership, state: answer },
        100 + index * 800,
      );
    }
    const findings = peers.map(
      (finding) => new Map(finding === undefined ? [] : [[GROUP, finding] as const]),
    );
    t.equal(watch.isReleased(GROUP, findings, findings.length, 2_000), isReleased);
    t.end();
  });
}

// Guards against the members of a sound head that are used elsewhere since it was silent for a second.
for (const { name, answer, questions, isReleased } of [
  { name: 'is silent for a second', answer: 'silent', questions: 4, isReleased: false },
  { name: 'is silent for longer', answer: 'silent', questions: 6, isReleased: true },
  { name: 'refuses several times', answer: 'refused', questions: 3, isReleased: true },
] as const) {
  void t.test(`three nodes ask a head that is not listed and ${name}`, (t) => {
    const nodes = [new UnlistedHeads(), new UnlistedHeads(), new UnlistedHeads()] as const;
    for (const node of nodes) {
      node.update(observeGroups(SERVICE, [head, ...members]), 0);
      node.update(observeGroups(SERVICE, members), 100);
      for (let index = 0; index < questions; index++) node.recordAnswer(head, answer, 100 + index * 300);
    }
    const [own, ...peers] = nodes;
    const findings = peers.map((peer) => peer.getFindings());
    t.equal(own.isReleased(GROUP, findings, findings.length, 2_000), isReleased);
    t.end();
  });
}

// Guards against a head that is told to close again and again while it finishes its requests.
void t.test('a head that is not listed is to be closed only while it is open', (t) => {
  const watch = new UnlistedHeads();
  watch.update(observeGroups(SERVICE, [head, ...members]), 0);
  watch.update(observeGroups(SERVICE, members), 100);
  t.same(watch.getOpenHeads(), [], 'before its answer');
  for (const [state, isToBeClosed] of [
    ['open', true],
    ['closing', false],
    ['ready', false],
  ] as const) {
    watch.recordAnswer(head, head.membership && { ...head.membership, state }, 200);
    t.same(watch.getOpenHeads(), isToBeClosed ? [head] : [], state);
  }
  t.end();
});

void t.test('a head that is listed again is no longer asked', (t) => {
  const watch = new UnlistedHeads();
  watch.update(observeGroups(SERVICE, [head, ...members]), 0);
  watch.update(observeGroups(SERVICE, members), 100);
  watch.update(observeGroups(SERVICE, [head, ...members]), 200);
  t.same(watch.getHeadsToProbe(), []);
  t.end();
});

// Guards against groups that are given up for a member that is silent for a second and goes on.
const goneCases: readonly {
  readonly name: string;
  /** Time of each result, and how long it was awaited, in milliseconds. */
  readonly results: readonly (readonly [number, 'answered' | 'refused' | 'silent', number?])[];
  readonly isLost: boolean;
  readonly isGone: boolean;
}[] = [
  {
    name: 'a member that is silent for a second',
    results: [
      [150, 'silent'],
      [1_150, 'silent'],
    ],
    isLost: true,
    isGone: false,
  },
  {
    name: 'a member that is silent for longer',
    results: [
      [150, 'silent'],
      [900, 'silent'],
      [1_800, 'silent'],
    ],
    isLost: true,
    isGone: true,
  },
  {
    name: 'a member that is silent again after it answered',
    results: [
      [150, 'silent'],
      [900, 'answered'],
      [1_500, 'silent'],
      [1_800, 'silent'],
    ],
    isLost: true,
    isGone: false,
  },
  // Guards against a member that counts as sound for longer than it may be silent, as the first probe's wait was left out.
  {
    name: 'a member that is silent for longer, the wait for its first answer included',
    results: [
      [150, 'silent', 150],
      [900, 'silent', 150],
      [1_500, 'silent', 150],
    ],
    isLost: true,
    isGone: true,
  },
  {
    name: 'a member that is silent for almost as long, the wait for its first answer included',
    results: [
      [150, 'silent', 150],
      [1_499, 'silent', 150],
    ],
    isLost: true,
    isGone: false,
  },
  {
    name: 'a member that answered another request during the wait for its first missed answer',
    results: [
      [100, 'answered', 10],
      [150, 'silent', 150],
      [1_599, 'silent', 150],
    ],
    isLost: true,
    isGone: false,
  },
  {
    name: 'a member at whose address nothing listens',
    results: [
      [20, 'refused'],
      [180, 'refused'],
    ],
    isLost: true,
    isGone: true,
  },
  { name: 'a member that refused once', results: [[20, 'refused']], isLost: false, isGone: false },
];
for (const { name, results, isLost, isGone } of goneCases) {
  void t.test(`probes of ${name}`, (t) => {
    const checks = new MemberProbes();
    for (const [atMs, result, waitedMs] of results) checks.recordResult('a', result, atMs, waitedMs);
    t.equal(checks.getLostMembers().has('a'), isLost);
    t.equal(checks.getGoneMembers(results.at(-1)?.[0] ?? 0).has('a'), isGone);
    t.end();
  });
}

// Guards against a planner that takes its own report, or one of an earlier stall, for another node's.
for (const { name, reports, isReported } of [
  { name: 'nobody', reports: [], isReported: false },
  { name: 'the node itself', reports: [['node-1', 3_900]], isReported: false },
  { name: 'a peer', reports: [['node-2', 3_900]], isReported: true },
  {
    name: 'a peer long ago, and the node itself now',
    reports: [
      ['node-2', 0],
      ['node-1', 3_900],
    ],
    isReported: false,
  },
] as const) {
  void t.test(`a group that is reported as silent by ${name}`, (t) => {
    const checks = new MemberProbes();
    for (const [reporter, atMs] of reports) checks.suspectGroup('a@7', reporter, atMs);
    t.equal(checks.isReportedByPeer('a@7', 'node-1', 4_000), isReported);
    t.notOk(checks.isReportedByPeer('b@7', 'node-1', 4_000), 'another group');
    t.end();
  });
}
