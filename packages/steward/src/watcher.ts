import {
  type Candidate,
  type Clock,
  type Group,
  type Groups,
  placeByRendezvous,
  WHOLE_LEASE_MS,
} from '@monsoonreach/core';
import type { Observation } from './prober.js';

/** Interval of a watcher's probes, in milliseconds. A standby probes only while it stands in. */
export const PRIMARY_INTERVAL_MS = 1_000;
/** How often it is looked whether the placement of watchers has to be worked out anew, in milliseconds. */
const PLACEMENT_CHECK_MS = 500;
/** The longest that a placement is kept, in milliseconds. */
const PLACEMENT_LIFE_MS = 10_000;
/** How long a standby stands in after it was told that the primary does not answer, in milliseconds. */
const STAND_IN_MS = 5_000;

/** What a watcher says of one group. */
export interface WatchedGroup {
  readonly group: string;
  readonly epoch: number;
  /** What remains of the whole lease now, in milliseconds; 0 ends it. */
  readonly remainingMs: number;
  readonly inFlight: number;
  readonly loadAgeMs: number;
  /** Members of a group that was whole and are now seen to be gone or changed. */
  readonly missing: readonly string[];
}

/** What a watcher is made of. */
export interface WatcherOptions {
  readonly clock: Clock;
  readonly self: Candidate;
  readonly stewards: () => readonly Candidate[];
  readonly groups: () => Groups;
  readonly observe: (address: string) => Observation | undefined;
  readonly isLeaving: (address: string) => boolean;
  readonly failureDomainOf: (address: string) => string | undefined;
}

/** A group that this steward watches as primary or as standby. */
interface Placement {
  readonly group: Group;
  readonly primary: string;
}

type MemberFinding = 'right' | 'unknown' | 'not-yet' | 'wrong';

/** Watches groups: a primary and a standby steward for each, chosen by rendezvous. */
export class Watcher {
  private readonly _onceWhole = new Map<string, number>();
  private readonly _unansweringUntilMs = new Map<string, number>();
  private _placements: readonly Placement[] = [];
  private _placedFor = '';
  private _placedUntilMs = -Infinity;
  private _checkAtMs = -Infinity;

  constructor(private readonly _options: WatcherOptions) {}

  /** Takes in that these stewards do not answer some entry. */
  noteUnanswering(stewards: readonly string[]): void {
    const untilMs = this._options.clock.monotonic() + STAND_IN_MS;
    for (const steward of stewards) this._unansweringUntilMs.set(steward, untilMs);
  }

  /** Members to probe and how often. */
  targets(): ReadonlyMap<string, number> {
    const targets = new Map<string, number>();
    for (const group of this._watched()) {
      for (const { address } of group.members) targets.set(address, PRIMARY_INTERVAL_MS);
    }
    return targets;
  }

  /** Every watched group of which there is something to say. */
  report(): readonly WatchedGroup[] {
    return this._watched().flatMap((group) => this._reportOn(group) ?? []);
  }

  /** Groups whose primary this steward is, or whose primary it stands in for. */
  private _watched(): readonly Group[] {
    const nowMs = this._options.clock.monotonic();
    if (nowMs >= this._checkAtMs) this._placeIfChanged(nowMs);
    const groups = this._options.groups();
    return this._placements.flatMap(({ group, primary }) => {
      const isStandingIn = (this._unansweringUntilMs.get(primary) ?? 0) > nowMs;
      const isOwn = primary === this._options.self.id || isStandingIn;
      return isOwn && groups.findGroup(group.id) === group ? [group] : [];
    });
  }

  private _placeIfChanged(nowMs: number): void {
    this._checkAtMs = nowMs + PLACEMENT_CHECK_MS;
    const stewards = this._options.stewards().map(({ id }) => id);
    const inputs = `${this._options.groups().changes} ${stewards.join(' ')}`;
    if (inputs === this._placedFor && nowMs < this._placedUntilMs) return;
    this._placements = this._placeAll();
    this._placedFor = inputs;
    this._placedUntilMs = nowMs + PLACEMENT_LIFE_MS;
  }

  private _placeAll(): readonly Placement[] {
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
    const observations = group.members.map(({ address }) => this._options.observe(address));
    const findings = group.members.map((member, index) =>
      judgeMember(group, member.boot, observations[index]),
    );
    const leader = observations[0];
    const nowMs = this._options.clock.monotonic();
    const base = {
      group: group.id,
      epoch: group.epoch,
      inFlight: leader?.status?.inFlight ?? 0,
      loadAgeMs: Math.max(0, Math.round(nowMs - (leader?.askedAtMs ?? nowMs))),
    };
    const isLeaving = group.members.some(({ address }) => this._options.isLeaving(address));
    if (isLeaving) return { ...base, remainingMs: 0, missing: [] };
    const wasWhole = this._onceWhole.get(group.id) === group.epoch;
    const missing = group.members
      .filter((_, index) => findings[index] === 'wrong')
      .map(({ address }) => address);
    if (missing.length > 0) return wasWhole ? { ...base, remainingMs: 0, missing } : undefined;
    if (findings.some((finding) => finding !== 'right')) return undefined;
    this._onceWhole.set(group.id, group.epoch);
    const oldestMs = Math.min(...observations.map((observation) => observation?.askedAtMs ?? -Infinity));
    const remainingMs = Math.floor(WHOLE_LEASE_MS - (nowMs - oldestMs));
    return remainingMs > 0 ? { ...base, remainingMs, missing: [] } : undefined;
  }
}

/** Compares what a member says of itself with what the log says of its group. */
function judgeMember(group: Group, boot: string, observation: Observation | undefined): MemberFinding {
  if (observation?.isGone) return 'wrong';
  const status = observation?.status;
  if (!observation || !status) return 'unknown';
  if (status.boot !== boot) return 'wrong';
  if (status.phase === 'idle' || status.phase === 'loading') {
    const isOwn = status.group === null || status.group === group.id;
    return isOwn ? 'not-yet' : 'wrong';
  }
  const isRight =
    status.group === group.id && status.epoch === group.epoch && status.version === group.version;
  return isRight ? 'right' : 'wrong';
}
