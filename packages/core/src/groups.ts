import {
  type ControlBody,
  controlBodySchema,
  type ControlRejection,
  type InstanceIdentity,
  type OrderKind,
} from './controlRecords.js';
import { toWriterId } from './record.js';
import { byKey } from './streamClock.js';
import type { AppliedRecord, StreamDefinition, StreamState } from './streamReducer.js';

/** A group as recorded in the `control` stream. */
export interface Group {
  readonly id: string;
  /** Position of its assignment; the fencing token of its load orders. */
  readonly epoch: number;
  readonly model: string;
  readonly version: string;
  readonly fabricDomain: string;
  readonly members: readonly InstanceIdentity[];
  /** Position of its dissolution; the fencing token of its stop orders; absent while the group is active. */
  readonly dissolvedAt?: number | undefined;
}

/** How long an instance outside active groups is kept without new records, in milliseconds of stream time. */
export const INSTANCE_RETENTION_MS = 86_400_000;

/**
 * Assignment of an instance. `position` is that of the record that set it; `sinceMs` is the stream time of
 * the first sweep after that record, 0 before it.
 */
export type InstanceAssignment =
  | { readonly kind: 'released'; readonly boot: string; readonly position: number; readonly sinceMs: number }
  | {
      readonly kind: 'member';
      readonly boot: string;
      readonly position: number;
      readonly sinceMs: number;
      readonly group: string;
    }
  | {
      readonly kind: 'stopping';
      readonly boot: string;
      readonly position: number;
      readonly sinceMs: number;
      readonly group: string;
    };

/** An order that was recorded as intended and whose outcome is not known. */
export interface Intent {
  readonly position: number;
  readonly writerId: string;
  readonly order: OrderKind;
  readonly group: string;
}

/** A planner's lease on a shard. It only avoids duplicate work: records with an outdated lease are rejected. */
export interface PlannerLease {
  readonly position: number;
  readonly holderId: string;
}

/** Checks that tests can switch off, to show that the model then violates its properties. */
export interface GroupGuards {
  readonly assignNeedsReleased: boolean;
  readonly planNeedsLease: boolean;
  readonly releaseNeedsBasis: boolean;
  readonly releaseNeedsSettled: boolean;
  readonly leaseNeedsBasis: boolean;
}

const ALL_GUARDS: GroupGuards = {
  assignNeedsReleased: true,
  planNeedsLease: true,
  releaseNeedsBasis: true,
  releaseNeedsSettled: true,
  leaseNeedsBasis: true,
};

interface GroupsSnapshot {
  readonly groups: readonly (readonly [string, Group])[];
  readonly instances: readonly (readonly [string, InstanceAssignment])[];
  readonly intents: readonly (readonly [string, readonly Intent[]])[];
  readonly leases: readonly (readonly [string, PlannerLease])[];
  readonly draining: readonly string[];
  readonly quarantined: readonly (readonly [string, number])[];
}

/**
 * Groups, instances and planner leases, derived from the `control` stream. An instance is in at most one
 * group: it is assigned only when released, and released only after a status read showed it idle.
 */
export class Groups implements StreamState<ControlBody, ControlRejection> {
  private readonly _groups: Map<string, Group>;
  private readonly _instances: Map<string, InstanceAssignment>;
  private readonly _intents: Map<string, readonly Intent[]>;
  private readonly _leases: Map<string, PlannerLease>;
  private readonly _draining: Set<string>;
  private readonly _quarantined: Map<string, number>;
  private _revision = 0;

  constructor(
    snapshot?: GroupsSnapshot,
    private readonly _guards: GroupGuards = ALL_GUARDS,
  ) {
    this._groups = new Map(snapshot?.groups);
    this._instances = new Map(snapshot?.instances);
    this._intents = new Map(snapshot?.intents);
    this._leases = new Map(snapshot?.leases);
    this._draining = new Set(snapshot?.draining);
    this._quarantined = new Map(snapshot?.quarantined);
  }

  /** Incremented by each accepted record; lets callers cache what they derive from the state. */
  get revision(): number {
    return this._revision;
  }

  /** All groups, including those being dissolved. */
  groups(): readonly Group[] {
    return [...this._groups.values()];
  }

