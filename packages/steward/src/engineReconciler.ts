import {
  type Clock,
  type Configuration,
  type ControlBody,
  type ControlRejection,
  type Counters,
  engineOf,
  type Group,
  type Groups,
  type InstanceAssignment,
  type PlannedInstance,
  toPosition,
  type Verdict,
} from '@monsoonreach/core';
import { EngineCallError, type EngineCallFailureReason, type EngineOrder } from '@monsoonreach/targets';
import { GroupDrain } from './groupDrain.js';
import type { Observation, Prober } from './prober.js';

const ORDER_INTERVAL_MS = 1_000;
/** How long after its intent was written an order may still be sent. */
const MAX_INTENT_AGE_MS = 1_000;

export interface EngineReconcilerOptions {
  readonly clock: Clock;
  readonly counters: Counters;
  readonly groups: () => Groups;
  readonly configuration: () => Configuration | undefined;
  readonly prober: Pick<Prober, 'findObservation' | 'clientOf'>;
  /** Next offset of the control stream; a position made from it is above every position read so far. */
  readonly nextControlOffset: () => number;
  /** Writes a control record and reads it back; undefined if the log did not confirm it. */
  readonly write: (body: ControlBody) => Promise<Verdict<ControlRejection> | undefined>;
  /** Called for each member found ready for its group. */
  readonly onLoaded: (group: Group) => void;
}

/**
 * Reconciles engines with the control stream: orders them to load or stop, and releases instances once their engine
 * is read back as idle.
 */
export class EngineReconciler {
  private readonly _lastOrderMs = new Map<string, number>();
  private readonly _intentSeenAtMs = new Map<number, number>();
  private readonly _busyInstances = new Set<string>();
  private readonly _drain: GroupDrain;

  constructor(private readonly _options: EngineReconcilerOptions) {
    const { clock, configuration, prober } = _options;
    const findObservation = (address: string) => prober.findObservation(address);
    this._drain = new GroupDrain({ clock, configuration, findObservation });
  }

  /** Starts the orders and releases that are due for these instances, without waiting for them. */
  reconcile(instances: Iterable<PlannedInstance>): void {
    const groups = this._options.groups();
    this._drain.retain(groups.groups());
    for (const instance of instances) {
      const observation = this._options.prober.findObservation(instance.address);
      if (!observation?.status || observation.silence !== undefined) continue;
      this._reconcileInstance(instance.address, groups.findInstance(instance.address), observation);
    }
  }

  private _reconcileInstance(
    address: string,
    assignment: InstanceAssignment | undefined,
    observation: Observation,
  ): void {
    const { status } = observation;
    if (!status) return;
    const isIdle = status.phase === 'idle' && status.group === null;
    if (assignment?.kind === 'member' && status.boot === assignment.boot) {
      const group = this._options.groups().findGroup(assignment.group);
      if (group && isIdle) this._orderIfDue(address, toLoadOrder(group, address), group);
      if (group && status.phase === 'ready' && status.group === group.id) this._options.onLoaded(group);
      return;
    }
    if (assignment?.kind === 'member' || this._isDraining(assignment)) return;
    const position = assignment?.position ?? 0;
    const isCurrent = observation.basis.position === position;
    // A dissolved group's members are to stop in any case; all else depends on what they were seen to do since.
    if (!isCurrent && assignment?.kind !== 'stopping') return;
    const needsFencingRaise = this._needsFencing(assignment) && status.fencing < position;
    if (!isIdle || needsFencingRaise) this._orderStop(address, assignment, status.group ?? '');
    else if (isCurrent && (assignment?.kind !== 'released' || assignment.boot !== status.boot))
      this._release(address, status.boot, observation);
  }

  private _isDraining(assignment: InstanceAssignment | undefined): boolean {
    if (assignment?.kind !== 'stopping') return false;
    const group = this._options.groups().findGroup(assignment.group);
    return group !== undefined && this._drain.isDraining(group);
  }

  /**
   * Whether the engine's fencing token has to reach the instance's log position before a release. A late order may
   * still arrive at an idle engine; the raised number makes the engine refuse it.
   */
  private _needsFencing(assignment: InstanceAssignment | undefined): boolean {
    const configuration = this._options.configuration();
    if (!assignment || assignment.kind === 'member' || !configuration) return false;
    const group =
      assignment.kind === 'stopping' ? this._options.groups().findGroup(assignment.group) : undefined;
    const model = group && configuration.model[group.model];
    if (model) return engineOf(configuration, model)['checks-fencing'];
    // The configuration does not tell which engine this is, as when the group's model was removed.
    return Object.values(configuration.engine).every((engine) => engine['checks-fencing']);
  }

  private _orderStop(address: string, assignment: InstanceAssignment | undefined, groupId: string): void {
    const group =
      assignment?.kind === 'stopping' ? this._options.groups().findGroup(assignment.group) : undefined;
    const fencing =
      group?.dissolvedAt ?? assignment?.position ?? toPosition(this._options.nextControlOffset(), 0);
    this._orderIfDue(address, { order: 'stop', group: groupId, fencing }, group);
  }

