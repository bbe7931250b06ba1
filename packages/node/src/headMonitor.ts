import {
  type Clock,
  groupId,
  type HeadFinding,
  observeGroups,
  rankByRendezvous,
  type ServingConfiguration,
  type TargetInstance,
  UnlistedHeads,
} from '@monsoonreach/core';
import { readReport, ReportError } from '@monsoonreach/platform';
import type { DecisionLog } from './decisionLog.js';
import type { InstanceList } from './instanceList.js';

/** Interval between two requests to a head that is missing from the list, in milliseconds. */
const ASK_INTERVAL_MS = 300;
/** Timeout of a head's answer, in milliseconds. */
const ANSWER_TIMEOUT_MS = 250;
/** Nodes that ask a missing head, beside the one that plans its groups; some of them may be cut off from it. */
const ASKING_NODES = 4;
/** Time for which a peer's findings are used, in milliseconds; peers repeat them each second. */
const FINDINGS_TTL_MS = 2_500;

/** Dependencies of {@link HeadMonitor}. */
export interface HeadMonitorOptions {
  readonly node: string;
  readonly list: InstanceList;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly configuration: () => ServingConfiguration | undefined;
  /** Names of the other live nodes. */
  readonly peers: () => readonly string[];
  /** Whether this node plans the groups of a fabric domain. */
  readonly isOwned: (fabricDomain: string) => boolean;
  /** Called when this node has found another state of a head. */
  readonly onFinding: (head: TargetInstance) => void;
}

/** Asks heads that have disappeared from the instance list whether they still serve. */
export class HeadMonitor {
  private readonly _heads = new UnlistedHeads();
  /** What peers found, by peer. */
  private readonly _peerFindings = new Map<
    string,
    { readonly findings: ReadonlyMap<string, HeadFinding>; readonly atMs: number }
  >();
  private _askedAtMs = -Infinity;
  private _updatedVersion = -1;

  constructor(private readonly _options: HeadMonitorOptions) {}

  /** State of the heads that are not listed, by group, as this node found it. */
  findings(): ReadonlyMap<string, HeadFinding> {
    return this._heads.getFindings();
  }

  /** Records what a peer found. */
  recordPeer(peer: string, findings: ReadonlyMap<string, HeadFinding>): void {
    if (findings.size === 0) this._peerFindings.delete(peer);
    else this._peerFindings.set(peer, { findings, atMs: this._options.clock.monotonic() });
  }

  /** Heads that are not listed but accept requests. */
  open(): readonly TargetInstance[] {
    return this._heads.getOpenHeads();
  }

  /** Whether a group whose head is not listed has stopped serving, as far as the nodes that asked can tell. */
  isReleased(group: string): boolean {
    const nowMs = this._options.clock.monotonic();
    for (const [peer, { atMs }] of this._peerFindings)
      if (nowMs - atMs > FINDINGS_TTL_MS) this._peerFindings.delete(peer);
    const findings = [...this._peerFindings.values()].map((peer) => peer.findings);
    return this._heads.isReleased(group, findings, this._options.peers().length, nowMs);
  }

  tick(): void {
    const { clock, list, configuration } = this._options;
    const nowMs = clock.monotonic();
    if (this._updatedVersion !== list.version) {
      this._updatedVersion = list.version;
      const services = [...(configuration()?.services.values() ?? [])].filter(({ engine }) => engine);
      const groups = services.flatMap((service) => [...observeGroups(service, list.instances.values())]);
      this._heads.update(new Map(groups), nowMs);
    }
    if (nowMs - this._askedAtMs < ASK_INTERVAL_MS) return;
    this._askedAtMs = nowMs;
    this._heads.removeExpired(nowMs);
    for (const head of this._heads.getHeadsToProbe()) if (this._isAsking(head)) void this._ask(head);
  }

  private _isAsking({ id, fabricDomain }: TargetInstance): boolean {
    const { node, peers, isOwned } = this._options;
    return (
      isOwned(fabricDomain) ||
      rankByRendezvous(id, [node, ...peers()])
        .slice(0, ASKING_NODES)
        .includes(node)
    );
  }

  private async _ask(head: TargetInstance): Promise<void> {
    const { clock } = this._options;
    const previous = this._getFinding(head);
    try {
      const { state, coldRemainingMs } = await readReport(head, ANSWER_TIMEOUT_MS);
      this._options.list.recordCold({ id: head.id, startedAtMs: state.startedAtMs }, coldRemainingMs);
      const membership = state.startedAtMs === head.startedAtMs ? state.membership : undefined;
      this._heads.recordAnswer(head, membership, clock.monotonic());
    } catch (error) {
      if (!(error instanceof ReportError)) throw error;
      this._heads.recordAnswer(head, error.isRefused ? 'refused' : 'silent', clock.monotonic());
    }
    const finding = this._getFinding(head);
    if (finding === previous) return;
    this._options.log.info('unlisted head changed state', { target: head.id, finding });
    this._options.onFinding(head);
  }

  private _getFinding({ membership }: TargetInstance): HeadFinding | undefined {
    return membership && this.findings().get(groupId(membership));
  }
}
