import type { Configuration, ModelConfiguration } from './configuration.js';
import type { InstanceIdentity } from './controlRecords.js';
import type { Group, Groups, InstanceAssignment } from './groups.js';
import { rankByRendezvous } from './rendezvous.js';
import { type BrokenGroup, decideRepairs, type RepairPolicy } from './repair.js';

/** The planner's view of one instance. */
export interface PlannedInstance {
  readonly address: string;
  readonly failureDomain: string;
  readonly fabricDomain: string;
  readonly accelerators: number;
  readonly isLeaving: boolean;
  /** False for a member that the live list does not show; it cannot be assigned again once it is released. */
  readonly isListed: boolean;
  /** True when its last status read was answered, or none was made yet. */
  readonly isReachable: boolean;
  /** True when a status read since its release showed it busy or restarted. */
  readonly isReleaseOutdated: boolean;
}

/** Observed health of one group's members. */
export interface GroupHealth {
  readonly phase: 'unknown' | 'loading' | 'whole' | 'broken';
  /** Members that do not answer, and how long they have been unreachable. */
  readonly missing: readonly { readonly address: string; readonly unreachableForMs: number }[];
  /** Members whose boot id differs from the assigned one. */
  readonly restarted: readonly string[];
}

/** Input of one planning pass. */
export interface PlannerView {
  readonly groups: Groups;
  readonly configuration: Configuration;
  readonly instances: ReadonlyMap<string, PlannedInstance>;
  readonly fabricDomain: string;
  readonly health: (group: Group) => GroupHealth;
  /** Loading time measured so far, in milliseconds. */
  readonly loadMs: number;
  readonly policy?: RepairPolicy;
}

/** Why a group is dissolved. */
export type DissolveReason =
  | 'instance-missing'
  | 'instance-restarted'
  | 'instance-leaving'
  | 'version-replaced'
  | 'model-removed'
  | 'surplus';

/** A record to append to the `control` stream. */
export type PlanStep =
  | {
      readonly kind: 'assign';
      readonly model: string;
      readonly version: string;
      readonly members: readonly InstanceIdentity[];
    }
  | { readonly kind: 'dissolve'; readonly group: Group; readonly reason: DissolveReason };

/**
 * Plans one fabric domain. All planners read the same log, so they agree on the split of a model's groups
 * over the fabric domains without further coordination.
 */
export function planFabricDomain(planned: PlannerView): readonly PlanStep[] {
  const view = new IndexedView(planned);
  const dissolutions = [...planRemovals(view), ...planRepairs(view)];
  return [...dissolutions, ...planAssignments(view, dissolutions.length > 0)];
}

type Spare = readonly [address: string, assignment: InstanceAssignment];

/** A view that indexes groups by model and spares by fabric domain, once per planning pass. */
class IndexedView {
  readonly groups: Groups;
  readonly configuration: Configuration;
  readonly instances: ReadonlyMap<string, PlannedInstance>;
  readonly fabricDomain: string;
  readonly loadMs: number;
  readonly policy: RepairPolicy | undefined;
  readonly activeGroups: readonly Group[];
  readonly domainGroups: readonly Group[];
  private readonly _byModel = new Map<string, Group[]>();
  private readonly _health = new Map<Group, GroupHealth>();
  private readonly _spares = new Map<string, Spare[]>();
  private readonly _domains = new Set<string>();
  private readonly _healthOf: (group: Group) => GroupHealth;

  constructor(view: PlannerView) {
    this.groups = view.groups;
    this.configuration = view.configuration;
    this.instances = view.instances;
    this.fabricDomain = view.fabricDomain;
    this.loadMs = view.loadMs;
    this.policy = view.policy;
    this._healthOf = view.health;
    this.activeGroups = view.groups.groups().filter(({ dissolvedAt }) => dissolvedAt === undefined);
    this.domainGroups = this.activeGroups.filter(({ fabricDomain }) => fabricDomain === view.fabricDomain);
    for (const group of this.activeGroups) addTo(this._byModel, group.model, group);
    for (const { fabricDomain } of view.instances.values()) this._domains.add(fabricDomain);
    for (const spare of view.groups.instances()) this._addSpare(spare);
  }

  /** Active groups of one model. */
  groupsOf(model: string): readonly Group[] {
    return this._byModel.get(model) ?? [];
  }

