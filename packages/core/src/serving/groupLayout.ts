import type { EngineProfile, ModelProfile } from './servingConfiguration.js';
import type { TargetInstance } from './targetInstance.js';

/** Duration of a join with the weights already loaded, in milliseconds, as the engines specify it. */
const REJOIN_MS = 200;
/** Added to a group's time until ready when gains are compared, in milliseconds, so that speed alone does not decide. */
const FORMATION_OFFSET_MS = 4_000;
/** Added to a model's number of groups, so that the cost of having none is high but finite. */
const GROUP_COUNT_OFFSET = 0.25;
/** Exponent of the wait cost; above 2 because waits rise steeply as a batch fills up. */
const WAIT_EXPONENT = 3;
/** Share of a group's capacity lost to occasional failures of one member. */
const MEMBER_LOSS_SHARE = 0.02;

/** A group to be formed. */
export interface PlannedGroup {
  readonly model: ModelProfile;
  /** The first is the head. */
  readonly members: readonly TargetInstance[];
}

/** Input of a layout. */
export interface LayoutOptions {
  readonly engine: EngineProfile;
  /** Unassigned instances; only those of one fabric domain are grouped, as a group across domains is slower. */
  readonly free: readonly TargetInstance[];
  /** Number of groups that already serve or are forming, by model. */
  readonly groupCounts: ReadonlyMap<string, number>;
  /** Number of groups that the traffic needs, by model; `demandShare` applies to models that are missing here. */
  readonly demand: ReadonlyMap<string, number>;
}

/**
 * Divides the unassigned instances of each fabric domain into groups, so that each model has groups for its demand and
 * few instances remain unassigned. Groups that become ready soon are preferred.
 *
 * Covers the start, when all instances are unassigned; the loss of a member, after which the remaining members and a
 * standby form a new group at once; and the return of a fabric domain.
 */
export function layOutGroups(options: LayoutOptions): readonly PlannedGroup[] {
  const counts = new Map(options.groupCounts);
  const groups: PlannedGroup[] = [];
  for (const pool of groupByFabricDomain(options.free)) {
    const chosen = chooseComposition(options, counts, pool);
    for (const group of chosen) {
      groups.push(group);
      counts.set(group.model.name, (counts.get(group.model.name) ?? 0) + 1);
    }
  }
  return groups;
}

function groupByFabricDomain(free: readonly TargetInstance[]): readonly (readonly TargetInstance[])[] {
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
): readonly PlannedGroup[] {
  let best: readonly PlannedGroup[] = [];
  let bestGain = 0;
  for (const models of listCompositions(options.engine.models, pool.length)) {
    const groups = assignMembers(models, pool);
    const gain = computeGain(options, counts, groups);
    if (gain > bestGain) {
      best = groups;
      bestGain = gain;
    }
  }
  return best;
}

/** Lists all multisets of models whose groups fit into `size` instances, larger groups first. */
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
): readonly PlannedGroup[] {
  let remaining = pool;
  return models.map((model) => {
    const members = [...remaining].sort((a, b) => compareForModel(model, a, b)).slice(0, model.groupSize);
    remaining = remaining.filter((instance) => !members.includes(instance));
    return { model, members };
  });
}

/** Orders instances by time until ready, then by number of staged models: those with few are needed less elsewhere. */
function compareForModel(model: ModelProfile, a: TargetInstance, b: TargetInstance): number {
  return (
    predictJoinMs(model, a) - predictJoinMs(model, b) ||
    a.stagedModels.length - b.stagedModels.length ||
    (a.id < b.id ? -1 : 1)
  );
}

function computeGain(
  options: LayoutOptions,
  initialCounts: ReadonlyMap<string, number>,
  layouts: readonly PlannedGroup[],
): number {
  const counts = new Map(initialCounts);
  let gain = 0;
  for (const { model, members } of layouts) {
    const count = counts.get(model.name) ?? 0;
    const neededGroups = options.demand.get(model.name) ?? model.demandShare / model.groupSize;
    const computeWaitCost = (groups: number) =>
      (neededGroups * (1 + MEMBER_LOSS_SHARE * model.groupSize)) ** WAIT_EXPONENT /
      (groups + GROUP_COUNT_OFFSET) ** (WAIT_EXPONENT - 1);
    const costReduction = computeWaitCost(count) - computeWaitCost(count + 1);
    const readyMs = Math.max(...members.map((member) => predictJoinMs(model, member)));
    gain += costReduction / (readyMs + FORMATION_OFFSET_MS);
    counts.set(model.name, count + 1);
  }
  return gain;
}

/** Predicts the time until the instance is ready to serve the model, in milliseconds. */
export function predictJoinMs(model: ModelProfile, instance: TargetInstance): number {
  if (!instance.stagedModels.includes(model.name)) return model.loadMs;
  return instance.membership && instance.models.includes(model.name) ? REJOIN_MS : model.warmupMs;
}
