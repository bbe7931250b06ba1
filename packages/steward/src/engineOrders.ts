import {
  type Clock,
  type Configuration,
  type ControlBody,
  type ControlRejection,
  type Counters,
  engineOf,
  type Group,
  type Groups,
  type InstanceStanding,
  type PlannedInstance,
  toPosition,
  type Verdict,
} from '@monsoonreach/core';
import { EngineCallError, type EngineOrder } from '@monsoonreach/targets';
import type { Observation, Prober } from './prober.js';

const ORDER_INTERVAL_MS = 1_000;

/** What the orders are made of. */
export interface EngineOrdersOptions {
  readonly clock: Clock;
  readonly counters: Counters;
  readonly groups: () => Groups;
  readonly configuration: () => Configuration | undefined;
  readonly prober: Prober;
  /** The next offset of the control stream; a position made of it is above all that were read. */
  readonly controlNext: () => number;
  /** Writes a control record and reads it back; nothing when the log did not confirm it. */
  readonly write: (body: ControlBody) => Promise<Verdict<ControlRejection> | undefined>;
  /** Called for each member that is loaded for its group. */
  readonly onLoaded: (group: Group) => void;
}

/** Brings engines to where the log has them: load and stop orders, and releases once they are read back idle. */
export class EngineOrders {
  private readonly _lastOrderMs = new Map<string, number>();
  private readonly _intentSeenAtMs = new Map<number, number>();
  private readonly _ordering = new Set<string>();

  constructor(private readonly _options: EngineOrdersOptions) {}

  /** Orders, read-backs and releases of the domain's instances; none waits for another. */
  carryOut(instances: Iterable<PlannedInstance>): void {
    const groups = this._options.groups();
    for (const instance of instances) {
      const observation = this._options.prober.observe(instance.address);
      if (!observation?.status || observation.darkSinceMs !== undefined) continue;
      this._carryOutOne(instance.address, groups.findInstance(instance.address), observation);
    }
  }

  private _carryOutOne(
    address: string,
    standing: InstanceStanding | undefined,
    observation: Observation,
  ): void {
    const { status } = observation;
    if (!status) return;
    const isIdle = status.phase === 'idle' && status.group === null;
    if (standing?.kind === 'member' && status.boot === standing.boot) {
      const group = this._options.groups().findGroup(standing.group);
      if (group && isIdle) this._order(address, toLoadOrder(group, address), group);
      if (group && status.phase === 'ready' && status.group === group.id) this._options.onLoaded(group);
      return;
    }
    if (standing?.kind === 'member') return;
    const needsFence = this._checksFencing(standing) && status.fencing < (standing?.position ?? 0);
    if (!isIdle || needsFence) this._orderStop(address, standing, status.group ?? '');
    else if (standing?.kind !== 'released' || standing.boot !== status.boot)
      this._release(address, status.boot, observation);
  }

  /** An idle engine may still get an order that is late; a raised fencing number refuses it. */
  private _checksFencing(standing: InstanceStanding | undefined): boolean {
    const configuration = this._options.configuration();
    if (!standing || standing.kind === 'member' || !configuration) return false;
    if (standing.kind === 'released') {
      return Object.values(configuration.engine).every((engine) => engine['checks-fencing']);
    }
    const group = this._options.groups().findGroup(standing.group);
    const model = group && configuration.model[group.model];
    return model !== undefined && engineOf(configuration, model)['checks-fencing'];
  }

  private _orderStop(address: string, standing: InstanceStanding | undefined, groupId: string): void {
    const group =
      standing?.kind === 'stopping' ? this._options.groups().findGroup(standing.group) : undefined;
    const fencing = group?.dissolvedAt ?? standing?.position ?? toPosition(this._options.controlNext(), 0);
    this._order(address, { order: 'stop', group: groupId, fencing }, group);
  }

  private _order(address: string, order: EngineOrder, group: Group | undefined): void {
    if (this._ordering.has(address) || !this._isDue(address)) return;
    this._ordering.add(address);
    void this._sendOrder(address, order, group).finally(() => this._ordering.delete(address));
  }

