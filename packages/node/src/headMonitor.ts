import {
  type Clock,
  groupId,
  type HeadFinding,
  observeGroups,
  type ServingConfiguration,
  type TargetInstance,
  UnlistedHeads,
} from '@monsoonreach/core';
import { readReport, ReportError } from '@monsoonreach/platform';
import type { DecisionLog } from './decisionLog.js';
import type { InstanceList } from './instanceList.js';

/** Interval between two requests to a head that is missing from the list, in milliseconds. */
const ASK_INTERVAL_MS = 500;
/** Interval between two updates from the listed groups, in milliseconds; the list itself is read every 600 ms. */
const UPDATE_INTERVAL_MS = 200;
/** Timeout of a head's answer, in milliseconds. */
const ANSWER_TIMEOUT_MS = 300;

/** Dependencies of {@link HeadMonitor}. */
export interface HeadMonitorOptions {
  readonly list: InstanceList;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly configuration: () => ServingConfiguration | undefined;
}

/** Asks heads that have disappeared from the instance list whether they still serve. */
export class HeadMonitor {
  private readonly _heads = new UnlistedHeads();
  private _askedAtMs = -Infinity;
  private _updatedAtMs = -Infinity;

  constructor(private readonly _options: HeadMonitorOptions) {}

  /** State of the heads that are not listed, by group, as this node found it. */
  findings(): ReadonlyMap<string, HeadFinding> {
    return this._heads.getFindings();
  }

  /** Heads that are not listed but still serve. */
  serving(): readonly TargetInstance[] {
    return this._heads.getServingHeads();
  }

  isReleased(group: string, peers: readonly ReadonlyMap<string, HeadFinding>[]): boolean {
    return this._heads.isReleased(group, peers, this._options.clock.monotonic());
  }

  tick(): void {
    const { clock, list, configuration } = this._options;
    const nowMs = clock.monotonic();
    if (nowMs - this._updatedAtMs < UPDATE_INTERVAL_MS) return;
    this._updatedAtMs = nowMs;
    for (const service of configuration()?.services.values() ?? []) {
      if (service.engine) this._heads.update(observeGroups(service, list.instances.values()), nowMs);
    }
    if (nowMs - this._askedAtMs < ASK_INTERVAL_MS) return;
    this._askedAtMs = nowMs;
    for (const head of this._heads.getHeadsToProbe()) void this._ask(head);
  }

  private async _ask(head: TargetInstance): Promise<void> {
    const previous = this._getFinding(head);
    try {
      const { state } = await readReport(head, ANSWER_TIMEOUT_MS);
      this._heads.recordAnswer(head, state.startedAtMs === head.startedAtMs ? state.membership : undefined);
    } catch (error) {
      if (!(error instanceof ReportError)) throw error;
      this._heads.recordAnswer(head, 'none');
    }
    const finding = this._getFinding(head);
    if (finding !== previous)
      this._options.log.info('unlisted head changed state', { target: head.id, finding });
  }

  private _getFinding({ membership }: TargetInstance): HeadFinding | undefined {
    return membership && this.findings().get(groupId(membership));
  }
}
