/** Consecutive missed probes after which a member counts as lost. */
const LOST_AFTER_MISSES = 2;
/** Minimum time between two probes of one member, in milliseconds; longer than a probe's timeout. */
const PROBE_INTERVAL_MS = 160;
/** Minimum time between two probe rounds of one group, in milliseconds: a quarter of the engines' detection time. */
const ROUND_INTERVAL_MS = 1_000;

/** Time for which a node's report that a group is silent counts, in milliseconds. */
const REPORT_TTL_MS = 4_000;

interface Member {
  misses: number;
  probedAtMs: number;
}

/**
 * Finds the lost member of a silent group by probing each member, seconds before the engines detect the loss. Until
 * then the group is stalled and its requests fail.
 */
export class MemberProbes {
  private readonly _groups = new Map<string, { readonly atMs: number; isProbed: boolean }>();
  /** When each node last reported the group as silent, by group and node. */
  private readonly _reporters = new Map<string, Map<string, number>>();
  private readonly _members = new Map<string, Member>();
  /** When instances last answered, by id. */
  private readonly _answeredAtMs = new Map<string, number>();

  /** Schedules a probe round for a group whose requests make no progress, as a node reports. */
  suspectGroup(group: string, reporter: string, nowMs: number): void {
    const reporters = this._reporters.get(group) ?? new Map<string, number>();
    this._reporters.set(group, reporters.set(reporter, nowMs));
    const round = this._groups.get(group);
    if (round && nowMs - round.atMs < ROUND_INTERVAL_MS) return;
    this._groups.set(group, { atMs: nowMs, isProbed: false });
  }

  /**
   * Number of nodes that reported the group as silent lately.
   * @param head id of a head that is silent: reports from before it last answered are of an earlier silence.
   */
  countReporters(group: string, nowMs: number, head?: string): number {
    const sinceMs = (head === undefined ? undefined : this._answeredAtMs.get(head)) ?? -Infinity;
    const times = [...(this._reporters.get(group)?.values() ?? [])];
    return times.filter((atMs) => atMs > sinceMs && nowMs - atMs < REPORT_TTL_MS).length;
  }

  /** Whether any member may have to be probed. */
  get hasDueProbes(): boolean {
    return this._members.size > 0 || [...this._groups.values()].some(({ isProbed }) => !isProbed);
  }

  /** Returns the ids of members to probe now and marks them as probed: once per round, and again after a missed probe. */
  takeDueProbes(
    members: Iterable<{ readonly id: string; readonly group: string }>,
    nowMs: number,
  ): readonly string[] {
    const ids: string[] = [];
    for (const { id, group } of members) {
      const isDue = this._groups.get(group)?.isProbed === false;
      const member = this._members.get(id);
      if (!isDue && (member?.misses ?? 0) === 0) continue;
      if (nowMs - (member?.probedAtMs ?? -Infinity) < PROBE_INTERVAL_MS) continue;
      this._members.set(id, { misses: member?.misses ?? 0, probedAtMs: nowMs });
      ids.push(id);
    }
    for (const round of this._groups.values()) round.isProbed = true;
    return ids;
  }

  /** Records whether an instance answered a probe or another request for its state. */
  recordResult(id: string, isAnswered: boolean, nowMs: number): void {
    if (isAnswered) {
      this._answeredAtMs.set(id, nowMs);
      this._members.delete(id);
      return;
    }
    const member = this._members.get(id);
    if (member) member.misses++;
    else this._members.set(id, { misses: 1, probedAtMs: -Infinity });
  }

  /** Returns the ids of members that count as lost. */
  getLostMembers(): ReadonlySet<string> {
    return new Set(
      [...this._members].filter(([, { misses }]) => misses >= LOST_AFTER_MISSES).map(([id]) => id),
    );
  }

  /** Removes members that are no longer listed and groups that are no longer suspect. */
  retain(ids: ReadonlyMap<string, unknown>, nowMs: number): void {
    for (const id of this._members.keys()) if (!ids.has(id)) this._members.delete(id);
    for (const [id, atMs] of this._answeredAtMs)
      if (nowMs - atMs >= REPORT_TTL_MS) this._answeredAtMs.delete(id);
    for (const [group, { atMs }] of this._groups) {
      if (nowMs - atMs > ROUND_INTERVAL_MS) this._groups.delete(group);
    }
    for (const [group, reporters] of this._reporters) {
      if ([...reporters.values()].every((atMs) => nowMs - atMs >= REPORT_TTL_MS))
        this._reporters.delete(group);
    }
  }
}
