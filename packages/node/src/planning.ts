import {
  type Clock,
  type Counters,
  type Evacuations,
  FormationPlanner,
  type FormationView,
  groupId,
  isSilentForMost,
  MAX_SOUND_SILENCE_MS,
  MemberProbes,
  observeGroups,
  pause,
  type RemovedInstance,
  type ServingConfiguration,
  UnlistedMembers,
} from '@monsoonreach/core';
import { readHealth } from '@monsoonreach/platform';
import type { DecisionLog } from './decisionLog.js';
import type { HeadMonitor } from './headMonitor.js';
import type { InstanceList } from './instanceList.js';
import { OrderSender } from './orderSender.js';
import type { RemovedInstances } from './removedInstances.js';
import type { ShardOwnership } from './shardOwnership.js';

/** Interval between two planning cycles, in milliseconds; a rejoin takes 200 ms. */
const PLANNING_INTERVAL_MS = 100;
/** Delay of the cycle that follows an acknowledged order, in milliseconds; the orders to a group end together. */
const FOLLOW_UP_DELAY_MS = 10;
/** Interval of the cycles in which nothing has changed, in milliseconds. */
const IDLE_INTERVAL_MS = 500;
/** Timeout of the check of a member whose group is silent, in milliseconds; many round trips. */
const CHECK_TIMEOUT_MS = 150;
/** Age of the instance list from which members of forming groups are asked for their state, in milliseconds. */
const OUTDATED_LIST_MS = 1_500;
/** Interval at which they are asked, in milliseconds. */
const REFRESH_INTERVAL_MS = 300;

/** Dependencies of {@link Planning}. */
export interface PlanningOptions {
  /** Id of this start of the node, by which it reports silent groups. */
  readonly node: string;
  readonly list: InstanceList;
  readonly ownership: ShardOwnership;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly log: DecisionLog;
  readonly configuration: () => ServingConfiguration | undefined;
  readonly isListSettled: () => boolean;
  readonly demand: () => ReadonlyMap<string, number>;
  readonly hasTraffic: () => boolean;
  /** Failure domains that are evacuated; none by default. */
  readonly evacuations?: Evacuations;
  readonly heads: HeadMonitor;
  readonly removed: RemovedInstances;
  /** Number of nodes, this one included. */
  readonly countNodes: () => number;
  /** Nodes that have requests at a group, as far as they have told this one. */
  readonly listUsers: (group: string) => Iterable<string>;
  /** Monotonic time at which a node last got bytes from a group, in milliseconds; -Infinity if none did lately. */
  readonly getServedAtMs: (group: string) => number;
}

/** Plans the groups of the shards that this node owns. */
export class Planning {
  private readonly _planner = new FormationPlanner();
  private readonly _orders: OrderSender;
  private readonly _checks = new MemberProbes();
  private readonly _unlisted = new UnlistedMembers();
  private readonly _abortController = new AbortController();
  private _followUp: NodeJS.Timeout | undefined;
  private _plannedAtMs = -Infinity;
  private _plannedVersion = '';
  /** Version of the instances from which the unlisted members were last found. */
  private _unlistedVersion = '';
  private _refreshedAtMs = -Infinity;
  /** Whether the instance list was complete when it was last read. */
  private _wasListSettled = false;

  constructor(private readonly _options: PlanningOptions) {
    const { list, clock, counters, log, ownership } = _options;
    this._orders = new OrderSender({
      list,
      clock,
      counters,
      log,
      findTerm: (fabricDomain) => this._findTerm(fabricDomain),
      onFenced: ({ instance }, term) => {
        log.warn('order fenced', {
          target: instance.id,
          term,
          known: ownership.findOwnTerm(instance.fabricDomain),
        });
      },
      onAcknowledged: () => {
        this._scheduleFollowUp();
      },
      onReportResult: (id, result, waitedMs) => {
        this._checks.recordResult(id, result, clock.monotonic(), waitedMs);
      },
    });
  }

  /** Whether a group is being formed or closed, so that the instance list has to be read more often. */
  get isBusy(): boolean {
    return this._options.ownership.isOwner && (this._orders.hasPendingOrders || this._planner.isForming);
  }

