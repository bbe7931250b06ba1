import type { EvacuationPhase } from './evacuations.js';
import { layOutGroups } from './groupLayout.js';
import { createGroupName, createStandbyName, findModelOfGroup, isStandbyName } from './groupName.js';
import { GroupRoster } from './groupRoster.js';
import { findLoadingModel, findUsedModel, ModelAssignment } from './modelAssignment.js';
import { groupId, isWhole, type ObservedGroup, observeGroups } from './observedGroups.js';
import type { ModelProfile, ServingService } from './servingConfiguration.js';
import { MAX_EPOCHS_PER_TERM } from './shards.js';
import { isServingState, type TargetInstance } from './targetInstance.js';
import type { UnlistedMember } from './unlistedMembers.js';

/** Weight loads that may start at once; the weight store tolerates three beyond its steady rate. */
const WEIGHT_LOAD_BURST = 3;

/** Why an order ends a group or an instance's membership of it. */
export type GroupEndReason =
  | 'broken'
  | 'incomplete-before-opening'
  | 'member-refuses'
  | 'member-left'
  | 'member-gone'
  | 'member-lost'
  | 'member-unknown'
  | 'member-leaving'
  | 'domain-evacuated'
  | 'head-left'
  | 'head-lost'
  | 'head-unlisted'
  | 'never-opened';

/** Why an order ends a group, with the members that it was decided on as far as they are known. */
export interface GroupEnd {
  readonly reason: GroupEndReason;
  readonly members: readonly string[];
}

/** An order that the planner sends to one instance. */
export type InstanceOrder = {
  readonly instance: TargetInstance;
  /** Set for the orders that end a group. */
  readonly cause?: GroupEnd;
} & (
  | {
      readonly kind: 'join';
      readonly group: string;
      readonly epoch: number;
      readonly model: ModelProfile;
      /** Ids; the first is the head. */
      readonly members: readonly string[];
    }
  | { readonly kind: 'open'; readonly group: string; readonly epoch: number }
  /** The head accepts no new requests and becomes ready again when its current requests have ended. */
  | { readonly kind: 'close'; readonly group: string; readonly epoch: number }
  /** The instance leaves the group immediately. */
  | { readonly kind: 'leave'; readonly group: string; readonly epoch: number }
  | { readonly kind: 'stage'; readonly model: ModelProfile }
);

/** The planner's input for one call of `plan`. */
export interface FormationView {
  /** Monotonic time in milliseconds. */
  readonly nowMs: number;
  readonly services: readonly ServingService[];
  /** All listed instances. */
  readonly instances: ReadonlyMap<string, TargetInstance>;
  /** Term in which this node plans a fabric domain; undefined for domains that others plan. */
  readonly findTerm: (fabricDomain: string) => number | undefined;
  /** Ids of instances with an order in progress. */
  readonly instancesWithPendingOrder: ReadonlySet<string>;
  /** Ids of listed instances that do not respond. */
  readonly silentInstances: ReadonlySet<string>;
  /** Ids of the silent instances at whose address no such instance runs. */
  readonly refusingInstances: ReadonlySet<string>;
  /** Ids of the silent instances that refuse, or have been silent for longer than a sound one is. */
  readonly goneInstances: ReadonlySet<string>;
  /** Whether the head of a group that is not listed has stopped serving, as far as the nodes that ask it can tell. */
  readonly isHeadGone: (group: string) => boolean;
  /**
   * Whether several nodes find that a group makes no progress; given a silent head, since that last answered, so that it is
   * not cut off from one node only.
   */
  readonly isGroupStalled: (group: string, silentHead?: string) => boolean;
  /** Whether another node lately found that a group makes no progress; always, for a node without peers. */
  readonly isStallConfirmed: (group: string) => boolean;
  /** Heads that are missing from the instance list but accept requests. */
  readonly unlistedOpenHeads: readonly TargetInstance[];
  /** Members of a serving group that are missing from the instance list, as they answer. */
  readonly findUnlistedMembers: (group: string) => readonly UnlistedMember[];
  /** False while the list may lack running instances, as after an outage of the store. */
  readonly isListSettled: boolean;
  /** Number of groups that the traffic needs, by model; empty before the first request. */
  readonly demand: ReadonlyMap<string, number>;
  /** Number of planners, which share the rate of the weight store. */
  readonly plannerCount: number;
  /** Whether requests have been served; from then on the weight store's rate limits the loads. */
  readonly hasTraffic: boolean;
  /** Phase of the evacuation of a failure domain, undefined for domains in service; none is evacuated by default. */
  readonly findEvacuation?: ((failureDomain: string) => EvacuationPhase | undefined) | undefined;
}

