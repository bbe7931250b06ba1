import { CrashEvidence, type CrashFactor, createCrashFactors, ManualClock } from '@monsoonreach/core';
import fc from 'fast-check';
import t from 'tap';

const REQUEST: CrashFactor = { kind: 'request', id: 'f1' };
const identity = { path: '/a', workspace: 'w', body: Buffer.from('b') };
const OTHER: CrashFactor = { kind: 'request', id: 'f2' };

function createEvidence(nowMs = 100): CrashEvidence {
  const clock = new ManualClock();
  clock.advance(nowMs);
  return new CrashEvidence(clock);
}

/** A crash or a survival of the factor `of`, the request by default. */
type Step =
  | {
      readonly kind: 'crash';
      readonly sentAtMs: number;
      readonly lostAtMs: number;
      readonly of?: CrashFactor;
      readonly target?: string;
    }
  | { readonly kind: 'survival'; readonly begunAtMs: number; readonly of?: CrashFactor };

function apply(evidence: CrashEvidence, steps: readonly Step[]): void {
  for (const step of steps) {
    const factors = [step.of ?? REQUEST];
    switch (step.kind) {
      case 'crash':
        evidence.recordCrash(factors, { target: `target-${step.lostAtMs}-${step.sentAtMs}`, ...step });
        break;
      case 'survival':
        evidence.recordSurvival(factors, step.begunAtMs);
    }
  }
}

const crash = (sentAtMs: number, lostAtMs: number, of = REQUEST): Step => ({
  kind: 'crash',
  sentAtMs,
  lostAtMs,
  of,
});
const survival = (begunAtMs: number, of = REQUEST): Step => ({ kind: 'survival', begunAtMs, of });

const cases = [
  { name: 'one crash may have any reason', steps: [crash(0, 10)], endMs: undefined },
  { name: 'a second crash quarantines the request', steps: [crash(0, 10), crash(20, 30)], endMs: 60_030 },
  {
    name: 'targets that are lost at once count once',
    steps: [crash(0, 10), crash(2, 10), crash(5, 11), crash(8, 12)],
    endMs: undefined,
  },
  {
    name: 'crashes count in any order of their messages',
    steps: [crash(20, 30), crash(0, 10)],
    endMs: 60_030,
  },
  {
    name: 'a target that survives between two crashes clears the request',
    steps: [crash(0, 10), survival(15), crash(20, 30)],
    endMs: undefined,
  },
  {
    name: 'an answer that was begun before the crashes proves nothing',
    steps: [crash(0, 10), crash(20, 30), survival(5)],
    endMs: 60_030,
  },
  {
    name: 'a survival that is known late ends the quarantine',
    steps: [crash(0, 10), crash(20, 30), survival(25)],
    endMs: undefined,
  },
  {
    name: 'crashes of other requests do not count',
    steps: [crash(0, 10), crash(20, 30, OTHER)],
    endMs: undefined,
  },
  {
    name: 'each further crash doubles the quarantine',
    steps: [crash(0, 10), crash(20, 30), crash(40, 50), crash(60, 70)],
    endMs: 240_070,
  },
] as const;

void t.test('quarantine of a request', (t) => {
  for (const { name, steps, endMs } of cases) {
    void t.test(name, (t) => {
      const evidence = createEvidence();
      apply(evidence, steps);
      t.equal(evidence.findQuarantineEndMs([REQUEST]), endMs);
      t.end();
    });
  }
  t.end();
});

const EARLY: CrashFactor = { kind: 'part', id: 'p1' };
const partCases = [
  {
    name: 'the third crash of one part quarantines it, not the part before',
    crashes: [
      ['p1', 'p2'],
      ['p1', 'p2'],
      ['p1', 'p2'],
      ['p1', 'p2'],
    ],
    quarantined: ['p2'],
  },
  {
    name: 'an early part is blamed if it crashes targets with different continuations',
    crashes: [
      ['p1', 'p2'],
      ['p1', 'p3'],
      ['p1', 'p4'],
    ],
    quarantined: ['p1'],
  },
  { name: 'two crashes are too few', crashes: [['p1'], ['p1']], quarantined: [] },
] as const;

