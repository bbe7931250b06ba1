import { MAX_SOUND_SILENCE_MS } from './soundSilence.js';

/** Consecutive missed probes after which a member counts as lost. */
const LOST_AFTER_MISSES = 2;
/** Minimum time between two probes of one member, in milliseconds; longer than a probe's timeout. */
const PROBE_INTERVAL_MS = 160;
/** Minimum time between two probe rounds of one group, in milliseconds: a quarter of the engines' detection time. */
const ROUND_INTERVAL_MS = 1_000;

/** Time for which a node's report that a group is silent counts, in milliseconds. */
const REPORT_TTL_MS = 4_000;

/** Result of a probe; `refused`: nothing listens at the member's address, or another instance does. */
export type ProbeResult = 'answered' | 'refused' | 'silent';

interface Member {
  misses: number;
  probedAtMs: number;
  /** Since when the member has been silent: when it was asked what it first did not answer. */
  missedSinceMs: number;
  isRefused: boolean;
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

  /**
   * Schedules a probe round for a group whose requests make no progress, as a node reports.
   * @returns whether the node had not reported it lately.
   */
  suspectGroup(group: string, reporter: string, nowMs: number): boolean {
    const reporters = this._reporters.get(group) ?? new Map<string, number>();
    const isNew = nowMs - (reporters.get(reporter) ?? -Infinity) >= REPORT_TTL_MS;
    this._reporters.set(group, reporters.set(reporter, nowMs));
    const round = this._groups.get(group);
    if (!round || nowMs - round.atMs >= ROUND_INTERVAL_MS)
      this._groups.set(group, { atMs: nowMs, isProbed: false });
    return isNew;
  }

  /**
   * Nodes that reported the group as silent lately.
   * @param head id of a head that is silent: reports from before it last answered are of an earlier silence.
   */
  listReporters(group: string, nowMs: number, head?: string): ReadonlySet<string> {
    const sinceMs = (head === undefined ? undefined : this._answeredAtMs.get(head)) ?? -Infinity;
    const reporters = [...(this._reporters.get(group) ?? [])];
    const isCurrent = (atMs: number) => atMs > sinceMs && nowMs - atMs < REPORT_TTL_MS;
    return new Set(reporters.flatMap(([node, atMs]) => (isCurrent(atMs) ? [node] : [])));
  }

  /** Whether a node other than the given one reported the group as silent lately. */
  isReportedByPeer(group: string, node: string, nowMs: number): boolean {
    return [...this.listReporters(group, nowMs)].some((reporter) => reporter !== node);
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
      this._members.set(id, { ...(member ?? UNMISSED), probedAtMs: nowMs });
      ids.push(id);
    }
    for (const round of this._groups.values()) round.isProbed = true;
    return ids;
  }

  /**
   * Records the result of a probe or of another request for an instance's state.
   * @param waitedMs time for which the answer was awaited, in milliseconds.
   */
  recordResult(id: string, result: ProbeResult, nowMs: number, waitedMs = 0): void {
    if (result === 'answered') {
      this._answeredAtMs.set(id, nowMs);
      this._members.delete(id);
      return;
    }
    const { misses, probedAtMs, missedSinceMs } = this._members.get(id) ?? UNMISSED;
    const silentSinceMs = Math.max(nowMs - waitedMs, this._answeredAtMs.get(id) ?? -Infinity);
    this._members.set(id, {
      misses: misses + 1,
      probedAtMs,
      missedSinceMs: Math.min(missedSinceMs, silentSinceMs),
      isRefused: result === 'refused',
    });
  }

  /** Returns the ids of members that count as lost: they do not respond now, and may soon. */
  getLostMembers(): ReadonlySet<string> {
    return this._listMembers(({ misses }) => misses >= LOST_AFTER_MISSES);
  }

  /** Returns the ids of the lost members at whose address no such instance runs. */
  getRefusingMembers(): ReadonlySet<string> {
    return this._listMembers(({ misses, isRefused }) => misses >= LOST_AFTER_MISSES && isRefused);
  }

  /** Returns the ids of the lost members that refuse or have been silent for longer than sound ones are. */
  getGoneMembers(nowMs: number): ReadonlySet<string> {
    return this._listMembers(
      ({ misses, isRefused, missedSinceMs }) =>
        misses >= LOST_AFTER_MISSES && (isRefused || nowMs - missedSinceMs >= MAX_SOUND_SILENCE_MS),
    );
  }

  private _listMembers(matches: (member: Member) => boolean): ReadonlySet<string> {
    return new Set([...this._members].filter(([, member]) => matches(member)).map(([id]) => id));
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

const UNMISSED: Member = { misses: 0, probedAtMs: -Infinity, missedSinceMs: Infinity, isRefused: false };
