import { groupId, isHeadServing, type ObservedGroup } from './observedGroups.js';
import type { TargetInstance } from './targetInstance.js';

/** Questions in a row that a head must leave unanswered before it counts as silent. */
const SILENT_AFTER = 3;
/** How long a vanished head is asked for, in milliseconds; longer than engines take to give up on a member. */
const WATCH_MS = 15_000;
/** How long members wait for a head that no node has ever known, in milliseconds; the length of a long partition. */
const UNKNOWN_HEAD_MS = 12_000;
/** Other nodes that must find a head silent too, where there are so many. */
const OTHER_WITNESSES = 2;

/** What a node found when it asked a head that is not listed. */
export type HeadFinding = 'serving' | 'idle' | 'silent';

interface Vanished {
  readonly head: TargetInstance;
  readonly sinceMs: number;
  misses: number;
  finding: HeadFinding | undefined;
}

/**
 * Heads that have vanished from the list while members of their groups are still there. A head that is cut off
 * from the store may go on serving: its members may only be used elsewhere when it is closed, or when several
 * nodes find it silent.
 */
export class UnlistedHeads {
  private readonly _listed = new Map<string, TargetInstance>();
  private readonly _vanished = new Map<string, Vanished>();
  private readonly _headlessSinceMs = new Map<string, number>();

  /** Takes the groups as they are listed now. */
  update(groups: ReadonlyMap<string, ObservedGroup>, nowMs: number): void {
    for (const [id, group] of groups) {
      if (group.head) {
        this._headlessSinceMs.delete(id);
        this._vanished.delete(id);
        if (isHeadServing(group)) this._listed.set(id, group.head);
        else this._listed.delete(id);
        continue;
      }
      if (!this._headlessSinceMs.has(id)) this._headlessSinceMs.set(id, nowMs);
      const head = this._listed.get(id);
      if (head && !this._vanished.has(id)) {
        this._vanished.set(id, { head, sinceMs: nowMs, misses: 0, finding: undefined });
      }
    }
    for (const id of this._headlessSinceMs.keys()) {
      if (groups.has(id)) continue;
      this._headlessSinceMs.delete(id);
      this._listed.delete(id);
    }
    for (const [id, { sinceMs }] of this._vanished) {
      if (nowMs - sinceMs > WATCH_MS) this._vanished.delete(id);
    }
  }

  /** Heads to ask for their state. */
  toAsk(): readonly TargetInstance[] {
    return [...this._vanished.values()]
      .filter(({ finding }) => finding === undefined || finding === 'serving')
      .map(({ head }) => head);
  }

  /** Takes a head's own state, or that it gave none. */
  note(head: TargetInstance, answer: TargetInstance['membership'] | 'none'): void {
    if (!head.membership) return;
    const vanished = this._vanished.get(groupId(head.membership));
    if (!vanished) return;
    if (answer === 'none') {
      vanished.misses++;
      if (vanished.misses >= SILENT_AFTER) vanished.finding = 'silent';
      return;
    }
    vanished.misses = 0;
    const isSame = answer?.epoch === head.membership.epoch && answer.group === head.membership.group;
    const isServing = isSame && (answer.state === 'open' || answer.state === 'closing');
    vanished.finding = isServing ? 'serving' : 'idle';
  }

  /** What this node has found, by group, to tell its peers. */
  findings(): ReadonlyMap<string, HeadFinding> {
    const found = new Map<string, HeadFinding>();
    for (const [id, { finding }] of this._vanished) if (finding) found.set(id, finding);
    return found;
  }

  /** Heads that are not listed and serve all the same, to be closed. */
  serving(): readonly TargetInstance[] {
    return [...this._vanished.values()]
      .filter(({ finding }) => finding === 'serving')
      .map(({ head }) => head);
  }

  /** Whether the members of a group without a listed head may be used elsewhere. */
  isReleased(id: string, peers: readonly ReadonlyMap<string, HeadFinding>[], nowMs: number): boolean {
    const own = this._vanished.get(id)?.finding;
    const others = peers.flatMap((findings) => findings.get(id) ?? []);
    const all = own ? [own, ...others] : others;
    if (all.includes('serving')) return false;
    if (all.includes('idle')) return true;
    const witnesses = others.length;
    if (own === 'silent' && witnesses >= Math.min(OTHER_WITNESSES, peers.length)) return true;
    if (!own && witnesses >= OTHER_WITNESSES) return true;
    const sinceMs = this._headlessSinceMs.get(id);
    return sinceMs !== undefined && nowMs - sinceMs > UNKNOWN_HEAD_MS;
  }
}