  findGroup(id: string): Group | undefined {
    return this._groups.get(id);
  }

  findInstance(address: string): InstanceAssignment | undefined {
    return this._instances.get(address);
  }

  /** All recorded instances by address. */
  instances(): ReadonlyMap<string, InstanceAssignment> {
    return this._instances;
  }

  intentsOf(address: string): readonly Intent[] {
    return this._intents.get(address) ?? [];
  }

  findLease(shard: string): PlannerLease | undefined {
    return this._leases.get(shard);
  }

  isDraining(address: string): boolean {
    return this._draining.has(address);
  }

  /** Quarantined fingerprints with the stream time at which each quarantine ends. */
  quarantined(): ReadonlyMap<string, number> {
    return this._quarantined;
  }

  apply(record: AppliedRecord<ControlBody>): ControlRejection | undefined {
    const rejection = this._decide(record);
    if (rejection === undefined) this._revision++;
    return rejection;
  }

  private _decide(record: AppliedRecord<ControlBody>): ControlRejection | undefined {
    const { body } = record.envelope;
    switch (body.kind) {
      case 'lease':
        return this._acquireLease(record, body);
      case 'assign':
        return this._assign(record, body);
      case 'dissolve':
        return this._dissolve(record, body);
      case 'release':
        return this._release(record, body);
      case 'intent':
        return this._recordIntent(record, body);
      case 'outcome':
        return this._recordOutcome(body.address, body.intent);
      case 'drain':
        return this._setDraining(body.address, body.isLeaving);
      case 'quarantine':
        this._quarantined.set(body.fingerprint, body.untilMs);
        return undefined;
      case 'checkpoint':
        return undefined;
    }
  }

  expire(nowMs: number): void {
    for (const [fingerprint, untilMs] of this._quarantined) {
      if (untilMs < nowMs) this._quarantined.delete(fingerprint);
    }
    for (const [address, assignment] of this._instances) {
      if (assignment.kind === 'member') continue;
      if (assignment.sinceMs === 0) this._instances.set(address, { ...assignment, sinceMs: nowMs });
      else if (assignment.sinceMs + INSTANCE_RETENTION_MS < nowMs) this._forgetInstance(address, assignment);
    }
  }

  /** A removed instance counts as not released until a status read shows it idle again. */
  private _forgetInstance(address: string, assignment: InstanceAssignment): void {
    this._instances.delete(address);
    this._intents.delete(address);
    if (assignment.kind === 'stopping') this._removeIfReleased(assignment.group);
  }

  snapshot(): GroupsSnapshot {
    return {
      groups: [...this._groups].sort(byKey),
      instances: [...this._instances].sort(byKey),
      intents: [...this._intents].sort(byKey),
      leases: [...this._leases].sort(byKey),
      draining: [...this._draining].sort(),
      quarantined: [...this._quarantined].sort(byKey),
    };
  }

  private _acquireLease(
    record: AppliedRecord<ControlBody>,
    body: Extract<ControlBody, { kind: 'lease' }>,
  ): ControlRejection | undefined {
    const current = this._leases.get(body.shard)?.position ?? 0;
    if (this._guards.leaseNeedsBasis && current !== body.basis) return 'lease-superseded';
    this._leases.set(body.shard, {
      position: record.position,
      holderId: toWriterId(record.envelope.writer),
    });
    return undefined;
  }

  private _assign(
    record: AppliedRecord<ControlBody>,
    body: Extract<ControlBody, { kind: 'assign' }>,
  ): ControlRejection | undefined {
    if (!this._isLeaseHolder(record, body.shard, body.lease)) return 'lease-superseded';
    if (this._groups.has(body.group)) return 'group-exists';
    const addresses = new Set(body.members.map((member) => member.address));
    if (addresses.size !== body.members.length) return 'instance-repeated';
    if (this._guards.assignNeedsReleased && !body.members.every((member) => this._isReleased(member))) {
      return 'instance-not-released';
    }
    this._groups.set(body.group, {
      id: body.group,
      epoch: record.position,
      model: body.model,
      version: body.version,
      fabricDomain: body.fabricDomain,
      members: body.members,
    });
    for (const { address, boot } of body.members) {
      this._instances.set(address, {
        kind: 'member',
        boot,
        position: record.position,
        sinceMs: 0,
        group: body.group,
      });
    }
    return undefined;
  }

