import { groupId, isHeadServing, type ObservedGroup } from './observedGroups.js';
import { getIncarnationKey, type TargetInstance } from './targetInstance.js';

/** Minimum time between two requests for a member's health, in milliseconds. */
const ASK_INTERVAL_MS = 400;
/** Time without an answer after which a member counts as lost, in milliseconds; a sound one may be silent for a second. */
const LOST_AFTER_MS = 1_500;

/** An instance's answer to a request for its health; `refused`: nothing listens there, or another instance does. */
export type InstanceHealth = 'serving' | 'leaving' | 'refused' | 'silent';

/** State of a member without an entry; `unknown` until it has answered, or not answered for long. */
export type UnlistedMemberState = 'unknown' | 'serving' | 'leaving' | 'lost';

/** A member of a serving group that is missing from the instance list. */
export interface UnlistedMember {
  readonly id: string;
  readonly state: UnlistedMemberState;
}

interface TrackedMember {
  readonly instance: TargetInstance;
  readonly group: string;
  /** Monotonic time at which it last answered, or was first tracked, in milliseconds. */
  answeredAtMs: number;
  askedAtMs: number;
  health: InstanceHealth | undefined;
  /** An instance that leaves does not return. */
  isLeaving: boolean;
}

/**
 * Tracks members that are missing from the instance list while their group serves. Some leave without having announced
 * it, so that the group has to be closed before they end; others are only cut off from the store, and serve on.
 */
export class UnlistedMembers {
  /** By incarnation. */
  private readonly _members = new Map<string, TrackedMember>();
  private _version = 0;

  /** Increases whenever the answer of a member differs from its previous one. */
  get version(): number {
    return this._version;
  }

  /**
   * Updates the tracked members from the groups as listed now.
   * @param removed instances that were removed from the list lately, as their last entries show them.
   */
  update(groups: ReadonlyMap<string, ObservedGroup>, removed: Iterable<TargetInstance>, nowMs: number): void {
    const missing = new Map<string, TrackedMember>();
    for (const instance of removed) {
      const { membership } = instance;
      if (!membership || membership.rank === 0) continue;
      const id = groupId(membership);
      const group = groups.get(id);
      if (!group || !isHeadServing(group) || isRankHeld(group, membership.rank)) continue;
      const key = getIncarnationKey(instance);
      missing.set(key, this._members.get(key) ?? createMember(instance, id, nowMs));
    }
    this._members.clear();
    for (const [key, member] of missing) this._members.set(key, member);
  }

  /** Returns the members to ask for their health now, and marks them as asked. */
  takeDue(nowMs: number): readonly TargetInstance[] {
    const due = [...this._members.values()].filter(({ askedAtMs }) => nowMs - askedAtMs >= ASK_INTERVAL_MS);
    for (const member of due) member.askedAtMs = nowMs;
    return due.map(({ instance }) => instance);
  }

  /** Records what a member answered. */
  recordHealth(instance: TargetInstance, health: InstanceHealth, nowMs: number): void {
    const member = this._members.get(getIncarnationKey(instance));
    if (!member) return;
    if (member.health !== health) this._version++;
    member.health = health;
    if (health === 'serving' || health === 'leaving') member.answeredAtMs = nowMs;
    if (health === 'leaving') member.isLeaving = true;
  }

  /** Returns the unlisted members of a group. */
  list(group: string, nowMs: number): readonly UnlistedMember[] {
    return [...this._members.values()]
      .filter((member) => member.group === group)
      .map((member) => ({ id: member.instance.id, state: getState(member, nowMs) }));
  }
}

function createMember(instance: TargetInstance, group: string, nowMs: number): TrackedMember {
  return {
    instance,
    group,
    answeredAtMs: nowMs,
    askedAtMs: -Infinity,
    health: undefined,
    isLeaving: instance.state === 'leaving',
  };
}

function isRankHeld({ members }: ObservedGroup, rank: number): boolean {
  return members.some(({ membership }) => membership?.rank === rank);
}

function getState({ health, isLeaving, answeredAtMs }: TrackedMember, nowMs: number): UnlistedMemberState {
  switch (health) {
    case 'refused':
      // One that leaves stops listening, but remains in its group while the head has requests.
      return isLeaving ? 'leaving' : 'lost';
    case 'silent':
      if (nowMs - answeredAtMs >= LOST_AFTER_MS) return 'lost';
      return isLeaving ? 'leaving' : 'unknown';
    case 'leaving':
      return 'leaving';
    case 'serving':
      return 'serving';
    case undefined:
      return 'unknown';
  }
}