interface Formation {
  readonly name: string;
  readonly term: number;
  readonly epoch: number;
  readonly service: string;
  readonly model: ModelProfile;
  readonly members: readonly string[];
}

/**
 * Decides which instances form which groups. Its only state is the formations in progress, the epoch counter, the rate
 * limit of weight loads, and who held which rank; everything else is derived from the instances as they are now, so that
 * another planner can take over.
 *
 * An instance joins a group only out of none, or out of its own standby group, which never opens: it leaves the previous
 * one on an order of its own. So whether it may join is decided by its own state, to which its orders are bound, and does
 * not depend on what became of the other members and the head, which may be silent for a while and go on.
 */
export class FormationPlanner {
  private readonly _formations = new Map<string, Formation>();
  private readonly _assignments = new Map<string, ModelAssignment>();
  private readonly _roster = new GroupRoster();
  private _sequence = 0;
  private _availableWeightLoads = WEIGHT_LOAD_BURST;
  private _refilledAtMs: number | undefined;

  /** Whether any formation is in progress. */
  get isForming(): boolean {
    return this._formations.size > 0;
  }

  /** Ids of the instances of formations in progress. */
  listFormingInstances(): readonly string[] {
    return [...this._formations.values()].flatMap(({ members }) => members);
  }

  /** Returns the orders to send now. */
  plan(view: FormationView): readonly InstanceOrder[] {
    const orders: InstanceOrder[] = [];
    for (const service of view.services) {
      if (service.engine) orders.push(...this._planService(view, service));
    }
    this._roster.retainGroupsOf(view.instances.values(), view.nowMs);
    return orders;
  }

  private _planService(view: FormationView, service: ServingService): readonly InstanceOrder[] {
    this._refillWeightLoads(view, service);
    const owned = [...view.instances.values()].filter(
      ({ fabricDomain }) => view.findTerm(fabricDomain) !== undefined,
    );
    const groups = observeGroups(service, owned);
    for (const group of groups.values()) this._roster.record(group, group.members);
    this._removeEndedFormations(view, service);
    const orders: InstanceOrder[] = [];
    for (const group of groups.values()) orders.push(...this._planGroup(view, group));
    orders.push(...planUnlistedHeadCloses(view, service));
    const free = this._findFreeInstances(view, service, owned);
    const loads = this._findLoads(view, service, free);
    this._startFormations(view, service, free, loads);
    for (const formation of this._formations.values()) {
      if (formation.service === service.name) orders.push(...this._planJoins(view, formation));
    }
    orders.push(...this._planStandbys(view, service, free, loads));
    return orders;
  }

  private _refillWeightLoads(view: FormationView, service: ServingService): void {
    const rate = (service.engine?.loadsPerS ?? 0) / view.plannerCount;
    const burst = Math.max(1, WEIGHT_LOAD_BURST / view.plannerCount);
    if (!view.hasTraffic) {
      this._availableWeightLoads = Infinity;
      return;
    }
    if (this._availableWeightLoads === Infinity) this._availableWeightLoads = burst;
    const sinceMs = view.nowMs - (this._refilledAtMs ?? view.nowMs);
    this._availableWeightLoads = Math.min(burst, this._availableWeightLoads + (rate * sinceMs) / 1_000);
    this._refilledAtMs = view.nowMs;
  }

