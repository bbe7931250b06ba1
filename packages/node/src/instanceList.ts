import { isDeepStrictEqual } from 'node:util';
import type { Clock, Counters, TargetInstance } from '@monsoonreach/core';
import { decodeInstance, type KeyedRecord, DecodeError } from '@monsoonreach/platform';
import type { DecisionLog } from './decisionLog.js';

/**
 * Time for which an entry that is missing after an outage of the store is kept, in milliseconds: the platform states
 * that entries of live instances are back within two seconds.
 */
export const MISSING_ENTRY_GRACE_MS = 2_300;

/** When this node last had contact with the store, as monotonic times. */
export interface StoreContact {
  /** Time at which the store was last reached again after an outage; -Infinity if it always was. */
  readonly reconnectedAtMs: number;
  /** Time at which the list was last known to be current. */
  readonly currentAtMs: number;
}

/** The instances that the store lists, without entries that cannot be decoded. */
export class InstanceList {
  private readonly _instances = new Map<string, TargetInstance>();
  /** Entries that are missing after an outage, with the monotonic time until which they are kept. */
  private readonly _missing = new Map<string, number>();
  private readonly _changedAtMs = new Map<string, number>();
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

  get(id: string): TargetInstance | undefined {
    return this._instances.get(id);
  }

  /** Replaces the list by the newest entry of every instance. */
  replaceAll(records: readonly KeyedRecord[]): void {
    const keys = new Set(records.map(({ key }) => key));
    for (const id of this._instances.keys()) if (!keys.has(id)) this._remove(id);
    this.applyChanges(records);
  }

  /** Applies changed entries, in order. */
  applyChanges(records: readonly KeyedRecord[]): void {
    for (const { key, value } of records) {
      const instance = value && this._decode(key, value);
      if (instance) this._put(instance);
      else this._remove(key);
    }
    this.removeExpired();
  }

  /** Removes entries that did not reappear in time after an outage. */
  removeExpired(): void {
    const nowMs = this._clock.monotonic();
    for (const [id, untilMs] of this._missing) {
      if (nowMs < untilMs) continue;
      this._missing.delete(id);
      this._delete(id);
    }
  }

  private _put(instance: TargetInstance): void {
    this._missing.delete(instance.id);
    const previous = this._instances.get(instance.id);
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
    this._changedAtMs.delete(id);
    if (this._instances.delete(id)) this._version++;
  }

  private _decode(id: string, value: Uint8Array): TargetInstance | undefined {
    try {
      return decodeInstance(id, value);
    } catch (error) {
      if (!(error instanceof DecodeError)) throw error;
      this._counters.add('monsoonreach_unreadable_entries_total');
      this._log.warn('instance entry cannot be decoded', { target: id, error: error.message.slice(0, 200) });
      return undefined;
    }
  }
}
