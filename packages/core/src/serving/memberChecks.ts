/** Questions in a row that a member must leave unanswered before it counts as lost. */
const LOST_AFTER = 2;
/** Pause between two questions to one member, in milliseconds; the time that an answer is awaited. */
const QUESTION_INTERVAL_MS = 160;
/** Least time between two rounds of questions to the members of one group, in milliseconds; a quarter of what engines take. */
const ROUND_INTERVAL_MS = 1_000;

interface Member {
  misses: number;
  askedAtMs: number;
}

/**
 * Finds the lost member of a group that has gone silent, seconds before the engines do, by asking each member.
 *
 * Load pattern: a member goes dark, its group stands still for seconds and takes its requests down with it.
 */
export class MemberChecks {
  private readonly _groups = new Map<string, { readonly atMs: number; isAsked: boolean }>();
  private readonly _members = new Map<string, Member>();

  /** Requests find that nothing moves at the group. */
  suspect(group: string, nowMs: number): void {
    const round = this._groups.get(group);
    if (round && nowMs - round.atMs < ROUND_INTERVAL_MS) return;
    this._groups.set(group, { atMs: nowMs, isAsked: false });
  }

  /** Members to ask now, out of all members of groups by their group's id: each once a round, again if it was silent. */
  toAsk(
    members: Iterable<{ readonly id: string; readonly group: string }>,
    nowMs: number,
  ): readonly string[] {
    const ids: string[] = [];
    for (const { id, group } of members) {
      const isDue = this._groups.get(group)?.isAsked === false;
      const member = this._members.get(id);
      if (!isDue && (member?.misses ?? 0) === 0) continue;
      if (nowMs - (member?.askedAtMs ?? -Infinity) < QUESTION_INTERVAL_MS) continue;
      this._members.set(id, { misses: member?.misses ?? 0, askedAtMs: nowMs });
      ids.push(id);
    }
    for (const round of this._groups.values()) round.isAsked = true;
    return ids;
  }

  /** Takes a member's answer, or that there was none. */
  note(id: string, isAnswered: boolean): void {
    const member = this._members.get(id);
    if (!member) return;
    if (isAnswered) this._members.delete(id);
    else member.misses++;
  }

  /** Members that do not answer. */
  lost(): ReadonlySet<string> {
    return new Set([...this._members].filter(([, { misses }]) => misses >= LOST_AFTER).map(([id]) => id));
  }

  /** Forgets members that are not listed any more, and groups that are no longer suspected. */
  retain(ids: ReadonlyMap<string, unknown>, nowMs: number): void {
    for (const id of this._members.keys()) if (!ids.has(id)) this._members.delete(id);
    for (const [group, { atMs }] of this._groups) {
      if (nowMs - atMs > ROUND_INTERVAL_MS) this._groups.delete(group);
    }
  }
}