  /** Removes formations that have opened, or can no longer become whole. */
  private _removeEndedFormations(view: FormationView, service: ServingService): void {
    for (const [id, formation] of this._formations) {
      if (formation.service !== service.name) continue;
      const members = formation.members.map((member) => view.instances.get(member));
      const [head] = members;
      const isOpen = head !== undefined && isMemberOf(head, formation) && head.membership?.state === 'open';
      const isLost = members.some((member) => !member || !canComplete(view, member, formation));
      if (!isOpen && !isLost) continue;
      this._formations.delete(id);
      if (!isOpen) this._roster.recordGivenUp(formation);
    }
  }

  private _planGroup(view: FormationView, group: ObservedGroup): readonly InstanceOrder[] {
    if (isStandbyName(group.name)) return [];
    const { head } = group;
    const headless = this._findHeadLoss(view, group);
    if (headless) return planMemberLeaves(view, group, headless);
    if (!head || view.instancesWithPendingOrder.has(head.id) || view.silentInstances.has(head.id)) return [];
    const order = { instance: head, group: group.name, epoch: group.epoch };
    const state = head.membership?.state;
    if (state === 'ready' && isWhole(group) && isOpenable(view, group)) return [{ ...order, kind: 'open' }];
    // The others follow once the head has left, except in a broken group, which does not serve any more.
    const cause = this._findEnd(view, group);
    if (cause) {
      const leave = { ...order, kind: 'leave' as const, cause };
      return state === 'broken' ? [leave, ...planMemberLeaves(view, group, cause)] : [leave];
    }
    const departing = listDepartingMembers(view, group);
    if (state === 'open' && departing.length > 0)
      return [{ ...order, kind: 'close', cause: { reason: 'member-leaving', members: departing } }];
    if (state !== 'open' || !this._isExcluded(view, group)) return [];
    const evacuated = listIds(group.members.filter((member) => isEvacuated(view, member)));
    return [{ ...order, kind: 'close', cause: { reason: 'domain-evacuated', members: evacuated } }];
  }

  /** Whether requests no longer reach the group, as a known member is in an excluded failure domain. */
  private _isExcluded({ findEvacuation }: FormationView, group: ObservedGroup): boolean {
    if (!findEvacuation) return false;
    return this._roster.listFailureDomains(group).some((domain) => findEvacuation(domain) === 'excluded');
  }

  /** Returns why the group has no head that serves, or could be told to end; undefined if it has one. */
  private _findHeadLoss(view: FormationView, group: ObservedGroup): GroupEnd | undefined {
    // The head of a formation in progress has yet to join.
    if (this._formations.has(group.name)) return undefined;
    const members = group.head ? [group.head.id] : [];
    const isHeadAway = !group.head || view.silentInstances.has(group.head.id);
    if (isHeadAway && this._roster.isGivenUp(group)) return { reason: 'never-opened', members };
    if (this._roster.hasHeadLeft(group, view.instances)) return { reason: 'head-left', members };
    return isHeadLost(view, group) ? { reason: 'head-lost', members } : undefined;
  }

  /** Returns why a group whose head answers serves no more, or will never serve; undefined if it does or may. */
  private _findEnd(view: FormationView, group: ObservedGroup): GroupEnd | undefined {
    switch (group.head?.membership?.state) {
      case 'joining':
      case 'ready': {
        const isGivenUp =
          view.isListSettled && !this._formations.has(group.name) && !isAssembling(view, group);
        if (!isGivenUp) return undefined;
        const evacuated = group.members.filter((member) => isEvacuated(view, member));
        return evacuated.length > 0
          ? { reason: 'domain-evacuated', members: listIds(evacuated) }
          : { reason: 'incomplete-before-opening', members: [] };
      }
      case 'open':
      case 'closing':
        return this._findLoss(view, group);
      case 'broken':
        return { reason: 'broken', members: [] };
      case undefined:
        return undefined;
    }
  }

