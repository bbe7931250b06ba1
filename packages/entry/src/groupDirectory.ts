import {
  type Clock,
  type Configuration,
  type Group,
  type Groups,
  type LeaseGrant,
  Loads,
  RecentLosses,
  type RouteCandidate,
  Stragglers,
  WHOLE_LEASE_MS,
  WholeLeases,
} from '@monsoonreach/core';
import type { GroupLease } from '@monsoonreach/peers';

export interface GroupDirectoryOptions {
  readonly clock: Clock;
  /** State of the control stream. */
  readonly groups: () => Groups;
  readonly configuration: () => Configuration | undefined;
  readonly isLeaving: (address: string) => boolean;
  readonly regionOf: (address: string) => string;
}

/** Knows which groups can take requests now, and tracks their load, latency and losses. */
export class GroupDirectory {
  readonly loads: Loads;
  readonly stragglers: Stragglers;
  readonly recentLosses: RecentLosses;
  private readonly _leases: WholeLeases;
  private readonly _reportedBroken = new Set<string>();
  private readonly _lostListeners = new Set<(group: string) => void>();
  private readonly _wholeListeners = new Set<(group: string, seenAtMs: number) => void>();

  constructor(private readonly _options: GroupDirectoryOptions) {
    this.loads = new Loads(_options.clock);
    this.stragglers = new Stragglers(_options.clock);
    this.recentLosses = new RecentLosses(_options.clock);
    this._leases = new WholeLeases(_options.clock);
  }

  /** Calls the listener with the id of each group that a steward reports as broken. */
  onLost(listener: (group: string) => void): void {
    this._lostListeners.add(listener);
  }

  /** Calls the listener with each group that a steward reports as whole, and when its members were seen. */
  onWhole(listener: (group: string, seenAtMs: number) => void): void {
    this._wholeListeners.add(listener);
  }

  /** Applies a steward's answer to a query that was sent at this monotonic time. */
  renewLeases(querySentAtMs: number, leases: readonly GroupLease[]): void {
    const grants = leases.map(({ group, epoch, remainingMs }): LeaseGrant => ({
      group,
      epoch: Number(epoch),
      remainingMs,
    }));
    this._leases.renew(querySentAtMs, grants);
    for (const lease of leases) {
      this.loads.report(lease.group, lease.inFlight, lease.loadAgeMs);
      this._reportIfBroken(lease);
      this._reportIfWhole(lease, querySentAtMs);
    }
  }

  private _reportIfWhole({ group, remainingMs }: GroupLease, querySentAtMs: number): void {
    if (remainingMs <= 0) return;
    const seenAtMs = querySentAtMs + Math.min(remainingMs, WHOLE_LEASE_MS) - WHOLE_LEASE_MS;
    for (const listener of this._wholeListeners) listener(group, seenAtMs);
  }

  /** Reports a broken group once, not with each answer that still shows it broken. */
  private _reportIfBroken({ group, missing, remainingMs }: GroupLease): void {
    if (remainingMs > 0) this._reportedBroken.delete(group);
    if (missing.length === 0 || this._reportedBroken.has(group)) return;
    this._reportedBroken.add(group);
    this.recentLosses.recordLoss(group);
    for (const listener of this._lostListeners) listener(group);
  }

  /** Call it on a steady timer. A late call, as after a pause of the process, drops all leases and returns true. */
  tick(): boolean {
    const groups = new Set(
      this._options
        .groups()
        .groups()
        .map(({ id }) => id),
    );
    this.loads.retain(groups);
    this.stragglers.retain(groups);
    for (const group of this._reportedBroken) if (!groups.has(group)) this._reportedBroken.delete(group);
    return this._leases.tick();
  }

  /**
   * Revokes the lease of a group that refused a connection or is broken; it serves again once a steward reports it
   * whole. Its requests in progress go on.
   */
  markLost(group: string): void {
    this._leases.revoke(group);
    this.recentLosses.recordLoss(group);
  }

  /** Groups of the model that can take requests now. */
  candidates(model: string): readonly RouteCandidate[] {
    const settings = this._options.configuration()?.model[model];
    if (!settings) return [];
    return this._options
      .groups()
      .groups()
      .filter((group) => group.model === model && this.isServing(group))
      .map((group) => ({
        id: group.id,
        region: this._options.regionOf(group.members[0]?.address ?? ''),
        concurrency: settings['group-concurrency'],
      }));
  }

  /** Whether the group can take requests now; checked again right before each dispatch. */
  isServing(group: Group): boolean {
    return !this._isEnding(group) && this._leases.find(group.id, group.epoch) !== undefined;
  }

  /** Whether the group is being dissolved, or is gone, or a member is leaving. */
  isEnding(id: string): boolean {
    const group = this.findGroup(id);
    return group === undefined || this._isEnding(group);
  }

  findGroup(id: string): Group | undefined {
    return this._options.groups().findGroup(id);
  }

  private _isEnding(group: Group): boolean {
    if (group.dissolvedAt !== undefined) return true;
    const groups = this._options.groups();
    return group.members.some(
      ({ address }) => this._options.isLeaving(address) || groups.isDraining(address),
    );
  }
}
