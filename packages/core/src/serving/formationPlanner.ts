import { layOutGroups } from './groupLayout.js';
import { groupId, isHeadServing, isWhole, type ObservedGroup, observeGroups } from './observedGroups.js';
import type { ModelProfile, ServingService } from './servingConfiguration.js';
import type { TargetInstance } from './targetInstance.js';

/** Loads that may start at once beyond the weight store's steady rate; the store tolerates three more. */
const LOAD_BURST = 3;

/** An order to one instance. */
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
  /** The head takes nothing new, and is ready again when its requests have ended. */
  | { readonly kind: 'close'; readonly group: string; readonly epoch: number }
  /** The instance is no member any more, at once. */
  | { readonly kind: 'leave'; readonly group: string; readonly epoch: number }
  | { readonly kind: 'stage'; readonly model: ModelProfile }
);

/** What a planner sees in one turn. */
export interface FormationView {
  /** Monotonic time in milliseconds. */
  readonly nowMs: number;
  readonly services: readonly ServingService[];
  readonly instances: ReadonlyMap<string, TargetInstance>;
  /** Instances with an order under way. */
  readonly ordered: ReadonlySet<string>;
  /** Instances that do not answer, although they are listed. */
  readonly silent: ReadonlySet<string>;
  /** Whether a group whose head is not listed serves no more, as far as the nodes can find out. */
  readonly isHeadGone: (group: string) => boolean;
  /** Groups whose head has left them by this planner's order. */
  readonly headless: ReadonlySet<string>;
  /** Groups that were told to open without an answer: their head may yet do so, until it has left. */
  readonly doubtfulOpenings: ReadonlySet<string>;
  /** Heads that are not listed and serve all the same. */
  readonly unlistedServingHeads: readonly TargetInstance[];
  /** False while the list may lack instances that live, as after an outage of the store. */
  readonly isListSettled: boolean;
  /** Groups that the traffic needs of each model; empty before there is any. */
  readonly demand: ReadonlyMap<string, number>;
  /** Requests were served already, so that loads count against the weight store's rate. */
  readonly hasTraffic: boolean;
}

interface Formation {
  readonly name: string;
  readonly epoch: number;
  readonly service: string;
  readonly model: ModelProfile;
  readonly members: readonly string[];
}

/**
 * Decides which instances form which groups. It keeps only the formations that it has begun; all else comes from
 * what the instances say, so that another planner can go on from the same list.
 */
export class FormationPlanner {
  private readonly _formations = new Map<string, Formation>();
  private _sequence = 0;
  private _loads = LOAD_BURST;
  private _loadsAtMs: number | undefined;

  /** @param _term number of this planner's reign; epochs of a later one are always higher. */
  constructor(private readonly _term: number) {}

  /** Whether groups are being formed. */
  get isForming(): boolean {
    return this._formations.size > 0;
  }

  /** The orders to send now. */
  plan(view: FormationView): readonly InstanceOrder[] {
    const orders: InstanceOrder[] = [];
    for (const service of view.services) {
      if (service.engine) orders.push(...this._planService(view, service));
    }
    return orders;
  }

  private _planService(view: FormationView, service: ServingService): readonly InstanceOrder[] {
    this._refillLoads(view, service);
    const groups = observeGroups(service, view.instances.values());
    this._endFormations(view, service);
    const orders: InstanceOrder[] = [];
    for (const group of groups.values()) orders.push(...this._tendGroup(view, group));
    orders.push(...closeUnlistedHeads(view, service));
    const free = this._freeInstances(view, service, groups);
    this._beginFormations(view, service, groups, free);
    for (const formation of this._formations.values()) {
      if (formation.service === service.name) orders.push(...this._joinOrders(view, formation));
    }
    orders.push(...this._standbyOrders(view, service, free));
    return orders;
  }

  private _refillLoads(view: FormationView, service: ServingService): void {
    const rate = service.engine?.loadsPerS ?? 0;
    if (!view.hasTraffic) {
      this._loads = Infinity;
      return;
    }
    if (this._loads === Infinity) this._loads = LOAD_BURST;
    const sinceMs = view.nowMs - (this._loadsAtMs ?? view.nowMs);
    this._loads = Math.min(LOAD_BURST, this._loads + (rate * sinceMs) / 1_000);
    this._loadsAtMs = view.nowMs;
  }

