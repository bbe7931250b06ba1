import type { InstanceOrder } from './formationPlanner.js';
import type { MemberState, TargetInstance } from './targetInstance.js';

/** How far a report may lag behind what it describes, in milliseconds; engines say 200, a call takes some more. */
export const REPORT_LAG_MS = 300;
/** How long the effect of an order may be ahead of the list, in milliseconds; one interval of the list and its lag. */
const LIST_LAG_MS = 1_300;

/** What is known of an instance beside its entry in the list. */
interface Knowledge {
  /** What it was learnt from: the instance's own report, or an order that it has begun. */
  readonly source: 'report' | InstanceOrder['kind'];
  readonly instance: TargetInstance;
  /** Orders that the instance has begun so far. */
  readonly orderCount: number;
  readonly atMs: number;
  /** Until when it may go before the list. */
  readonly untilMs: number;
}

/** The list as it was last read. */
export interface InstanceEntries {
  readonly instances: ReadonlyMap<string, TargetInstance>;
  /** Monotonic time at which the instance's entry was last seen to change, in milliseconds. */
  changedAtMs(id: string): number;
}

/**
 * What a planner knows of instances ahead of the list: from their own reports, and from the orders that they have
 * begun. List and reports both lag, so a head that either of them shows as serving counts as serving.
 */
export class InstanceKnowledge {
  private readonly _known = new Map<string, Knowledge>();

  /** The instance has begun to carry out the order, its `orderCount`th. */
  noteBegun(order: InstanceOrder, orderCount: number, nowMs: number): void {
    // Until the weights are there, the list does not tell that a host stages them.
    const lagMs = LIST_LAG_MS + (order.kind === 'stage' ? order.model.loadMs : 0);
    this._known.set(order.instance.id, {
      source: order.kind,
      instance: expectEffect(order),
      orderCount,
      atMs: nowMs,
      untilMs: nowMs + lagMs,
    });
  }

  /** Takes an instance's own report. */
  noteReport(instance: TargetInstance, orderCount: number, nowMs: number): void {
    const before = this._known.get(instance.id);
    const isSameStart = before?.instance.startedAtMs === instance.startedAtMs;
    // A report from before an order that the instance has begun since says nothing new.
    if (before && isSameStart && before.orderCount > orderCount) return;
    const isOpening = before?.source === 'open' && isSameStart && before.orderCount === orderCount;
    const reported = isOpening ? keepServing(instance, before.instance) : instance;
    const source = isOpening && reported !== instance ? 'open' : 'report';
    this._known.set(instance.id, {
      source,
      instance: reported,
      orderCount,
      atMs: nowMs,
      untilMs: nowMs + LIST_LAG_MS,
    });
  }

  /** Orders that this start of the instance has begun so far; undefined when that is not known. */
  orderCount(instance: TargetInstance): number | undefined {
    const known = this._known.get(instance.id);
    return known?.instance.startedAtMs === instance.startedAtMs ? known.orderCount : undefined;
  }

  /** The state of the instance's membership as it is known beside the list. */
  memberState(id: string): MemberState | undefined {
    return this._known.get(id)?.instance.membership?.state;
  }

  /** What the list says, with what is known beside it where that is newer. */
  merge(entries: InstanceEntries, nowMs: number): ReadonlyMap<string, TargetInstance> {
    const merged = new Map(entries.instances);
    for (const [id, known] of this._known) {
      const entry = entries.instances.get(id);
      if (!entry || entry.startedAtMs !== known.instance.startedAtMs) this._known.delete(id);
      else merged.set(id, mergeEntry(known, entry, entries.changedAtMs(id), nowMs));
    }
    return merged;
  }
}

/** How an instance will describe itself when it has begun to carry out an order. */
function expectEffect(order: InstanceOrder): TargetInstance {
  const { instance } = order;
  switch (order.kind) {
    case 'join': {
      const rank = order.members.indexOf(instance.id);
      const membership = { group: order.group, epoch: order.epoch, rank, state: 'joining' as const };
      return { ...instance, membership, models: [order.model.name] };
    }
    case 'open':
      return withState(instance, 'open');
    case 'close':
      return withState(instance, 'closing');
    case 'leave':
      return { ...instance, membership: undefined };
    case 'stage':
      return { ...instance, stagedModels: [order.model.name] };
  }
}

function withState(instance: TargetInstance, state: MemberState): TargetInstance {
  return instance.membership ? { ...instance, membership: { ...instance.membership, state } } : instance;
}

function mergeEntry(
  known: Knowledge,
  entry: TargetInstance,
  entryChangedAtMs: number,
  nowMs: number,
): TargetInstance {
  const ahead = { ...known.instance, state: entry.state };
  switch (known.source) {
    case 'report':
      if (entryChangedAtMs >= known.atMs) return entry;
      // Which of the two is older cannot be told.
      if (entryChangedAtMs >= known.atMs - REPORT_LAG_MS) return keepServing(ahead, entry);
      return ahead;
    case 'open':
      // Nobody but the planner closes a head, so that it serves until the list shows something else than before.
      return isBeforeOpening(entry, known.instance) ? ahead : entry;
    case 'join':
      return nowMs < known.untilMs && epochOf(entry) < epochOf(known.instance) ? ahead : entry;
    case 'close':
      return nowMs < known.untilMs && isServing(entry) && isSameGroup(entry, known.instance) ? ahead : entry;
    case 'leave':
      return nowMs < known.untilMs && entry.membership && entryChangedAtMs < known.atMs + REPORT_LAG_MS
        ? ahead
        : entry;
    case 'stage':
      return nowMs < known.untilMs && !isStaged(known.instance, entry) ? ahead : entry;
  }
}

/** Of two descriptions of one instance, the preferred one, unless it stands before the opening that the other shows. */
function keepServing(preferred: TargetInstance, other: TargetInstance): TargetInstance {
  return isServing(other) && isBeforeOpening(preferred, other)
    ? { ...preferred, membership: other.membership }
    : preferred;
}

function isBeforeOpening(instance: TargetInstance, opened: TargetInstance): boolean {
  const state = instance.membership?.state;
  return isSameGroup(instance, opened) && (state === 'ready' || state === 'joining');
}

function isServing({ membership }: TargetInstance): boolean {
  return membership?.state === 'open' || membership?.state === 'closing';
}

function isSameGroup(a: TargetInstance, b: TargetInstance): boolean {
  return a.membership?.epoch === b.membership?.epoch && a.membership?.group === b.membership?.group;
}

function isStaged(expected: TargetInstance, entry: TargetInstance): boolean {
  return expected.stagedModels.every((model) => entry.stagedModels.includes(model));
}

function epochOf({ membership }: TargetInstance): number {
  return membership?.epoch ?? -1;
}