  /** Schedules checks of a group's members because its requests make no progress. */
  suspectGroup(group: string, reporter: string): void {
    const { clock, log, ownership } = this._options;
    const isNew = this._checks.suspectGroup(group, reporter, clock.monotonic());
    if (isNew && ownership.isOwner) log.info('group reported silent', { group, reporter });
  }

  /** Whether most nodes have found the group silent lately, so that it is no fault of one node's paths. */
  isSilentForMost(group: string, silentHead?: string): boolean {
    const { clock, countNodes, listUsers } = this._options;
    return isSilentForMost({
      reporters: this._checks.listReporters(group, clock.monotonic(), silentHead),
      users: listUsers(group),
      nodeCount: countNodes(),
    });
  }

  async run(): Promise<void> {
    const { signal } = this._abortController;
    while (!signal.aborted) {
      this._runCycle();
      await pause(PLANNING_INTERVAL_MS, signal);
    }
  }

  stop(): void {
    this._abortController.abort();
    clearTimeout(this._followUp);
    this._orders.stop();
  }

  private _findTerm(fabricDomain: string): number | undefined {
    return this._abortController.signal.aborted
      ? undefined
      : this._options.ownership.findOwnTerm(fabricDomain);
  }

  /** An order often waits for another one: members leave after their head, and join after they have left. */
  private _scheduleFollowUp(): void {
    if (this._abortController.signal.aborted) return;
    this._followUp ??= setTimeout(() => {
      this._followUp = undefined;
      this._runCycle();
    }, FOLLOW_UP_DELAY_MS);
  }

  private _runCycle(): void {
    const { configuration, clock, ownership } = this._options;
    const current = configuration();
    if (!current || !ownership.isOwner) return;
    this._checkMembers();
    this._checkUnlistedMembers(current);
    this._refreshInstances();
    const nowMs = clock.monotonic();
    const version = this._describeVersion(nowMs);
    const isIdle =
      version === this._plannedVersion && !this._planner.isForming && !this._orders.hasPendingOrders;
    if (isIdle && nowMs - this._plannedAtMs < IDLE_INTERVAL_MS) return;
    this._plannedVersion = version;
    this._plannedAtMs = nowMs;
    for (const order of this._planner.plan(this._createView(current, nowMs))) void this._orders.send(order);
  }

  /** Changes with everything that a plan depends on. */
  private _describeVersion(nowMs: number): string {
    const lost = [...this._checks.getLostMembers()].join();
    const gone = [...this._checks.getGoneMembers(nowMs)].join();
    const evacuations = this._options.evacuations?.version ?? 0;
    return [this._describeInstancesVersion(), this._unlisted.version, lost, gone, evacuations].join('/');
  }

  /** Changes with the instances, as far as this node knows their state, and with the domains that it plans. */
  private _describeInstancesVersion(): string {
    const { list, ownership } = this._options;
    return `${list.version}/${this._orders.version}/${ownership.stamp}`;
  }

  private _checkMembers(): void {
    const { clock, list } = this._options;
    const nowMs = clock.monotonic();
    this._checks.retain(list.instances, nowMs);
    if (!this._checks.hasDueProbes) return;
    const members = [...list.instances.values()].flatMap(({ id, membership, fabricDomain }) =>
      this._findTerm(fabricDomain) === undefined
        ? []
        : [{ id, group: membership ? groupId(membership) : '' }],
    );
    for (const id of this._checks.takeDueProbes(members, nowMs)) void this._checkMember(id);
  }

  /** Asks members that have disappeared from the list, while their group serves, whether they leave. */
  private _checkUnlistedMembers(configuration: ServingConfiguration): void {
    const nowMs = this._options.clock.monotonic();
    this._updateUnlistedMembers(configuration, nowMs);
    for (const instance of this._unlisted.takeDue(nowMs)) {
      const path = configuration.services.get(instance.service)?.healthPath;
      if (this._isExcluded(instance)) continue;
      if (path !== undefined) void this._askHealth(instance, path);
    }
  }

  /** Whether the instance may get no request, not even as a health check; assumed if its failure domain is unknown. */
  private _isExcluded({ failureDomain }: RemovedInstance): boolean {
    const { evacuations } = this._options;
    if (!evacuations || evacuations.isEmpty) return false;
    return failureDomain === undefined
      ? evacuations.list().some(({ phase }) => phase === 'excluded')
      : evacuations.findPhase(failureDomain) === 'excluded';
  }

