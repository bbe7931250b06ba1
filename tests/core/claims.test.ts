import {
  type ClaimBody,
  type ClaimGuards,
  Claims,
  type ClaimRejection,
  claimsDefinition,
  CLAIM_WINDOW_MS,
  type Envelope,
  StreamReducer,
} from '@monsoonreach/core';
import t from 'tap';

const START_MS = 1_800_000_000_000;
const KEY = createKey(START_MS, 1);

/** Creates a UUIDv7 with the given time. */
function createKey(timeMs: number, suffix: number): string {
  const time = timeMs.toString(16).padStart(12, '0');
  return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${String(suffix).padStart(12, '0')}`;
}

interface Step {
  readonly writer: string;
  readonly sequence: number;
  readonly atMs?: number;
  readonly body: ClaimBody;
}

const claim = (workspace = 'fitters', fingerprint = 'f', key = KEY): ClaimBody => ({
  kind: 'claim',
  workspace,
  key,
  fingerprint,
});
const abandon = (claimSequence: number): ClaimBody => ({
  kind: 'abandon',
  workspace: 'fitters',
  key: KEY,
  claimSequence,
});
const done = (claimSequence: number): ClaimBody => ({
  kind: 'done',
  workspace: 'fitters',
  key: KEY,
  claimSequence,
  answer: { status: 200, body: 'ok' },
});

type ExpectedVerdict = 'accepted' | 'duplicate' | ClaimRejection;

const cases: readonly {
  readonly name: string;
  readonly steps: readonly Step[];
  readonly expected: readonly ExpectedVerdict[];
}[] = [
  {
    name: 'the first claim of a key wins',
    steps: [
      { writer: 'a', sequence: 1, body: claim() },
      { writer: 'b', sequence: 1, body: claim() },
    ],
    expected: ['accepted', 'already-claimed'],
  },
  {
    name: 'a claim that is appended again after a lost answer is a duplicate',
    steps: [
      { writer: 'a', sequence: 1, body: claim() },
      { writer: 'a', sequence: 1, body: claim() },
    ],
    expected: ['accepted', 'duplicate'],
  },
  {
    name: 'a claim of the same key for another request is refused',
    steps: [
      { writer: 'a', sequence: 1, body: claim() },
      { writer: 'b', sequence: 1, body: claim('fitters', 'other') },
    ],
    expected: ['accepted', 'fingerprint-mismatch'],
  },
  {
    name: 'workspaces do not share keys',
    steps: [
      { writer: 'a', sequence: 1, body: claim('fitters') },
      { writer: 'b', sequence: 1, body: claim('members') },
    ],
    expected: ['accepted', 'accepted'],
  },
  {
    name: 'an abandoned key can be claimed again',
    steps: [
      { writer: 'a', sequence: 1, body: claim() },
      { writer: 'a', sequence: 2, body: abandon(1) },
      { writer: 'b', sequence: 1, body: claim() },
    ],
    expected: ['accepted', 'accepted', 'accepted'],
  },
  {
    name: 'a claim that is appended after it was abandoned is dropped',
    steps: [
      { writer: 'a', sequence: 2, body: abandon(1) },
      { writer: 'a', sequence: 1, body: claim() },
      { writer: 'b', sequence: 1, body: claim() },
    ],
    expected: ['accepted', 'duplicate', 'accepted'],
  },
  {
    name: 'an abandoned claim is dropped also after a claim of another writer',
    steps: [
      { writer: 'a', sequence: 2, body: abandon(1) },
      { writer: 'b', sequence: 1, body: claim('members') },
      { writer: 'a', sequence: 1, body: claim() },
    ],
    expected: ['accepted', 'accepted', 'duplicate'],
  },
  {
    name: 'only the claimant can abandon or finish a claim',
    steps: [
      { writer: 'a', sequence: 1, body: claim() },
      { writer: 'b', sequence: 1, body: abandon(1) },
      { writer: 'b', sequence: 2, body: done(1) },
      { writer: 'a', sequence: 2, body: done(1) },
    ],
    expected: ['accepted', 'not-the-claimant', 'not-the-claimant', 'accepted'],
  },
  {
    name: 'a key is refused once its window is over by the clocks of two writers',
    steps: [
      {
        writer: 'a',
        sequence: 1,
        atMs: START_MS + CLAIM_WINDOW_MS + 1,
        body: claim('fitters', 'f', createKey(START_MS + CLAIM_WINDOW_MS, 2)),
      },
      { writer: 'b', sequence: 1, atMs: START_MS + CLAIM_WINDOW_MS + 1, body: claim() },
    ],
    expected: ['accepted', 'window-over'],
  },
  {
    name: 'one writer whose clock is far ahead expires no keys',
    steps: [
      { writer: 'a', sequence: 1, atMs: START_MS * 2, body: claim('fitters', 'f', createKey(START_MS, 2)) },
      { writer: 'b', sequence: 1, body: claim() },
    ],
    expected: ['accepted', 'accepted'],
  },
];

function applySteps(steps: readonly Step[], guards?: ClaimGuards): readonly ExpectedVerdict[] {
  const definition = guards
    ? { ...claimsDefinition, create: () => new Claims([], guards) }
    : claimsDefinition;
  const reducer = new StreamReducer(definition);
  return steps.map(({ writer, sequence, atMs = START_MS, body }, index) => {
    const envelope: Envelope<ClaimBody> = {
      format: 1,
      writer: { address: writer, incarnation: '1' },
      sequence,
      writtenAtMs: atMs,
      body,
    };
    const verdict = reducer.apply(index + 1, envelope);
    return verdict.kind === 'rejected' ? verdict.reason : verdict.kind;
  });
}

for (const { name, steps, expected } of cases) {
  void t.test(name, (t) => {
    t.same(applySteps(steps), expected);
    t.end();
  });
}
