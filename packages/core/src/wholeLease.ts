import type { Clock } from './clock.js';

/** How long a group may get work after all its members were last seen, in milliseconds. */
export const WHOLE_LEASE_MS = 2_500;

/** A longer gap between timer ticks means that the process was paused, in milliseconds. */
export const PAUSE_THRESHOLD_MS = 1_000;

/** Permission for an entry to dispatch to one group at one epoch. */
export interface WholeLease {
  readonly group: string;
  readonly epoch: number;
  /** Monotonic time at which it ends. */
  readonly endsAtMs: number;
}

/** A steward's answer for one group; `remainingMs` counts from when the query was sent. */
export interface LeaseGrant {
  readonly group: string;
  readonly epoch: number;
  readonly remainingMs: number;
}

/** Checks that tests can switch off, to show that the model then violates its properties. */
export interface LeaseGuards {
  readonly countsFromQuery: boolean;
}

/**
 * The whole leases that an entry holds. A group gets new work only under a lease that is valid on the
 * monotonic clock at the time of dispatch.
 */
export class WholeLeases {
  private readonly _leases = new Map<string, WholeLease>();
  /** When each group was last lost, as long as an answer from before that could grant a lease. */
  private readonly _lostAtMs = new Map<string, number>();
  private _lastTickMs: number;

  constructor(
    private readonly _clock: Clock,
    private readonly _guards: LeaseGuards = { countsFromQuery: true },
  ) {
    this._lastTickMs = _clock.monotonic();
  }

  /**
   * Applies the answer to a query that was sent at monotonic time `querySentAtMs`. A lost group gets a lease again
   * only if all its members were seen after the loss.
   */
  renew(querySentAtMs: number, grants: readonly LeaseGrant[]): void {
    const startMs = this._guards.countsFromQuery ? querySentAtMs : this._clock.monotonic();
    for (const grant of grants) {
      const held = this._leases.get(grant.group);
      if (held && held.epoch > grant.epoch) continue;
      if (grant.remainingMs <= 0) {
        this.revoke(grant.group);
        continue;
      }
      const endsAtMs = startMs + Math.min(grant.remainingMs, WHOLE_LEASE_MS);
      if (endsAtMs - WHOLE_LEASE_MS <= (this._lostAtMs.get(grant.group) ?? -Infinity)) continue;
      if (held?.epoch === grant.epoch && held.endsAtMs > endsAtMs) continue;
      this._leases.set(grant.group, { group: grant.group, epoch: grant.epoch, endsAtMs });
    }
  }

  /** Ends a lease at once, for instance because a member is gone. */
  revoke(group: string): void {
    this._leases.delete(group);
    this._lostAtMs.set(group, this._clock.monotonic());
  }

  /**
   * Call it periodically. A late call drops every lease, since the process may have been paused, and
   * returns true.
   */
  tick(): boolean {
    const nowMs = this._clock.monotonic();
    const isLate = nowMs - this._lastTickMs > PAUSE_THRESHOLD_MS;
    this._lastTickMs = nowMs;
    if (isLate) this._leases.clear();
    this._removeExpired(nowMs);
    return isLate;
  }

  /** The lease for a group at this epoch, if it is valid now. */
  find(group: string, epoch: number): WholeLease | undefined {
    const lease = this._leases.get(group);
    if (lease?.epoch !== epoch) return undefined;
    return lease.endsAtMs > this._clock.monotonic() ? lease : undefined;
  }

  private _removeExpired(nowMs: number): void {
    for (const [group, lease] of this._leases) {
      if (lease.endsAtMs <= nowMs) this._leases.delete(group);
    }
    for (const [group, atMs] of this._lostAtMs) {
      if (atMs + WHOLE_LEASE_MS <= nowMs) this._lostAtMs.delete(group);
    }
  }
}
