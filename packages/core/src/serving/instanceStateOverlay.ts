import type { InstanceOrder } from './formationPlanner.js';
import type { MemberState, TargetInstance } from './targetInstance.js';

/** Maximum lag of a report behind the instance's state, in milliseconds: 200 in the engine, the rest for the call. */
export const MAX_REPORT_LAG_MS = 300;
/** Maximum time until the list shows the effect of an order, in milliseconds: its refresh interval plus its lag. */
const LIST_LAG_MS = 1_300;

/** Where a state comes from: the instance's own report, or an order that it has started. */
export type StateSource = 'report' | InstanceOrder['kind'];

/** State of an instance that may be newer than its entry in the list. */
interface OverlayEntry {
  readonly source: StateSource;
  readonly instance: TargetInstance;
  /** Number of orders that the instance has started so far. */
  readonly orderCount: number;
  readonly recordedAtMs: number;
  /** Until when a state predicted from an order overrides the list; `open` does not expire. */
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
 * Overlays the instance list with newer state: from the instances' own reports and the orders that they have started.
 * List and reports both lag: where either may be older, a head that one of them shows as serving counts as serving.
 */
export class InstanceStateOverlay {
  private readonly _entries = new Map<string, OverlayEntry>();

  /** Records that the instance has started the order, its `orderCount`th. */
  recordOrderStart(order: InstanceOrder, orderCount: number, nowMs: number): void {
    // The list does not show a model as staged until its weights are loaded.
    const lagMs = LIST_LAG_MS + (order.kind === 'stage' ? order.model.loadMs : 0);
    this._entries.set(order.instance.id, {
      source: order.kind,
      instance: predictEffect(order),
      orderCount,
      recordedAtMs: nowMs,
      expiresAtMs: nowMs + lagMs,
    });
  }

  /** Records an instance's own report. */
  recordReport(instance: TargetInstance, orderCount: number, nowMs: number): void {
    const previous = this._entries.get(instance.id);
    const isSameIncarnation = previous?.instance.startedAtMs === instance.startedAtMs;
    // The report predates an order that the instance has started since.
    if (previous && isSameIncarnation && previous.orderCount > orderCount) return;
    const isOpening = previous?.source === 'open' && isSameIncarnation && previous.orderCount === orderCount;
    const reported = isOpening ? keepServing(instance, previous.instance) : instance;
    const source = isOpening && reported !== instance ? 'open' : 'report';
    this._entries.set(instance.id, {
      source,
      instance: reported,
      orderCount,
      recordedAtMs: nowMs,
      expiresAtMs: nowMs + LIST_LAG_MS,
    });
  }

  /** Number of orders that this incarnation of the instance has started; undefined if unknown. */
  getOrderCount(instance: TargetInstance): number | undefined {
    const overlay = this._entries.get(instance.id);
    return overlay?.instance.startedAtMs === instance.startedAtMs ? overlay.orderCount : undefined;
  }

  /** Where the overlay's state of an instance comes from; undefined if it has none. */
  getSource(id: string): StateSource | undefined {
    return this._entries.get(id)?.source;
  }

  /** Membership state from the overlay alone; undefined if unknown. */
  getMemberState(id: string): MemberState | undefined {
    return this._entries.get(id)?.instance.membership?.state;
  }

  /** Returns the listed instances, with the overlay's state where that is newer. */
  merge(entries: InstanceEntries): ReadonlyMap<string, TargetInstance> {
    const merged = new Map(entries.instances);
    for (const [id, overlay] of this._entries) {
      const entry = entries.instances.get(id);
      if (!entry || entry.startedAtMs !== overlay.instance.startedAtMs) this._entries.delete(id);
      else merged.set(id, mergeEntry(overlay, entry, entries.changedAtMs(id), entries.currentAtMs));
    }
    return merged;
  }
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
  overlay: OverlayEntry,
  entry: TargetInstance,
  entryChangedAtMs: number,
  /** While the list cannot be read, it does not show the effect of an order either. */
  listAtMs: number,
): TargetInstance {
  const newer = { ...overlay.instance, state: entry.state };
  switch (overlay.source) {
    case 'report':
      if (entryChangedAtMs >= overlay.recordedAtMs) return entry;
      // Either of the two may be older.
      if (entryChangedAtMs >= overlay.recordedAtMs - MAX_REPORT_LAG_MS) return keepServing(newer, entry);
      return newer;
    case 'open':
      // Only the planner closes a head, so it serves until the list shows a state that follows the opening.
      return isBeforeOpen(entry, overlay.instance) ? newer : entry;
    case 'join':
      return listAtMs < overlay.expiresAtMs && getEpoch(entry) < getEpoch(overlay.instance) ? newer : entry;
    case 'close':
      return listAtMs < overlay.expiresAtMs && isServing(entry) && isSameGroup(entry, overlay.instance)
        ? newer
        : entry;
    case 'leave':
      return listAtMs < overlay.expiresAtMs &&
        entry.membership &&
        entryChangedAtMs < overlay.recordedAtMs + MAX_REPORT_LAG_MS
        ? newer
        : entry;
    case 'stage':
      return listAtMs < overlay.expiresAtMs && !isStaged(overlay.instance, entry) ? newer : entry;
  }
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
  return membership?.state === 'open' || membership?.state === 'closing';
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
