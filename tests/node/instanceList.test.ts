import { Counters, ManualClock } from '@monsoonreach/core';
import { DecisionLog, InstanceList } from '@monsoonreach/node';
import type { KeyedRecord } from '@monsoonreach/platform';
import t from 'tap';

const ID = 'i-1';

interface EntryFields {
  readonly seqNo: number;
  readonly state?: 'ready' | 'draining';
  readonly born?: number;
}

/** What a node reads, or how its contact with the store goes on; the store is contacted at each of the reads. */
type Step =
  | { readonly kind: 'snapshot' | 'changes'; readonly entry: EntryFields | undefined }
  | { readonly kind: 'restore' }
  | { readonly kind: 'reconnect' }
  /** Time passes, with or without contact. */
  | { readonly kind: 'pause'; readonly ms: number; readonly hasContact: boolean };

interface Case {
  readonly name: string;
  readonly steps: readonly Step[];
  readonly state: 'ready' | 'leaving' | 'unlisted';
}

const snapshot = (entry?: EntryFields): Step => ({ kind: 'snapshot', entry });
const change = (entry?: EntryFields): Step => ({ kind: 'changes', entry });
const restore: Step = { kind: 'restore' };
const reconnect: Step = { kind: 'reconnect' };
const contact = (ms: number): Step => ({ kind: 'pause', ms, hasContact: true });
const silence = (ms: number): Step => ({ kind: 'pause', ms, hasContact: false });

const cases: readonly Case[] = [
  {
    name: 'an older entry does not replace a newer one',
    steps: [change({ seqNo: 5 }), change({ seqNo: 9, state: 'draining' }), restore, snapshot({ seqNo: 5 })],
    state: 'leaving',
  },
  {
    name: 'an entry with the count of the one that said that the instance leaves does not take that back',
    steps: [change({ seqNo: 5 }), change({ seqNo: 5, state: 'draining' }), restore, snapshot({ seqNo: 5 })],
    state: 'leaving',
  },
  {
    name: 'an older entry does not replace a newer one in a list that is read long after the restore',
    steps: [
      change({ seqNo: 5 }),
      change({ seqNo: 9, state: 'draining' }),
      restore,
      silence(5_100),
      snapshot({ seqNo: 5 }),
    ],
    state: 'leaving',
  },
  {
    name: 'an entry of an earlier start does not replace one of a later start',
    steps: [
      change({ seqNo: 30, state: 'draining' }),
      change({ seqNo: 1, born: 2 }),
      restore,
      snapshot({ seqNo: 30, state: 'draining' }),
    ],
    state: 'ready',
  },
  {
    name: 'a change after the restore counts',
    steps: [change({ seqNo: 5 }), restore, snapshot({ seqNo: 5 }), change({ seqNo: 6, state: 'draining' })],
    state: 'leaving',
  },
  {
    name: 'an instance that was removed stays so',
    steps: [change({ seqNo: 5 }), change(), restore, snapshot({ seqNo: 5 })],
    state: 'unlisted',
  },
  {
    name: 'an instance that was removed stays so, though an entry had not been read',
    steps: [change({ seqNo: 5 }), snapshot(), restore, snapshot({ seqNo: 7 })],
    state: 'unlisted',
  },
  {
    name: 'an instance that was removed stays so while the store cannot be read',
    steps: [change({ seqNo: 5 }), change(), restore, snapshot({ seqNo: 5 }), silence(6_000)],
    state: 'unlisted',
  },
  {
    name: 'an instance that was removed stays so while the store is only just back once more',
    steps: [
      change({ seqNo: 5 }),
      change(),
      restore,
      snapshot({ seqNo: 5 }),
      silence(6_000),
      reconnect,
      contact(1_000),
    ],
    state: 'unlisted',
  },
  {
    name: 'an instance whose entry outlives the restore is listed again',
    steps: [change({ seqNo: 5 }), change(), restore, snapshot({ seqNo: 5 }), contact(5_100)],
    state: 'ready',
  },
  {
    name: 'an instance that was removed and writes its entry again is listed',
    steps: [change({ seqNo: 5 }), change(), restore, snapshot({ seqNo: 5 }), change({ seqNo: 6 })],
    state: 'ready',
  },
  {
    name: 'an instance that was removed and started again is listed',
    steps: [change({ seqNo: 5 }), change(), restore, snapshot({ seqNo: 1, born: 2 })],
    state: 'ready',
  },
  {
    name: 'an instance whose entry was lost is kept until it is written again',
    steps: [change({ seqNo: 1 }), restore, snapshot(), contact(2_000)],
    state: 'ready',
  },
  {
    name: 'an instance whose entry was lost is kept while the store cannot be read',
    steps: [change({ seqNo: 1 }), restore, snapshot(), silence(6_000)],
    state: 'ready',
  },
  {
    name: 'an instance whose entry was lost and is not written again is removed',
    steps: [change({ seqNo: 1 }), restore, snapshot(), contact(2_500)],
    state: 'unlisted',
  },
];

