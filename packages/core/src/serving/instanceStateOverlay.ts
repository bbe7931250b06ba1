import type { InstanceOrder } from './formationPlanner.js';
import { isServingState, type MemberState, type TargetInstance } from './targetInstance.js';

/** Maximum lag of a report behind the instance's state, in milliseconds: 200 in the engine, the rest for the call. */
export const MAX_REPORT_LAG_MS = 300;
/** Maximum time until the list shows the effect of an order, in milliseconds: its refresh interval plus its lag. */
const LIST_LAG_MS = 1_300;
/** Time for which the state of an instance that is not listed is kept, in milliseconds; longer than a partition. */
const UNLISTED_TTL_MS = 60_000;

/** Where a state comes from: the instance's own report, or an order that it has started. */
export type StateSource = 'report' | InstanceOrder['kind'];

/** State of an instance at a number of orders. */
interface KnownState {
  readonly source: StateSource;
  readonly instance: TargetInstance;
  /** Number of orders that the instance had started in this state; undefined if it is another than was known. */
  readonly orderCount: number | undefined;
  /** Highest epoch of the groups that this incarnation is known to have joined; -1 if it joined none. */
  readonly highestEpoch: number;
  readonly recordedAtMs: number;
  /** Time by which the list should show this state. */
  readonly expiresAtMs: number;
}

/** The instance list as last read. */
export interface InstanceEntries {
  readonly instances: ReadonlyMap<string, TargetInstance>;
  /** Monotonic time when the instance's entry was last seen to change, in milliseconds. */
  changedAtMs(id: string): number;
  /** Monotonic time at which the list was last known to be current, in milliseconds. */
  readonly currentAtMs: number;
}

/**
 * Overlays the instance list with what is known at a number of orders: from the instances' own reports, and from the
 * orders that they have started. An instance changes its group only by starting an order, so an order that is sent on
 * condition of that number finds the instance in the group that the order was decided on, or does nothing.
 *
 * Entries name no number of orders. An entry with another group counts only if it must be newer, and then no order can
 * be sent before the instance was asked.
 */
export class InstanceStateOverlay {
  private readonly _states = new Map<string, KnownState>();

  /** Records that the instance has started the order, its `orderCount`th. */
  recordOrderStart(order: InstanceOrder, orderCount: number, nowMs: number): void {
    const { instance } = order;
    // The list does not show a model as staged until its weights are loaded.
    const lagMs = LIST_LAG_MS + (order.kind === 'stage' ? order.model.loadMs : 0);
    const joinedEpoch = order.kind === 'join' ? order.epoch : -1;
    this._states.set(instance.id, {
      source: order.kind,
      instance: predictEffect(order),
      orderCount,
      highestEpoch: Math.max(joinedEpoch, getEpoch(instance), this._getHighestEpoch(instance)),
      recordedAtMs: nowMs,
      expiresAtMs: nowMs + lagMs,
    });
  }

  /**
   * Records that an instance has refused an order since it has begun another number of orders. What is known of its group
   * holds until its next report, which counts also with a lower number: an order that is already in progress is
   * acknowledged without being counted.
   */
  recordRefusal(id: string): void {
    const known = this._states.get(id);
    if (known) this._states.set(id, { ...known, orderCount: undefined });
  }

  /** Records an instance's own report. */
  recordReport(instance: TargetInstance, orderCount: number, nowMs: number): void {
    const previous = this._states.get(instance.id);
    if (previous && isOlder(instance, orderCount, previous)) return;
    const isOpening =
      previous?.source === 'open' &&
      isSameIncarnation(previous, instance) &&
      previous.orderCount === orderCount;
    const reported = isOpening ? keepServing(instance, previous.instance) : instance;
    const source = isOpening && reported !== instance ? 'open' : 'report';
    this._states.set(instance.id, {
      source,
      instance: reported,
      orderCount,
      highestEpoch: Math.max(getEpoch(reported), this._getHighestEpoch(instance)),
      recordedAtMs: nowMs,
      expiresAtMs: nowMs + LIST_LAG_MS,
    });
  }

  /**
   * Number of orders that the instance has started in this state, as the condition of an order that is decided on it;
   * undefined if it is not known for the instance's group.
   */
  getOrderCount(instance: TargetInstance): number | undefined {
    const known = this._states.get(instance.id);
    return known && isSameIncarnation(known, instance) && isSameGroup(known.instance, instance)
      ? known.orderCount
      : undefined;
  }

  /** Where the overlay's state of an instance comes from; undefined if it has none. */
  getSource(id: string): StateSource | undefined {
    return this._states.get(id)?.source;
  }

  /** Membership state from the overlay alone; undefined if unknown. */
  getMemberState(id: string): MemberState | undefined {
    return this._states.get(id)?.instance.membership?.state;
  }