  /** Drops formations that are complete or have lost a member before they were. */
  private _endFormations(view: FormationView, service: ServingService): void {
    for (const [id, formation] of this._formations) {
      if (formation.service !== service.name) continue;
      const members = formation.members.map((member) => view.instances.get(member));
      const isLost = members.some(
        (member) => member?.state !== 'ready' || view.silent.has(member.id) || isElsewhere(member, formation),
      );
      const isOpen = members[0]?.membership?.state === 'open';
      if (isLost || isOpen) this._formations.delete(id);
    }
  }

  private _tendGroup(view: FormationView, group: ObservedGroup): readonly InstanceOrder[] {
    const { head } = group;
    if (!head || view.ordered.has(head.id)) return [];
    const order = { instance: head, group: group.name, epoch: group.epoch };
    const isAnswering = group.members.every((member) => !view.silent.has(member.id));
    if (head.membership?.state === 'ready' && isWhole(group) && isAnswering) {
      return [{ ...order, kind: 'open' }];
    }
    if (this._isLeftOver(view, group)) return [{ ...order, kind: 'leave' }];
    if (head.membership?.state !== 'open') return [];
    // Nothing moves in a group that has lost a member; without a head its members are free before the engines find out.
    if (!isAnswering && !view.silent.has(head.id)) return [{ ...order, kind: 'leave' }];
    const isLeaving = group.members.some(({ state }) => state === 'leaving');
    return isLeaving ? [{ ...order, kind: 'close' }] : [];
  }

  private _freeInstances(
    view: FormationView,
    service: ServingService,
    groups: ReadonlyMap<string, ObservedGroup>,
  ): readonly TargetInstance[] {
    const taken = this._takenInstances();
    return [...view.instances.values()].filter(
      (instance) =>
        instance.service === service.name &&
        instance.state === 'ready' &&
        !taken.has(instance.id) &&
        !view.ordered.has(instance.id) &&
        !view.silent.has(instance.id) &&
        this._isReleased(view, instance, groups),
    );
  }

  /** Instances that a formation under way has chosen. */
  private _takenInstances(): ReadonlySet<string> {
    return new Set([...this._formations.values()].flatMap(({ members }) => members));
  }

  /** Whether joining another group would break nothing: the instance's own group serves no more. */
  private _isReleased(
    view: FormationView,
    { membership }: TargetInstance,
    groups: ReadonlyMap<string, ObservedGroup>,
  ): boolean {
    if (!membership) return true;
    const id = groupId(membership);
    const group = groups.get(id);
    if (!group) return true;
    if (view.headless.has(id)) return true;
    if (!group.head || view.silent.has(group.head.id)) return view.isListSettled && view.isHeadGone(id);
    if (isHeadServing(group) || this._isLeftOver(view, group)) return false;
    if (group.head.membership?.state === 'broken') return true;
    if (view.ordered.has(group.head.id)) return false;
    return !isWhole(group) && !this._isComingTogether(view, group);
  }

  /**
   * A group that will not become whole and may yet be opened, until its head has seen another order: by its earlier
   * planner, or by an order to open that was not answered and is carried out late.
   */
  private _isLeftOver(view: FormationView, group: ObservedGroup): boolean {
    const isEarlier = group.epoch < this._term * MAX_FORMATIONS_A_TERM;
    const mayOpen =
      isEarlier || view.doubtfulOpenings.has(groupId({ group: group.name, epoch: group.epoch }));
    const state = group.head?.membership?.state;
    return (
      mayOpen &&
      group.members.length > 1 &&
      (state === 'ready' || state === 'joining') &&
      !isWhole(group) &&
      !this._isComingTogether(view, group)
    );
  }

  /** A group of an earlier planner whose members are all there and still join is left to become ready. */
  private _isComingTogether(view: FormationView, group: ObservedGroup): boolean {
    return (
      group.model !== undefined &&
      group.members.length === group.model.groupSize &&
      group.members.every(
        ({ id, state, membership }) =>
          state === 'ready' && !view.silent.has(id) && membership?.state !== 'broken',
      )
    );
  }

  private _beginFormations(
    view: FormationView,
    service: ServingService,
    groups: ReadonlyMap<string, ObservedGroup>,
    free: readonly TargetInstance[],
  ): void {
    if (!view.isListSettled) return;
    const { engine } = service;
    if (!engine) return;
    const counts = this._countGroups(view, service, groups);
    for (const { model, members } of layOutGroups({ engine, free, counts, demand: view.demand })) {
      this._begin(service, model, members);
    }
  }

