import {
  type Clock,
  type Counters,
  FormationPlanner,
  type FormationView,
  groupId,
  InstanceStateOverlay,
  type InstanceOrder,
  MemberProbes,
  pause,
  type Random,
  MAX_REPORT_LAG_MS,
  type ServingConfiguration,
  type TargetInstance,
} from '@monsoonreach/core';
import {
  AppendConditionError,
  HistoryGoneError,
  type OrderOutcome,
  readReport,
  ReportError,
  sendOrder,
  type StoreClient,
  StoreUnavailableError,
  Topic,
} from '@monsoonreach/platform';
import type { DecisionLog } from './decisionLog.js';
import type { HeadMonitor } from './headMonitor.js';
import type { InstanceList } from './instanceList.js';
import type { PeerExchange } from './peerExchange.js';

/** Interval between two planning cycles, in milliseconds; a rejoin takes 200 ms. */
const PLANNING_INTERVAL_MS = 100;
/** Timeout of an order, after which it may be sent again, in milliseconds; many round trips. */
const ORDER_TIMEOUT_MS = 400;
/** Timeout of a request for an instance's own report, in milliseconds. */
const REPORT_TIMEOUT_MS = 300;
/** Timeout of the check of a member whose group is silent, in milliseconds; many round trips. */
const CHECK_TIMEOUT_MS = 150;
/** Time until the instance list shows the effect of an order, in milliseconds; one read interval plus the list's lag. */
const ORDER_EFFECT_MS = 1_500;
/** Time for which a closing head is polled, in milliseconds; its requests may take that long to finish. */
const CLOSE_TIMEOUT_MS = 8_000;
/** Time for which a group is remembered whose head left on an order, in milliseconds; its members are reused long before. */
const HEADLESS_GROUP_TTL_MS = 60_000;
/** Interval between two checks whether a planner exists, in milliseconds. */
const ELECTION_INTERVAL_MS = 200;
/** Maximum random delay before a claim, in milliseconds, so that two nodes rarely claim at the same time. */
const MAX_ELECTION_JITTER_MS = 200;

/** Dependencies of {@link Planning}. */
export interface PlanningOptions {
  readonly node: string;
  readonly store: StoreClient;
  readonly list: InstanceList;
  readonly exchange: PeerExchange;
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  readonly log: DecisionLog;
  readonly configuration: () => ServingConfiguration | undefined;
  readonly isListSettled: () => boolean;
  readonly demand: () => ReadonlyMap<string, number>;
  readonly hasTraffic: () => boolean;
  readonly heads: HeadMonitor;
}

/**
 * Elects one node at a time as the planner of the groups, and plans them while this node is elected. A planner's term
 * is one more than the offset of its claim in the store's log. It fences the planner's orders: an instance that has
 * seen a higher term rejects orders of a lower one.
 */
export class Planning {
  private _term: number | undefined;
  /** End offset of the claims topic, and the monotonic time at which this node first saw it. */
  private _claimsEnd: { readonly offset: number; readonly seenAtMs: number } | undefined;
  private _planner: FormationPlanner | undefined;
  /** Instances with an order in progress, with the monotonic time until which they get no other. */
  private readonly _pendingOrders = new Map<string, number>();
  private readonly _knowledge = new InstanceStateOverlay();
  /** Groups whose head left on an order of this node, with the monotonic time of that order. */
  private readonly _headlessGroups = new Map<string, number>();
  /** Groups whose order to open has no known outcome. */
  private readonly _unconfirmedOpens = new Set<string>();
  private readonly _checks = new MemberProbes();
  private readonly _abortController = new AbortController();

  constructor(private readonly _options: PlanningOptions) {}

  /** The term in which this node plans; undefined while it is not the planner. */
  get term(): number | undefined {
    return this._term;
  }

  /** Whether a group is being formed or closed, so that the instance list has to be read more often. */
  get isBusy(): boolean {
    return this._term !== undefined && (this._pendingOrders.size > 0 || (this._planner?.isForming ?? false));
  }

  /** Schedules checks of a group's members because its requests make no progress. */
  suspectGroup(group: string): void {
    this._checks.suspectGroup(group, this._options.clock.monotonic());
  }

  async run(): Promise<void> {
    const { signal } = this._abortController;
    while (!signal.aborted) {
      if (this._term === undefined) {
        await this._tryClaim();
        await pause(ELECTION_INTERVAL_MS, signal);
      } else {
        this._runCycle();
        await pause(PLANNING_INTERVAL_MS, signal);
      }
    }
  }

  stop(): void {
    this._abortController.abort();
    this._term = undefined;
  }

