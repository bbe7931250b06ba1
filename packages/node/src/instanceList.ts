import { isDeepStrictEqual } from 'node:util';
import type { Clock, Counters, TargetInstance } from '@monsoonreach/core';
import { decodeInstance, type KeyedRecord, RecordError } from '@monsoonreach/platform';
import type { DecisionLog } from './decisionLog.js';

/**
 * How long an entry that goes missing after an outage of the store is kept, in milliseconds: the platform says
 * that entries of living instances are back within two seconds.
 */
export const RESTORE_MS = 2_300;

/** The targets that the store lists; an entry that cannot be read names no target. */
export class InstanceList {
  private readonly _instances = new Map<string, TargetInstance>();
  /** Entries that went missing after an outage, with the time until which they are kept. */
  private readonly _missing = new Map<string, number>();
  private readonly _changedAtMs = new Map<string, number>();
  private _version = 0;
  private _grownAtMs = -Infinity;

  constructor(
    private readonly _clock: Clock,
    private readonly _log: DecisionLog,
    private readonly _counters: Counters,
    /** Monotonic time at which the store came back last. */
    private readonly _storeRegainedAtMs: () => number,
  ) {}

  get instances(): ReadonlyMap<string, TargetInstance> {
    return this._instances;
  }

  /** Changes whenever an instance does. */
  get version(): number {
    return this._version;
  }

  /** Monotonic time at which an instance was listed for the first time. */
  get grownAtMs(): number {
    return this._grownAtMs;
  }

  /** Monotonic time at which the instance's entry was last seen to change. */
  changedAtMs(id: string): number {
    return this._changedAtMs.get(id) ?? -Infinity;
  }

  get(id: string): TargetInstance | undefined {
    return this._instances.get(id);
  }

  /** Takes the newest entry of every instance. */
  takeAll(records: readonly KeyedRecord[]): void {
    const keys = new Set(records.map(({ key }) => key));
    for (const id of this._instances.keys()) if (!keys.has(id)) this._remove(id);
    this.takeChanges(records);
  }

  /** Takes changed entries in order. */
  takeChanges(records: readonly KeyedRecord[]): void {
    for (const { key, value } of records) {
      const instance = value && this._decode(key, value);
      if (instance) this._put(instance);
      else this._remove(key);
    }
    this.expire();
  }

  /** Drops entries that did not come back in time. */
  expire(): void {
    const nowMs = this._clock.monotonic();
    for (const [id, untilMs] of this._missing) {
      if (nowMs < untilMs) continue;
      this._missing.delete(id);
      this._drop(id);
    }
  }

  private _put(instance: TargetInstance): void {
    this._missing.delete(instance.id);
    const before = this._instances.get(instance.id);
    if (before && before.state !== instance.state) {
      this._log.info('target changed', { target: instance.id, state: instance.state });
    }
    if (!before) this._grownAtMs = this._clock.monotonic();
    if (before && isDeepStrictEqual(before, instance)) return;
    this._changedAtMs.set(instance.id, this._clock.monotonic());
    this._instances.set(instance.id, instance);
    this._version++;
  }

  private _remove(id: string): void {
    if (!this._instances.has(id)) return;
    const untilMs = this._storeRegainedAtMs() + RESTORE_MS;
    if (this._clock.monotonic() < untilMs) {
      this._missing.set(id, untilMs);
      return;
    }
    this._log.info('target gone', { target: id });
    this._drop(id);
  }

  private _drop(id: string): void {
    this._changedAtMs.delete(id);
    if (this._instances.delete(id)) this._version++;
  }

  private _decode(id: string, value: Uint8Array): TargetInstance | undefined {
    try {
      return decodeInstance(id, value);
    } catch (error) {
      if (!(error instanceof RecordError)) throw error;
      this._counters.add('monsoonreach_unreadable_entries_total');
      this._log.warn('entry names no target', { target: id, error: error.message.slice(0, 200) });
      return undefined;
    }
  }
}
