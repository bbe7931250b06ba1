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
  WholeLeases,
} from '@monsoonreach/core';
import type { GroupLease } from '@monsoonreach/peers';

/** What a directory is made of. */
export interface GroupDirectoryOptions {
  readonly clock: Clock;
  /** Groups as the log has them. */
  readonly groups: () => Groups;
  readonly configuration: () => Configuration | undefined;
  readonly isLeaving: (address: string) => boolean;
  readonly regionOf: (address: string) => string;
}

/** Which groups may be given work now, and what is known of their load. */
export class GroupDirectory {
  readonly loads: Loads;
  readonly stragglers: Stragglers;
  readonly losses: RecentLosses;
  private readonly _leases: WholeLeases;
  private readonly _knownBroken = new Set<string>();
  private readonly _lostListeners = new Set<(group: string) => void>();

  constructor(private readonly _options: GroupDirectoryOptions) {
    this.loads = new Loads(_options.clock);
    this.stragglers = new Stragglers(_options.clock);
    this.losses = new RecentLosses(_options.clock);
    this._leases = new WholeLeases(_options.clock);
  }

  /** Calls the listener with each group that is seen to be broken. */
  onLost(listener: (group: string) => void): void {
    this._lostListeners.add(listener);
  }

  /** Takes in a steward's answer to a query sent at this monotonic time. */
  takeLeases(querySentAtMs: number, leases: readonly GroupLease[]): void {
    const grants = leases.map(({ group, epoch, remainingMs }): LeaseGrant => ({
      group,
      epoch: Number(epoch),
      remainingMs,
    }));
    this._leases.renew(querySentAtMs, grants);
    for (const lease of leases) {
      this.loads.report(lease.group, lease.inFlight, lease.loadAgeMs);
      this._noteMissing(lease);
    }
  }

  /** Tells of a broken group once, not with each answer that still shows it broken. */
  private _noteMissing({ group, missing, remainingMs }: GroupLease): void {
    if (remainingMs > 0) this._knownBroken.delete(group);
    if (missing.length === 0 || this._knownBroken.has(group)) return;
    this._knownBroken.add(group);
    this._tellLost(group);
  }

  /** Call it on a steady timer. */
  tick(): boolean {
    const groups = new Set(
      this._options
        .groups()
        .groups()
        .map(({ id }) => id),
    );
    this.loads.retain(groups);
    this.stragglers.retain(groups);
    for (const group of this._knownBroken) if (!groups.has(group)) this._knownBroken.delete(group);
    return this._leases.tick();
  }

  /** The group broke under a request: no new work until a steward sees it whole again. */
  reportLost(group: string): void {
    this._leases.revoke(group);
    this._tellLost(group);
  }

  /** Groups of a model that may be given work now. */
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

  /** Whether the group may be given work at this moment; checked again right before each dispatch. */
  isServing(group: Group): boolean {
    if (group.dissolvedAt !== undefined) return false;
    const groups = this._options.groups();
    const isLeaving = group.members.some(
      ({ address }) => this._options.isLeaving(address) || groups.isDraining(address),
    );
    return !isLeaving && this._leases.find(group.id, group.epoch) !== undefined;
  }

  findGroup(id: string): Group | undefined {
    return this._options.groups().findGroup(id);
  }

  private _tellLost(group: string): void {
    this.losses.note(group);
    for (const listener of this._lostListeners) listener(group);
  }
}
