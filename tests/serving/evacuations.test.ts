import {
  chooseTarget,
  createRandom,
  type EvacuationEvent,
  type EvacuationPhase,
  Evacuations,
  ManualClock,
  type TargetCandidate,
  TargetHealth,
} from '@monsoonreach/core';
import t from 'tap';
import { createInstance, ENGINE_PROFILE, LARGE_MODEL } from './fixtures.js';

const BOUND_MS = 5_000;
const DOMAIN = 'zone-2';

/** What is applied at a time; `contactMs` is the time of the previous contact to the store, by default shortly before. */
interface Step {
  readonly atMs: number;
  readonly kind: 'order' | 'revoke' | 'snapshot' | 'empty-snapshot';
  readonly contactMs?: number;
}

interface PhaseCase {
  readonly name: string;
  readonly boundMs?: number;
  readonly steps: readonly Step[];
  /** Phase by time in milliseconds. */
  readonly phases: readonly (readonly [number, EvacuationPhase | undefined])[];
}

const phaseCases: readonly PhaseCase[] = [
  // Guards against a domain that is emptied before capacity is provided elsewhere, or later than the bound.
  {
    name: 'a domain is avoided first, then excluded in time for the bound',
    boundMs: BOUND_MS,
    steps: [{ atMs: 1_000, kind: 'order' }],
    phases: [
      [1_000, 'avoided'],
      [3_499, 'avoided'],
      [3_500, 'excluded'],
      [60_000, 'excluded'],
    ],
  },
  // Guards against a node that starts late and takes an old order for a new one.
  {
    name: 'an order in a snapshot, whose age is unknown, excludes at once',
    boundMs: BOUND_MS,
    steps: [{ atMs: 1_000, kind: 'snapshot' }],
    phases: [[1_000, 'excluded']],
  },
  // Guards against requests after the bound from a node that was disconnected while the order was given.
  {
    name: 'an order that is read as a change after a disconnection excludes at once',
    boundMs: BOUND_MS,
    steps: [{ atMs: 20_000, kind: 'order', contactMs: 10_000 }],
    phases: [[20_000, 'excluded']],
  },
  {
    name: 'an order that may be older than one long poll is avoided for a shorter time',
    boundMs: BOUND_MS,
    steps: [{ atMs: 4_000, kind: 'order', contactMs: 2_000 }],
    phases: [
      [5_599, 'avoided'],
      [5_600, 'excluded'],
    ],
  },
  // Guards against a domain that is returned to the first phase, or moved to the second one, when its order is read again.
  {
    name: 'an order that is repeated as a change does not restart the phase',
    boundMs: BOUND_MS,
    steps: [
      { atMs: 0, kind: 'order' },
      { atMs: 2_000, kind: 'order' },
    ],
    phases: [
      [2_000, 'avoided'],
      [2_500, 'excluded'],
    ],
  },
  {
    name: 'a snapshot that repeats an order neither skips nor restarts the phase',
    boundMs: BOUND_MS,
    steps: [
      { atMs: 0, kind: 'order' },
      { atMs: 1_000, kind: 'snapshot' },
      { atMs: 2_600, kind: 'snapshot' },
    ],
    phases: [
      [1_000, 'avoided'],
      [2_499, 'avoided'],
      [2_600, 'excluded'],
    ],
  },
  {
    name: 'a revocation returns the domain to service, also in the second phase',
    boundMs: BOUND_MS,
    steps: [
      { atMs: 0, kind: 'order' },
      { atMs: 4_000, kind: 'revoke' },
    ],
    phases: [
      [3_999, 'excluded'],
      [4_000, undefined],
    ],
  },
  // Guards against a domain that stays out of service as its revocation was deleted from the topic.
  {
    name: 'a snapshot without the key revokes',
    boundMs: BOUND_MS,
    steps: [
      { atMs: 0, kind: 'order' },
      { atMs: 4_000, kind: 'empty-snapshot' },
    ],
    phases: [[4_000, undefined]],
  },
  {
    name: 'an order after a revocation starts with the first phase',
    boundMs: BOUND_MS,
    steps: [
      { atMs: 0, kind: 'order' },
      { atMs: 4_000, kind: 'revoke' },
      { atMs: 5_000, kind: 'order' },
    ],
    phases: [
      [5_000, 'avoided'],
      [7_500, 'excluded'],
    ],
  },
  // Guards against records that are ignored by a deployment without the setting.
  {
    name: 'without a bound, an order excludes at once',
    steps: [{ atMs: 1_000, kind: 'order' }],
    phases: [[1_000, 'excluded']],
  },
  {
    name: 'a bound that leaves no time excludes at once',
    boundMs: 2_000,
    steps: [{ atMs: 1_000, kind: 'order' }],
    phases: [[1_000, 'excluded']],
  },
];

