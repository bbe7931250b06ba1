import { type Clock, Counters, systemClock } from '@monsoonreach/core';
import { DecisionLog, InstanceList } from '@monsoonreach/node';

/** Creates an empty list of a node whose contact with the store was never lost, with what it needs. */
export function createInstanceList({
  node = 'node-1',
  clock = systemClock,
}: { readonly node?: string; readonly clock?: Clock } = {}) {
  const counters = new Counters();
  const log = new DecisionLog(node, 'hidden', clock, counters);
  const list = new InstanceList(clock, log, counters, {
    reconnectedAtMs: -Infinity,
    restoredAtMs: -Infinity,
    get currentAtMs() {
      return clock.monotonic();
    },
  });
  return { list, log, counters };
}

/** Replaces the list by these entries, by id. */
export function replaceList(list: InstanceList, entries: Iterable<readonly [string, unknown]>): void {
  list.replaceAll([...entries].map(([key, entry]) => ({ key, value: Buffer.from(JSON.stringify(entry)) })));
}
