import { groupId, isHeadServing, type ObservedGroup } from './observedGroups.js';
import { MAX_SOUND_SILENCE_MS } from './soundSilence.js';
import { getIncarnationKey, type GroupMembership, type TargetInstance } from './targetInstance.js';

/** Minimum time between two requests for a member's health, in milliseconds. */
const ASK_INTERVAL_MS = 400;

/**
 * An instance's answer to a request for its health; `full`: it runs, but does not tell more; `refused`: nothing listens
 * there, or another instance does.
 */
export type InstanceHealth = 'serving' | 'leaving' | 'full' | 'refused' | 'silent';

/** State of a member without an entry; `unknown` until it has answered, or not answered for long. */
export type UnlistedMemberState = 'unknown' | 'serving' | 'leaving' | 'lost';

/** A member of a serving group that is missing from the instance list. */
export interface UnlistedMember {
  readonly id: string;
  readonly state: UnlistedMemberState;
}

/** What the last entry of a removed instance says of it. */
export interface RemovedInstance extends Pick<
  TargetInstance,
  'id' | 'address' | 'service' | 'fabricDomain' | 'startedAtMs' | 'state'
> {
  readonly membership: Omit<GroupMembership, 'state'> | undefined;
  /** Undefined if a node of an earlier version told of it. */
  readonly failureDomain?: string | undefined;
}

interface TrackedMember {
  readonly instance: RemovedInstance;
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
  update(
    groups: ReadonlyMap<string, ObservedGroup>,
    removed: Iterable<RemovedInstance>,
    nowMs: number,
  ): void {
    const missing = new Map<string, TrackedMember>();
    for (const instance of removed) {
      const group = findUnlistedGroup(groups, instance);
      if (group === undefined) continue;
      const key = getIncarnationKey(instance);
      missing.set(key, this._members.get(key) ?? createMember(instance, group, nowMs));
    }
    this._members.clear();
    for (const [key, member] of missing) this._members.set(key, member);
  }

  /** Returns the members to ask for their health now, and marks them as asked. */
  takeDue(nowMs: number): readonly RemovedInstance[] {
    const due = [...this._members.values()].filter(({ askedAtMs }) => nowMs - askedAtMs >= ASK_INTERVAL_MS);
    for (const member of due) member.askedAtMs = nowMs;
    return due.map(({ instance }) => instance);
  }

  /** Records what a member answered; returns whether that differs from its previous answer. */
  recordHealth(
    instance: Pick<RemovedInstance, 'id' | 'startedAtMs'>,
    health: InstanceHealth,
    nowMs: number,
  ): boolean {
    const member = this._members.get(getIncarnationKey(instance));
    if (!member) return false;
    const isChanged = member.health !== health;
    if (isChanged) this._version++;
    member.health = health;
    if (health !== 'refused' && health !== 'silent') member.answeredAtMs = nowMs;
    if (health === 'leaving') member.isLeaving = true;
    return isChanged;
  }

  /** Returns the unlisted members of a group. */
  list(group: string, nowMs: number): readonly UnlistedMember[] {
    return [...this._members.values()]
      .filter((member) => member.group === group)
      .map((member) => ({ id: member.instance.id, state: getState(member, nowMs) }));
  }
}

/** Returns the serving group that lacks a removed member, by `groupId`; undefined if there is none. */
export function findUnlistedGroup(
  groups: ReadonlyMap<string, ObservedGroup>,
  { membership }: RemovedInstance,
): string | undefined {
  if (!membership || membership.rank === 0) return undefined;
  const id = groupId(membership);
  const group = groups.get(id);
  return group && isHeadServing(group) && !isRankHeld(group, membership.rank) ? id : undefined;
}

function createMember(instance: RemovedInstance, group: string, nowMs: number): TrackedMember {
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
      if (nowMs - answeredAtMs >= MAX_SOUND_SILENCE_MS) return 'lost';
      return isLeaving ? 'leaving' : 'unknown';
    case 'leaving':
      return 'leaving';
    case 'full':
      return isLeaving ? 'leaving' : 'unknown';
    case 'serving':
      return 'serving';
    case undefined:
      return 'unknown';
  }
}