  private _dissolve(
    record: AppliedRecord<ControlBody>,
    body: Extract<ControlBody, { kind: 'dissolve' }>,
  ): ControlRejection | undefined {
    if (!this._isLeaseHolder(record, body.shard, body.lease)) return 'lease-superseded';
    const group = this._groups.get(body.group);
    if (!group) return 'group-unknown';
    if (group.epoch !== body.epoch || group.dissolvedAt !== undefined) return 'epoch-superseded';
    this._groups.set(group.id, { ...group, dissolvedAt: record.position });
    for (const { address, boot } of group.members) {
      this._instances.set(address, {
        kind: 'stopping',
        boot,
        position: record.position,
        sinceMs: 0,
        group: group.id,
      });
    }
    return undefined;
  }

  private _release(
    record: AppliedRecord<ControlBody>,
    body: Extract<ControlBody, { kind: 'release' }>,
  ): ControlRejection | undefined {
    const { address, boot } = body.instance;
    const assignment = this._instances.get(address);
    if (this._guards.releaseNeedsBasis) {
      if (assignment?.kind === 'member') return 'instance-in-group';
      if (assignment && assignment.position !== body.basis) return 'instance-changed';
    }
    if (assignment?.kind === 'released' && assignment.boot === boot) return 'already-released';
    const isSettled = this.intentsOf(address).every((intent) => body.settled.includes(intent.position));
    if (this._guards.releaseNeedsSettled && !isSettled) return 'order-unsettled';
    this._intents.delete(address);
    this._instances.set(address, {
      kind: 'released',
      boot,
      position: record.position,
      sinceMs: 0,
    });
    if (assignment && assignment.kind !== 'released') this._removeIfReleased(assignment.group);
    return undefined;
  }

  private _recordIntent(
    record: AppliedRecord<ControlBody>,
    body: Extract<ControlBody, { kind: 'intent' }>,
  ): ControlRejection | undefined {
    const group = this._groups.get(body.group);
    if (!group || !group.members.some((member) => member.address === body.address)) return 'group-unknown';
    const current = body.order === 'load' ? group.epoch : group.dissolvedAt;
    if (current !== body.epoch) return 'order-not-current';
    if (body.order === 'load' && group.dissolvedAt !== undefined) return 'order-not-current';
    const intent: Intent = {
      position: record.position,
      writerId: toWriterId(record.envelope.writer),
      order: body.order,
      group: body.group,
    };
    this._intents.set(body.address, [...this.intentsOf(body.address), intent]);
    return undefined;
  }

  private _recordOutcome(address: string, intentPosition: number): ControlRejection | undefined {
    const intents = this.intentsOf(address);
    const open = intents.filter((intent) => intent.position !== intentPosition);
    if (open.length === intents.length) return 'intent-unknown';
    if (open.length === 0) this._intents.delete(address);
    else this._intents.set(address, open);
    return undefined;
  }

  private _setDraining(address: string, isLeaving: boolean): undefined {
    if (isLeaving) this._draining.add(address);
    else this._draining.delete(address);
  }

  private _isLeaseHolder(record: AppliedRecord<ControlBody>, shard: string, lease: number): boolean {
    if (!this._guards.planNeedsLease) return true;
    const current = this._leases.get(shard);
    return current?.position === lease && current.holderId === toWriterId(record.envelope.writer);
  }

  private _isReleased(member: InstanceIdentity): boolean {
    const assignment = this._instances.get(member.address);
    return assignment?.kind === 'released' && assignment.boot === member.boot;
  }

  private _removeIfReleased(id: string): void {
    const group = this._groups.get(id);
    const hasUnreleasedMember = group?.members.some((member) => {
      const assignment = this._instances.get(member.address);
      return assignment !== undefined && assignment.kind !== 'released' && assignment.group === id;
    });
    if (!hasUnreleasedMember) this._groups.delete(id);
  }
}

/** Definition of the `control` stream. */
export const controlDefinition: StreamDefinition<ControlBody, ControlRejection, Groups> = {
  bodySchema: controlBodySchema,
  create: () => new Groups(),
  restore: (snapshot) => new Groups(snapshot as GroupsSnapshot),
};
