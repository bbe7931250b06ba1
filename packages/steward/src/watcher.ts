import {
  type Candidate,
  type Clock,
  type Group,
  type Groups,
  placeByRendezvous,
  WHOLE_LEASE_MS,
} from '@monsoonreach/core';
import type { Observation } from './prober.js';

/** Interval of a watcher's probes. A standby probes only while it replaces the primary. */
export const WATCH_PROBE_INTERVAL_MS = 1_000;
/** How often the inputs of the watcher placement are checked for changes. */
const PLACEMENT_CHECK_MS = 500;
/** The placement is computed again after this time even if its inputs have not changed. */
const MAX_PLACEMENT_AGE_MS = 10_000;
/** How long a standby replaces the primary after a report that the primary does not answer. */
const STANDBY_ACTIVE_MS = 5_000;

/** A watcher's report on one group, sent to the nodes that query its leases. */
export interface WatchedGroup {
  readonly group: string;
  readonly epoch: number;
  /** Remaining time of the whole lease, in milliseconds; 0 ends it. */
  readonly remainingMs: number;
  /** Requests in flight at the group's first member as of its last answered probe. */
  readonly inFlight: number;
  /** Age of `inFlight`. */
  readonly loadAgeMs: number;
  /** Members of a group that was whole which are now gone or no longer serve it. */
  readonly missing: readonly string[];
}

export interface WatcherOptions {
  readonly clock: Clock;
  readonly self: Candidate;
  readonly stewards: () => readonly Candidate[];
  readonly groups: () => Groups;
  readonly findObservation: (address: string) => Observation | undefined;
  readonly isLeaving: (address: string) => boolean;
  readonly failureDomainOf: (address: string) => string | undefined;
}

/** A group that this steward watches as primary or as standby. */
interface Placement {
  readonly group: Group;
  readonly primary: string;
}

/** How a member's probed status compares with the log. */
type MemberFinding = 'right' | 'unknown' | 'not-yet' | 'wrong';

/** Watches groups. Rendezvous hashing assigns each group a primary and a standby steward. */
export class Watcher {
  private readonly _lastWholeEpochs = new Map<string, number>();
  private readonly _unresponsiveUntilMs = new Map<string, number>();
  private _placements: readonly Placement[] = [];
  private _placementInputs = '';
  private _placedUntilMs = -Infinity;
  private _nextCheckMs = -Infinity;

  constructor(private readonly _options: WatcherOptions) {}

  /** Records that some entry gets no answer from these stewards. */
  recordUnresponsive(stewards: readonly string[]): void {
    const untilMs = this._options.clock.monotonic() + STANDBY_ACTIVE_MS;
    for (const steward of stewards) this._unresponsiveUntilMs.set(steward, untilMs);
  }

  /** Members to probe: probe intervals in milliseconds by address. */
  probeIntervals(): ReadonlyMap<string, number> {
    const targets = new Map<string, number>();
    for (const group of this._watched()) {
      for (const { address } of group.members) targets.set(address, WATCH_PROBE_INTERVAL_MS);
    }
    return targets;
  }

  /** Reports on the watched groups that are whole, were whole and broke, or have a leaving member. */
  report(): readonly WatchedGroup[] {
    return this._watched().flatMap((group) => this._reportOn(group) ?? []);
  }

  /** Groups whose primary is this steward, or whose standby it is while the primary does not answer. */
  private _watched(): readonly Group[] {
    const nowMs = this._options.clock.monotonic();
    if (nowMs >= this._nextCheckMs) this._updatePlacements(nowMs);
    const groups = this._options.groups();
    return this._placements.flatMap(({ group, primary }) => {
      const isReplacingPrimary = (this._unresponsiveUntilMs.get(primary) ?? 0) > nowMs;
      const isWatched = primary === this._options.self.id || isReplacingPrimary;
      return isWatched && groups.findGroup(group.id) === group ? [group] : [];
    });
  }

  private _updatePlacements(nowMs: number): void {
    this._nextCheckMs = nowMs + PLACEMENT_CHECK_MS;
    const stewards = this._options.stewards().map(({ id }) => id);
    const inputs = `${this._options.groups().revision} ${stewards.join(' ')}`;
    if (inputs === this._placementInputs && nowMs < this._placedUntilMs) return;
    this._placements = this._computePlacements();
    this._placementInputs = inputs;
    this._placedUntilMs = nowMs + MAX_PLACEMENT_AGE_MS;
  }

  private _computePlacements(): readonly Placement[] {
    const { self, stewards, groups, failureDomainOf } = this._options;
    const candidates = stewards();
    return groups()
      .groups()
      .flatMap((group): readonly Placement[] => {
        if (group.dissolvedAt !== undefined) return [];
        const preferredDomain = failureDomainOf(group.members[0]?.address ?? '');
        const options = { count: 2, ...(preferredDomain === undefined ? {} : { preferredDomain }) };
        const watchers = placeByRendezvous(`watch/${group.id}`, candidates, options);
        return watchers.includes(self.id) ? [{ group, primary: watchers[0] ?? '' }] : [];
      });
  }

  private _reportOn(group: Group): WatchedGroup | undefined {
    const observations = group.members.map(({ address }) => this._options.findObservation(address));
    const findings = group.members.map((member, index) =>
      checkMember(group, member.boot, observations[index]),
    );
    const leader = observations[0];
    const nowMs = this._options.clock.monotonic();
    const base = {
      group: group.id,
      epoch: group.epoch,
      inFlight: leader?.status?.inFlight ?? 0,
      loadAgeMs: Math.max(0, Math.round(nowMs - (leader?.probedAtMs ?? nowMs))),
    };
    const isLeaving = group.members.some(({ address }) => this._options.isLeaving(address));
    if (isLeaving) return { ...base, remainingMs: 0, missing: [] };
    const wasWhole = this._lastWholeEpochs.get(group.id) === group.epoch;
    const missing = group.members
      .filter((_, index) => findings[index] === 'wrong' || (wasWhole && findings[index] === 'not-yet'))
      .map(({ address }) => address);
    if (missing.length > 0) return wasWhole ? { ...base, remainingMs: 0, missing } : undefined;
    if (findings.some((finding) => finding !== 'right')) return undefined;
    this._lastWholeEpochs.set(group.id, group.epoch);
    const oldestMs = Math.min(...observations.map((observation) => observation?.probedAtMs ?? -Infinity));
    const remainingMs = Math.floor(WHOLE_LEASE_MS - (nowMs - oldestMs));
    return remainingMs > 0 ? { ...base, remainingMs, missing: [] } : undefined;
  }
}

/** Compares a member's probed status with what the log records for its group. */
function checkMember(group: Group, boot: string, observation: Observation | undefined): MemberFinding {
  if (observation?.hasConnectionFailed) return 'wrong';
  const status = observation?.status;
  if (!observation || !status) return 'unknown';
  if (status.boot !== boot) return 'wrong';
  if (status.phase === 'idle' || status.phase === 'loading') {
    const isExpectedGroup = status.group === null || status.group === group.id;
    return isExpectedGroup ? 'not-yet' : 'wrong';
  }
  const hasExpectedState =
    status.group === group.id && status.epoch === group.epoch && status.version === group.version;
  return hasExpectedState ? 'right' : 'wrong';
}