  private async _tryClaim(): Promise<void> {
    const { exchange, random, configuration } = this._options;
    if (!configuration() || this._isPlannedElsewhere()) return;
    const rank = exchange.livePeers().filter(({ digest }) => digest.node < this._options.node).length;
    await pause(
      random.next() * MAX_ELECTION_JITTER_MS + Math.min(rank, 3) * MAX_ELECTION_JITTER_MS,
      this._abortController.signal,
    );
    if (this._isPlannedElsewhere() || this._abortController.signal.aborted) return;
    try {
      await this._claim();
    } catch (error) {
      this._options.counters.add('monsoonreach_planning_claims_failed_total');
      if (error instanceof AppendConditionError) return;
      if (!(error instanceof StoreUnavailableError || error instanceof HistoryGoneError)) throw error;
      this._options.log.warn('planning claim failed', { error: error.message });
    }
  }

  private async _claim(): Promise<void> {
    const { store, node, clock, log } = this._options;
    const end = await this._readClaimsEnd();
    if (this._isClaimRecent(end)) return;
    const record = Buffer.from(JSON.stringify({ planner: node }));
    const offset = await store.append(Topic.planning, record, end);
    this._term = offset + 1;
    this._planner = new FormationPlanner(this._term);
    this._pendingOrders.clear();
    this._unconfirmedOpens.clear();
    log.info('planning started', { term: this._term, atMs: Math.round(clock.monotonic()) });
    this._options.exchange.sendDigests();
  }

  /** Whether the last claim is so recent that the gossip about its planner may not have arrived yet. */
  private _isClaimRecent(end: number): boolean {
    const nowMs = this._options.clock.monotonic();
    if (this._claimsEnd?.offset !== end) this._claimsEnd = { offset: end, seenAtMs: nowMs };
    return end > 0 && nowMs - this._claimsEnd.seenAtMs < this._options.exchange.propagationMs;
  }

  private async _readClaimsEnd(): Promise<number> {
    const { store } = this._options;
    try {
      const { end } = await store.read({ topic: Topic.planning, from: 0, waitMs: 0 });
      return end;
    } catch (error) {
      if (!(error instanceof HistoryGoneError)) throw error;
      const { end } = await store.read({ topic: Topic.planning, from: error.first, waitMs: 0 });
      return end;
    }
  }

  private _isPlannedElsewhere(): boolean {
    return this._options.exchange.planner() !== undefined;
  }

  private _runCycle(): void {
    const { configuration, log } = this._options;
    const current = configuration();
    if (!current || !this._planner) return;
    if (this._isSuperseded()) {
      log.info('planning ended', { term: this._term, reason: 'a peer plans in a later term' });
      this._stepDown();
      return;
    }
    this._checkMembers();
    for (const order of this._planner.plan(this._createView(current))) void this._sendOrder(order);
  }

  private _checkMembers(): void {
    const { clock, list } = this._options;
    const nowMs = clock.monotonic();
    this._checks.retain(list.instances, nowMs);
    const members = [...list.instances.values()].flatMap(({ id, membership }) =>
      membership ? [{ id, group: groupId(membership) }] : [],
    );
    for (const id of this._checks.takeDueProbes(members, nowMs)) void this._checkMember(id);
  }

  private async _checkMember(id: string): Promise<void> {
    const { list, counters, log } = this._options;
    const instance = list.get(id);
    if (!instance) return;
    const wasLost = this._checks.getLostMembers().has(id);
    try {
      await readReport(instance, CHECK_TIMEOUT_MS);
      this._checks.recordResult(id, true);
    } catch (error) {
      if (!(error instanceof ReportError)) throw error;
      counters.add('monsoonreach_reports_missed_total');
      this._checks.recordResult(id, false);
    }
    const isLost = this._checks.getLostMembers().has(id);
    if (isLost !== wasLost) log.info(isLost ? 'member lost' : 'member responds again', { target: id });
  }

  private _isSuperseded(): boolean {
    const term = this._term ?? 0;
    return (this._options.exchange.planner()?.term ?? -1) > term;
  }

  private _stepDown(): void {
    this._term = undefined;
    this._planner = undefined;
  }

  private _createView(configuration: ServingConfiguration): FormationView {
    const { clock, list, isListSettled, demand, hasTraffic, heads, exchange } = this._options;
    const nowMs = clock.monotonic();
    const peers = exchange.livePeers().map(({ digest }) => new Map(Object.entries(digest.heads)));
    for (const [id, untilMs] of this._pendingOrders) if (untilMs <= nowMs) this._pendingOrders.delete(id);
    for (const [id, atMs] of this._headlessGroups)
      if (nowMs - atMs > HEADLESS_GROUP_TTL_MS) this._headlessGroups.delete(id);
    return {
      nowMs,
      services: [...configuration.services.values()],
      instances: this._knowledge.merge(list, nowMs),
      instancesWithPendingOrder: new Set(this._pendingOrders.keys()),
      silentInstances: this._checks.getLostMembers(),
      headlessGroups: new Set(this._headlessGroups.keys()),
      unconfirmedOpens: this._unconfirmedOpens,
      isHeadGone: (group) => heads.isReleased(group, peers),
      unlistedServingHeads: heads.serving(),
      isListSettled: isListSettled(),
      demand: demand(),
      hasTraffic: hasTraffic(),
    };
  }