  /**
   * Returns why an open group is stalled, so that its head leaves before the engines detect that. As this ends the head's
   * requests, what one node finds does not suffice: only its path to the member may be broken, also if that refuses.
   */
  private _findLoss(view: FormationView, group: ObservedGroup): GroupEnd | undefined {
    const expected = group.members.filter((member) => !isDraining(view, member));
    const refusing = expected.filter(({ id }) => view.refusingInstances.has(id));
    if (refusing.length > 0 && view.isStallConfirmed(toGroupId(group)))
      return { reason: 'member-refuses', members: listIds(refusing) };
    const left = this._roster.listLeftMembers(group, view.instances);
    if (left.length > 0) return { reason: 'member-left', members: left };
    if (!view.isGroupStalled(toGroupId(group))) return undefined;
    const gone = expected.filter(({ id }) => view.goneInstances.has(id));
    if (gone.length > 0) return { reason: 'member-gone', members: listIds(gone) };
    const unlisted = view.findUnlistedMembers(toGroupId(group));
    const lost = unlisted.filter(({ state }) => state === 'lost');
    if (lost.length > 0) return { reason: 'member-lost', members: listIds(lost) };
    // A member that this node has never seen cannot be asked.
    const isMemberUnknown = view.isListSettled && isIncomplete(group, unlisted.length);
    return isMemberUnknown ? { reason: 'member-unknown', members: [] } : undefined;
  }

  private _findFreeInstances(
    view: FormationView,
    service: ServingService,
    owned: readonly TargetInstance[],
  ): readonly TargetInstance[] {
    const assigned = this._getAssignedInstances();
    return owned.filter(
      (instance) =>
        instance.service === service.name &&
        instance.state === 'ready' &&
        !assigned.has(instance.id) &&
        !view.instancesWithPendingOrder.has(instance.id) &&
        !view.silentInstances.has(instance.id) &&
        findLoadingModel(instance) === undefined &&
        isFree(instance) &&
        !isEvacuated(view, instance),
    );
  }

  /** Ids of instances that belong to a formation in progress. */
  private _getAssignedInstances(): ReadonlySet<string> {
    return new Set(this.listFormingInstances());
  }

  /** Returns the model that each free instance should load, by id. */
  private _findLoads(
    view: FormationView,
    service: ServingService,
    free: readonly TargetInstance[],
  ): ReadonlyMap<string, string> {
    const { engine } = service;
    if (!engine || !view.isListSettled) return new Map();
    let assignment = this._assignments.get(service.name);
    if (!assignment) {
      assignment = new ModelAssignment();
      this._assignments.set(service.name, assignment);
    }
    const formingModels = new Map(
      [...this._formations.values()].flatMap(({ members, model }) => members.map((id) => [id, model.name])),
    );
    return assignment.findLoads({
      nowMs: view.nowMs,
      engine,
      instances: [...view.instances.values()].filter(
        (instance) =>
          instance.service === service.name &&
          instance.state === 'ready' &&
          !view.silentInstances.has(instance.id) &&
          !isEvacuated(view, instance),
      ),
      freeIds: new Set(free.map(({ id }) => id)),
      findFormingModel: (id) => formingModels.get(id),
      demand: view.demand,
    });
  }

  private _startFormations(
    view: FormationView,
    service: ServingService,
    free: readonly TargetInstance[],
    loads: ReadonlyMap<string, string>,
  ): void {
    if (!view.isListSettled) return;
    // Before there is traffic, weights load quickly, so that instances join their groups without being prepared.
    const findModel = (instance: TargetInstance) =>
      view.hasTraffic
        ? loads.has(instance.id)
          ? undefined
          : findUsedModel(instance)
        : (loads.get(instance.id) ?? findUsedModel(instance));
    for (const { model, members } of layOutGroups({
      models: service.engine?.models ?? [],
      free,
      findModel,
    })) {
      this._startFormation(view, service, model, members);
    }
  }

