import { groupId, type ObservedGroup } from './observedGroups.js';
import type { TargetInstance } from './targetInstance.js';

/**
 * Time for which a group that no listed instance is in is remembered, in milliseconds: its head may be cut off from the
 * store meanwhile, and orders to join it may be carried out late.
 */
const UNLISTED_TTL_MS = 60_000;

/** Identifies an epoch of a group. */
type GroupEpoch = Pick<ObservedGroup, 'name' | 'epoch'>;

/** The start of an instance that holds a rank of a group, and where it runs, if that is known. */
type RankHolder = Pick<TargetInstance, 'id' | 'startedAtMs'> & Partial<Pick<TargetInstance, 'failureDomain'>>;

interface KnownGroup {
  readonly holders: Map<number, RankHolder>;
  /** Monotonic time at which an instance was last in it, in milliseconds; undefined until that is first checked. */
  listedAtMs?: number;
  /** Whether its formation was given up before it was opened. */
  isGivenUp: boolean;
}

/**
 * Remembers which instance holds which rank of a group, so that a rank that no listed instance shows can be told from
 * one whose instance has left. Whether it has left is derived from what that instance shows now.
 */
export class GroupRoster {
  private readonly _groups = new Map<string, KnownGroup>();

  /** Records the instances that are to form a group, by rank. */
  recordFormation(group: GroupEpoch, members: readonly RankHolder[]): void {
    const { holders } = this._getOrAdd(group);
    for (const [rank, holder] of members.entries()) holders.set(rank, holder);
  }

  /** Records the members that a group has now. */
  record(group: GroupEpoch, members: readonly TargetInstance[]): void {
    const { holders } = this._getOrAdd(group);
    for (const member of members) if (member.membership) holders.set(member.membership.rank, member);
  }

  /** Records that the formation of a group was given up before it was opened. */
  recordGivenUp(group: GroupEpoch): void {
    this._getOrAdd(group).isGivenUp = true;
  }

  /** Whether the group's formation was given up before it was opened. */
  isGivenUp(group: GroupEpoch): boolean {
    return this._find(group)?.isGivenUp ?? false;
  }

  /** Forgets the groups that none of the instances has been in for long. */
  retainGroupsOf(instances: Iterable<TargetInstance>, nowMs: number): void {
    const listed = new Set<string>();
    for (const { membership } of instances) if (membership) listed.add(groupId(membership));
    for (const [id, group] of this._groups) {
      if (listed.has(id)) group.listedAtMs = nowMs;
      else group.listedAtMs ??= nowMs;
      if (nowMs - group.listedAtMs > UNLISTED_TTL_MS) this._groups.delete(id);
    }
  }

  /** Whether the head shows that it is no longer in the group; false while it is not known or not listed. */
  hasHeadLeft(group: GroupEpoch, instances: ReadonlyMap<string, TargetInstance>): boolean {
    const head = this._find(group)?.holders.get(0);
    return head !== undefined && hasLeft(group, head, instances.get(head.id));
  }

  /** Whether any member shows that it is no longer in the group. */
  hasMemberLeft(group: GroupEpoch, instances: ReadonlyMap<string, TargetInstance>): boolean {
    return this.listLeftMembers(group, instances).length > 0;
  }

  /** Ids of the members that show that they are no longer in the group. */
  listLeftMembers(group: GroupEpoch, instances: ReadonlyMap<string, TargetInstance>): readonly string[] {
    return this._listHolders(group)
      .filter((holder) => hasLeft(group, holder, instances.get(holder.id)))
      .map(({ id }) => id);
  }

  /** Failure domains of the group's known members, also of those that are not listed any more. */
  listFailureDomains(group: GroupEpoch): readonly string[] {
    return [...new Set(this._listHolders(group).flatMap(({ failureDomain }) => failureDomain ?? []))];
  }

  private _listHolders(group: GroupEpoch): readonly RankHolder[] {
    return [...(this._find(group)?.holders.values() ?? [])];
  }

  private _find({ name, epoch }: GroupEpoch): KnownGroup | undefined {
    return this._groups.get(groupId({ group: name, epoch }));
  }

  private _getOrAdd(group: GroupEpoch): KnownGroup {
    const known = this._find(group);
    if (known) return known;
    const added: KnownGroup = { holders: new Map(), isGivenUp: false };
    this._groups.set(groupId({ group: group.name, epoch: group.epoch }), added);
    return added;
  }
}

function hasLeft(group: GroupEpoch, holder: RankHolder, instance: TargetInstance | undefined): boolean {
  if (!instance || instance.startedAtMs < holder.startedAtMs) return false;
  if (instance.startedAtMs > holder.startedAtMs || !instance.membership) return true;
  // A lower epoch is of an older entry: epochs only rise.
  return instance.membership.epoch > group.epoch;
}
