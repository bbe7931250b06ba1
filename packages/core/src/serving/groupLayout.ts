import type { ModelProfile } from './servingConfiguration.js';
import type { TargetInstance } from './targetInstance.js';

/** Duration of a join with the weights already loaded, in milliseconds, as the engines specify it. */
const REJOIN_MS = 200;

/** A group to be formed. */
export interface PlannedGroup {
  readonly model: ModelProfile;
  /** The first is the head. */
  readonly members: readonly TargetInstance[];
}

/** Input of a layout. */
export interface LayoutOptions {
  readonly models: readonly ModelProfile[];
  /** Instances in no group; only those of one fabric domain are grouped, as a group across domains is slower. */
  readonly free: readonly TargetInstance[];
  /** Name of the model that an instance is used for; undefined if it is not to be used yet. */
  readonly findModel: (instance: TargetInstance) => string | undefined;
}

/**
 * Divides the free instances of each fabric domain into groups of their model. Instances that remain replace the next
 * lost members: a group is never completed by loading other weights while an instance that has them may return.
 */
export function layOutGroups({ models, free, findModel }: LayoutOptions): readonly PlannedGroup[] {
  const pools = groupBy(free, (instance) => JSON.stringify([instance.fabricDomain, findModel(instance)]));
  return [...pools.values()].flatMap((pool) => {
    const model = models.find(({ name }) => pool[0] && name === findModel(pool[0]));
    return model ? divide(model, pool) : [];
  });
}

function divide(model: ModelProfile, pool: readonly TargetInstance[]): readonly PlannedGroup[] {
  const sorted = [...pool].sort(
    (a, b) => predictJoinMs(model, a) - predictJoinMs(model, b) || (a.id < b.id ? -1 : 1),
  );
  const { groupSize } = model;
  return Array.from({ length: Math.floor(pool.length / groupSize) }, (_, index) => ({
    model,
    members: sorted.slice(index * groupSize, (index + 1) * groupSize),
  }));
}

/** Predicts the time until the instance is ready to serve the model, in milliseconds. */
export function predictJoinMs(model: ModelProfile, instance: TargetInstance): number {
  if (!instance.stagedModels.includes(model.name)) return model.loadMs;
  return instance.models.includes(model.name) ? REJOIN_MS : model.warmupMs;
}

/** Groups items by key, in the order of their first occurrence. */
export function groupBy<Item>(
  items: Iterable<Item>,
  toKey: (item: Item) => string,
): ReadonlyMap<string, readonly Item[]> {
  const groups = new Map<string, Item[]>();
  for (const item of items) {
    const key = toKey(item);
    const known = groups.get(key);
    if (known) known.push(item);
    else groups.set(key, [item]);
  }
  return groups;
}
