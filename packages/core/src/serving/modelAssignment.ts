import { groupBy } from './groupLayout.js';
import { findModelOfGroup, isStandbyName } from './groupName.js';
import { allocateEmptyInstances, type DomainInstances, findReload } from './modelAllocation.js';
import type { EngineProfile } from './servingConfiguration.js';
import { getIncarnationKey, type TargetInstance } from './targetInstance.js';

/** Time without a new instance after which a fabric domain's instances load weights, in milliseconds. */
const DOMAIN_SETTLE_MS = 1_000;
/** Interval between two searches for idle instances that should load other weights, in milliseconds. */
const RELOAD_INTERVAL_MS = 1_000;
/** Share of the instances that is assumed to be busy while no demand has been measured. */
const ASSUMED_UTILIZATION = 0.5;
/** Smallest demand that is assumed for a model, in groups, so that it is never left without any. */
const MIN_NEEDED_GROUPS = 0.25;

/** Input of an assignment. */
export interface AssignmentView {
  /** Monotonic time in milliseconds. */
  readonly nowMs: number;
  readonly engine: EngineProfile;
  /** All usable instances of the service. */
  readonly instances: readonly TargetInstance[];
  /** Ids of those that belong to no group and to no formation. */
  readonly freeIds: ReadonlySet<string>;
  /** Model of an instance's formation in progress. */
  readonly findFormingModel: (id: string) => string | undefined;
  /** Number of groups that the traffic needs, by model. */
  readonly demand: ReadonlyMap<string, number>;
}

/**
 * Decides for which model each free instance is used. One that has weights keeps them, unless another model needs it
 * much more; one without weights gets the model that gains most.
 */
export class ModelAssignment {
  private readonly _knownIncarnations = new Set<string>();
  /** Monotonic time at which an instance last appeared, by fabric domain. */
  private readonly _arrivedAtMs = new Map<string, number>();
  private _reloadSearchedAtMs = -Infinity;

  /** Returns the model that each free instance should load, by id; instances that keep their weights are not included. */
  findLoads(view: AssignmentView): ReadonlyMap<string, string> {
    this._recordArrivals(view);
    const settled = [...groupBy(view.instances, ({ fabricDomain }) => fabricDomain)].filter(([domain]) =>
      this._isSettled(domain, view.nowMs),
    );
    const empty = view.instances.filter((instance) => isEmpty(view, instance));
    const options = {
      models: view.engine.models,
      domains: settled.map(([domain, instances]) => summarize(view, domain, instances)),
      neededGroups: computeNeededGroups(view),
    };
    const loads = new Map<string, string>();
    if (empty.length > 0) {
      const allocation = allocateEmptyInstances(options);
      for (const [domain, instances] of groupBy(empty, ({ fabricDomain }) => fabricDomain)) {
        const models = [...(allocation.get(domain) ?? [])].flatMap(([model, count]) => repeat(model, count));
        for (const [index, { id }] of sortById(instances).entries()) {
          const model = models[index];
          if (model !== undefined) loads.set(id, model);
        }
      }
      return loads;
    }
    if (view.nowMs - this._reloadSearchedAtMs < RELOAD_INTERVAL_MS) return loads;
    this._reloadSearchedAtMs = view.nowMs;
    const reload = findReload(options);
    if (!reload) return loads;
    const idle = view.instances.filter(
      (instance) =>
        instance.fabricDomain === reload.fabricDomain &&
        view.freeIds.has(instance.id) &&
        findUsedModel(instance) === reload.from,
    );
    for (const { id } of sortById(idle).slice(0, reload.count)) loads.set(id, reload.to);
    return loads;
  }

  private _recordArrivals({ instances, nowMs }: AssignmentView): void {
    const isFirst = this._knownIncarnations.size === 0;
    const current = new Set<string>();
    for (const { id, startedAtMs, fabricDomain } of instances) {
      const incarnation = getIncarnationKey({ id, startedAtMs });
      current.add(incarnation);
      if (this._knownIncarnations.has(incarnation)) continue;
      this._knownIncarnations.add(incarnation);
      if (!isFirst) this._arrivedAtMs.set(fabricDomain, nowMs);
    }
    for (const incarnation of this._knownIncarnations) {
      if (!current.has(incarnation)) this._knownIncarnations.delete(incarnation);
    }
  }

  /** Whether no instance has appeared lately: those of a domain that was out return one by one, with their weights. */
  private _isSettled(fabricDomain: string, nowMs: number): boolean {
    return nowMs - (this._arrivedAtMs.get(fabricDomain) ?? -Infinity) >= DOMAIN_SETTLE_MS;
  }
}

/** Name of the model whose weights a free instance has: of the last one that its engine used, if that is still staged. */
export function findUsedModel({ models, stagedModels }: TargetInstance): string | undefined {
  return models.find((model) => stagedModels.includes(model)) ?? stagedModels[0];
}

/** Name of the model whose weights an instance is loading as a standby. */
export function findLoadingModel({ membership, stagedModels }: TargetInstance): string | undefined {
  if (membership?.state !== 'joining' || !isStandbyName(membership.group)) return undefined;
  const model = findModelOfGroup(membership.group);
  return model === undefined || stagedModels.includes(model) ? undefined : model;
}

function isEmpty({ freeIds }: AssignmentView, instance: TargetInstance): boolean {
  return freeIds.has(instance.id) && findUsedModel(instance) === undefined;
}

function summarize(
  view: AssignmentView,
  fabricDomain: string,
  instances: readonly TargetInstance[],
): DomainInstances {
  const byModel = new Map<string, number>();
  const idleByModel = new Map<string, number>();
  for (const instance of instances) {
    const isFree = view.freeIds.has(instance.id);
    const model = isFree ? findUsedModel(instance) : findAssignedModel(view, instance);
    if (model === undefined) continue;
    byModel.set(model, (byModel.get(model) ?? 0) + 1);
    if (isFree) idleByModel.set(model, (idleByModel.get(model) ?? 0) + 1);
  }
  const empty = instances.filter((instance) => isEmpty(view, instance)).length;
  return { fabricDomain, byModel, idleByModel, empty };
}

function findAssignedModel(view: AssignmentView, instance: TargetInstance): string | undefined {
  const { membership } = instance;
  return (
    view.findFormingModel(instance.id) ??
    (membership && findModelOfGroup(membership.group)) ??
    findUsedModel(instance)
  );
}

function computeNeededGroups({ engine, instances, demand }: AssignmentView): ReadonlyMap<string, number> {
  const busyInstances = instances.length * ASSUMED_UTILIZATION;
  return new Map(
    engine.models.map(({ name, demandShare, groupSize }) => [
      name,
      Math.max(MIN_NEEDED_GROUPS, demand.get(name) ?? (busyInstances * demandShare) / groupSize),
    ]),
  );
}

function sortById(instances: readonly TargetInstance[]): readonly TargetInstance[] {
  return [...instances].sort((a, b) => (a.id < b.id ? -1 : 1));
}

function repeat(model: string, count: number): readonly string[] {
  return Array.from({ length: count }, () => model);
}
