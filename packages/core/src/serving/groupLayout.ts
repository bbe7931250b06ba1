import type { EngineProfile, ModelProfile } from './servingConfiguration.js';
import type { TargetInstance } from './targetInstance.js';

/** Time of a join that needs no weights, in milliseconds; the engines' own figure. */
const REJOIN_MS = 200;
/** Time added to that of a formation when gains are compared, in milliseconds, so that a quick one is not everything. */
const FORMATION_BASE_MS = 4_000;
/** Added to the number of a model's groups, so that a model without any counts as very badly served, not infinitely. */
const NO_GROUP = 0.25;
/** How fast waiting grows as groups get busier; beyond 2, as times rise steeply towards a full batch. */
const STEEPNESS = 3;
/** Share of a group's time that each of its members costs by being lost now and then. */
const LOSS_SHARE = 0.02;

/** A group that is to be formed. */
export interface LaidOutGroup {
  readonly model: ModelProfile;
  /** The first is the head. */
  readonly members: readonly TargetInstance[];
}

/** What a layout is chosen by. */
export interface LayoutOptions {
  readonly engine: EngineProfile;
  /** Free instances; those of one fabric domain can form a fast group. */
  readonly free: readonly TargetInstance[];
  /** Groups that serve or form already, by model. */
  readonly counts: ReadonlyMap<string, number>;
  /** Groups that the traffic needs, by model; a model's share of the work where there was no traffic. */
  readonly demand: ReadonlyMap<string, number>;
}

/**
 * Lays out the free instances of each fabric domain as groups, so that each model has groups for its part of the
 * demand and few instances are left over; formations that are ready soon count for more.
 *
 * Load patterns: the start, where all is free; a lost member, whose group's survivors and a substitute form anew
 * at once; a fabric domain that comes back.
 */
export function layOutGroups(options: LayoutOptions): readonly LaidOutGroup[] {
  const counts = new Map(options.counts);
  const groups: LaidOutGroup[] = [];
  for (const pool of poolsByDomain(options.free)) {
    const chosen = chooseComposition(options, counts, pool);
    for (const group of chosen) {
      groups.push(group);
      counts.set(group.model.name, (counts.get(group.model.name) ?? 0) + 1);
    }
  }
  return groups;
}

function poolsByDomain(free: readonly TargetInstance[]): readonly (readonly TargetInstance[])[] {
  const pools = new Map<string, TargetInstance[]>();
  for (const instance of free) {
    const pool = pools.get(instance.fabricDomain);
    if (pool) pool.push(instance);
    else pools.set(instance.fabricDomain, [instance]);
  }
  return [...pools.values()];
}

function chooseComposition(
  options: LayoutOptions,
  counts: ReadonlyMap<string, number>,
  pool: readonly TargetInstance[],
): readonly LaidOutGroup[] {
  let best: readonly LaidOutGroup[] = [];
  let bestGain = 0;
  for (const models of listCompositions(options.engine.models, pool.length)) {
    const groups = assignMembers(models, pool);
    const gain = gainOf(options, counts, groups);
    if (gain > bestGain) {
      best = groups;
      bestGain = gain;
    }
  }
  return best;
}

/** Every choice of models whose groups fit into `size` instances, the larger groups first. */
function listCompositions(
  models: readonly ModelProfile[],
  size: number,
): readonly (readonly ModelProfile[])[] {
  const [first, ...rest] = [...models].sort((a, b) => b.groupSize - a.groupSize);
  if (!first) return [[]];
  const compositions: (readonly ModelProfile[])[] = [];
  for (let count = 0; count * first.groupSize <= size; count++) {
    const own = Array.from({ length: count }, () => first);
    for (const other of listCompositions(rest, size - count * first.groupSize)) {
      compositions.push([...own, ...other]);
    }
  }
  return compositions;
}

function assignMembers(
  models: readonly ModelProfile[],
  pool: readonly TargetInstance[],
): readonly LaidOutGroup[] {
  let left = pool;
  return models.map((model) => {
    const members = [...left].sort((a, b) => compareFor(model, a, b)).slice(0, model.groupSize);
    left = left.filter((instance) => !members.includes(instance));
    return { model, members };
  });
}

/** Instances that are ready soonest come first, then those whose weights nobody else needs. */
function compareFor(model: ModelProfile, a: TargetInstance, b: TargetInstance): number {
  return (
    joinMs(model, a) - joinMs(model, b) ||
    a.stagedModels.length - b.stagedModels.length ||
    (a.id < b.id ? -1 : 1)
  );
}

function gainOf(
  options: LayoutOptions,
  before: ReadonlyMap<string, number>,
  groups: readonly LaidOutGroup[],
): number {
  const counts = new Map(before);
  let gain = 0;
  for (const { model, members } of groups) {
    const count = counts.get(model.name) ?? 0;
    const need = options.demand.get(model.name) ?? model.demandShare / model.groupSize;
    const strain = (groups: number) =>
      (need * (1 + LOSS_SHARE * model.groupSize)) ** STEEPNESS / (groups + NO_GROUP) ** (STEEPNESS - 1);
    const relief = strain(count) - strain(count + 1);
    const readyMs = Math.max(...members.map((member) => joinMs(model, member)));
    gain += relief / (readyMs + FORMATION_BASE_MS);
    counts.set(model.name, count + 1);
  }
  return gain;
}

/** Time until this instance is ready for the model, in milliseconds. */
export function joinMs(model: ModelProfile, instance: TargetInstance): number {
  if (!instance.stagedModels.includes(model.name)) return model.loadMs;
  return instance.membership && instance.models.includes(model.name) ? REJOIN_MS : model.warmupMs;
}
