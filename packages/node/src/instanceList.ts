import { isDeepStrictEqual } from 'node:util';
import type { Clock, Counters, TargetInstance } from '@monsoonreach/core';
import {
  DecodeError,
  decodeInstanceEntry,
  type InstanceEntry,
  type KeyedRecord,
} from '@monsoonreach/platform';
import type { DecisionLog } from './decisionLog.js';

/**
 * Time for which an entry that is missing after an outage of the store is kept, in milliseconds: the platform states
 * that entries of live instances are back within two seconds.
 */
export const MISSING_ENTRY_GRACE_MS = 2_300;

/**
 * Time after a restore of the store for which a snapshot may hold entries that are older than those that were read
 * before, in milliseconds: live instances write theirs again within two seconds, and those of others expire in less than
 * four.
 */
const RESTORE_GRACE_MS = 5_000;
/** Time for which a removed instance is remembered, in milliseconds; longer than a restored copy is old. */
export const REMOVED_TTL_MS = 60_000;

/** When this node last had contact with the store, as monotonic times. */
export interface StoreContact {
  /** Time at which the store was last reached again after an outage or a restore; -Infinity if it always was. */
  readonly reconnectedAtMs: number;
  /** Time at which the store was found to be restored from an older copy; -Infinity if it never was. */
  readonly restoredAtMs: number;
  /** Time at which the list was last known to be current. */
  readonly currentAtMs: number;
}

interface RemovedInstance {
  /** The last one that was read. */
  readonly entry: InstanceEntry;
  readonly removedAtMs: number;
}

/**
 * The instances that the store lists, without entries that cannot be decoded. After a restore of the store, an entry
 * that is older than what was read before does not count.
 */
export class InstanceList {
  private readonly _instances = new Map<string, TargetInstance>();
  private readonly _revisions = new Map<string, number>();
  /** Instances that were removed lately, with their last entry. */
  private readonly _removed = new Map<string, RemovedInstance>();
  /** Entries of removed instances that a restored store shows again, until it is known whether they are written again. */
  private readonly _withheld = new Map<string, InstanceEntry>();
  /** The latest restore: its monotonic time, and whether what the store shows is up to date since. */
  private _restore = { atMs: -Infinity, isOver: true };
  /** Entries that are missing after an outage, with the monotonic time until which they are kept. */
  private readonly _missing = new Map<string, number>();
  private readonly _changedAtMs = new Map<string, number>();
  /** Until when instances are cold, as monotonic time, for this start of each. */
  private readonly _cold = new Map<string, { readonly startedAtMs: number; readonly untilMs: number }>();
  private _version = 0;
  private _lastAddedAtMs = -Infinity;

  constructor(
    private readonly _clock: Clock,
    private readonly _log: DecisionLog,
    private readonly _counters: Counters,
    private readonly _contact: StoreContact,
  ) {}

  get instances(): ReadonlyMap<string, TargetInstance> {
    return this._instances;
  }

  /** Increases whenever an instance changes. */
  get version(): number {
    return this._version;
  }

  /** Monotonic time at which the list was last known to be current. */
  get currentAtMs(): number {
    return this._contact.currentAtMs;
  }

  /** Monotonic time at which an instance was last added; -Infinity before the first. */
  get lastAddedAtMs(): number {
    return this._lastAddedAtMs;
  }

  /** Monotonic time at which the instance's entry last changed; -Infinity if it is not listed. */
  changedAtMs(id: string): number {
    return this._changedAtMs.get(id) ?? -Infinity;
  }

  /** Monotonic time until which the listed instance is cold; -Infinity if it is not known to be. */
  getColdUntilMs({ id, startedAtMs }: Pick<TargetInstance, 'id' | 'startedAtMs'>): number {
    const cold = this._cold.get(id);
    return cold?.startedAtMs === startedAtMs ? cold.untilMs : -Infinity;
  }

  /**
   * Records that an instance stays cold for this time from now. A shorter time does not shorten a longer one: it may have
   * been stated before the instance became cold, and is read late.
   */
  recordCold({ id, startedAtMs }: Pick<TargetInstance, 'id' | 'startedAtMs'>, coldRemainingMs: number): void {
    if (coldRemainingMs <= 0 || startedAtMs < (this._cold.get(id)?.startedAtMs ?? -Infinity)) return;
    const untilMs = this._clock.monotonic() + coldRemainingMs;
    this._cold.set(id, { startedAtMs, untilMs: Math.max(untilMs, this.getColdUntilMs({ id, startedAtMs })) });
  }

  get(id: string): TargetInstance | undefined {
    return this._instances.get(id);
  }

  /** Instances that were removed lately, as their last entries show them, and the monotonic times of that. */
  listRemoved(): readonly { readonly instance: TargetInstance; readonly removedAtMs: number }[] {
    return [...this._removed.values()].map(({ entry: { instance }, removedAtMs }) => ({
      instance,
      removedAtMs,
    }));
  }

  /** Replaces the list by the newest entry of every instance. */
  replaceAll(records: readonly KeyedRecord[]): void {
    const keys = new Set(records.map(({ key }) => key));
    for (const id of this._instances.keys()) if (!keys.has(id)) this._remove(id);
    this._apply(records, this._isRestoring() ? (entry) => this._isFromCopy(entry) : () => false);
  }

