import { type Clock, Counters, systemClock, type TargetInstance } from '@monsoonreach/core';
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

/** Returns the entry of an engine in group `old`, epoch 5, unless `group` tells otherwise. */
export function createMemberEntry(
  address: string,
  group: Partial<NonNullable<TargetInstance['membership']>>,
): unknown {
  return {
    service: 'engines',
    address,
    zone: 'zone-1',
    state: 'ready',
    domain: 'domain-1',
    staged: ['model-a'],
    models: [{ name: 'model-a' }],
    group: { name: 'old', epoch: 5, state: 'ready', ...group },
    born: 1,
  };
}