  private _startFormation(
    view: FormationView,
    service: ServingService,
    model: ModelProfile,
    members: readonly TargetInstance[],
  ): void {
    const fabricDomain = members[0]?.fabricDomain ?? '';
    const term = view.findTerm(fabricDomain) ?? 0;
    const epoch = this._takeEpoch(term);
    const name = createGroupName(model.name, epoch, fabricDomain);
    this._roster.recordFormation({ name, epoch }, members);
    this._formations.set(name, {
      name,
      term,
      epoch,
      service: service.name,
      model,
      members: members.map(({ id }) => id),
    });
  }

  private _planJoins(view: FormationView, formation: Formation): readonly InstanceOrder[] {
    const orders: InstanceOrder[] = [];
    for (const id of formation.members) {
      const instance = view.instances.get(id);
      if (!instance || view.instancesWithPendingOrder.has(id)) continue;
      if (isMemberOf(instance, formation)) continue;
      if (!instance.stagedModels.includes(formation.model.name) && !this._takeWeightLoad()) continue;
      orders.push({
        kind: 'join',
        instance,
        group: formation.name,
        epoch: formation.epoch,
        model: formation.model,
        members: formation.members,
      });
    }
    return orders;
  }

  /** Prepares the instances in no group, so that they later join a group without loading weights. */
  private _planStandbys(
    view: FormationView,
    service: ServingService,
    free: readonly TargetInstance[],
    loads: ReadonlyMap<string, string>,
  ): readonly InstanceOrder[] {
    if (!view.isListSettled) return [];
    const assigned = this._getAssignedInstances();
    const orders: InstanceOrder[] = [];
    for (const instance of free) {
      if (assigned.has(instance.id)) continue;
      const name = loads.get(instance.id) ?? findUsedModel(instance);
      const model = service.engine?.models.find((other) => other.name === name);
      if (!model || isPrepared(instance, model)) continue;
      if (!instance.stagedModels.includes(model.name) && !this._takeWeightLoad()) continue;
      orders.push(this._createStandbyJoin(view, instance, model));
    }
    return orders;
  }

  /** Joins an instance to a group of its own that is never opened, which loads the model's weights into its engine. */
  private _createStandbyJoin(
    view: FormationView,
    instance: TargetInstance,
    model: ModelProfile,
  ): InstanceOrder {
    const epoch = this._takeEpoch(view.findTerm(instance.fabricDomain) ?? 0);
    const group = createStandbyName(model.name, epoch, instance.fabricDomain);
    return { kind: 'join', instance, group, epoch, model, members: [instance.id] };
  }

  private _takeEpoch(term: number): number {
    this._sequence++;
    return term * MAX_EPOCHS_PER_TERM + this._sequence;
  }

  private _takeWeightLoad(): boolean {
    if (this._availableWeightLoads < 1) return false;
    this._availableWeightLoads--;
    return true;
  }
}

function toGroupId({ name, epoch }: Pick<ObservedGroup, 'name' | 'epoch'>): string {
  return groupId({ group: name, epoch });
}

/** Whether the instance may join a group: it is in none, or in its own standby group, which never opens. */
function isFree({ membership }: TargetInstance): boolean {
  if (!membership) return true;
  return isStandbyName(membership.group) && !isServingState(membership.state);
}

function isMemberOf({ membership }: TargetInstance, { name, epoch }: Formation): boolean {
  return membership?.group === name && membership.epoch === epoch;
}

/** Whether the member is in the formation's group, or may still join it. */
function canComplete(view: FormationView, member: TargetInstance, formation: Formation): boolean {
  const isUsable =
    member.state === 'ready' &&
    !view.silentInstances.has(member.id) &&
    !isEvacuated(view, member) &&
    view.findTerm(member.fabricDomain) === formation.term;
  if (!isUsable) return false;
  if (isMemberOf(member, formation)) return member.membership?.state !== 'broken';
  // The outcome of an order in progress decides.
  return isFree(member) || view.instancesWithPendingOrder.has(member.id);
}

