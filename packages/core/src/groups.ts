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

/** A group as the log has it. */
export interface Group {
  readonly id: string;
  /** Position of its assignment: the fencing number that its orders carry. */
  readonly epoch: number;
  readonly model: string;
  readonly version: string;
  readonly fabricDomain: string;
  readonly members: readonly InstanceIdentity[];
  /** Position of its dissolution: the fencing number of its stop orders; absent while it stands. */
  readonly dissolvedAt?: number | undefined;
}

/** How long an instance that nobody sees again is remembered, in milliseconds of the stream's time. */
export const STANDING_RETENTION_MS = 86_400_000;

/** Where an instance stands; `position` is that of the record that put it there, `sinceMs`
 * the stream's time at the first sweep after it, 0 before that. */
export type InstanceStanding =
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

/** An order that was announced and whose outcome is not known. */
export interface Intent {
  readonly position: number;
  readonly writerId: string;
  readonly order: OrderKind;
  readonly group: string;
}

/** A planner's lease on a shard of the work; only for efficiency, since its records are fenced by it. */
export interface PlannerLease {
  readonly position: number;
  readonly holderId: string;
}

/** Removes guards for tests that show a proof fails without them. */
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
  readonly instances: readonly (readonly [string, InstanceStanding])[];
  readonly intents: readonly (readonly [string, readonly Intent[]])[];
  readonly leases: readonly (readonly [string, PlannerLease])[];
  readonly draining: readonly string[];
  readonly quarantined: readonly (readonly [string, number])[];
}

/**
 * Groups, instances and planner leases as the `control` stream decides them. An instance is in at most one
 * group: it joins one only when released, and is released only after it was read back idle.
 */
export class Groups implements StreamState<ControlBody, ControlRejection> {
  private readonly _groups: Map<string, Group>;
  private readonly _instances: Map<string, InstanceStanding>;
  private readonly _intents: Map<string, readonly Intent[]>;
  private readonly _leases: Map<string, PlannerLease>;
  private readonly _draining: Set<string>;
  private readonly _quarantined: Map<string, number>;
  private _changes = 0;

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

  /** Grows with each accepted record, so that what is derived from the state can be kept until it changes. */
  get changes(): number {
    return this._changes;
  }

  /** Every group, those that are being dissolved among them. */
  groups(): readonly Group[] {
    return [...this._groups.values()];
  }

  findGroup(id: string): Group | undefined {
    return this._groups.get(id);
  }

  findInstance(address: string): InstanceStanding | undefined {
    return this._instances.get(address);
  }

  /** Every instance that the log knows, by address. */
  instances(): ReadonlyMap<string, InstanceStanding> {
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

  /** Fingerprints under quarantine with the stream time at which each ends. */
  quarantined(): ReadonlyMap<string, number> {
    return this._quarantined;
  }

  apply(record: AppliedRecord<ControlBody>): ControlRejection | undefined {
    const rejection = this._decide(record);
    if (rejection === undefined) this._changes++;
    return rejection;
  }

  private _decide(record: AppliedRecord<ControlBody>): ControlRejection | undefined {
    const { body } = record.envelope;
    switch (body.kind) {
      case 'lease':
        return this._lease(record, body);
      case 'assign':
        return this._assign(record, body);
      case 'dissolve':
        return this._dissolve(record, body);
      case 'release':
        return this._release(record, body);
      case 'intent':
        return this._announce(record, body);
      case 'outcome':
        return this._settle(body.address, body.intent);
      case 'drain':
        return this._drain(body.address, body.isLeaving);
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
    for (const [address, standing] of this._instances) {
      if (standing.kind === 'member') continue;
      if (standing.sinceMs === 0) this._instances.set(address, { ...standing, sinceMs: nowMs });
      else if (standing.sinceMs + STANDING_RETENTION_MS < nowMs) this._forget(address, standing);
    }
  }

  /** A forgotten instance counts as not released until it is read back idle again. */
  private _forget(address: string, standing: InstanceStanding): void {
    this._instances.delete(address);
    this._intents.delete(address);
    if (standing.kind === 'stopping') this._removeIfReleased(standing.group);
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

  private _lease(
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
    if (!this._holdsLease(record, body.shard, body.lease)) return 'lease-superseded';
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
    if (!this._holdsLease(record, body.shard, body.lease)) return 'lease-superseded';
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
    const standing = this._instances.get(address);
    if (this._guards.releaseNeedsBasis) {
      if (standing?.kind === 'member') return 'instance-in-group';
      if (standing && standing.position !== body.basis) return 'instance-changed';
    }
    if (standing?.kind === 'released' && standing.boot === boot) return 'already-released';
    const isSettled = this.intentsOf(address).every((intent) => body.settled.includes(intent.position));
    if (this._guards.releaseNeedsSettled && !isSettled) return 'order-unsettled';
    this._intents.delete(address);
    this._instances.set(address, {
      kind: 'released',
      boot,
      position: record.position,
      sinceMs: 0,
    });
    if (standing && standing.kind !== 'released') this._removeIfReleased(standing.group);
    return undefined;
  }

  private _announce(
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

  private _settle(address: string, intentPosition: number): ControlRejection | undefined {
    const intents = this.intentsOf(address);
    const open = intents.filter((intent) => intent.position !== intentPosition);
    if (open.length === intents.length) return 'intent-unknown';
    if (open.length === 0) this._intents.delete(address);
    else this._intents.set(address, open);
    return undefined;
  }

  private _drain(address: string, isLeaving: boolean): undefined {
    if (isLeaving) this._draining.add(address);
    else this._draining.delete(address);
  }

  private _holdsLease(record: AppliedRecord<ControlBody>, shard: string, lease: number): boolean {
    if (!this._guards.planNeedsLease) return true;
    const current = this._leases.get(shard);
    return current?.position === lease && current.holderId === toWriterId(record.envelope.writer);
  }

  private _isReleased(member: InstanceIdentity): boolean {
    const standing = this._instances.get(member.address);
    return standing?.kind === 'released' && standing.boot === member.boot;
  }

  private _removeIfReleased(id: string): void {
    const group = this._groups.get(id);
    const isHeld = group?.members.some((member) => {
      const standing = this._instances.get(member.address);
      return standing !== undefined && standing.kind !== 'released' && standing.group === id;
    });
    if (!isHeld) this._groups.delete(id);
  }
}

/** The `control` stream. */
export const controlDefinition: StreamDefinition<ControlBody, ControlRejection, Groups> = {
  bodySchema: controlBodySchema,
  create: () => new Groups(),
  restore: (snapshot) => new Groups(snapshot as GroupsSnapshot),
};
