import { systemClock } from '@monsoonreach/core';
import t from 'tap';
import { sleep } from '../standins/http.js';
import { createFleet, toStoredText } from './topicFleet.js';

/** Pause between two reads while nothing happens, in milliseconds; longer than the test. */
const IDLE_INTERVAL_MS = 60_000;
/** Time in which a change is read once the interval is short, in milliseconds; many times what a read takes. */
const READ_WITHIN_MS = 1_000;

interface Case {
  readonly name: string;
  /** Interval from the middle of a pause on, in milliseconds. */
  readonly intervalMs: number;
  readonly isRead: boolean;
}

const cases: readonly Case[] = [
  // Guards against a new group that opens late because its planner had paused its reads when the group was formed.
  { name: 'an interval that becomes shorter ends a pause in progress', intervalMs: 100, isRead: true },
  { name: 'a pause lasts as long as its interval does', intervalMs: IDLE_INTERVAL_MS, isRead: false },
];

for (const { name, intervalMs, isRead } of cases) {
  void t.test(name, async (t) => {
    const { nodes, put, stop } = await createFleet(1, 0);
    t.teardown(stop);
    const [node] = nodes;
    if (!node) throw new Error('Expected the fleet to have a node.');
    node.intervalMs = IDLE_INTERVAL_MS;
    await sleep(300);
    put('a', '2');
    await sleep(100);
    t.equal(node.values.get('a'), toStoredText('1'), 'the reads pause');
    node.intervalMs = intervalMs;
    const endsAtMs = systemClock.monotonic() + READ_WITHIN_MS;
    const hasChange = () => node.values.get('a') === toStoredText('2');
    while (!hasChange() && systemClock.monotonic() < endsAtMs) await sleep(10);
    t.equal(hasChange(), isRead);
  });
}

t.teardown(() => setTimeout(() => process.exit(), 100));