for (const { name, boundMs, steps, phases } of phaseCases) {
  void t.test(name, (t) => {
    const clock = new ManualClock();
    const evacuations = new Evacuations(clock, boundMs);
    const times = [...new Set([...steps.map(({ atMs }) => atMs), ...phases.map(([atMs]) => atMs)])];
    for (const atMs of times.sort((a, b) => a - b)) {
      clock.advance(atMs - clock.monotonic());
      for (const step of steps) if (step.atMs === atMs) apply(evacuations, step);
      for (const [phaseAtMs, phase] of phases)
        if (phaseAtMs === atMs) t.equal(evacuations.findPhase(DOMAIN), phase, `at ${atMs} ms`);
      t.equal(evacuations.findPhase('zone-1'), undefined);
    }
    t.end();
  });
}

function apply(evacuations: Evacuations, { kind, atMs, contactMs = atMs - 1_000 }: Step) {
  const record = { failureDomain: DOMAIN, offset: atMs };
  switch (kind) {
    case 'order':
      return evacuations.order(record, contactMs);
    case 'revoke':
      return evacuations.revoke(record);
    case 'snapshot':
      return evacuations.applySnapshot([record]);
    case 'empty-snapshot':
      return evacuations.applySnapshot([]);
  }
}

// Guards against an operator who cannot tell from the log which order is in force, and a planner that reacts late.
void t.test('each change is reported once and changes the version', (t) => {
  const clock = new ManualClock();
  const evacuations = new Evacuations(clock, BOUND_MS);
  const versions = new Set<number>([evacuations.version]);
  const describe = (events: readonly EvacuationEvent[]) => {
    versions.add(evacuations.version);
    return events.map(({ offset, ...event }) => `${event.kind} ${event.failureDomain} ${offset}`);
  };
  t.ok(evacuations.isEmpty);
  t.same(describe(evacuations.order({ failureDomain: 'a', offset: 5 }, 0)), ['ordered a 5']);
  t.same(describe(evacuations.order({ failureDomain: 'b', offset: 6 }, 0)), ['ordered b 6']);
  t.same(describe(evacuations.order({ failureDomain: 'b', offset: 6 }, 0)), []);
  t.same(evacuations.advance(), []);
  clock.advance(2_500);
  t.notOk(versions.has(evacuations.version), 'a phase that is due changes the version');
  t.same(describe(evacuations.advance()), ['phase a 5', 'phase b 6']);
  t.same(evacuations.advance(), []);
  t.same(describe(evacuations.revoke({ failureDomain: 'a', offset: 7 })), ['revoked a 7']);
  t.same(describe(evacuations.revoke({ failureDomain: 'a', offset: 8 })), []);
  t.same(describe(evacuations.applySnapshot([{ failureDomain: 'c', offset: 9 }])), [
    'revoked b 6',
    'ordered c 9',
  ]);
  t.same(
    evacuations.list().map(({ failureDomain, phase }) => [failureDomain, phase]),
    [['c', 'excluded']],
  );
  t.equal(versions.size, 6);
  t.end();
});

interface ChoiceCase {
  readonly name: string;
  /** Failure domains of each target, the head's first, and its requests. */
  readonly targets: Readonly<Record<string, readonly [readonly string[], number]>>;
  readonly avoided?: readonly string[];
  readonly excluded?: readonly string[];
  readonly silent?: readonly string[];
  readonly tried?: readonly string[];
  readonly isContinuing?: boolean;
  readonly isPlain?: boolean;
  readonly chosen: string;
}

const FULL = 23;