  private _updateUnlistedMembers(configuration: ServingConfiguration, nowMs: number): void {
    const version = `${this._describeInstancesVersion()}/${this._options.removed.version}`;
    if (version === this._unlistedVersion) return;
    this._unlistedVersion = version;
    const removed = this._options.removed
      .list()
      .filter(({ fabricDomain }) => this._findTerm(fabricDomain) !== undefined);
    const services = [...configuration.services.values()].filter(({ engine }) => engine);
    const instances = removed.length > 0 ? [...this._orders.listInstances().values()] : [];
    const groups = services.flatMap((service) => [...observeGroups(service, instances)]);
    this._unlisted.update(new Map(groups), removed, nowMs);
  }

  private async _askHealth(instance: RemovedInstance, path: string): Promise<void> {
    const { clock, list, log } = this._options;
    const { health, coldRemainingMs } = await readHealth(instance, { path, timeoutMs: CHECK_TIMEOUT_MS });
    list.recordCold(instance, coldRemainingMs);
    const isNew = this._unlisted.recordHealth(instance, health, clock.monotonic());
    if (isNew) log.info('unlisted member answered', { target: instance.id, health });
  }

  private async _checkMember(id: string): Promise<void> {
    const { list, log } = this._options;
    const instance = list.get(id);
    if (!instance) return;
    const wasLost = this._checks.getLostMembers().has(id);
    await this._orders.readState(instance, CHECK_TIMEOUT_MS);
    const isLost = this._checks.getLostMembers().has(id);
    if (isLost !== wasLost) log.info(isLost ? 'member lost' : 'member responds again', { target: id });
  }

  /** Asks the instances themselves where the list does not tell their state in time. */
  private _refreshInstances(): void {
    const { clock, list } = this._options;
    const nowMs = clock.monotonic();
    if (nowMs - this._refreshedAtMs < REFRESH_INTERVAL_MS) return;
    this._refreshedAtMs = nowMs;
    // While the store is out, groups that are forming still open.
    const isOutdated = nowMs - list.currentAtMs >= OUTDATED_LIST_MS;
    const ids = isOutdated ? this._planner.listFormingInstances() : this._orders.listContradicted();
    const pending = this._orders.listPending();
    for (const id of ids) {
      const instance = list.get(id);
      if (!instance || pending.has(id) || this._findTerm(instance.fabricDomain) === undefined) continue;
      void this._orders.refresh(instance);
    }
  }

  private _createView(configuration: ServingConfiguration, nowMs: number): FormationView {
    const { node, isListSettled, demand, hasTraffic, heads, list, countNodes, ownership, getServedAtMs } =
      this._options;
    const { evacuations } = this._options;
    // While the store is out, the list does not change: what was complete stays so.
    if (nowMs - list.currentAtMs < OUTDATED_LIST_MS) this._wasListSettled = isListSettled();
    return {
      nowMs,
      services: [...configuration.services.values()],
      instances: this._orders.listInstances(),
      findTerm: (fabricDomain) => this._findTerm(fabricDomain),
      instancesWithPendingOrder: this._orders.listPending(),
      silentInstances: this._checks.getLostMembers(),
      refusingInstances: this._checks.getRefusingMembers(),
      goneInstances: this._checks.getGoneMembers(nowMs),
      isHeadGone: (group) => heads.isReleased(group),
      isGroupStalled: (group, silentHead) =>
        nowMs - getServedAtMs(group) >= MAX_SOUND_SILENCE_MS && this.isSilentForMost(group, silentHead),
      isStallConfirmed: (group) => countNodes() === 1 || this._checks.isReportedByPeer(group, node, nowMs),
      unlistedOpenHeads: heads.open().filter((head) => !this._orders.isClosing(head)),
      findUnlistedMembers: (group) => this._unlisted.list(group, nowMs),
      isListSettled: this._wasListSettled,
      demand: demand(),
      plannerCount: Math.max(1, ownership.listAddresses().size),
      hasTraffic: hasTraffic(),
      findEvacuation:
        evacuations && !evacuations.isEmpty ? (domain) => evacuations.findPhase(domain) : undefined,
    };
  }
}