  /** Returns the listed instances, with the overlay's state where that is newer. */
  merge(entries: InstanceEntries): ReadonlyMap<string, TargetInstance> {
    const merged = new Map(entries.instances);
    for (const [id, known] of this._states) {
      const entry = entries.instances.get(id);
      if (!entry) {
        if (entries.currentAtMs - known.recordedAtMs > UNLISTED_TTL_MS) this._states.delete(id);
      } else if (entry.startedAtMs > known.instance.startedAtMs) this._states.delete(id);
      else merged.set(id, mergeEntry(known, entry, entries.changedAtMs(id), entries.currentAtMs));
    }
    return merged;
  }

  /**
   * Ids of the listed instances that have to be asked: their entry still shows another group than is known, or another
   * state than a report of about the same time, and either may be older.
   */
  listContradicted(entries: InstanceEntries): readonly string[] {
    return [...this._states].flatMap(([id, known]) => {
      const entry = entries.instances.get(id);
      if (entry?.startedAtMs !== known.instance.startedAtMs) return [];
      const isContradicted = isSameGroup(entry, known.instance)
        ? isUndecided(known, entry, entries.changedAtMs(id))
        : entries.currentAtMs >= known.expiresAtMs;
      return isContradicted ? [id] : [];
    });
  }

  private _getHighestEpoch(instance: TargetInstance): number {
    const known = this._states.get(instance.id);
    return known && isSameIncarnation(known, instance) ? known.highestEpoch : -1;
  }
}

/** Whether a report shows the instance before the known state. */
function isOlder({ startedAtMs }: TargetInstance, orderCount: number, known: KnownState): boolean {
  if (startedAtMs !== known.instance.startedAtMs) return startedAtMs < known.instance.startedAtMs;
  return known.orderCount !== undefined && orderCount < known.orderCount;
}

/** Predicts the state that an instance announces once it has started an order. */
function predictEffect(order: InstanceOrder): TargetInstance {
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
  known: KnownState,
  entry: TargetInstance,
  entryChangedAtMs: number,
  /** While the list cannot be read, it does not show the effect of an order either. */
  listAtMs: number,
): TargetInstance {
  const newer = { ...known.instance, state: entry.state };
  if (entry.startedAtMs < known.instance.startedAtMs) return newer;
  if (!isSameGroup(entry, known.instance))
    return isEntryNewer(known, entry, entryChangedAtMs) ? entry : newer;
  switch (known.source) {
    case 'report':
      if (entryChangedAtMs >= known.recordedAtMs) return entry;
      // Either of the two may be older.
      if (entryChangedAtMs >= known.recordedAtMs - MAX_REPORT_LAG_MS) return keepServing(newer, entry);
      return newer;
    case 'open':
      // Only the planner closes a head, so it serves until the list shows a state that follows the opening.
      return isBeforeOpen(entry, known.instance) ? newer : entry;
    case 'close':
      return listAtMs < known.expiresAtMs && isServing(entry) ? newer : entry;
    case 'join':
    case 'leave':
      return entry;
    case 'stage':
      return listAtMs < known.expiresAtMs && !isStaged(known.instance, entry) ? newer : entry;
  }
}

/** Whether an entry with another group must have been written after the known state. */
function isEntryNewer(known: KnownState, entry: TargetInstance, entryChangedAtMs: number): boolean {
  const lagMs = known.source === 'report' ? MAX_REPORT_LAG_MS : 0;
  if (entryChangedAtMs < known.recordedAtMs - lagMs) return false;
  // One without a group may have been written before the join, whenever it arrives.
  return getEpoch(entry) > known.highestEpoch;
}

/** Whether an entry of the same group shows another state than a report, and neither is known to be newer. */
function isUndecided(known: KnownState, entry: TargetInstance, entryChangedAtMs: number): boolean {
  const sinceMs = known.recordedAtMs - entryChangedAtMs;
  if (known.source !== 'report' || sinceMs <= 0 || sinceMs > MAX_REPORT_LAG_MS) return false;
  const { membership, stagedModels } = known.instance;
  return entry.membership?.state !== membership?.state || entry.stagedModels.join() !== stagedModels.join();
}

/** Returns `preferred`, with the membership of `other` if that shows the group open and `preferred` the state before. */
function keepServing(preferred: TargetInstance, other: TargetInstance): TargetInstance {
  return isServing(other) && isBeforeOpen(preferred, other)
    ? { ...preferred, membership: other.membership }
    : preferred;
}

function isBeforeOpen(instance: TargetInstance, opened: TargetInstance): boolean {
  const state = instance.membership?.state;
  return isSameGroup(instance, opened) && (state === 'ready' || state === 'joining');
}

function isServing({ membership }: TargetInstance): boolean {
  return isServingState(membership?.state);
}

function isSameIncarnation(known: KnownState, { startedAtMs }: TargetInstance): boolean {
  return known.instance.startedAtMs === startedAtMs;
}

function isSameGroup(a: TargetInstance, b: TargetInstance): boolean {
  return a.membership?.epoch === b.membership?.epoch && a.membership?.group === b.membership?.group;
}

function isStaged(expected: TargetInstance, entry: TargetInstance): boolean {
  return expected.stagedModels.every((model) => entry.stagedModels.includes(model));
}

function getEpoch({ membership }: TargetInstance): number {
  return membership?.epoch ?? -1;
}