function createRecords(entry: EntryFields | undefined, isSnapshot: boolean): readonly KeyedRecord[] {
  if (!entry) return isSnapshot ? [] : [{ key: ID, value: undefined }];
  const fields = {
    service: 's',
    address: '127.0.0.1:1',
    zone: 'z',
    slots: 1,
    state: 'ready',
    born: 1,
    ...entry,
  };
  return [{ key: ID, value: Buffer.from(JSON.stringify(fields)) }];
}

// Guards against a restored store whose older list replaces what was read before.
for (const { name, steps, state } of cases) {
  void t.test(`after a restore, ${name}`, (t) => {
    const clock = new ManualClock();
    clock.advance(100_000);
    const log = new DecisionLog('node-1', 'hidden', clock, new Counters());
    const contact = { reconnectedAtMs: -Infinity, restoredAtMs: -Infinity, currentAtMs: clock.monotonic() };
    const list = new InstanceList(clock, log, new Counters(), contact);
    for (const step of steps) {
      switch (step.kind) {
        case 'snapshot':
          list.replaceAll(createRecords(step.entry, true));
          contact.currentAtMs = clock.monotonic();
          break;
        case 'changes':
          list.applyChanges(createRecords(step.entry, false));
          contact.currentAtMs = clock.monotonic();
          break;
        case 'restore':
          contact.restoredAtMs = clock.monotonic();
          contact.reconnectedAtMs = clock.monotonic();
          break;
        case 'reconnect':
          contact.reconnectedAtMs = clock.monotonic();
          break;
        case 'pause':
          clock.advance(step.ms);
          if (step.hasContact) contact.currentAtMs = clock.monotonic();
          list.removeExpired();
      }
    }
    t.equal(list.get(ID)?.state ?? 'unlisted', state);
    t.end();
  });
}

/** An entry that is read at a time, and how long the instance is cold afterwards. */
interface ColdCase {
  readonly name: string;
  readonly reads: readonly {
    readonly atMs: number;
    readonly seqNo: number;
    readonly cold?: unknown;
    readonly born?: number;
    readonly isSnapshot?: boolean;
  }[];
  /** Time at which the instance is no longer cold; undefined if it is not. */
  readonly untilMs: number | undefined;
}

const coldCases: readonly ColdCase[] = [
  { name: 'a warm target', reads: [{ atMs: 0, seqNo: 1 }], untilMs: undefined },
  { name: 'a target that has started', reads: [{ atMs: 0, seqNo: 1, cold: 3_000 }], untilMs: 3_000 },
  {
    name: 'later entries count down',
    reads: [
      { atMs: 0, seqNo: 1, cold: 3_000 },
      { atMs: 1_000, seqNo: 2, cold: 2_000 },
    ],
    untilMs: 3_000,
  },
  {
    name: 'a snapshot repeats an entry that was read before',
    reads: [
      { atMs: 0, seqNo: 1, cold: 3_000 },
      { atMs: 2_000, seqNo: 1, cold: 3_000, isSnapshot: true },
    ],
    untilMs: 3_000,
  },
  {
    name: 'an entry without the time does not end it',
    reads: [
      { atMs: 0, seqNo: 1, cold: 3_000 },
      { atMs: 100, seqNo: 2 },
    ],
    untilMs: 3_000,
  },
  {
    name: 'a target becomes cold again',
    reads: [
      { atMs: 0, seqNo: 1, cold: 500 },
      { atMs: 2_000, seqNo: 2, cold: 3_000 },
    ],
    untilMs: 5_000,
  },
  {
    name: 'a start that is warm follows one that was cold',
    reads: [
      { atMs: 0, seqNo: 1, cold: 3_000 },
      { atMs: 100, seqNo: 1, born: 2 },
    ],
    untilMs: undefined,
  },
  { name: 'a time that cannot be read', reads: [{ atMs: 0, seqNo: 1, cold: 'long' }], untilMs: undefined },
];

// Guards against a cold time that starts anew with each read or ends early, and against a countdown that makes each
// write a change of the list, so that everything derived from it is computed again.
for (const { name, reads, untilMs } of coldCases) {
  void t.test(`cold time: ${name}`, (t) => {
    const clock = new ManualClock();
    const log = new DecisionLog('node-1', 'hidden', clock, new Counters());
    const contact = { reconnectedAtMs: -Infinity, restoredAtMs: -Infinity, currentAtMs: 0 };
    const list = new InstanceList(clock, log, new Counters(), contact);
    let version: number | undefined;
    for (const { atMs, cold, isSnapshot = false, ...entry } of reads) {
      clock.advance(atMs - clock.monotonic());
      const fields = { ...entry, coldRemainingMs: cold };
      if (isSnapshot) list.replaceAll(createRecords(fields, true));
      else list.applyChanges(createRecords(fields, false));
      if (entry.born === undefined) t.equal((version ??= list.version), list.version, 'unchanged');
    }
    const instance = list.get(ID);
    const until = instance && list.getColdUntilMs(instance);
    t.equal(until === -Infinity ? undefined : until, untilMs);
    t.end();
  });
}