/** Whether the instance is in a failure domain that is evacuated, in either phase, so that nothing is formed with it. */
function isEvacuated(view: FormationView, { failureDomain }: TargetInstance): boolean {
  return view.findEvacuation?.(failureDomain) !== undefined;
}

/** Whether no member of the group is silent or in an evacuated failure domain, so that it may still be opened. */
function isOpenable(view: FormationView, { members }: ObservedGroup): boolean {
  return members.every((member) => !view.silentInstances.has(member.id) && !isEvacuated(view, member));
}

/** Whether a member that leaves has stopped listening: it remains in its group while the head has requests. */
function isDraining(view: FormationView, { id, state }: TargetInstance): boolean {
  return state === 'leaving' && view.refusingInstances.has(id);
}

/** Ids of the members that are leaving or have left; some never say so in the list, and are removed from it. */
function listDepartingMembers(view: FormationView, group: ObservedGroup): readonly string[] {
  const unlisted = view
    .findUnlistedMembers(toGroupId(group))
    .filter(({ state }) => state === 'leaving' || state === 'lost');
  return listIds([...group.members.filter(({ state }) => state === 'leaving'), ...unlisted]);
}

function listIds(instances: readonly { readonly id: string }[]): readonly string[] {
  return instances.map(({ id }) => id);
}

/** Whether fewer members are known than the group's model needs. */
function isIncomplete({ model, members }: ObservedGroup, unlistedCount: number): boolean {
  return model !== undefined && members.length + unlistedCount < model.groupSize;
}

/** Whether all members are present and not broken; such a group, also of an earlier term, may still become ready. */
function isAssembling(view: FormationView, group: ObservedGroup): boolean {
  return (
    group.members.length === group.model?.groupSize &&
    isOpenable(view, group) &&
    group.members.every(({ state, membership }) => state === 'ready' && membership?.state !== 'broken')
  );
}

/** Whether the head cannot be reached, so that the group cannot be ended by an order to it. */
function isHeadLost(view: FormationView, group: ObservedGroup): boolean {
  const { head } = group;
  const id = toGroupId(group);
  if (!head) return view.isListSettled && view.isHeadGone(id);
  return view.goneInstances.has(head.id) && view.isGroupStalled(id, head.id);
}

/** Makes the other members leave a group that has no head or whose head is lost. */
function planMemberLeaves(
  view: FormationView,
  { name, epoch, members }: ObservedGroup,
  cause: GroupEnd,
): readonly InstanceOrder[] {
  return members
    .filter(
      ({ id, state, membership }) =>
        state === 'ready' &&
        membership?.rank !== 0 &&
        !view.silentInstances.has(id) &&
        !view.instancesWithPendingOrder.has(id),
    )
    .map((instance) => ({ kind: 'leave' as const, instance, group: name, epoch, cause }));
}

/** A head that is cut off from the store gets no requests; closing it makes its members available. */
function planUnlistedHeadCloses(view: FormationView, service: ServingService): readonly InstanceOrder[] {
  if (!view.isListSettled) return [];
  return view.unlistedOpenHeads.flatMap((head) => {
    const isOrderable =
      head.service === service.name &&
      view.findTerm(head.fabricDomain) !== undefined &&
      !view.instancesWithPendingOrder.has(head.id);
    if (!isOrderable || !head.membership) return [];
    const { group, epoch } = head.membership;
    const cause = { reason: 'head-unlisted' as const, members: [head.id] };
    return [{ kind: 'close' as const, instance: head, group, epoch, cause }];
  });
}

/** Whether the model's weights are in the instance's engine, or being loaded into it. */
function isPrepared({ membership, models, stagedModels }: TargetInstance, model: ModelProfile): boolean {
  if (!membership || !stagedModels.includes(model.name)) return false;
  const isWarming = membership.state === 'joining' && findModelOfGroup(membership.group) === model.name;
  return isWarming || models.includes(model.name);
}
