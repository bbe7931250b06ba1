import type { Configuration, ModelConfiguration } from './configuration.js';
import type { InstanceIdentity } from './controlRecords.js';
import type { Group, Groups, InstanceStanding } from './groups.js';
import { rankByRendezvous } from './rendezvous.js';
import { type BrokenGroup, decideRepairs, type RepairPolicy } from './repair.js';

/** One instance as the planner sees it. */
export interface PlannedInstance {
  readonly address: string;
  readonly failureDomain: string;
  readonly fabricDomain: string;
  readonly accelerators: number;
  readonly isLeaving: boolean;
  /** Whether it answered its last read-back, or was never asked. */
  readonly isReachable: boolean;
}

/** What is known of the members of one group. */
export interface GroupHealth {
  readonly phase: 'unknown' | 'loading' | 'whole' | 'broken';
  /** Members that do not answer, and for how long. */
  readonly missing: readonly { readonly address: string; readonly darkForMs: number }[];
  /** Members that run under another boot id than the one assigned. */
  readonly restarted: readonly string[];
}

/** What a planner decides on. */
export interface PlannerView {
  readonly groups: Groups;
  readonly configuration: Configuration;
  readonly instances: ReadonlyMap<string, PlannedInstance>;
  readonly fabricDomain: string;
  readonly health: (group: Group) => GroupHealth;
  /** How long loading takes as measured so far, in milliseconds. */
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

/** One thing to write to the log. */
export type PlanStep =
  | {
      readonly kind: 'assign';
      readonly model: string;
      readonly version: string;
      readonly members: readonly InstanceIdentity[];
    }
  | { readonly kind: 'dissolve'; readonly group: Group; readonly reason: DissolveReason };

/**
 * Plans one fabric domain. What the log says is the same for all planners, so the split of a model's groups
 * over the fabric domains needs no agreement of its own.
 */
export function planFabricDomain(planned: PlannerView): readonly PlanStep[] {
  const view = new IndexedView(planned);
  const dissolutions = [...planRemovals(view), ...planRepairs(view)];
  return [...dissolutions, ...planAssignments(view, dissolutions.length > 0)];
}

type Spare = readonly [address: string, standing: InstanceStanding];

/** A view with its groups sorted by model and its spares by fabric domain, once for the whole plan. */
class IndexedView {
  readonly groups: Groups;
  readonly configuration: Configuration;
  readonly instances: ReadonlyMap<string, PlannedInstance>;
  readonly fabricDomain: string;
  readonly loadMs: number;
  readonly policy: RepairPolicy | undefined;
  readonly standing: readonly Group[];
  readonly own: readonly Group[];
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
    this.standing = view.groups.groups().filter(({ dissolvedAt }) => dissolvedAt === undefined);
    this.own = this.standing.filter(({ fabricDomain }) => fabricDomain === view.fabricDomain);
    for (const group of this.standing) addTo(this._byModel, group.model, group);
    for (const { fabricDomain } of view.instances.values()) this._domains.add(fabricDomain);
    for (const spare of view.groups.instances()) this._addSpare(spare);
  }

  /** Standing groups of one model. */
  groupsOf(model: string): readonly Group[] {
    return this._byModel.get(model) ?? [];
  }

  domains(): readonly string[] {
    return [...this._domains];
  }

  /** Released instances of a fabric domain that are there and stay. */
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
  return view.own.flatMap((group): readonly PlanStep[] => {
    const model = view.configuration.model[group.model];
    if (!model) return [{ kind: 'dissolve', group, reason: 'model-removed' }];
    const reason = findRemoval(group, model, view);
    return reason === undefined ? [] : [{ kind: 'dissolve', group, reason }];
  });
}

function findRemoval(group: Group, model: ModelConfiguration, view: IndexedView): DissolveReason | undefined {
  const others = view.groupsOf(group.model).filter(({ id }) => id !== group.id);
  const wholeOthers = others.filter((other) => view.health(other).phase === 'whole').length;
  if (hasLeavingMember(group, view)) return 'instance-leaving';
  if (group.version !== model.version) {
    const oldest = oldestOfOtherVersion(group, model, view);
    return oldest === group.id && isReplaced(wholeOthers, others.length, model, view)
      ? 'version-replaced'
      : undefined;
  }
  const rank = others.filter(({ epoch, version }) => version === model.version && epoch < group.epoch).length;
  return rank >= model.groups && wholeOthers >= model.groups ? 'surplus' : undefined;
}

