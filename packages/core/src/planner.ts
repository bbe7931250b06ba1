import type { Configuration, ModelConfiguration } from './configuration.js';
import type { Group, Groups, InstanceIdentity, InstanceStanding } from './groups.js';
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
export function planFabricDomain(view: PlannerView): readonly PlanStep[] {
  const dissolutions = [...planRemovals(view), ...planRepairs(view)];
  return [...dissolutions, ...planAssignments(view, dissolutions.length > 0)];
}

function standingGroups(view: PlannerView, model?: string): readonly Group[] {
  return view.groups
    .groups()
    .filter((group) => group.dissolvedAt === undefined && (model === undefined || group.model === model));
}

function ownGroups(view: PlannerView): readonly Group[] {
  return standingGroups(view).filter(({ fabricDomain }) => fabricDomain === view.fabricDomain);
}

function hasLeavingMember(group: Group, view: PlannerView): boolean {
  return group.members.some(({ address }) => isLeaving(address, view));
}

function isLeaving(address: string, view: PlannerView): boolean {
  return (view.instances.get(address)?.isLeaving ?? false) || view.groups.isDraining(address);
}

function planRemovals(view: PlannerView): readonly PlanStep[] {
  return ownGroups(view).flatMap((group): readonly PlanStep[] => {
    const model = view.configuration.model[group.model];
    if (!model) return [{ kind: 'dissolve', group, reason: 'model-removed' }];
    const reason = findRemoval(group, model, view);
    return reason === undefined ? [] : [{ kind: 'dissolve', group, reason }];
  });
}

function findRemoval(group: Group, model: ModelConfiguration, view: PlannerView): DissolveReason | undefined {
  const others = standingGroups(view, group.model).filter(({ id }) => id !== group.id);
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
  view: PlannerView,
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
  view: PlannerView,
): string | undefined {
  return standingGroups(view, group.model)
    .filter(({ version }) => version !== model.version)
    .sort((a, b) => a.epoch - b.epoch)[0]?.id;
}

function planRepairs(view: PlannerView): readonly PlanStep[] {
  const { configuration } = view;
  return Object.entries(configuration.model).flatMap(([name, model]) => {
    const own = ownGroups(view).filter((group) => group.model === name && !hasLeavingMember(group, view));
    const broken = own.flatMap((group) => toBroken(group, view));
    if (broken.length === 0) return [];
    const decisions = decideRepairs(
      {
        broken,
        spares: findSpares(view).length,
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

function toBroken(group: Group, view: PlannerView): readonly BrokenGroup[] {
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

function planAssignments(view: PlannerView, isDissolving: boolean): readonly PlanStep[] {
  const { configuration } = view;
  const loading = standingGroups(view).filter((group) => view.health(group).phase === 'loading').length;
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
function byNeed(view: PlannerView): readonly (readonly [string, ModelConfiguration])[] {
  const cover = ([name, model]: readonly [string, ModelConfiguration]) =>
    standingGroups(view, name).length / model.groups;
  return Object.entries(view.configuration.model).sort((a, b) => cover(a) - cover(b));
}

/** How many of the model's missing groups this fabric domain is to form. */
function ownShareOfDeficit(
  name: string,
  model: ModelConfiguration,
  view: PlannerView,
  isDissolving: boolean,
): number {
  const standing = standingGroups(view, name);
  const toReplace = isDissolving
    ? 0
    : standing.filter(({ version }) => version !== model.version).slice(0, 1).length;
  let deficit = model.groups + toReplace - standing.length;
  const room = new Map<string, number>();
  const domains = [...new Set([...view.instances.values()].map(({ fabricDomain }) => fabricDomain))];
  for (const domain of domains) {
    const free = findSpares({ ...view, fabricDomain: domain }).length;
    room.set(domain, Math.floor(free / model['instances-per-group']));
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

function findSpares(view: PlannerView): readonly (readonly [string, InstanceStanding])[] {
  return [...view.groups.instances()]
    .filter(([address, standing]) => {
      const instance = view.instances.get(address);
      return (
        standing.kind === 'released' &&
        instance?.fabricDomain === view.fabricDomain &&
        instance.isReachable &&
        !isLeaving(address, view)
      );
    })
    .sort(([a], [b]) => (a < b ? -1 : 1));
}

function findMembers(
  view: PlannerView,
  model: ModelConfiguration,
  taken: ReadonlySet<string>,
): readonly InstanceIdentity[] | undefined {
  const free = findSpares(view).filter(([address]) => !taken.has(address));
  if (free.length < model['instances-per-group']) return undefined;
  return free.slice(0, model['instances-per-group']).map(([address, { boot }]) => ({ address, boot }));
}