  domains(): readonly string[] {
    return [...this._domains];
  }

  /** Released instances of a fabric domain that are reachable, still free and not leaving. */
  sparesOf(fabricDomain: string): readonly Spare[] {
    return this._spares.get(fabricDomain) ?? [];
  }

  health(group: Group): GroupHealth {
    let health = this._health.get(group);
    if (!health) {
      health = this._healthOf(group);
      this._health.set(group, health);
    }
    return health;
  }

  isLeaving(address: string): boolean {
    return (this.instances.get(address)?.isLeaving ?? false) || this.groups.isDraining(address);
  }

  private _addSpare(spare: Spare): void {
    const [address, { kind }] = spare;
    const instance = this.instances.get(address);
    if (kind !== 'released' || instance?.isReachable !== true || this.isLeaving(address)) return;
    if (instance.isReleaseOutdated) return;
    addTo(this._spares, instance.fabricDomain, spare);
  }
}

function addTo<Value>(lists: Map<string, Value[]>, key: string, value: Value): void {
  const list = lists.get(key);
  if (list) list.push(value);
  else lists.set(key, [value]);
}

function hasLeavingMember(group: Group, view: IndexedView): boolean {
  return group.members.some(({ address }) => view.isLeaving(address));
}

function planRemovals(view: IndexedView): readonly PlanStep[] {
  return view.domainGroups.flatMap((group): readonly PlanStep[] => {
    const model = view.configuration.model[group.model];
    if (!model) return [{ kind: 'dissolve', group, reason: 'model-removed' }];
    const reason = findRemovalReason(group, model, view);
    return reason === undefined ? [] : [{ kind: 'dissolve', group, reason }];
  });
}

function findRemovalReason(
  group: Group,
  model: ModelConfiguration,
  view: IndexedView,
): DissolveReason | undefined {
  const others = view.groupsOf(group.model).filter(({ id }) => id !== group.id);
  const wholeOthers = others.filter((other) => view.health(other).phase === 'whole').length;
  if (hasLeavingMember(group, view)) return 'instance-leaving';
  if (group.version !== model.version) {
    const oldest = findOldestOutdated(group, model, view);
    return oldest === group.id && isReplaceable(group, wholeOthers, others.length, model, view)
      ? 'version-replaced'
      : undefined;
  }
  const rank = others.filter(({ epoch, version }) => version === model.version && epoch < group.epoch).length;
  return rank >= model.groups && wholeOthers >= model.groups ? 'surplus' : undefined;
}

/** True when enough other groups are whole, or when a replacement can only use the group's own instances. */
function isReplaceable(
  group: Group,
  wholeOthers: number,
  others: number,
  model: ModelConfiguration,
  view: IndexedView,
): boolean {
  if (wholeOthers >= model.groups) return true;
  const isReplacementUnderWay = others >= model.groups;
  return (
    !isReplacementUnderWay &&
    group.members.every(({ address }) => view.instances.get(address)?.isListed === true) &&
    findMembers(view, model, new Set()) === undefined &&
    wholeOthers >= model.groups - 1
  );
}

function findOldestOutdated(group: Group, model: ModelConfiguration, view: IndexedView): string | undefined {
  return view
    .groupsOf(group.model)
    .filter(({ version }) => version !== model.version)
    .sort((a, b) => a.epoch - b.epoch)[0]?.id;
}

function planRepairs(view: IndexedView): readonly PlanStep[] {
  const { configuration } = view;
  return Object.entries(configuration.model).flatMap(([name, model]) => {
    const repairable = view.domainGroups.filter(
      (group) => group.model === name && !hasLeavingMember(group, view),
    );
    const broken = repairable.flatMap((group) => toBrokenGroups(group, view));
    if (broken.length === 0) return [];
    const decisions = decideRepairs(
      {
        broken,
        spares: view.sparesOf(view.fabricDomain).length,
        instancesPerGroup: model['instances-per-group'],
        loadMs: view.loadMs,
        graceMs: configuration.deployment['return-grace'],
        weights: {
          downtime: configuration.deployment['downtime-weight'],
          stranded: configuration.deployment['stranded-weight'],
        },
      },
      view.policy,
    );
    return decisions.flatMap((decision): readonly PlanStep[] => {
      const group = repairable.find(({ id }) => id === decision.group);
      if (decision.kind === 'wait' || !group) return [];
      const restarted = view.health(group).restarted.length > 0;
      return [{ kind: 'dissolve', group, reason: restarted ? 'instance-restarted' : 'instance-missing' }];
    });
  });
}

