import {
  type Clock,
  type Counters,
  FormationPlanner,
  type FormationView,
  groupId,
  InstanceKnowledge,
  type InstanceOrder,
  MemberChecks,
  pause,
  type Random,
  REPORT_LAG_MS,
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
import type { HeadWatch } from './headWatch.js';
import type { InstanceList } from './instanceList.js';
import type { PeerExchange } from './peerExchange.js';

/** How often the planner looks at the groups, in milliseconds; a rejoin takes 200 ms. */
const TURN_MS = 100;
/** How long an order may go unanswered before it is sent again, in milliseconds; many round trips. */
const ORDER_TIMEOUT_MS = 400;
/** How long an instance's own report is awaited, in milliseconds. */
const REPORT_TIMEOUT_MS = 300;
/** How long a member's answer is awaited when its group is silent, in milliseconds; many round trips. */
const CHECK_TIMEOUT_MS = 150;
/** How long after an order the list may take to show its effect, in milliseconds; one interval of the list and its lag. */
const EFFECT_WAIT_MS = 1_500;
/** How long a head is asked whether it has closed, in milliseconds; its requests may take as long as that. */
const CLOSE_WAIT_MS = 8_000;
/** How long a group is remembered whose head was made to leave, in milliseconds; its members are used long before. */
const HEADLESS_MS = 60_000;
/** Least pause between two looks at who plans, in milliseconds. */
const ELECTION_INTERVAL_MS = 200;
/** Most random wait before a claim, in milliseconds, so that two nodes seldom claim at once. */
const ELECTION_JITTER_MS = 200;

/** What planning is made of. */
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
  readonly heads: HeadWatch;
}

/**
 * Plans the groups on one node at a time. A planner's term is the offset of its claim in the store's log, which
 * fences its orders: an instance that has seen a higher term refuses those of a lower one.
 */
export class Planning {
  private _term: number | undefined;
  /** End of the topic of claims, and when this node saw it for the first time. */
  private _claimsEnd: { readonly offset: number; readonly seenAtMs: number } | undefined;
  private _planner: FormationPlanner | undefined;
  private readonly _ordered = new Map<string, number>();
  private readonly _knowledge = new InstanceKnowledge();
  /** Groups whose head has left by an order of this node, with the time of it. */
  private readonly _headless = new Map<string, number>();
  /** Groups that were told to open without an answer. */
  private readonly _doubtfulOpenings = new Set<string>();
  private readonly _checks = new MemberChecks();
  private readonly _stopping = new AbortController();

  constructor(private readonly _options: PlanningOptions) {}

  /** The term in which this node plans; undefined while it does not. */
  get term(): number | undefined {
    return this._term;
  }

  /** Whether a group is being formed or closed, so that news of the list matter at once. */
  get isBusy(): boolean {
    return this._term !== undefined && (this._ordered.size > 0 || (this._planner?.isForming ?? false));
  }

  /** Requests find that nothing moves at a group. */
  suspectGroup(group: string): void {
    this._checks.suspect(group, this._options.clock.monotonic());
  }

  async run(): Promise<void> {
    const { signal } = this._stopping;
    while (!signal.aborted) {
      if (this._term === undefined) {
        await this._considerClaim();
        await pause(ELECTION_INTERVAL_MS, signal);
      } else {
        this._turn();
        await pause(TURN_MS, signal);
      }
    }
  }

  stop(): void {
    this._stopping.abort();
    this._term = undefined;
  }