  private async _sendOrder(order: InstanceOrder): Promise<void> {
    const { clock, counters, log } = this._options;
    const { id } = order.instance;
    const term = this._term;
    if (term === undefined) return;
    this._pendingOrders.set(id, clock.monotonic() + ORDER_EFFECT_MS);
    const expectedOrderCount = this._findOrderCount(order.instance);
    if (expectedOrderCount === undefined) return;
    const outcome = await sendOrder(order, {
      fencingToken: term,
      expectedOrderCount,
      timeoutMs: ORDER_TIMEOUT_MS,
    });
    counters.add('monsoonreach_orders_total', { kind: order.kind, outcome: outcome.kind });
    log.info('order', {
      term,
      target: id,
      kind: order.kind,
      model: 'model' in order ? order.model.name : undefined,
      group: 'group' in order ? order.group : undefined,
      epoch: 'epoch' in order ? order.epoch : undefined,
      expectedOrderCount,
      outcome: outcome.kind,
    });
    await this._handleOutcome(order, outcome, { term, expectedOrderCount });
  }

  /**
   * Returns how many orders the instance has begun. Returns undefined when that is not known: then the instance is
   * asked for its report, and no order is sent before it arrives, as another planner may just have sent one.
   */
  private _findOrderCount(instance: TargetInstance): number | undefined {
    const orderCount = this._knowledge.getOrderCount(instance);
    if (orderCount !== undefined) return orderCount;
    const isUntouched = !instance.membership && instance.stagedModels.length === 0;
    if (isUntouched) return 0;
    void this._refreshFromReport(instance);
    return undefined;
  }

  private async _handleOutcome(
    order: InstanceOrder,
    outcome: OrderOutcome,
    sent: { readonly term: number; readonly expectedOrderCount: number },
  ): Promise<void> {
    const { clock } = this._options;
    const { id } = order.instance;
    switch (outcome.kind) {
      case 'begun':
        this._recordBegun(order, sent.expectedOrderCount + 1);
        return;
      case 'holds':
        // A member leaves immediately, so its answer already describes the state after the order.
        if (order.kind === 'leave') this._recordBegun(order, sent.expectedOrderCount + 1);
        if (order.kind === 'open') this._recordBegun(order, sent.expectedOrderCount);
        return;
      case 'misdirected':
        return;
      case 'fenced':
        this._handleFenced(order, sent.term);
        return;
      case 'conflict':
      case 'unknown':
        if (order.kind === 'open') this._unconfirmedOpens.add(groupId(order));
        await pause(MAX_REPORT_LAG_MS, this._abortController.signal);
        await this._refreshFromReport(order.instance);
        if (order.kind === 'stage') this._pendingOrders.set(id, clock.monotonic() + ORDER_EFFECT_MS);
    }
  }

  private _recordBegun(order: InstanceOrder, orderCount: number): void {
    const { id } = order.instance;
    const nowMs = this._options.clock.monotonic();
    this._knowledge.recordOrderStart(order, orderCount, nowMs);
    if (order.kind !== 'open') this._pendingOrders.delete(id);
    if (order.kind === 'close') void this._pollUntilClosed(order.instance);
    if (order.kind === 'leave')
      this._headlessGroups.set(groupId({ group: order.group, epoch: order.epoch }), nowMs);
  }

  /** Polls a head until it has closed, because the instance list shows that late. */
  private async _pollUntilClosed(head: TargetInstance): Promise<void> {
    const { clock } = this._options;
    const endsAtMs = clock.monotonic() + CLOSE_TIMEOUT_MS;
    while (clock.monotonic() < endsAtMs && this._term !== undefined) {
      await pause(MAX_REPORT_LAG_MS, this._abortController.signal);
      await this._refreshFromReport(head);
      const state = this._knowledge.getMemberState(head.id);
      if (state !== 'open' && state !== 'closing') return;
    }
  }

  private _handleFenced(order: InstanceOrder, term: number): void {
    if (this._term !== term) return;
    this._options.log.warn('planning ended', { term, reason: `fenced at ${order.instance.id}` });
    this._stepDown();
  }

  /** Reads the state from the instance itself when the effect of an order is not known. */
  private async _refreshFromReport(instance: TargetInstance): Promise<void> {
    const { clock, counters, list } = this._options;
    const { id } = instance;
    try {
      const { state, orderCount } = await readReport(instance, REPORT_TIMEOUT_MS);
      this._knowledge.recordReport(
        { ...(list.get(id) ?? instance), ...state },
        orderCount,
        clock.monotonic(),
      );
      this._pendingOrders.delete(id);
    } catch (error) {
      if (!(error instanceof ReportError)) throw error;
      counters.add('monsoonreach_reports_missed_total');
      this._pendingOrders.set(id, clock.monotonic() + ORDER_TIMEOUT_MS);
    }
  }
}
