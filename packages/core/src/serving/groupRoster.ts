import { groupId, type ObservedGroup } from './observedGroups.js';
import type { TargetInstance } from './targetInstance.js';

/** Identifies an epoch of a group. */
type GroupEpoch = Pick<ObservedGroup, 'name' | 'epoch'>;

/** The start of an instance that holds a rank of a group. */
type RankHolder = Pick<TargetInstance, 'id' | 'startedAtMs'>;

/**
 * Remembers which instance holds which rank of a group, so that a rank that no listed instance shows can be told from
 * one whose instance has left. Whether it has left is derived from what that instance shows now.
 */
export class GroupRoster {
  private readonly _holders = new Map<string, Map<number, RankHolder>>();

  /** Records the instances that are to form a group, by rank. */
  recordFormation(group: GroupEpoch, members: readonly RankHolder[]): void {
    const holders = this._getOrCreateHolders(group);
    for (const [rank, holder] of members.entries()) holders.set(rank, holder);
  }

  /** Records the members that a group has now. */
  record(group: GroupEpoch, members: readonly TargetInstance[]): void {
    const holders = this._getOrCreateHolders(group);
    for (const member of members) if (member.membership) holders.set(member.membership.rank, member);
  }

  /** Forgets the groups that are not among `ids`, as returned by `groupId`. */
  retain(ids: ReadonlySet<string>): void {
    for (const id of this._holders.keys()) if (!ids.has(id)) this._holders.delete(id);
  }

  /** Forgets the groups that none of the instances is in. */
  retainGroupsOf(instances: Iterable<TargetInstance>): void {
    this.retain(
      new Set([...instances].flatMap(({ membership }) => (membership ? [groupId(membership)] : []))),
    );
  }

  /** Whether the head shows that it is no longer in the group; false while it is not known or not listed. */
  hasHeadLeft(group: GroupEpoch, instances: ReadonlyMap<string, TargetInstance>): boolean {
    const head = this._getHolders(group)?.get(0);
    return head !== undefined && hasLeft(group, head, instances.get(head.id));
  }

  /** Whether any member shows that it is no longer in the group. */
  hasMemberLeft(group: GroupEpoch, instances: ReadonlyMap<string, TargetInstance>): boolean {
    const holders = this._getHolders(group)?.values() ?? [];
    return [...holders].some((holder) => hasLeft(group, holder, instances.get(holder.id)));
  }

  private _getOrCreateHolders({ name, epoch }: GroupEpoch): Map<number, RankHolder> {
    const id = groupId({ group: name, epoch });
    const holders = this._holders.get(id) ?? new Map<number, RankHolder>();
    this._holders.set(id, holders);
    return holders;
  }

  private _getHolders({ name, epoch }: GroupEpoch): ReadonlyMap<number, RankHolder> | undefined {
    return this._holders.get(groupId({ group: name, epoch }));
  }
}

function hasLeft(group: GroupEpoch, holder: RankHolder, instance: TargetInstance | undefined): boolean {
  if (!instance || instance.startedAtMs < holder.startedAtMs) return false;
  if (instance.startedAtMs > holder.startedAtMs || !instance.membership) return true;
  // A lower epoch is of an older entry: epochs only rise.
  return instance.membership.epoch > group.epoch;
}