// Guards against sound requests that are refused because their prompts begin like those that crash targets.
void t.test('quarantine of a part of prompts', (t) => {
  for (const { name, crashes, quarantined } of partCases) {
    const evidence = createEvidence();
    for (const [index, parts] of crashes.entries()) {
      const factors = createCrashFactors({ ...identity, path: `/${index}` }, parts);
      evidence.recordCrash(factors, {
        target: `target-${index}`,
        sentAtMs: 10 * index,
        lostAtMs: 10 * index + 5,
      });
    }
    const isQuarantined = (id: string) => evidence.findQuarantineEndMs([{ kind: 'part', id }]) !== undefined;
    t.same(['p1', 'p2', 'p3', 'p4'].filter(isQuarantined), quarantined, name);
  }
  t.end();
});

void t.test('sound requests clear the part that they share', (t) => {
  const evidence = createEvidence();
  for (const index of [0, 1, 2, 3]) {
    const factors = createCrashFactors({ ...identity, path: `/${index}` }, ['p1', `only-${index}`]);
    evidence.recordCrash(factors, {
      target: `target-${index}`,
      sentAtMs: 10 * index,
      lostAtMs: 10 * index + 4,
    });
    evidence.recordSurvival([EARLY], 10 * index + 5);
  }
  t.equal(evidence.findQuarantineEndMs([EARLY]), undefined);
  t.end();
});

void t.test('a quarantine ends by itself, and one more crash renews it', (t) => {
  const clock = new ManualClock();
  const evidence = new CrashEvidence(clock);
  apply(evidence, [crash(0, 10), crash(20, 30)]);
  clock.advance(60_030);
  t.equal(evidence.findQuarantineEndMs([REQUEST]), undefined);
  apply(evidence, [crash(61_000, 61_010)]);
  clock.advance(980);
  t.equal(evidence.findQuarantineEndMs([REQUEST]), 61_010 + 120_000);
  clock.advance(338_990);
  evidence.merge([]);
  t.ok(evidence.isEmpty, 'evidence is forgotten in the end');
  t.end();
});

void t.test('a node that missed a survival is corrected by the next one that knows it', (t) => {
  const informed = createEvidence();
  const uninformed = createEvidence();
  apply(informed, [crash(0, 10), survival(15)]);
  apply(uninformed, [crash(0, 10), crash(20, 30)]);
  const corrections = informed.merge(uninformed.listShared());
  t.equal(corrections.length, 1);
  t.same(uninformed.merge(corrections), []);
  t.equal(uninformed.findQuarantineEndMs([REQUEST]), undefined);
  t.equal(informed.findQuarantineEndMs([REQUEST]), undefined);
  t.end();
});

void t.test('nodes that lost the same target under different requests agree', (t) => {
  const early = { target: 'b', sentAtMs: 5, lostAtMs: 31 };
  const late = { target: 'b', sentAtMs: 20, lostAtMs: 30 };
  const nodes = [createEvidence(), createEvidence()] as const;
  for (const node of nodes) node.recordCrash([REQUEST], { target: 'a', sentAtMs: 0, lostAtMs: 10 });
  nodes[0].recordCrash([REQUEST], early);
  nodes[1].recordCrash([REQUEST], late);
  t.equal(nodes[0].findQuarantineEndMs([REQUEST]), undefined);
  nodes[0].merge(nodes[1].describe([REQUEST]));
  nodes[1].merge([{ factor: REQUEST, crashes: [early], survivedAtMs: -Infinity }]);
  for (const node of nodes) t.equal(node.findQuarantineEndMs([REQUEST]), 60_030);
  t.end();
});