  private _orderIfDue(address: string, order: EngineOrder, group: Group | undefined): void {
    if (this._busyInstances.has(address) || !this._takeOrderSlot(address)) return;
    this._busyInstances.add(address);
    void this._sendOrder(address, order, group).finally(() => this._busyInstances.delete(address));
  }

  /**
   * Orders to engines that ignore fencing tokens are sent only after their intent was read back from the log, and only
   * so soon that others can tell from its age when the order can no longer arrive.
   */
  private async _sendOrder(address: string, order: EngineOrder, group: Group | undefined): Promise<void> {
    const configuration = this._options.configuration();
    const model = group && configuration?.model[group.model];
    const engine = model && configuration && engineOf(configuration, model);
    const timeoutMs = engine?.['order-timeout'] ?? ORDER_INTERVAL_MS;
    const needsIntent = group !== undefined && engine?.['checks-fencing'] !== true;
    const announcedAtMs = this._options.clock.monotonic();
    const intent = needsIntent ? await this._writeIntent(address, order, group.id) : undefined;
    if (needsIntent && intent === undefined) return;
    const isOutdated = needsIntent && this._options.clock.monotonic() - announcedAtMs > MAX_INTENT_AGE_MS;
    if (isOutdated || (await this._hasOrderEnded(address, order, timeoutMs))) {
      if (intent !== undefined) await this._options.write({ kind: 'outcome', address, intent });
    }
  }

  /** Sends an order; false if it may still be under way. */
  private async _hasOrderEnded(address: string, order: EngineOrder, timeoutMs: number): Promise<boolean> {
    try {
      await this._options.prober.clientOf(address).sendOrder(order, timeoutMs);
      this._options.counters.add('monsoonreach_orders_total', { order: order.order, result: 'taken' });
    } catch (error) {
      if (!(error instanceof EngineCallError)) throw error;
      this._options.counters.add('monsoonreach_orders_total', { order: order.order, result: error.reason });
      return isAnswered(error.reason);
    }
    return true;
  }

  private async _writeIntent(
    address: string,
    order: EngineOrder,
    group: string,
  ): Promise<number | undefined> {
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
    const settled = this._findSettledIntents(address, observation);
    if (settled === undefined || this._busyInstances.has(address)) return;
    this._busyInstances.add(address);
    const body: ControlBody = {
      kind: 'release',
      instance: { address, boot },
      basis: observation.basis.position,
      settled,
    };
    void this._options.write(body).finally(() => this._busyInstances.delete(address));
  }

  /**
   * Positions of the open intents, or undefined until a probe shows that no order can be under way any more: it was
   * sent after every outcome recorded so far, and the instance had been idle for longer than any order can be late.
   */
  private _findSettledIntents(address: string, observation: Observation): readonly number[] | undefined {
    const intents = this._options.groups().intentsOf(address);
    const open = new Set(intents.map(({ position }) => position));
    if (!observation.basis.openIntents.every((position) => open.has(position))) return undefined;
    const waitMs = MAX_INTENT_AGE_MS + this._longestOrderTimeoutMs();
    const isSettled = intents.every(({ position }) => {
      const seenAtMs = this._intentSeenAtMs.get(position) ?? Infinity;
      const sinceMs = Math.max(seenAtMs, observation.idleSinceMs ?? Infinity);
      return observation.probedAtMs - sinceMs > waitMs;
    });
    return isSettled ? [...open] : undefined;
  }

  private _longestOrderTimeoutMs(): number {
    const engines = Object.values(this._options.configuration()?.engine ?? {});
    return Math.max(0, ...engines.map((engine) => engine['order-timeout']));
  }

  /** Records when each open intent was first seen here; call it on each tick. */
  trackOpenIntents(): void {
    const openIntents = new Set<number>();
    for (const address of this._options.groups().instances().keys()) {
      for (const { position } of this._options.groups().intentsOf(address)) openIntents.add(position);
    }
    for (const position of openIntents) {
      if (!this._intentSeenAtMs.has(position))
        this._intentSeenAtMs.set(position, this._options.clock.monotonic());
    }
    for (const position of this._intentSeenAtMs.keys())
      if (!openIntents.has(position)) this._intentSeenAtMs.delete(position);
  }

  private _takeOrderSlot(address: string): boolean {
    const nowMs = this._options.clock.monotonic();
    if (nowMs - (this._lastOrderMs.get(address) ?? -Infinity) < ORDER_INTERVAL_MS) return false;
    this._lastOrderMs.set(address, nowMs);
    return true;
  }
}

/** Whether the engine answered; without an answer it may still take the order. */
function isAnswered(reason: EngineCallFailureReason): boolean {
  switch (reason) {
    case 'refused':
    case 'malformed':
      return true;
    case 'timeout':
    case 'reset':
    case 'unreachable':
      return false;
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