  private async _considerClaim(): Promise<void> {
    const { exchange, random, configuration } = this._options;
    if (!configuration() || this._isPlannedElsewhere()) return;
    const rank = exchange.livePeers().filter(({ digest }) => digest.node < this._options.node).length;
    await pause(
      random.next() * ELECTION_JITTER_MS + Math.min(rank, 3) * ELECTION_JITTER_MS,
      this._stopping.signal,
    );
    if (this._isPlannedElsewhere() || this._stopping.signal.aborted) return;
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
    const end = await this._readEnd();
    if (this._isClaimNews(end)) return;
    const record = Buffer.from(JSON.stringify({ planner: node }));
    const offset = await store.append(Topic.planning, record, end);
    this._term = offset + 1;
    this._planner = new FormationPlanner(this._term);
    this._ordered.clear();
    this._doubtfulOpenings.clear();
    log.info('planning begun', { term: this._term, atMs: Math.round(clock.monotonic()) });
    this._options.exchange.tell();
  }

  /** Whether another node may have claimed just now, so that news of it may still be on their way. */
  private _isClaimNews(end: number): boolean {
    const nowMs = this._options.clock.monotonic();
    if (this._claimsEnd?.offset !== end) this._claimsEnd = { offset: end, seenAtMs: nowMs };
    return end > 0 && nowMs - this._claimsEnd.seenAtMs < this._options.exchange.spreadMs;
  }