  /** Applies changed entries, in order. */
  applyChanges(records: readonly KeyedRecord[]): void {
    this._apply(records, () => false);
  }

  /** Removes entries that did not reappear in time after an outage, and adds those that outlived a restore. */
  removeExpired(): void {
    // What the list lacks is known only from contact.
    const { currentAtMs } = this._contact;
    for (const [id, untilMs] of this._missing) {
      if (currentAtMs < untilMs) continue;
      this._missing.delete(id);
      this._delete(id);
    }
    const nowMs = this._clock.monotonic();
    for (const [id, { removedAtMs }] of this._removed) {
      if (nowMs - removedAtMs > REMOVED_TTL_MS) this._removed.delete(id);
    }
    for (const [id, { untilMs }] of this._cold) if (nowMs > untilMs) this._cold.delete(id);
    if (this._isRestoring()) return;
    for (const entry of this._withheld.values()) this._put(entry);
    this._withheld.clear();
  }

  /** Whether a snapshot may hold older entries: until there is contact a time after the store was last back. */
  private _isRestoring(): boolean {
    const { restoredAtMs, reconnectedAtMs, currentAtMs } = this._contact;
    if (restoredAtMs > this._restore.atMs) this._restore = { atMs: restoredAtMs, isOver: false };
    if (!this._restore.isOver) {
      const isOver = currentAtMs >= Math.max(restoredAtMs, reconnectedAtMs) + RESTORE_GRACE_MS;
      this._restore = { ...this._restore, isOver };
    }
    return !this._restore.isOver;
  }

  private _apply(records: readonly KeyedRecord[], isFromCopy: (entry: InstanceEntry) => boolean): void {
    for (const { key, value } of records) {
      const entry = value && this._decode(key, value);
      if (!entry) this._remove(key);
      else if (!isFromCopy(entry)) this._put(entry);
      else if (this._instances.has(key)) this._missing.delete(key);
      else this._withheld.set(key, entry);
    }
    this.removeExpired();
  }

  /** Whether an entry of a restored store may be older than what was read of its instance before. */
  private _isFromCopy(entry: InstanceEntry): boolean {
    const { id } = entry.instance;
    const listed = this._instances.get(id);
    if (listed) return isOlder(entry, { instance: listed, revision: this._revisions.get(id) ?? 0 });
    // What was read of a removed instance need not be its last entry.
    const removed = this._removed.get(id);
    return removed !== undefined && entry.instance.startedAtMs <= removed.entry.instance.startedAtMs;
  }

  private _put({ instance, revision, coldRemainingMs }: InstanceEntry): void {
    this._missing.delete(instance.id);
    this._withheld.delete(instance.id);
    this._removed.delete(instance.id);
    const previous = this._instances.get(instance.id);
    // A snapshot repeats entries that were read before; their time has run since.
    const isRepeated =
      previous?.startedAtMs === instance.startedAtMs &&
      revision > 0 &&
      revision === this._revisions.get(instance.id);
    if (!isRepeated) this.recordCold(instance, coldRemainingMs);
    this._revisions.set(instance.id, revision);
    if (previous && previous.state !== instance.state) {
      this._log.info('target state changed', { target: instance.id, state: instance.state });
    }
    if (!previous) this._lastAddedAtMs = this._clock.monotonic();
    if (previous && isDeepStrictEqual(previous, instance)) return;
    this._changedAtMs.set(instance.id, this._clock.monotonic());
    this._instances.set(instance.id, instance);
    this._version++;
  }

  private _remove(id: string): void {
    this._withheld.delete(id);
    if (!this._instances.has(id)) return;
    const untilMs = this._contact.reconnectedAtMs + MISSING_ENTRY_GRACE_MS;
    if (this._clock.monotonic() < untilMs) {
      this._missing.set(id, untilMs);
      return;
    }
    this._log.info('target removed', { target: id });
    this._delete(id);
  }

  private _delete(id: string): void {
    const instance = this._instances.get(id);
    if (!instance) return;
    const entry = { instance, revision: this._revisions.get(id) ?? 0, coldRemainingMs: 0 };
    this._removed.set(id, { entry, removedAtMs: this._clock.monotonic() });
    this._revisions.delete(id);
    this._changedAtMs.delete(id);
    this._cold.delete(id);
    this._instances.delete(id);
    this._version++;
  }

  private _decode(id: string, value: Uint8Array): InstanceEntry | undefined {
    try {
      return decodeInstanceEntry(id, value);
    } catch (error) {
      if (!(error instanceof DecodeError)) throw error;
      this._counters.add('monsoonreach_unreadable_entries_total');
      this._log.warn('instance entry cannot be decoded', { target: id, error: error.message.slice(0, 200) });
      return undefined;
    }
  }
}

/** Whether an entry was written before another one of the same instance; an instance that leaves does not come back. */
function isOlder(entry: InstanceEntry, other: Pick<InstanceEntry, 'instance' | 'revision'>): boolean {
  const { startedAtMs } = other.instance;
  if (entry.instance.startedAtMs !== startedAtMs) return entry.instance.startedAtMs < startedAtMs;
  if (entry.revision !== other.revision) return entry.revision < other.revision;
  return other.instance.state === 'leaving';
}
