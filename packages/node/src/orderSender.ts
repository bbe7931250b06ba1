import {
  type Clock,
  type Counters,
  groupId,
  InstanceStateOverlay,
  type InstanceOrder,
  isServingState,
  MAX_REPORT_LAG_MS,
  pause,
  type ProbeResult,
  type TargetInstance,
} from '@monsoonreach/core';
import { type OrderOutcome, readReport, ReportError, sendOrder } from '@monsoonreach/platform';
import type { DecisionLog } from './decisionLog.js';
import type { InstanceList } from './instanceList.js';

/** Timeout of an order, after which it may be sent again, in milliseconds; many round trips. */
const ORDER_TIMEOUT_MS = 400;
/** Timeout of a request for an instance's own report, in milliseconds. */
const REPORT_TIMEOUT_MS = 300;
/** Time until the instance list shows the effect of an order, in milliseconds; one read interval plus the list's lag. */
const ORDER_EFFECT_MS = 1_500;
/** Time for which a closing head is polled, in milliseconds; its requests may take that long to finish. */
const CLOSE_TIMEOUT_MS = 8_000;

/** Dependencies of {@link OrderSender}. */
export interface OrderSenderOptions {
  readonly list: InstanceList;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly log: DecisionLog;
  /** Term in which this node may order an instance of the fabric domain; undefined if it may not. */
  readonly findTerm: (fabricDomain: string) => number | undefined;
  /** Called when an instance follows an owner with a higher term. */
  readonly onFenced: (order: InstanceOrder, term: number) => void;
  /** Called when an instance has acknowledged an order. */
  readonly onAcknowledged: () => void;
  /** Called with whether an instance answered a request for its report, and for how many milliseconds it was awaited. */
  readonly onReportResult: (id: string, result: ProbeResult, waitedMs: number) => void;
}

/** Sends orders to instances and keeps track of their effects until the instance list shows them. */
export class OrderSender {
  /** Instances with an order in progress, with the monotonic time until which they get no other. */
  private readonly _pendingOrders = new Map<string, number>();
  private readonly _overlay = new InstanceStateOverlay();
  private readonly _abortController = new AbortController();

  constructor(private readonly _options: OrderSenderOptions) {}

  /** Increases whenever the outcome of an order or a report becomes known. */
  version = 0;

  get hasPendingOrders(): boolean {
    return this._pendingOrders.size > 0;
  }

  /** Ids of the instances that get no other order for now. */
  listPending(): ReadonlySet<string> {
    const nowMs = this._options.clock.monotonic();
    for (const [id, untilMs] of this._pendingOrders) if (untilMs <= nowMs) this._pendingOrders.delete(id);
    return new Set(this._pendingOrders.keys());
  }

  /** The listed instances, with newer state where this node knows it. */
  listInstances(): ReadonlyMap<string, TargetInstance> {
    return this._overlay.merge(this._options.list);
  }

  /** Whether the head has begun to close, which the instance list does not show of one that is not listed. */
  isClosing({ id }: TargetInstance): boolean {
    return this._overlay.getMemberState(id) === 'closing';
  }

  /** Ids of the instances whose entry in the list still contradicts what this node knows. */
  listContradicted(): readonly string[] {
    return this._overlay.listContradicted(this._options.list);
  }

  stop(): void {
    this._abortController.abort();
  }

