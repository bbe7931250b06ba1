import { type Clock, KeyTrust } from '@monsoonreach/core';
import t from 'tap';

const BOUND_MS = 5_000;

/** What a node learns at a time in milliseconds. */
type Step =
  | {
      readonly kind: 'confirm';
      readonly atMs: number;
      /** When the question was asked; `atMs` by default. */
      readonly measuredFromMs?: number;
    }
  /** The process is suspended, so that the monotonic clock stands still; 3 s by the wall clock. */
  | { readonly kind: 'suspension'; readonly atMs: number }
  | { readonly kind: 'hold'; readonly untilMs: number }
  | { readonly kind: 'release' };

interface Case {
  readonly name: string;
  readonly steps: readonly Step[];
  readonly atMs: number;
  readonly isTrusted: boolean;
}

const cases: readonly Case[] = [
  {
    name: 'are trusted after contact',
    steps: [{ kind: 'confirm', atMs: 1_000 }],
    atMs: 5_000,
    isTrusted: true,
  },
  {
    name: 'are not trusted long after contact',
    steps: [{ kind: 'confirm', atMs: 1_000 }],
    atMs: 5_500,
    isTrusted: false,
  },
  {
    name: 'are not confirmed by contact with a restored store that may still be written',
    steps: [
      { kind: 'confirm', atMs: 1_000 },
      { kind: 'hold', untilMs: 6_000 },
      { kind: 'confirm', atMs: 5_000 },
    ],
    atMs: 5_500,
    isTrusted: false,
  },
  {
    name: 'stay trusted while an earlier contact is recent enough',
    steps: [
      { kind: 'confirm', atMs: 1_000 },
      { kind: 'hold', untilMs: 4_000 },
    ],
    atMs: 3_000,
    isTrusted: true,
  },
  {
    name: 'are confirmed during a hold that ends early enough after the last contact',
    steps: [
      { kind: 'confirm', atMs: 1_000 },
      { kind: 'hold', untilMs: 5_700 },
      { kind: 'confirm', atMs: 5_000 },
    ],
    atMs: 5_500,
    isTrusted: true,
  },
  {
    name: 'are confirmed by contact after the hold',
    steps: [
      { kind: 'hold', untilMs: 6_000 },
      { kind: 'confirm', atMs: 6_000 },
    ],
    atMs: 7_000,
    isTrusted: true,
  },
  {
    name: 'are confirmed once the configuration is written again',
    steps: [{ kind: 'hold', untilMs: 6_000 }, { kind: 'release' }, { kind: 'confirm', atMs: 5_000 }],
    atMs: 5_500,
    isTrusted: true,
  },
  {
    name: 'are not confirmed after a suspension by what was asked before it',
    steps: [
      { kind: 'suspension', atMs: 2_000 },
      { kind: 'confirm', atMs: 1_990, measuredFromMs: 1_990 },
    ],
    atMs: 2_010,
    isTrusted: false,
  },
  {
    name: 'are confirmed after a suspension by what was asked after it',
    steps: [
      { kind: 'suspension', atMs: 2_000 },
      { kind: 'confirm', atMs: 1_500, measuredFromMs: 2_005 },
    ],
    atMs: 2_010,
    isTrusted: true,
  },
];

// Guards against keys that are accepted after their end, because a restored store has lost it or the process stood still.
for (const { name, steps, atMs, isTrusted } of cases) {
  void t.test(`keys ${name}`, (t) => {
    let nowMs = 0;
    let offsetMs = 0;
    const clock: Clock = { now: () => nowMs + offsetMs, monotonic: () => nowMs };
    const trust = new KeyTrust(clock, BOUND_MS);
    for (const step of steps) {
      switch (step.kind) {
        case 'confirm':
          trust.confirm(step.atMs, step.measuredFromMs ?? step.atMs);
          break;
        case 'suspension':
          nowMs = step.atMs;
          offsetMs += 3_000;
          trust.detectClockJump();
          break;
        case 'hold':
          trust.hold(step.untilMs);
          break;
        case 'release':
          trust.release();
      }
    }
    nowMs = atMs;
    t.equal(trust.isTrusted(), isTrusted);
    t.end();
  });
}
