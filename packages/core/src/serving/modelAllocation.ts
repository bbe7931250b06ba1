import type { ModelProfile } from './servingConfiguration.js';
import { countSurvivingGroups } from './survivingGroups.js';

/** Added to a model's number of groups, so that the cost of having none is high but finite. */
const GROUP_COUNT_OFFSET = 0.25;
/** Exponent of the wait cost; above 2 because waits rise steeply as a batch fills up. */
const WAIT_EXPONENT = 3;
/** Share of the time for which one fabric domain is assumed to be out. */
const DOMAIN_OUTAGE_SHARE = 0.15;
/** Smallest share of the cost that loading other weights must save, as the instance is of no use meanwhile. */
const MIN_RELOAD_SAVING = 0.2;
/** Rounds of improving the domains one after the other; later rounds change little. */
const ROUNDS = 3;

/** Instances of one fabric domain, by the model whose weights they have or are loading. */
export interface DomainInstances {
  readonly fabricDomain: string;
  /** All instances, grouped or not. */
  readonly byModel: ReadonlyMap<string, number>;
  /** Those among them that belong to no group, so that they could load other weights. */
  readonly idleByModel: ReadonlyMap<string, number>;
  /** Instances that have no weights. */
  readonly empty: number;
}

/** Input of an allocation. */
export interface AllocationOptions {
  readonly models: readonly ModelProfile[];
  readonly domains: readonly DomainInstances[];
  /** Number of groups that the traffic needs, by model. */
  readonly neededGroups: ReadonlyMap<string, number>;
}

/** A number of idle instances of one fabric domain that should load the weights of another model. */
export interface Reload {
  readonly fabricDomain: string;
  readonly from: string;
  readonly to: string;
  readonly count: number;
}

/** Number of instances of each model in one domain, in the order of the models. */
type Counts = readonly number[];

/**
 * Divides the instances without weights among the models. Returns for each fabric domain how many instances load which
 * model.
 *
 * Weights take long to load while there is traffic, and groups lose members faster than that. The division therefore
 * minimizes the wait cost with the groups that remain after the expected losses, also while one domain is out.
 */
export function allocateEmptyInstances(
  options: AllocationOptions,
): ReadonlyMap<string, ReadonlyMap<string, number>> {
  const evaluation = new CostEvaluation(options);
  const added = options.domains.map(({ empty }) => spreadEvenly(empty, options.models.length));
  for (const [index, counts] of added.entries()) evaluation.add(index, counts);
  for (let round = 0; round < ROUNDS; round++) {
    for (const [index, { empty }] of options.domains.entries()) {
      if (empty === 0) continue;
      evaluation.add(index, negate(added[index] ?? []));
      const best = chooseBest(listDivisions(empty, options.models.length), (counts) =>
        evaluation.computeCost(index, counts),
      );
      added[index] = best;
      evaluation.add(index, best);
    }
  }
  return new Map(
    options.domains.map(({ fabricDomain }, index) => [
      fabricDomain,
      new Map(options.models.map(({ name }, model) => [name, added[index]?.[model] ?? 0])),
    ]),
  );
}

/** Finds the idle instances whose use for another model saves most; undefined if no reload is worth its time. */
export function findReload(options: AllocationOptions): Reload | undefined {
  const evaluation = new CostEvaluation(options);
  const currentCost = evaluation.computeCost(0, []);
  let best: { readonly reload: Reload; readonly cost: number } | undefined;
  for (const [index, { fabricDomain, idleByModel }] of options.domains.entries()) {
    for (const [from, { name }] of options.models.entries()) {
      for (let count = 1; count <= (idleByModel.get(name) ?? 0); count++) {
        for (const [to, target] of options.models.entries()) {
          if (to === from) continue;
          const change = options.models.map((_, model) =>
            model === to ? count : model === from ? -count : 0,
          );
          const cost = evaluation.computeCost(index, change);
          if (best && cost >= best.cost) continue;
          best = { reload: { fabricDomain, from: name, to: target.name, count }, cost };
        }
      }
    }
  }
  return best && best.cost < currentCost * (1 - MIN_RELOAD_SAVING) ? best.reload : undefined;
}

/** Wait cost of a division of the instances of all domains among the models. */
class CostEvaluation {
  private readonly _models: readonly ModelProfile[];
  private readonly _needed: readonly number[];
  /** Instances of each domain and model. */
  private readonly _counts: number[][];
  /** Expected groups of each domain and model. */
  private readonly _groups: number[][];

  constructor({ models, domains, neededGroups }: AllocationOptions) {
    this._models = models;
    this._needed = models.map(({ name }) => neededGroups.get(name) ?? 0);
    this._counts = domains.map(({ byModel }) => models.map(({ name }) => byModel.get(name) ?? 0));
    this._groups = this._counts.map((counts) => this._countGroups(counts));
  }

  /** Adds instances to a domain. */
  add(domain: number, change: Counts): void {
    const counts = sum(this._counts[domain] ?? [], change);
    this._counts[domain] = counts;
    this._groups[domain] = this._countGroups(counts);
  }

  /** Cost if these instances were added to the domain. */
  computeCost(domain: number, change: Counts): number {
    const own = this._countGroups(sum(this._counts[domain] ?? [], change));
    const groups = this._groups.map((known, index) => (index === domain ? own : known));
    const totals = this._models.map((_, model) =>
      groups.reduce((total, counts) => total + (counts[model] ?? 0), 0),
    );
    const outageCosts = groups.map((lost) =>
      this._computeWaitCost(totals.map((total, model) => total - (lost[model] ?? 0))),
    );
    const outageCost = outageCosts.reduce((total, cost) => total + cost, 0) / Math.max(1, groups.length);
    return (1 - DOMAIN_OUTAGE_SHARE) * this._computeWaitCost(totals) + DOMAIN_OUTAGE_SHARE * outageCost;
  }

  private _computeWaitCost(groups: readonly number[]): number {
    return this._needed.reduce(
      (total, needed, model) =>
        total + needed ** WAIT_EXPONENT / ((groups[model] ?? 0) + GROUP_COUNT_OFFSET) ** (WAIT_EXPONENT - 1),
      0,
    );
  }

  private _countGroups(counts: Counts): number[] {
    return this._models.map(({ groupSize }, model) => countSurvivingGroups(counts[model] ?? 0, groupSize));
  }
}

function sum(counts: Counts, change: Counts): number[] {
  return counts.map((count, model) => count + (change[model] ?? 0));
}

function negate(counts: Counts): Counts {
  return counts.map((count) => -count);
}

function spreadEvenly(total: number, parts: number): Counts {
  return Array.from({ length: parts }, (_, part) => Math.floor((total + part) / parts));
}

/** Lists all ways to divide `total` among `parts`. */
function listDivisions(total: number, parts: number): readonly Counts[] {
  if (parts <= 1) return [[total]];
  return Array.from({ length: total + 1 }, (_, first) =>
    listDivisions(total - first, parts - 1).map((rest) => [first, ...rest]),
  ).flat();
}

function chooseBest(options: readonly Counts[], computeCost: (counts: Counts) => number): Counts {
  let best: { readonly counts: Counts; readonly cost: number } | undefined;
  for (const counts of options) {
    const cost = computeCost(counts);
    if (!best || cost < best.cost) best = { counts, cost };
  }
  return best?.counts ?? [];
}