/** An old group goes when the others carry the model, or when nothing but its own instances can. */
function isReplaced(
  wholeOthers: number,
  others: number,
  model: ModelConfiguration,
  view: IndexedView,
): boolean {
  if (wholeOthers >= model.groups) return true;
  const isReplacementUnderWay = others >= model.groups;
  return (
    !isReplacementUnderWay &&
    findMembers(view, model, new Set()) === undefined &&
    wholeOthers >= model.groups - 1
  );
}

function oldestOfOtherVersion(
  group: Group,
  model: ModelConfiguration,
  view: IndexedView,
): string | undefined {
  return view
    .groupsOf(group.model)
    .filter(({ version }) => version !== model.version)
    .sort((a, b) => a.epoch - b.epoch)[0]?.id;
}

function planRepairs(view: IndexedView): readonly PlanStep[] {
  const { configuration } = view;
  return Object.entries(configuration.model).flatMap(([name, model]) => {
    const own = view.own.filter((group) => group.model === name && !hasLeavingMember(group, view));
    const broken = own.flatMap((group) => toBroken(group, view));
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
      const group = own.find(({ id }) => id === decision.group);
      if (decision.kind === 'wait' || !group) return [];
      const restarted = view.health(group).restarted.length > 0;
      return [{ kind: 'dissolve', group, reason: restarted ? 'instance-restarted' : 'instance-missing' }];
    });
  });
}

function toBroken(group: Group, view: IndexedView): readonly BrokenGroup[] {
  const health = view.health(group);
  if (health.missing.length === 0 && health.restarted.length === 0) return [];
  const first = view.instances.get(group.members[0]?.address ?? '');
  return [
    {
      id: group.id,
      missingForMs: health.missing.map(({ darkForMs }) => darkForMs),
      hasRestartedMember: health.restarted.length > 0,
      survivors: group.members.length - health.missing.length,
      acceleratorsPerInstance: first?.accelerators ?? 1,
    },
  ];
}

function planAssignments(view: IndexedView, isDissolving: boolean): readonly PlanStep[] {
  const { configuration } = view;
  const loading = view.standing.filter((group) => view.health(group).phase === 'loading').length;
  let room = configuration.deployment['weight-store-loads'] - loading;
  const taken = new Set<string>();
  const steps: PlanStep[] = [];
  for (const [name, model] of byNeed(view)) {
    const wanted = Math.min(room, ownShareOfDeficit(name, model, view, isDissolving));
    for (let index = 0; index < wanted; index++) {
      const members = findMembers(view, model, taken);
      if (!members) break;
      for (const { address } of members) taken.add(address);
      steps.push({ kind: 'assign', model: name, version: model.version, members });
      room--;
    }
  }
  return steps;
}

/** Models with the fewest groups against what they need come first. */
function byNeed(view: IndexedView): readonly (readonly [string, ModelConfiguration])[] {
  const cover = ([name, model]: readonly [string, ModelConfiguration]) =>
    view.groupsOf(name).length / model.groups;
  return Object.entries(view.configuration.model).sort((a, b) => cover(a) - cover(b));
}

/** How many of the model's missing groups this fabric domain is to form. */
function ownShareOfDeficit(
  name: string,
  model: ModelConfiguration,
  view: IndexedView,
  isDissolving: boolean,
): number {
  const standing = view.groupsOf(name);
  const toReplace = isDissolving
    ? 0
    : standing.filter(({ version }) => version !== model.version).slice(0, 1).length;
  let deficit = model.groups + toReplace - standing.length;
  const room = new Map<string, number>();
  if (deficit <= 0) return 0;
  const domains = view.domains();
  for (const domain of domains) {
    room.set(domain, Math.floor(view.sparesOf(domain).length / model['instances-per-group']));
  }
  const load = new Map(
    domains.map((domain) => [domain, standing.filter((group) => group.fabricDomain === domain).length]),
  );
  let own = 0;
  for (; deficit > 0; deficit--) {
    const domain = nextDomain(name, room, load);
    if (domain === undefined) break;
    room.set(domain, (room.get(domain) ?? 0) - 1);
    load.set(domain, (load.get(domain) ?? 0) + 1);
    if (domain === view.fabricDomain) own++;
  }
  return own;
}

/** The fabric domain with the fewest groups of the model that can still form one; ties by rendezvous. */
function nextDomain(
  model: string,
  room: ReadonlyMap<string, number>,
  load: ReadonlyMap<string, number>,
): string | undefined {
  const open = [...room].filter(([, groups]) => groups > 0).map(([domain]) => domain);
  const ranked = rankByRendezvous(model, open);
  const least = Math.min(...ranked.map((domain) => load.get(domain) ?? 0));
  return ranked.find((domain) => (load.get(domain) ?? 0) === least);
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