  /**
   * Sends an order, on condition that the instance has begun no other since the state that the order was decided on.
   * Sends nothing if the number of orders in that state is not known: the instance is asked, and the order decided anew.
   */
  async send(order: InstanceOrder): Promise<void> {
    const { clock, counters, log, findTerm } = this._options;
    const { id, fabricDomain } = order.instance;
    const term = findTerm(fabricDomain);
    if (term === undefined) return;
    this._pendingOrders.set(id, clock.monotonic() + ORDER_EFFECT_MS);
    const expectedOrderCount = this._findOrderCount(order.instance);
    if (expectedOrderCount === undefined) return;
    const basis = this._describeBasis(order.instance);
    const sentAtMs = clock.monotonic();
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
      ...basis,
      cause: order.cause?.reason,
      causeMembers: order.cause?.members,
      sentMs: Math.round(clock.monotonic() - sentAtMs),
      outcome: outcome.kind,
    });
    await this._handleOutcome(order, outcome, { term, expectedOrderCount });
    this.version++;
  }

  /** Reads the state from the instance itself, when the effect of an order is not known or the list is out of date. */
  async refresh(instance: TargetInstance): Promise<void> {
    const { id } = instance;
    if (await this.readState(instance, REPORT_TIMEOUT_MS)) this._pendingOrders.delete(id);
    else this._pendingOrders.set(id, this._options.clock.monotonic() + ORDER_TIMEOUT_MS);
  }

  /** Records the instance's own report; returns false if none arrives in time. */
  async readState(instance: TargetInstance, timeoutMs: number): Promise<boolean> {
    const { clock, counters, list, onReportResult } = this._options;
    const { id } = instance;
    const askedAtMs = clock.monotonic();
    // A suspension of this process is no silence of the instance.
    const getWaitedMs = () => Math.min(clock.monotonic() - askedAtMs, timeoutMs);
    try {
      const { state, orderCount, coldRemainingMs } = await readReport(instance, timeoutMs);
      this._overlay.recordReport({ ...(list.get(id) ?? instance), ...state }, orderCount, clock.monotonic());
      list.recordCold({ id, startedAtMs: state.startedAtMs }, coldRemainingMs);
      onReportResult(id, 'answered', getWaitedMs());
      return true;
    } catch (error) {
      if (!(error instanceof ReportError)) throw error;
      counters.add('monsoonreach_reports_missed_total');
      onReportResult(id, error.isRefused ? 'refused' : 'silent', getWaitedMs());
      return false;
    } finally {
      this.version++;
    }
  }

  /** Number of orders that the instance has begun in its state; undefined if it has to be asked. */
  private _findOrderCount(instance: TargetInstance): number | undefined {
    const orderCount = this._overlay.getOrderCount(instance);
    if (orderCount !== undefined) return orderCount;
    const isUntouched = !instance.membership && instance.stagedModels.length === 0;
    if (isUntouched) return 0;
    void this.refresh(instance);
    return undefined;
  }

  /** Describes the state of the instance that the order was decided on, and where that state comes from. */
  private _describeBasis(instance: TargetInstance): Readonly<Record<string, unknown>> {
    const { membership } = instance;
    const isListed = this._options.list.get(instance.id) === instance;
    return {
      basis: membership
        ? `${groupId(membership)} rank ${membership.rank} ${membership.state}`
        : 'in no group',
      basisSource: isListed ? 'list' : this._overlay.getSource(instance.id),
    };
  }

  private async _handleOutcome(
    order: InstanceOrder,
    outcome: OrderOutcome,
    sent: { readonly term: number; readonly expectedOrderCount: number },
  ): Promise<void> {
    const { onFenced } = this._options;
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
        onFenced(order, sent.term);
        return;
      case 'conflict':
        this._overlay.recordRefusal(id);
        await this._refreshLater(order);
        return;
      case 'unknown':
        await this._refreshLater(order);
    }
  }

  /** Asks the instance what became of an order, once its report shows that. */
  private async _refreshLater(order: InstanceOrder): Promise<void> {
    const { clock } = this._options;
    await pause(MAX_REPORT_LAG_MS, this._abortController.signal);
    await this.refresh(order.instance);
    if (order.kind === 'stage')
      this._pendingOrders.set(order.instance.id, clock.monotonic() + ORDER_EFFECT_MS);
  }

  private _recordBegun(order: InstanceOrder, orderCount: number): void {
    const { clock, onAcknowledged } = this._options;
    this._overlay.recordOrderStart(order, orderCount, clock.monotonic());
    if (order.kind !== 'open') this._pendingOrders.delete(order.instance.id);
    if (order.kind === 'close') void this._pollUntilClosed(order.instance);
    onAcknowledged();
  }

  /** Polls a head until it has closed, because the instance list shows that late. */
  private async _pollUntilClosed(head: TargetInstance): Promise<void> {
    const { clock, findTerm } = this._options;
    const endsAtMs = clock.monotonic() + CLOSE_TIMEOUT_MS;
    while (clock.monotonic() < endsAtMs && findTerm(head.fabricDomain) !== undefined) {
      await pause(MAX_REPORT_LAG_MS, this._abortController.signal);
      await this.refresh(head);
      if (!isServingState(this._overlay.getMemberState(head.id))) return;
    }
  }
}
