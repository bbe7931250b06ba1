import { Counters, ManualClock } from '@monsoonreach/core';
import { DecisionLog, StoreHistory } from '@monsoonreach/node';
import t from 'tap';

interface Case {
  readonly name: string;
  /** Eras of answers, in order; a millisecond passes before each. */
  readonly eras: readonly number[];
  readonly era: number | undefined;
  /** Eras that were told as restores. */
  readonly restored: readonly number[];
  readonly restoredAtMs: number;
}

const cases: readonly Case[] = [
  { name: 'before any answer', eras: [], era: undefined, restored: [], restoredAtMs: -Infinity },
  { name: 'the first era is no restore', eras: [4, 4], era: 4, restored: [], restoredAtMs: -Infinity },
  { name: 'each later era is one', eras: [4, 5, 5, 7], era: 7, restored: [5, 7], restoredAtMs: 4 },
  {
    name: 'a late answer of an earlier era changes nothing',
    eras: [1, 2, 1, 2],
    era: 2,
    restored: [2],
    restoredAtMs: 2,
  },
];

// Guards against restores that go unnoticed, or that are noticed twice.
for (const { name, eras, era, restored, restoredAtMs } of cases) {
  void t.test(`era of the store: ${name}`, (t) => {
    const clock = new ManualClock();
    const log = new DecisionLog('node-1', 'hidden', clock, new Counters());
    const history = new StoreHistory({ clock, log });
    const told: number[] = [];
    history.onRestored((newEra) => told.push(newEra));
    for (const answered of eras) {
      clock.advance(1);
      history.observe(answered);
    }
    t.equal(history.era, era);
    t.same(told, restored);
    t.equal(history.restoredAtMs, restoredAtMs);
    t.end();
  });
}