const choiceCases: readonly ChoiceCase[] = [
  {
    name: 'a busy target is preferred to an idle one that is avoided',
    targets: { a: [['zone-2'], 0], b: [['zone-1'], 20] },
    avoided: ['zone-2'],
    chosen: 'b',
  },
  {
    name: 'an avoided target is used when the others are full',
    targets: { a: [['zone-2'], 0], b: [['zone-1'], FULL] },
    avoided: ['zone-2'],
    chosen: 'a',
  },
  {
    name: 'an avoided target is used when the others are silent',
    targets: { a: [['zone-2'], 0], b: [['zone-1'], 0] },
    avoided: ['zone-2'],
    silent: ['b'],
    chosen: 'a',
  },
  {
    name: 'an avoided plain target is used when the other one is silent',
    targets: { a: [['zone-2'], 0], b: [['zone-1'], 0] },
    avoided: ['zone-2'],
    silent: ['b'],
    isPlain: true,
    chosen: 'a',
  },
  // Guards against requests that reach a domain after the bound.
  {
    name: 'an excluded target is not used, also when the others are full',
    targets: { a: [['zone-2'], 0], b: [['zone-1'], FULL] },
    excluded: ['zone-2'],
    chosen: 'all-full',
  },
  {
    name: 'an excluded plain target is not used, also when the others are full',
    targets: { a: [['zone-2'], 0], b: [['zone-1'], FULL] },
    excluded: ['zone-2'],
    isPlain: true,
    chosen: 'all-full',
  },
  {
    name: 'a group with a member in an excluded domain is not used',
    targets: { a: [['zone-1', 'zone-2'], 0], b: [['zone-1'], 20] },
    excluded: ['zone-2'],
    chosen: 'b',
  },
  {
    name: 'a member in an excluded domain counts also if the head is in an avoided one',
    targets: { a: [['zone-3', 'zone-2'], 0] },
    avoided: ['zone-3'],
    excluded: ['zone-2'],
    chosen: 'evacuated',
  },
  {
    name: 'two domains are excluded',
    targets: { a: [['zone-2'], 0], b: [['zone-3'], 0], c: [['zone-1'], 20] },
    excluded: ['zone-2', 'zone-3'],
    chosen: 'c',
  },
  // Guards against a resumed stream that queues at an excluded target.
  {
    name: 'a resumed stream queues at a full target rather than at an excluded one',
    targets: { a: [['zone-2'], 0], b: [['zone-1'], FULL] },
    excluded: ['zone-2'],
    isContinuing: true,
    chosen: 'b',
  },
  {
    name: 'nothing is chosen when only excluded targets exist',
    targets: { a: [['zone-2'], 0] },
    excluded: ['zone-2'],
    chosen: 'evacuated',
  },
  {
    name: 'nothing is chosen when the only other target was tried',
    targets: { a: [['zone-2'], 0], b: [['zone-1'], 0] },
    excluded: ['zone-2'],
    tried: ['b'],
    chosen: 'evacuated',
  },
  {
    name: 'without targets, the reason is no evacuation',
    targets: {},
    excluded: ['zone-2'],
    chosen: 'no-target',
  },
];

for (const {
  name,
  targets,
  avoided = [],
  excluded = [],
  silent = [],
  isPlain = false,
  ...rest
} of choiceCases) {
  void t.test(`choice: ${name}`, (t) => {
    const health = new TargetHealth();
    for (const key of silent) health.recordSilence(key, 0);
    const evacuations = new Evacuations(new ManualClock(), BOUND_MS);
    evacuations.applySnapshot(excluded.map((failureDomain) => ({ failureDomain, offset: 1 })));
    for (const failureDomain of avoided) evacuations.order({ failureDomain, offset: 2 }, 0);
    const candidates = Object.entries(targets).map(([key, [domains, requests]]): TargetCandidate => ({
      key,
      instance: createInstance(key, { failureDomain: domains[0] ?? '' }),
      failureDomains: isPlain ? undefined : domains,
      slots: ENGINE_PROFILE.slots,
      engine: isPlain ? undefined : { profile: ENGINE_PROFILE, model: LARGE_MODEL },
      load: { requests, contextTokens: requests * 1_000, pendingPromptTokens: 0 },
    }));
    const choice = chooseTarget(candidates, {
      nowMs: 0,
      random: createRandom(1),
      health,
      failureDomain: 'zone-1',
      size: { promptTokens: 1_000, answerTokens: 150 },
      tried: new Set(rest.tried),
      isContinuing: rest.isContinuing ?? false,
      evacuations,
    });
    t.equal(choice.kind === 'chosen' ? choice.candidate.key : choice.reason, rest.chosen);
    t.end();
  });
}