void t.test('a quarantine outlasts a mass of single crashes', (t) => {
  const evidence = createEvidence();
  apply(evidence, [crash(0, 10), crash(20, 30)]);
  for (let index = 0; index < 3_000; index++) {
    apply(evidence, [crash(40, 50, { kind: 'request', id: `single-${index}` })]);
  }
  t.equal(evidence.findQuarantineEndMs([REQUEST]), 60_030);
  t.end();
});

const time = fc.integer({ min: 0, max: 50 });
const arbitraryStep: fc.Arbitrary<Step> = fc.oneof(
  fc.tuple(time, time).map(([a, b]) => crash(Math.min(a, b), Math.max(a, b))),
  time.map((atMs) => survival(atMs)),
);

void t.test('nodes that know the same evidence agree, in whatever order it came', (t) => {
  fc.assert(
    fc.property(fc.array(arbitraryStep, { maxLength: 7 }), fc.infiniteStream(fc.nat(1)), (steps, choices) => {
      const nodes = [createEvidence(), createEvidence()];
      // A survival counts only where a crash is known, so that both know one first.
      for (const node of nodes) apply(node, [crash(0, 0)]);
      for (const step of steps) apply(nodes[choices.next().value ?? 0] ?? createEvidence(), [step]);
      const [first, second] = nodes.map((node) => node.describe([REQUEST]));
      nodes[0]?.merge(second ?? []);
      nodes[1]?.merge(first ?? []);
      const verdicts = nodes.map((node) => node.findQuarantineEndMs([REQUEST]));
      return verdicts[0] === verdicts[1];
    }),
  );
  t.end();
});

const PENDING: CrashFactor = { kind: 'pending-request', id: 'f1' };

const pendingCases = [
  { name: 'two crashes may befall a sound request', steps: [crash(0, 10, PENDING), crash(20, 30, PENDING)] },
  {
    name: 'a third quarantines it',
    steps: [crash(0, 10, PENDING), crash(20, 30, PENDING), crash(40, 50, PENDING)],
    endMs: 60_050,
  },
  {
    name: 'a completed answer clears it',
    steps: [crash(0, 10, PENDING), crash(20, 30, PENDING), survival(35, PENDING), crash(40, 50, PENDING)],
  },
  {
    name: 'one crash counts once, also if a peer tells of it late so that its times shift',
    steps: [
      { ...crash(0, 10, PENDING), target: 'same' },
      { ...crash(200, 210, PENDING), target: 'same' },
      { ...crash(400, 410, PENDING), target: 'same' },
    ],
  },
];

// Guards against requests that are never suspected because their target had not begun, or had gone on for long.
void t.test('quarantine of a request that a target held at any stage', (t) => {
  for (const { name, steps, endMs } of pendingCases) {
    const evidence = createEvidence(60);
    apply(evidence, steps);
    t.equal(evidence.findQuarantineEndMs([PENDING]), endMs, name);
  }
  t.end();
});

void t.test('evidence about many requests is bounded', (t) => {
  const evidence = createEvidence();
  const all: readonly CrashFactor[] = Array.from({ length: 3_000 }, (_, index) => ({
    kind: 'request',
    id: `f${index}`,
  }));
  for (const factor of all) apply(evidence, [crash(0, 10, factor), crash(20, 30, factor)]);
  t.ok(evidence.describe(all).length <= 1_024);
  t.equal(evidence.listShared().length, 16);
  t.end();
});

const identityCases = [
  { name: 'the same request', other: { ...identity, body: Buffer.from('b') }, isSame: true },
  { name: 'another body', other: { ...identity, body: Buffer.from('c') }, isSame: false },
  { name: 'no body', other: { ...identity, body: undefined }, isSame: false },
  { name: 'another workspace', other: { ...identity, workspace: undefined }, isSame: false },
  { name: 'another path', other: { ...identity, path: '/b' }, isSame: false },
] as const;

void t.test('what identifies a request', (t) => {
  for (const { name, other, isSame } of identityCases) {
    t.equal(createCrashFactors(identity, [])[0]?.id === createCrashFactors(other, [])[0]?.id, isSame, name);
  }
  t.end();
});