  private async _readEnd(): Promise<number> {
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

  private _turn(): void {
    const { configuration, log } = this._options;
    const current = configuration();
    if (!current || !this._planner) return;
    if (this._isOutranked()) {
      log.info('planning ended', { term: this._term, reason: 'a peer plans in a later term' });
      this._stepDown();
      return;
    }
    this._checkMembers();
    for (const order of this._planner.plan(this._view(current))) void this._send(order);
  }

  private _checkMembers(): void {
    const { clock, list } = this._options;
    const nowMs = clock.monotonic();
    this._checks.retain(list.instances, nowMs);
    const members = [...list.instances.values()].flatMap(({ id, membership }) =>
      membership ? [{ id, group: groupId(membership) }] : [],
    );
    for (const id of this._checks.toAsk(members, nowMs)) void this._checkMember(id);
  }

  private async _checkMember(id: string): Promise<void> {
    const { list, counters, log } = this._options;
    const instance = list.get(id);
    if (!instance) return;
    const wasLost = this._checks.lost().has(id);
    try {
      await readReport(instance, CHECK_TIMEOUT_MS);
      this._checks.note(id, true);
    } catch (error) {
      if (!(error instanceof ReportError)) throw error;
      counters.add('monsoonreach_reports_missed_total');
      this._checks.note(id, false);
    }
    const isLost = this._checks.lost().has(id);
    if (isLost !== wasLost) log.info(isLost ? 'member lost' : 'member answers again', { target: id });
  }

  private _isOutranked(): boolean {
    const term = this._term ?? 0;
    return (this._options.exchange.planner()?.term ?? -1) > term;
  }

  private _stepDown(): void {
    this._term = undefined;
    this._planner = undefined;
  }

  private _view(configuration: ServingConfiguration): FormationView {
    const { clock, list, isListSettled, demand, hasTraffic, heads, exchange } = this._options;
    const nowMs = clock.monotonic();
    const peers = exchange.livePeers().map(({ digest }) => new Map(Object.entries(digest.heads)));
    for (const [id, untilMs] of this._ordered) if (untilMs <= nowMs) this._ordered.delete(id);
    for (const [id, atMs] of this._headless) if (nowMs - atMs > HEADLESS_MS) this._headless.delete(id);
    return {
      nowMs,
      services: [...configuration.services.values()],
      instances: this._knowledge.merge(list, nowMs),
      ordered: new Set(this._ordered.keys()),
      silent: this._checks.lost(),
      headless: new Set(this._headless.keys()),
      doubtfulOpenings: this._doubtfulOpenings,
      isHeadGone: (group) => heads.isReleased(group, peers),
      unlistedServingHeads: heads.serving(),
      isListSettled: isListSettled(),
      demand: demand(),
      hasTraffic: hasTraffic(),
    };
  }

  private async _send(order: InstanceOrder): Promise<void> {
    const { clock, counters, log } = this._options;
    const { id } = order.instance;
    const term = this._term;
    if (term === undefined) return;
    this._ordered.set(id, clock.monotonic() + EFFECT_WAIT_MS);
    const expectedOrderCount = this._orderCount(order.instance);
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
    await this._settle(order, outcome, { term, expectedOrderCount });
  }

  /**
   * Orders that the instance has begun so far. Where that is not known, the instance is asked, and nothing is
   * ordered before the planner has seen how it stands: another planner may have ordered it just now.
   */
  private _orderCount(instance: TargetInstance): number | undefined {
    const known = this._knowledge.orderCount(instance);
    if (known !== undefined) return known;
    const isUntouched = !instance.membership && instance.stagedModels.length === 0;
    if (isUntouched) return 0;
    void this._readBack(instance);
    return undefined;
  }

  private async _settle(
    order: InstanceOrder,
    outcome: OrderOutcome,
    sent: { readonly term: number; readonly expectedOrderCount: number },
  ): Promise<void> {
    const { clock } = this._options;
    const { id } = order.instance;
    switch (outcome.kind) {
      case 'begun':
        this._noteBegun(order, sent.expectedOrderCount + 1);
        return;
      case 'holds':
        // A member leaves at once, so that its answer tells of an order that is done already.
        if (order.kind === 'leave') this._noteBegun(order, sent.expectedOrderCount + 1);
        if (order.kind === 'open') this._noteBegun(order, sent.expectedOrderCount);
        return;
      case 'misdirected':
        return;
      case 'fenced':
        this._noteFenced(order, sent.term);
        return;
      case 'conflict':
      case 'unknown':
        if (order.kind === 'open') this._doubtfulOpenings.add(groupId(order));
        await pause(REPORT_LAG_MS, this._stopping.signal);
        await this._readBack(order.instance);
        if (order.kind === 'stage') this._ordered.set(id, clock.monotonic() + EFFECT_WAIT_MS);
    }
  }

  private _noteBegun(order: InstanceOrder, orderCount: number): void {
    const { id } = order.instance;
    const nowMs = this._options.clock.monotonic();
    this._knowledge.noteBegun(order, orderCount, nowMs);
    if (order.kind !== 'open') this._ordered.delete(id);
    if (order.kind === 'close') void this._awaitClosed(order.instance);
    if (order.kind === 'leave')
      this._headless.set(groupId({ group: order.group, epoch: order.epoch }), nowMs);
  }

  /** Asks a head until it has closed, as the list tells it late. */
  private async _awaitClosed(head: TargetInstance): Promise<void> {
    const { clock } = this._options;
    const endsAtMs = clock.monotonic() + CLOSE_WAIT_MS;
    while (clock.monotonic() < endsAtMs && this._term !== undefined) {
      await pause(REPORT_LAG_MS, this._stopping.signal);
      await this._readBack(head);
      const state = this._knowledge.memberState(head.id);
      if (state !== 'open' && state !== 'closing') return;
    }
  }

  private _noteFenced(order: InstanceOrder, term: number): void {
    if (this._term !== term) return;
    this._options.log.warn('planning ended', { term, reason: `fenced at ${order.instance.id}` });
    this._stepDown();
  }

  /** Asks the instance itself how it stands, when an order's effect is not known. */
  private async _readBack(instance: TargetInstance): Promise<void> {
    const { clock, counters, list } = this._options;
    const { id } = instance;
    try {
      const { state, orderCount } = await readReport(instance, REPORT_TIMEOUT_MS);
      this._knowledge.noteReport({ ...(list.get(id) ?? instance), ...state }, orderCount, clock.monotonic());
      this._ordered.delete(id);
    } catch (error) {
      if (!(error instanceof ReportError)) throw error;
      counters.add('monsoonreach_reports_missed_total');
      this._ordered.set(id, clock.monotonic() + ORDER_TIMEOUT_MS);
    }
  }
}
