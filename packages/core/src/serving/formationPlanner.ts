import { layOutGroups } from './groupLayout.js';
import { createGroupName, createStandbyName, findModelOfGroup } from './groupName.js';
import { findLoadingModel, findUsedModel, ModelAssignment } from './modelAssignment.js';
import { groupId, isHeadServing, isWhole, type ObservedGroup, observeGroups } from './observedGroups.js';
import type { ModelProfile, ServingService } from './servingConfiguration.js';
import { MAX_EPOCHS_PER_TERM } from './shards.js';
import type { TargetInstance } from './targetInstance.js';

/** Weight loads that may start at once; the weight store tolerates three beyond its steady rate. */
const WEIGHT_LOAD_BURST = 3;

/** An order that the planner sends to one instance. */
export type InstanceOrder = {
  readonly instance: TargetInstance;
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
  /** Whether the head of a group that is not listed has stopped serving, as far as the nodes that ask it can tell. */
  readonly isHeadGone: (group: string) => boolean;
  /** Whether several nodes find that a group makes no progress, so that its silent head is not cut off from one only. */
  readonly isGroupStalled: (group: string) => boolean;
  /** Ids of groups whose head left on an order of this planner. */
  readonly headlessGroups: ReadonlySet<string>;
  /** Ids of groups whose `open` order was not acknowledged: the head may still carry it out until it has left. */
  readonly unconfirmedOpens: ReadonlySet<string>;
  /** Heads that are missing from the instance list but still serve. */
  readonly unlistedServingHeads: readonly TargetInstance[];
  /** False while the list may lack running instances, as after an outage of the store. */
  readonly isListSettled: boolean;
  /** Number of groups that the traffic needs, by model; empty before the first request. */
  readonly demand: ReadonlyMap<string, number>;
  /** Whether requests have been served; from then on the weight store's rate limits the loads. */
  readonly hasTraffic: boolean;
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
 * Decides which instances form which groups. Its only state is the formations in progress, the epoch counter and the
 * rate limit of weight loads; everything else is derived from the instance list, so that another planner can take over.
 */
export class FormationPlanner {
  private readonly _formations = new Map<string, Formation>();
  private readonly _assignments = new Map<string, ModelAssignment>();
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
    return orders;
  }

  private _planService(view: FormationView, service: ServingService): readonly InstanceOrder[] {
    this._refillWeightLoads(view, service);
    const owned = [...view.instances.values()].filter(
      ({ fabricDomain }) => view.findTerm(fabricDomain) !== undefined,
    );
    const groups = observeGroups(service, owned);
    this._removeEndedFormations(view, service);
    const orders: InstanceOrder[] = [];
    for (const group of groups.values()) orders.push(...this._planGroup(view, group));
    orders.push(...planUnlistedHeadCloses(view, service));
    const free = this._findFreeInstances(view, service, owned, groups);
    const loads = this._findLoads(view, service, free);
    this._startFormations(view, service, free, loads);
    for (const formation of this._formations.values()) {
      if (formation.service === service.name) orders.push(...this._planJoins(view, formation));
    }
    orders.push(...this._planStandbys(view, service, free, loads));
    return orders;
  }

  private _refillWeightLoads(view: FormationView, service: ServingService): void {
    const rate = service.engine?.loadsPerS ?? 0;
    if (!view.hasTraffic) {
      this._availableWeightLoads = Infinity;
      return;
    }
    if (this._availableWeightLoads === Infinity) this._availableWeightLoads = WEIGHT_LOAD_BURST;
    const sinceMs = view.nowMs - (this._refilledAtMs ?? view.nowMs);
    this._availableWeightLoads = Math.min(
      WEIGHT_LOAD_BURST,
      this._availableWeightLoads + (rate * sinceMs) / 1_000,
    );
    this._refilledAtMs = view.nowMs;
  }

  /** Removes formations that have opened, or lost a member before that. */
  private _removeEndedFormations(view: FormationView, service: ServingService): void {
    for (const [id, formation] of this._formations) {
      if (formation.service !== service.name) continue;
      const members = formation.members.map((member) => view.instances.get(member));
      const isLost = members.some(
        (member) =>
          member?.state !== 'ready' ||
          view.silentInstances.has(member.id) ||
          view.findTerm(member.fabricDomain) !== formation.term ||
          hasNewerMembership(member, formation),
      );
      const isOpen = members[0]?.membership?.state === 'open';
      if (isLost || isOpen) this._formations.delete(id);
    }
  }

  private _planGroup(view: FormationView, group: ObservedGroup): readonly InstanceOrder[] {
    const { head } = group;
    if (isHeadLost(view, group)) return planMemberLeaves(view, group);
    if (!head || view.instancesWithPendingOrder.has(head.id)) return [];
    const order = { instance: head, group: group.name, epoch: group.epoch };
    const isAnswering = group.members.every((member) => !view.silentInstances.has(member.id));
    if (head.membership?.state === 'ready' && isWhole(group) && isAnswering) {
      return [{ ...order, kind: 'open' }];
    }
    if (this._isStale(view, group)) return [{ ...order, kind: 'leave' }];
    if (head.membership?.state !== 'open') return [];
    // A group that lost a member is stalled. Making the head leave frees the others before the engines detect the loss.
    if (!isAnswering && !view.silentInstances.has(head.id)) return [{ ...order, kind: 'leave' }];
    const isLeaving = group.members.some(({ state }) => state === 'leaving');
    return isLeaving ? [{ ...order, kind: 'close' }] : [];
  }

  private _findFreeInstances(
    view: FormationView,
    service: ServingService,
    owned: readonly TargetInstance[],
    groups: ReadonlyMap<string, ObservedGroup>,
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
        this._isReleased(view, instance, groups),
    );
  }

  /** Ids of instances that belong to a formation in progress. */
  private _getAssignedInstances(): ReadonlySet<string> {
    return new Set(this.listFormingInstances());
  }

  /** Whether the instance may join another group because its own no longer serves. */
  private _isReleased(
    view: FormationView,
    { membership }: TargetInstance,
    groups: ReadonlyMap<string, ObservedGroup>,
  ): boolean {
    if (!membership) return true;
    const id = groupId(membership);
    const group = groups.get(id);
    if (!group) return true;
    if (view.headlessGroups.has(id)) return true;
    if (!group.head || view.silentInstances.has(group.head.id)) return false;
    if (isHeadServing(group) || this._isStale(view, group)) return false;
    if (group.head.membership?.state === 'broken') return true;
    if (view.instancesWithPendingOrder.has(group.head.id)) return false;
    return !isWhole(group) && !this._isAssembling(view, group);
  }

  /**
   * Whether the group cannot become whole but a delayed `open` could still open it: one sent by the planner of an
   * earlier term, or one that was not acknowledged. Another order to its head rules that out.
   */
  private _isStale(view: FormationView, group: ObservedGroup): boolean {
    const term = view.findTerm(group.members[0]?.fabricDomain ?? '') ?? 0;
    const isEarlierTerm = group.epoch < term * MAX_EPOCHS_PER_TERM;
    const isOpenPossible =
      isEarlierTerm || view.unconfirmedOpens.has(groupId({ group: group.name, epoch: group.epoch }));
    const state = group.head?.membership?.state;
    return (
      isOpenPossible &&
      group.members.length > 1 &&
      (state === 'ready' || state === 'joining') &&
      !isWhole(group) &&
      !this._isAssembling(view, group)
    );
  }

  /** Whether all members are present and not broken; such a group, also of an earlier term, may still become ready. */
  private _isAssembling(view: FormationView, group: ObservedGroup): boolean {
    return (
      group.model !== undefined &&
      group.members.length === group.model.groupSize &&
      group.members.every(
        ({ id, state, membership }) =>
          state === 'ready' && !view.silentInstances.has(id) && membership?.state !== 'broken',
      )
    );
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
        ({ id, service: name, state }) =>
          name === service.name && state === 'ready' && !view.silentInstances.has(id),
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
    const term = view.findTerm(members[0]?.fabricDomain ?? '') ?? 0;
    const epoch = this._takeEpoch(term);
    const name = createGroupName(model.name, epoch);
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
      const { membership } = instance;
      if (membership?.group === formation.name && membership.epoch === formation.epoch) continue;
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
    const group = createStandbyName(model.name, epoch);
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

/** Whether the head cannot be reached, so that the group cannot be ended by an order to it. */
function isHeadLost(view: FormationView, { name, epoch, head }: ObservedGroup): boolean {
  const id = groupId({ group: name, epoch });
  if (view.headlessGroups.has(id)) return false;
  if (!head) return view.isListSettled && view.isHeadGone(id);
  return view.silentInstances.has(head.id) && view.isGroupStalled(id);
}

/**
 * Makes the members leave a group whose head is lost. They may join another group only then: the head may still be
 * running, cut off from this node, and would not notice that its members have joined another group.
 */
function planMemberLeaves(
  view: FormationView,
  { name, epoch, members }: ObservedGroup,
): readonly InstanceOrder[] {
  return members
    .filter(
      ({ id, state, membership }) =>
        state === 'ready' &&
        membership?.rank !== 0 &&
        !view.silentInstances.has(id) &&
        !view.instancesWithPendingOrder.has(id),
    )
    .map((instance) => ({ kind: 'leave' as const, instance, group: name, epoch }));
}

function hasNewerMembership(instance: TargetInstance, formation: Formation): boolean {
  return (instance.membership?.epoch ?? 0) > formation.epoch;
}

/** A head that is cut off from the store gets no requests; closing it makes its members available. */
function planUnlistedHeadCloses(view: FormationView, service: ServingService): readonly InstanceOrder[] {
  if (!view.isListSettled) return [];
  return view.unlistedServingHeads.flatMap((head) => {
    const isOrderable =
      head.service === service.name &&
      view.findTerm(head.fabricDomain) !== undefined &&
      !view.instancesWithPendingOrder.has(head.id);
    if (!isOrderable || !head.membership || view.headlessGroups.has(groupId(head.membership))) return [];
    const { group, epoch } = head.membership;
    return [{ kind: 'close' as const, instance: head, group, epoch }];
  });
}

/** Whether the model's weights are in the instance's engine, or being loaded into it. */
function isPrepared({ membership, models, stagedModels }: TargetInstance, model: ModelProfile): boolean {
  if (!membership || !stagedModels.includes(model.name)) return false;
  const isWarming = membership.state === 'joining' && findModelOfGroup(membership.group) === model.name;
  return isWarming || models.includes(model.name);
}
