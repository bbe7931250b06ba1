import type { ProbeResult } from './memberProbes.js';
import { groupId, isHeadServing, type ObservedGroup } from './observedGroups.js';
import { isServingState, type MemberState, type TargetInstance } from './targetInstance.js';

/** Consecutive missed probes after which a head counts as silent. */
const SILENT_AFTER_MISSES = 3;
/** Time since the first of them unless it refuses, in milliseconds; a sound head may be silent for a second or so. */
const SILENT_AFTER_MS = 1_500;
/** How long a missing head is probed, in milliseconds; longer than engines take to declare a member lost. */
const PROBE_DURATION_MS = 15_000;
/** How long members wait for a head that no node has ever seen, in milliseconds: the length of a long partition. */
const UNKNOWN_HEAD_WAIT_MS = 12_000;
/** Peers that must also find a head silent; all of them in a smaller fleet. */
const MIN_CONFIRMING_PEERS = 2;

/** A node's probe result for a head that is not listed. */
export type HeadFinding = 'serving' | 'idle' | 'silent';

interface MissingHead {
  readonly head: TargetInstance;
  readonly sinceMs: number;
  misses: number;
  /** Monotonic time of the first of these misses, in milliseconds. */
  missedSinceMs: number;
  finding: HeadFinding | undefined;
  /** State that it last reported; undefined while it has not answered, or is no longer in the group. */
  state: MemberState | undefined;
}

/**
 * Tracks heads that are missing from the instance list while members of their groups are still listed. A head that is
 * cut off from the store may keep serving, so its members may be reused only once it is closed or several nodes find it
 * silent.
 */
export class UnlistedHeads {
  private readonly _listedHeads = new Map<string, TargetInstance>();
  private readonly _missingHeads = new Map<string, MissingHead>();
  private readonly _headlessSinceMs = new Map<string, number>();

  /** Updates the missing heads from the groups as listed now. */
  update(groups: ReadonlyMap<string, ObservedGroup>, nowMs: number): void {
    for (const [id, group] of groups) {
      if (group.head) {
        this._headlessSinceMs.delete(id);
        this._missingHeads.delete(id);
        if (isHeadServing(group)) this._listedHeads.set(id, group.head);
        else this._listedHeads.delete(id);
        continue;
      }
      if (!this._headlessSinceMs.has(id)) this._headlessSinceMs.set(id, nowMs);
      const head = this._listedHeads.get(id);
      if (head && !this._missingHeads.has(id)) {
        this._missingHeads.set(id, {
          head,
          sinceMs: nowMs,
          misses: 0,
          missedSinceMs: Infinity,
          finding: undefined,
          state: undefined,
        });
      }
    }
    for (const id of this._headlessSinceMs.keys()) {
      if (groups.has(id)) continue;
      this._headlessSinceMs.delete(id);
      this._listedHeads.delete(id);
    }
    this.removeExpired(nowMs);
  }

  /** Forgets heads that have been probed for long. */
  removeExpired(nowMs: number): void {
    for (const [id, { sinceMs }] of this._missingHeads) {
      if (nowMs - sinceMs > PROBE_DURATION_MS) this._missingHeads.delete(id);
    }
  }

  /** Returns the heads whose state is to be probed. */
  getHeadsToProbe(): readonly TargetInstance[] {
    return [...this._missingHeads.values()]
      .filter(({ finding }) => finding === undefined || finding === 'serving')
      .map(({ head }) => head);
  }

  /** Records the membership that a head reported, or why there is no report. */
  recordAnswer(
    head: TargetInstance,
    answer: TargetInstance['membership'] | Exclude<ProbeResult, 'answered'>,
    nowMs: number,
  ): void {
    if (!head.membership) return;
    const missing = this._missingHeads.get(groupId(head.membership));
    if (!missing) return;
    if (answer === 'silent' || answer === 'refused') {
      missing.misses++;
      missing.missedSinceMs = Math.min(missing.missedSinceMs, nowMs);
      const isLong = answer === 'refused' || nowMs - missing.missedSinceMs >= SILENT_AFTER_MS;
      if (missing.misses >= SILENT_AFTER_MISSES && isLong) missing.finding = 'silent';
      return;
    }
    missing.misses = 0;
    missing.missedSinceMs = Infinity;
    const isSameGroup = answer?.epoch === head.membership.epoch && answer.group === head.membership.group;
    missing.state = isSameGroup ? answer.state : undefined;
    missing.finding = isServingState(missing.state) ? 'serving' : 'idle';
  }

  /** Returns this node's findings by group id, to be sent to its peers. */
  getFindings(): ReadonlyMap<string, HeadFinding> {
    const found = new Map<string, HeadFinding>();
    for (const [id, { finding }] of this._missingHeads) if (finding) found.set(id, finding);
    return found;
  }

  /** Returns the heads that accept requests although they are not listed, to be closed. */
  getOpenHeads(): readonly TargetInstance[] {
    return [...this._missingHeads.values()]
      .filter(({ finding, state }) => finding === 'serving' && state === 'open')
      .map(({ head }) => head);
  }

  /**
   * Whether the members of a group without a listed head may join another group.
   * @param peers what other nodes found; one that found nothing may be left out.
   * @param peerCount number of all other nodes.
   */
  isReleased(
    id: string,
    peers: readonly ReadonlyMap<string, HeadFinding>[],
    peerCount: number,
    nowMs: number,
  ): boolean {
    const own = this._missingHeads.get(id)?.finding;
    const others = peers.flatMap((findings) => findings.get(id) ?? []);
    const all = own ? [own, ...others] : others;
    if (all.includes('serving')) return false;
    if (all.includes('idle')) return true;
    const confirmingPeers = others.length;
    if (own === 'silent' && confirmingPeers >= Math.min(MIN_CONFIRMING_PEERS, peerCount)) return true;
    if (!own && confirmingPeers >= MIN_CONFIRMING_PEERS) return true;
    const sinceMs = this._headlessSinceMs.get(id);
    return sinceMs !== undefined && nowMs - sinceMs > UNKNOWN_HEAD_WAIT_MS;
  }
}