  private _countGroups(
    view: FormationView,
    service: ServingService,
    groups: ReadonlyMap<string, ObservedGroup>,
  ): Map<string, number> {
    const counts = new Map<string, number>();
    const add = (model: string) => counts.set(model, (counts.get(model) ?? 0) + 1);
    const names = new Set<string>();
    for (const formation of this._formations.values()) {
      if (formation.service !== service.name) continue;
      names.add(groupId({ group: formation.name, epoch: formation.epoch }));
      add(formation.model.name);
    }
    for (const [id, group] of groups) {
      if (names.has(id) || !group.model) continue;
      if (isWhole(group) || this._isComingTogether(view, group)) add(group.model.name);
    }
    return counts;
  }

  private _begin(service: ServingService, model: ModelProfile, members: readonly TargetInstance[]): void {
    const epoch = this._nextEpoch();
    const name = `group-${epoch}`;
    this._formations.set(name, {
      name,
      epoch,
      service: service.name,
      model,
      members: members.map(({ id }) => id),
    });
  }

  private _joinOrders(view: FormationView, formation: Formation): readonly InstanceOrder[] {
    const orders: InstanceOrder[] = [];
    for (const id of formation.members) {
      const instance = view.instances.get(id);
      if (!instance || view.ordered.has(id)) continue;
      const { membership } = instance;
      if (membership?.group === formation.name && membership.epoch === formation.epoch) continue;
      if (!instance.stagedModels.includes(formation.model.name) && !this._takeLoad()) continue;
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

  /** Makes the instances that are left over substitutes: first the weights on the host, then taken up. */
  private _standbyOrders(
    view: FormationView,
    service: ServingService,
    free: readonly TargetInstance[],
  ): readonly InstanceOrder[] {
    if (!view.isListSettled) return [];
    const taken = this._takenInstances();
    const spares = free.filter(({ id }) => !taken.has(id));
    const orders: InstanceOrder[] = [];
    const models = [...(service.engine?.models ?? [])].sort((a, b) => b.groupSize - a.groupSize);
    for (const spare of spares) {
      if (spare.membership?.state === 'joining') continue;
      const staged = models.find(({ name }) => spare.stagedModels.includes(name));
      if (staged) {
        if (!isTakenUp(spare, staged)) orders.push(this._standbyJoin(spare, staged));
        continue;
      }
      const others = spares.filter((other) => other !== spare && other.fabricDomain === spare.fabricDomain);
      const uncovered = models.find(({ name }) => !others.some((other) => other.stagedModels.includes(name)));
      const model = uncovered ?? models[0];
      if (model && this._takeLoad()) orders.push({ kind: 'stage', instance: spare, model });
    }
    return orders;
  }

  /**
   * Joins an instance to a group of its own that is never opened, so that it has taken up the model's weights
   * and joins a real group of that model as fast as one of its former members.
   */
  private _standbyJoin(instance: TargetInstance, model: ModelProfile): InstanceOrder {
    const epoch = this._nextEpoch();
    return { kind: 'join', instance, group: `standby-${epoch}`, epoch, model, members: [instance.id] };
  }

  private _nextEpoch(): number {
    this._sequence++;
    return this._term * MAX_FORMATIONS_A_TERM + this._sequence;
  }

  private _takeLoad(): boolean {
    if (this._loads < 1) return false;
    this._loads--;
    return true;
  }
}

/** Epochs that one reign may use. */
const MAX_FORMATIONS_A_TERM = 100_000;

function isElsewhere(instance: TargetInstance, formation: Formation): boolean {
  return (instance.membership?.epoch ?? 0) > formation.epoch;
}

/** A head that is cut off from the store gets no requests; closing it sets its members free. */
function closeUnlistedHeads(view: FormationView, service: ServingService): readonly InstanceOrder[] {
  if (!view.isListSettled) return [];
  return view.unlistedServingHeads.flatMap((head) => {
    const isOurs = head.service === service.name && !view.ordered.has(head.id);
    if (!isOurs || !head.membership || view.headless.has(groupId(head.membership))) return [];
    const { group, epoch } = head.membership;
    return [{ kind: 'close' as const, instance: head, group, epoch }];
  });
}

/** Whether the instance has the model's weights in use already. */
function isTakenUp(instance: TargetInstance, model: ModelProfile): boolean {
  return instance.membership !== undefined && instance.models.includes(model.name);
}
