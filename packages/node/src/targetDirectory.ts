import {
  type BatchLoad,
  type Clock,
  type LoadTracker,
  observeGroups,
  type ServingConfiguration,
  type ServingService,
  type TargetCandidate,
  type TargetInstance,
} from '@monsoonreach/core';
import type { InstanceList } from './instanceList.js';

interface KnownTarget {
  readonly key: string;
  readonly instance: TargetInstance;
  readonly slots: number;
  readonly engine: TargetCandidate['engine'];
}

const NO_LOAD: BatchLoad = { requests: 0, contextTokens: 0, pendingPromptTokens: 0 };

/** Looks up the targets that accept requests for a service and a model, according to the instance list. */
export class TargetDirectory {
  private _listVersion = -1;
  private _configuration: ServingConfiguration | undefined;
  private _targetsById = new Map<string, readonly KnownTarget[]>();

  constructor(
    private readonly _list: InstanceList,
    private readonly _loads: LoadTracker,
    private readonly _clock: Clock,
  ) {}

  /** Returns the targets with their estimated current load. */
  findCandidates(
    configuration: ServingConfiguration,
    service: string,
    model: string | undefined,
  ): readonly TargetCandidate[] {
    this._refresh(configuration);
    const totals = this._loads.computeTotals(this._clock.monotonic());
    const targets = this._targetsById.get(toTargetsId(service, model)) ?? [];
    return targets.map((target) => ({ ...target, load: totals.get(target.key) ?? NO_LOAD }));
  }

  /** Returns the keys of all targets that accept requests. */
  listKeys(configuration: ServingConfiguration): ReadonlySet<string> {
    this._refresh(configuration);
    return new Set([...this._targetsById.values()].flatMap((targets) => targets.map(({ key }) => key)));
  }

  private _refresh(configuration: ServingConfiguration): void {
    if (this._listVersion === this._list.version && this._configuration === configuration) return;
    this._listVersion = this._list.version;
    this._configuration = configuration;
    this._targetsById = new Map();
    for (const service of configuration.services.values()) {
      for (const [id, targets] of this._findTargets(service)) this._targetsById.set(id, targets);
    }
  }

  private _findTargets(service: ServingService): ReadonlyMap<string, readonly KnownTarget[]> {
    const { engine } = service;
    if (!engine || engine.models.length === 0)
      return new Map([[toTargetsId(service.name, undefined), this._findPlainTargets(service)]]);
    const byModel = new Map<string, KnownTarget[]>();
    for (const [key, group] of observeGroups(service, this._list.instances.values())) {
      const { head, model } = group;
      if (!head || !model || head.state !== 'ready') continue;
      if (head.membership?.state !== 'open') continue;
      const id = toTargetsId(service.name, model.name);
      const target = { key, instance: head, slots: engine.slots, engine: { profile: engine, model } };
      byModel.set(id, [...(byModel.get(id) ?? []), target]);
    }
    return byModel;
  }

  private _findPlainTargets(service: ServingService): readonly KnownTarget[] {
    return [...this._list.instances.values()]
      .filter((instance) => instance.service === service.name && instance.state === 'ready')
      .map((instance) => ({
        key: `${instance.id}#${instance.startedAtMs}`,
        instance,
        slots: instance.slots,
        engine: undefined,
      }));
  }
}

function toTargetsId(service: string, model: string | undefined): string {
  return model === undefined ? service : `${service}/${model}`;
}
