import {
  type ColdBound,
  type Counters,
  getIncarnationKey,
  rankByRendezvous,
  type ServingConfiguration,
  type ServingService,
  type TargetCandidate,
  type TargetChoice,
  type TargetLimits,
} from '@monsoonreach/core';
import type { DecisionLog } from './decisionLog.js';
import type { InstanceList } from './instanceList.js';
import type { NodeSettings } from './settings.js';

/** Dependencies of {@link ColdTargets}. */
export interface ColdTargetsOptions {
  readonly bounds: Pick<NodeSettings['bounds'], 'cold-overrun' | 'cold-slack'>;
  readonly list: InstanceList;
  readonly limits: TargetLimits;
  readonly counters: Counters;
  readonly log: DecisionLog;
  readonly configuration: () => ServingConfiguration | undefined;
}

/** Tells the limits which listed targets are cold, instances of plain services and heads of groups. Does nothing unless the settings bound the requests to them. */
export class ColdTargets {
  private _version = -1;
  private _configuration: ServingConfiguration | undefined;
  /** Ids of the listed instances with a bound, by incarnation. */
  private _bounded = new Map<string, { readonly id: string; readonly startedAtMs: number }>();
  private _cold: ReadonlySet<string> = new Set();

  constructor(private readonly _options: ColdTargetsOptions) {}

  /** Applies what the list and the configuration say; to be called after each read, and periodically. */
  update(): void {
    const { bounds, list, limits, counters } = this._options;
    const configuration = this._options.configuration();
    if (bounds['cold-overrun'] === undefined || !configuration) return;
    if (this._version !== list.version || this._configuration !== configuration) {
      this._version = list.version;
      this._configuration = configuration;
      this._setBounds(configuration);
    }
    for (const [incarnation, instance] of this._bounded)
      limits.recordCold(incarnation, list.getColdUntilMs(instance));
    const cold = limits.listCold();
    this._logChanges(cold);
    this._cold = cold;
    if (this._bounded.size > 0) counters.set('monsoonreach_cold_targets', cold.size);
  }

  private _setBounds(configuration: ServingConfiguration): void {
    const { list, limits } = this._options;
    const bounds = new Map<string, ColdBound>();
    this._bounded = new Map();
    for (const instance of list.instances.values()) {
      const service = configuration.services.get(instance.service);
      const bound = service && this._findBound(service);
      // Only the heads of groups get requests.
      const isTarget = !bound?.hasOwner || instance.membership?.rank === 0;
      if (!bound || !isTarget) continue;
      const incarnation = getIncarnationKey(instance);
      bounds.set(incarnation, bound);
      this._bounded.set(incarnation, { id: instance.id, startedAtMs: instance.startedAtMs });
    }
    limits.setColdBounds(bounds);
  }

  private _findBound({ coldRequestsPerS, coldStartMs, engine }: ServingService): ColdBound | undefined {
    const { 'cold-overrun': overrun, 'cold-slack': slack } = this._options.bounds;
    if (overrun === undefined || coldRequestsPerS <= 0 || coldStartMs <= 0) return undefined;
    return {
      requestsPerS: coldRequestsPerS,
      maxPerS: coldRequestsPerS * overrun + (slack ?? 0),
      hasOwner: engine !== undefined && engine.models.length > 0,
    };
  }

  private _logChanges(cold: ReadonlySet<string>): void {
    const { list, log } = this._options;
    for (const [incarnation, instance] of this._bounded) {
      const isCold = cold.has(incarnation);
      if (isCold === this._cold.has(incarnation)) continue;
      const target = { target: instance.id, startedAtMs: instance.startedAtMs };
      if (isCold)
        log.info('target is cold', { ...target, untilMs: Math.round(list.getColdUntilMs(instance)) });
      else log.info('target is warm again', target);
    }
  }
}

/** Rank of a node among all nodes for an incarnation of an instance, from 0. */
export function rankNode(incarnation: string, node: string, others: readonly string[]): number {
  return rankByRendezvous(incarnation, [...new Set([node, ...others])]).indexOf(node);
}

/** Counts a choice for which targets were left out because of the bound on cold ones. */
export function countColdSkip(
  counters: Counters,
  choice: TargetChoice,
  candidates: readonly TargetCandidate[],
  exhausted: ReadonlySet<string>,
): void {
  if (exhausted.size === 0 || !candidates.some(({ instance }) => exhausted.has(getIncarnationKey(instance))))
    return;
  const result = choice.kind === 'chosen' ? 'moved' : 'refused';
  counters.add('monsoonreach_cold_target_skips_total', { result });
}