function toBrokenGroups(group: Group, view: IndexedView): readonly BrokenGroup[] {
  const health = view.health(group);
  if (health.missing.length === 0 && health.restarted.length === 0) return [];
  const first = view.instances.get(group.members[0]?.address ?? '');
  return [
    {
      id: group.id,
      missingForMs: health.missing.map(({ unreachableForMs }) => unreachableForMs),
      hasRestartedMember: health.restarted.length > 0,
      survivors: group.members.length - health.missing.length,
      acceleratorsPerInstance: first?.accelerators ?? 1,
    },
  ];
}

function planAssignments(view: IndexedView, isDissolving: boolean): readonly PlanStep[] {
  const { configuration } = view;
  const loading = view.activeGroups.filter((group) => view.health(group).phase === 'loading').length;
  let freeLoads = configuration.deployment['weight-store-loads'] - loading;
  const taken = new Set<string>();
  const steps: PlanStep[] = [];
  for (const [name, model] of sortByCoverage(view)) {
    const count = Math.min(freeLoads, countGroupsToForm(name, model, view, isDissolving));
    for (let index = 0; index < count; index++) {
      const members = findMembers(view, model, taken);
      if (!members) break;
      for (const { address } of members) taken.add(address);
      steps.push({ kind: 'assign', model: name, version: model.version, members });
      freeLoads--;
    }
  }
  return steps;
}

/** Sorts models by their ratio of active to configured groups, lowest first. */
function sortByCoverage(view: IndexedView): readonly (readonly [string, ModelConfiguration])[] {
  const coverage = ([name, model]: readonly [string, ModelConfiguration]) =>
    view.groupsOf(name).length / model.groups;
  return Object.entries(view.configuration.model).sort((a, b) => coverage(a) - coverage(b));
}

/** Number of the model's missing groups that this fabric domain should form. */
function countGroupsToForm(
  name: string,
  model: ModelConfiguration,
  view: IndexedView,
  isDissolving: boolean,
): number {
  const activeGroups = view.groupsOf(name);
  const toReplace = isDissolving
    ? 0
    : activeGroups.filter(({ version }) => version !== model.version).slice(0, 1).length;
  let deficit = model.groups + toReplace - activeGroups.length;
  const formable = new Map<string, number>();
  if (deficit <= 0) return 0;
  const domains = view.domains();
  for (const domain of domains) {
    formable.set(domain, Math.floor(view.sparesOf(domain).length / model['instances-per-group']));
  }
  const groupCounts = new Map(
    domains.map((domain) => [domain, activeGroups.filter((group) => group.fabricDomain === domain).length]),
  );
  let toForm = 0;
  for (; deficit > 0; deficit--) {
    const domain = chooseDomain(name, formable, groupCounts);
    if (domain === undefined) break;
    formable.set(domain, (formable.get(domain) ?? 0) - 1);
    groupCounts.set(domain, (groupCounts.get(domain) ?? 0) + 1);
    if (domain === view.fabricDomain) toForm++;
  }
  return toForm;
}

/** Of the fabric domains that can still form a group, the one with the fewest; ties go by rendezvous rank. */
function chooseDomain(
  model: string,
  formable: ReadonlyMap<string, number>,
  groupCounts: ReadonlyMap<string, number>,
): string | undefined {
  const open = [...formable].filter(([, groups]) => groups > 0).map(([domain]) => domain);
  const ranked = rankByRendezvous(model, open);
  const least = Math.min(...ranked.map((domain) => groupCounts.get(domain) ?? 0));
  return ranked.find((domain) => (groupCounts.get(domain) ?? 0) === least);
}

function findMembers(
  view: IndexedView,
  model: ModelConfiguration,
  taken: ReadonlySet<string>,
): readonly InstanceIdentity[] | undefined {
  const spares = view.sparesOf(view.fabricDomain).filter(([address]) => !taken.has(address));
  const free = [...spares].sort(([a], [b]) => (a < b ? -1 : 1));
  if (free.length < model['instances-per-group']) return undefined;
  return free.slice(0, model['instances-per-group']).map(([address, { boot }]) => ({ address, boot }));
}