  /** Engines that ignore fencing numbers get no order whose intent was not read back from the log first. */
  private async _sendOrder(address: string, order: EngineOrder, group: Group | undefined): Promise<void> {
    const configuration = this._options.configuration();
    const model = group && configuration?.model[group.model];
    const engine = model && configuration && engineOf(configuration, model);
    const timeoutMs = engine?.['order-timeout'] ?? ORDER_INTERVAL_MS;
    const needsIntent = group !== undefined && engine?.['checks-fencing'] !== true;
    const intent = needsIntent ? await this._announce(address, order, group.id) : undefined;
    if (needsIntent && intent === undefined) return;
    try {
      await this._options.prober.clientOf(address).order(order, timeoutMs);
      this._options.counters.add('monsoonreach_orders_total', { order: order.order, result: 'taken' });
    } catch (error) {
      if (!(error instanceof EngineCallError)) throw error;
      this._options.counters.add('monsoonreach_orders_total', { order: order.order, result: error.fault });
      if (error.fault === 'timeout') return;
    }
    if (intent !== undefined) await this._options.write({ kind: 'outcome', address, intent });
  }

  private async _announce(address: string, order: EngineOrder, group: string): Promise<number | undefined> {
    const verdict = await this._options.write({
      kind: 'intent',
      address,
      order: order.order,
      group,
      epoch: order.fencing,
    });
    return verdict?.kind === 'accepted' ? verdict.position : undefined;
  }

  private _release(address: string, boot: string, observation: Observation): void {
    const settled = this._settledIntents(address, observation);
    if (settled === undefined || this._ordering.has(address)) return;
    this._ordering.add(address);
    const body: ControlBody = {
      kind: 'release',
      instance: { address, boot },
      basis: observation.basis,
      settled,
    };
    void this._options.write(body).finally(() => this._ordering.delete(address));
  }

  /** The open intents of an instance, once it was idle for longer than any of them can be late. */
  private _settledIntents(address: string, observation: Observation): readonly number[] | undefined {
    const intents = this._options.groups().intentsOf(address);
    const nowMs = this._options.clock.monotonic();
    const waitMs = this._longestOrderMs();
    const isSettled = intents.every((intent) => {
      const seenAtMs = this._intentSeenAtMs.get(intent.position) ?? nowMs;
      const sinceMs = Math.max(seenAtMs, observation.idleSinceMs ?? nowMs);
      return nowMs - sinceMs > waitMs;
    });
    return isSettled ? intents.map(({ position }) => position) : undefined;
  }

  private _longestOrderMs(): number {
    const engines = Object.values(this._options.configuration()?.engine ?? {});
    return Math.max(0, ...engines.map((engine) => engine['order-timeout']));
  }

  /** Remembers since when each open intent is known here; call it in each turn. */
  noteIntents(): void {
    const open = new Set<number>();
    for (const address of this._options.groups().instances().keys()) {
      for (const { position } of this._options.groups().intentsOf(address)) open.add(position);
    }
    for (const position of open) {
      if (!this._intentSeenAtMs.has(position))
        this._intentSeenAtMs.set(position, this._options.clock.monotonic());
    }
    for (const position of this._intentSeenAtMs.keys())
      if (!open.has(position)) this._intentSeenAtMs.delete(position);
  }

  private _isDue(address: string): boolean {
    const nowMs = this._options.clock.monotonic();
    if (nowMs - (this._lastOrderMs.get(address) ?? -Infinity) < ORDER_INTERVAL_MS) return false;
    this._lastOrderMs.set(address, nowMs);
    return true;
  }
}

function toLoadOrder(group: Group, address: string): EngineOrder {
  return {
    order: 'load',
    group: group.id,
    fencing: group.epoch,
    model: group.model,
    version: group.version,
    rank: group.members.findIndex((member) => member.address === address),
    members: group.members.map((member) => member.address),
  };
}
