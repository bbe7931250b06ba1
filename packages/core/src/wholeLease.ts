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
  private _lastTickMs: number;

  constructor(
    private readonly _clock: Clock,
    private readonly _guards: LeaseGuards = { countsFromQuery: true },
  ) {
    this._lastTickMs = _clock.monotonic();
  }

  /** Applies the answer to a query that was sent at monotonic time `querySentAtMs`. */
  renew(querySentAtMs: number, grants: readonly LeaseGrant[]): void {
    const startMs = this._guards.countsFromQuery ? querySentAtMs : this._clock.monotonic();
    for (const grant of grants) {
      const held = this._leases.get(grant.group);
      if (held && held.epoch > grant.epoch) continue;
      const endsAtMs = startMs + Math.min(grant.remainingMs, WHOLE_LEASE_MS);
      if (held?.epoch === grant.epoch && held.endsAtMs > endsAtMs && grant.remainingMs > 0) continue;
      this._leases.set(grant.group, { group: grant.group, epoch: grant.epoch, endsAtMs });
    }
  }

  /** Ends a lease at once, for instance because a member is gone. */
  revoke(group: string): void {
    this._leases.delete(group);
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
  }
}
