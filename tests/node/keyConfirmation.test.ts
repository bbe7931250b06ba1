import { Counters, KeyTrust, ManualClock } from '@monsoonreach/core';
import { DecisionLog, KeyConfirmation, type ReadConfiguration, StoreHistory } from '@monsoonreach/node';
import t from 'tap';

/** A bound on the trust in keys that no case reaches, in milliseconds. */
const BOUND_MS = 1_000_000;

/** What a node learns; a second passes after each. */
type Step =
  | ({ readonly kind: 'read' } & ReadConfiguration)
  | { readonly kind: 'peer'; readonly version: number }
  | { readonly kind: 'contact' }
  | { readonly kind: 'restore' };

interface Case {
  readonly name: string;
  readonly steps: readonly Step[];
  /** Whether contact after the steps confirms the keys. */
  readonly isConfirmed: boolean;
}

const snapshot = (version: number, offset?: number): Step => ({
  kind: 'read',
  version,
  offset,
  isChange: false,
});
const change = (version: number, offset?: number): Step => ({
  kind: 'read',
  version,
  offset,
  isChange: true,
});
const restore: Step = { kind: 'restore' };

const cases: readonly Case[] = [
  { name: 'of an unchanged store', steps: [snapshot(13, 3)], isConfirmed: true },
  {
    name: 'of a restored store that shows an older configuration',
    steps: [snapshot(13, 3), restore, snapshot(10, 2)],
    isConfirmed: false,
  },
  {
    name: 'of a restored store in which the latest configuration may have survived',
    steps: [snapshot(13, 3), restore, snapshot(13, 3)],
    isConfirmed: false,
  },
  {
    name: 'of a restored store with the latest configuration, from a source that tells no offsets',
    steps: [snapshot(13, 3), restore, snapshot(13)],
    isConfirmed: false,
  },
  {
    name: 'of a restored store in which the latest configuration was written again',
    steps: [snapshot(13, 3), restore, snapshot(13, 2)],
    isConfirmed: true,
  },
  {
    name: 'of a restored store in which a later configuration was written at the offset of the latest',
    steps: [snapshot(13, 3), restore, snapshot(14, 3)],
    isConfirmed: true,
  },
  {
    name: 'of a restored store in which a later configuration may have survived that had not been read',
    steps: [snapshot(12, 2), restore, snapshot(13, 3)],
    isConfirmed: false,
  },
  {
    name: 'of a restored store with the latest configuration, whose offset had not been known',
    steps: [snapshot(13), restore, snapshot(13, 3)],
    isConfirmed: false,
  },
  {
    name: 'of a store that was restored twice, the second time from a copy of the first era',
    steps: [change(13, 3), restore, snapshot(11, 1), change(13, 2), restore, snapshot(13, 3)],
    isConfirmed: false,
  },
  {
    name: 'of a restored store that is written after its older configuration was read',
    steps: [snapshot(13, 3), restore, snapshot(10, 2), change(13, 3)],
    isConfirmed: true,
  },
  {
    name: 'a long time after a restore',
    steps: [snapshot(13, 3), restore, { kind: 'contact' }, { kind: 'contact' }],
    isConfirmed: true,
  },
  {
    name: 'of a store that shows an older configuration than a peer has',
    steps: [snapshot(10, 2), { kind: 'contact' }, { kind: 'peer', version: 13 }, { kind: 'contact' }],
    isConfirmed: false,
  },
  {
    name: 'of a store that has caught up with a peer',
    steps: [snapshot(10, 2), { kind: 'peer', version: 13 }, { kind: 'contact' }, change(13, 3)],
    isConfirmed: true,
  },
];

// Guards against keys that are accepted after their end, because a restored store has lost it.
for (const { name, steps, isConfirmed } of cases) {
  void t.test(`contact ${name}`, (t) => {
    const clock = new ManualClock();
    const trust = new KeyTrust(clock, BOUND_MS);
    const log = new DecisionLog('node-1', 'hidden', clock, new Counters());
    const history = new StoreHistory({ clock, log });
    const confirmation = new KeyConfirmation({ clock, trust, history });
    history.observe(1);
    for (const step of steps) {
      switch (step.kind) {
        case 'read':
          confirmation.recordRead(step);
          break;
        case 'peer':
          confirmation.recordPeer(step.version, clock.monotonic());
          break;
        case 'contact':
          confirmation.confirm(clock.monotonic(), clock.monotonic());
          break;
        case 'restore':
          history.observe((history.era ?? 0) + 1);
      }
      clock.advance(1_000);
    }
    confirmation.confirm(clock.monotonic(), clock.monotonic());
    t.equal(trust.isTrusted(), isConfirmed);
    t.end();
  });
}
