import {
  AppendNotSentError,
  AppendUnknownError,
  BackgroundLoop,
  type Candidate,
  type Clock,
  type Configuration,
  type ControlBody,
  type ControlRejection,
  type Counters,
  type Group,
  type GroupHealth,
  type Groups,
  placeByRendezvous,
  type PlannedInstance,
  planFabricDomain,
  type PlanStep,
  type ProcessLogger,
  toWriterId,
  type Verdict,
  type Writer,
} from '@monsoonreach/core';
import type { ListedInstance, LogWriter } from '@monsoonreach/log';
import { v7 as uuidv7 } from 'uuid';
import { EngineReconciler } from './engineReconciler.js';
import { assessGroup, isReleaseOutdated } from './groupHealth.js';
import type { Prober } from './prober.js';

const TICK_MS = 250;
const PLAN_INTERVAL_MS = 500;
const WRITE_TIMEOUT_MS = 5_000;
/** A step that was not stored by then is dropped: what it was decided on may have changed. */
const STEP_TIMEOUT_MS = 1_000;
/** Interval of probes of ready members and of released instances. */
const STEADY_PROBE_INTERVAL_MS = 4_000;
/** Interval of probes of instances that load, stop or do not answer. */
const TRANSITION_PROBE_INTERVAL_MS = 500;
const DEFAULT_LOAD_MS = 10_000;
/** Weight of a new load time in the moving average, from 0 to 1. */
const LOAD_TIME_SMOOTHING = 0.3;

export interface GroupPlannerOptions {
  readonly clock: Clock;
  readonly counters: Counters;
  readonly stateLog: ProcessLogger;
  readonly writer: Writer;
  readonly self: Candidate;
  readonly stewards: () => readonly Candidate[];
  readonly groups: () => Groups;
  readonly isControlStreamReady: () => boolean;
  /** Next offset of the control stream; a position made from it is above every position read so far. */
  readonly nextControlOffset: () => number;
  readonly configuration: () => Configuration | undefined;
  /** Instances of the live list by address. */
  readonly listedInstances: () => ReadonlyMap<string, ListedInstance>;
  readonly prober: Pick<Prober, 'findObservation' | 'clientOf'>;
  readonly controlWriter: Pick<LogWriter<ControlBody, ControlRejection>, 'write'>;
  /** Whether a steward reports the group as whole; used for other fabric domains, and for silent members. */
  readonly isReportedWhole: (group: Group) => boolean;
}

/** Plans the fabric domains whose planner lease this steward holds, and carries out the plans. */
export class GroupPlanner {
  private readonly _lastPlanMs = new Map<string, number>();
  private readonly _assignedAtMs = new Map<string, number>();
  private readonly _reconciler: EngineReconciler;
  private _loadMs = DEFAULT_LOAD_MS;
  private _cachedInstances: ReadonlyMap<string, PlannedInstance> = new Map();
  private _cachedUntilMs = -Infinity;
  private readonly _loop = new BackgroundLoop({
    runOnce: () => this._runIfReady(),
    intervalMs: () => TICK_MS,
  });

  constructor(private readonly _options: GroupPlannerOptions) {
    const { clock, counters, groups, configuration, prober, nextControlOffset } = _options;
    this._reconciler = new EngineReconciler({
      clock,
      counters,
      groups,
      configuration,
      prober,
      nextControlOffset,
      write: (body) => this._write(body),
      onLoaded: (group) => {
        this._recordLoadTime(group);
      },
    });
  }

  start(): void {
    this._loop.start();
  }

  stop(): Promise<void> {
    return this._loop.stop();
  }

  /** Moving average of the time that loading a group takes, in milliseconds. */
  get loadMs(): number {
    return this._loadMs;
  }

  /** Fabric domains whose planner lease this steward holds. */
  leasedDomains(): readonly string[] {
    return this._domains().filter((domain) => this._leaseOf(domain) !== undefined);
  }

  /** Instances to probe for planning: probe intervals in milliseconds by address. */
  probeIntervals(): ReadonlyMap<string, number> {
    const held = new Set(this.leasedDomains());
    const targets = new Map<string, number>();
    for (const instance of this._instances().values()) {
      if (held.has(instance.fabricDomain)) targets.set(instance.address, this._intervalFor(instance.address));
    }
    return targets;
  }

  /** Whether a member of a group in a leased fabric domain does not answer this steward. */
  hasSilentMembers(): boolean {
    const held = new Set(this.leasedDomains());
    return this._options
      .groups()
      .groups()
      .filter(({ fabricDomain, dissolvedAt }) => dissolvedAt === undefined && held.has(fabricDomain))
      .some(({ members }) =>
        members.some(({ address }) => this._options.prober.findObservation(address)?.silence !== undefined),
      );
  }

  private async _runIfReady(): Promise<void> {
    if (this._options.isControlStreamReady() && this._options.configuration()) await this._runTick();
  }

  private async _runTick(): Promise<void> {
    this._reconciler.trackOpenIntents();
    for (const domain of this._domains()) {
      await this._acquireLease(domain);
      if (this._leaseOf(domain) === undefined) continue;
      this._reconciler.reconcile(this._instancesOf(domain));
      if (this._isDue(this._lastPlanMs, domain, PLAN_INTERVAL_MS)) await this._plan(domain);
    }
  }

  /** Acquires the lease of a domain that rendezvous hashing assigns to this steward, superseding any holder. */
  private async _acquireLease(domain: string): Promise<void> {
    const { self, stewards, groups } = this._options;
    const [assignedSteward] = placeByRendezvous(`plan/${domain}`, stewards(), { count: 1 });
    if (assignedSteward !== self.id || this._leaseOf(domain) !== undefined) return;
    const basis = groups().findLease(domain)?.position ?? 0;
    const verdict = await this._write({ kind: 'lease', shard: domain, basis });
    if (verdict?.kind === 'accepted') this._options.stateLog.info('planner lease acquired', { domain });
  }

  private _leaseOf(domain: string): number | undefined {
    const lease = this._options.groups().findLease(domain);
    return lease?.holderId === toWriterId(this._options.writer) ? lease.position : undefined;
  }

  private async _plan(domain: string): Promise<void> {
    const configuration = this._options.configuration();
    if (!configuration) return;
    const steps = planFabricDomain({
      groups: this._options.groups(),
      configuration,
      instances: this._instances(),
      fabricDomain: domain,
      health: (group) => this._healthOf(group, domain),
      loadMs: this._loadMs,
    });
    await Promise.all(steps.map((step) => this._writeStep(step, domain)));
  }

  private async _writeStep(step: PlanStep, domain: string): Promise<void> {
    const lease = this._leaseOf(domain);
    if (lease === undefined) return;
    const body = toPlanBody(step, domain, lease);
    const verdict = await this._write(body, STEP_TIMEOUT_MS);
    if (verdict?.kind !== 'accepted') return;
    const reason = step.kind === 'dissolve' ? step.reason : 'planned';
    this._options.counters.add('monsoonreach_plan_steps_total', { step: step.kind, reason });
    this._options.stateLog.info(`group ${step.kind}`, { group: body.group, reason });
    if (step.kind === 'assign') this._assignedAtMs.set(body.group, this._options.clock.monotonic());
  }

  private _recordLoadTime(group: Group): void {
    const assignedAtMs = this._assignedAtMs.get(group.id);
    if (assignedAtMs === undefined || this._healthOf(group, group.fabricDomain).phase !== 'whole') return;
    this._assignedAtMs.delete(group.id);
    const tookMs = this._options.clock.monotonic() - assignedAtMs;
    this._loadMs += LOAD_TIME_SMOOTHING * (tookMs - this._loadMs);
  }

  private _healthOf(group: Group, domain: string): GroupHealth {
    if (group.fabricDomain !== domain) {
      const phase = this._options.isReportedWhole(group) ? 'whole' : 'unknown';
      return { phase, missing: [], restarted: [] };
    }
    const health = assessGroup(group, (address) => this._options.prober.findObservation(address));
    const isOnlySilent = health.missing.length > 0 && health.restarted.length === 0;
    // The group serves: only the path from here to a member is lost.
    if (isOnlySilent && this._options.isReportedWhole(group))
      return { phase: 'whole', missing: [], restarted: [] };
    return health;
  }

  /** Instances of the live list and of groups, with their last probes; collected at most once per tick interval. */
  private _instances(): ReadonlyMap<string, PlannedInstance> {
    const nowMs = this._options.clock.monotonic();
    if (nowMs >= this._cachedUntilMs) {
      this._cachedInstances = this._collectInstances();
      this._cachedUntilMs = nowMs + TICK_MS;
    }
    return this._cachedInstances;
  }

  private _collectInstances(): ReadonlyMap<string, PlannedInstance> {
    const instances = new Map<string, PlannedInstance>();
    for (const listed of this._options.listedInstances().values()) {
      if (listed.kind !== 'engine') continue;
      const observation = this._options.prober.findObservation(listed.address);
      instances.set(listed.address, {
        address: listed.address,
        failureDomain: listed.failureDomain,
        fabricDomain: listed.fabricDomain,
        accelerators: listed.accelerators,
        isLeaving: listed.state === 'leaving' || observation?.status?.leaving === true,
        isListed: true,
        isReachable: observation?.silence === undefined,
        isReleaseOutdated: this._isReleaseOutdated(listed.address),
      });
    }
    this._addUnlisted(instances);
    return instances;
  }

  /** Adds members that are no longer on the live list: they are still in their groups and have to be planned for. */
  private _addUnlisted(instances: Map<string, PlannedInstance>): void {
    for (const group of this._options.groups().groups()) {
      for (const { address } of group.members) {
        if (instances.has(address)) continue;
        const observation = this._options.prober.findObservation(address);
        instances.set(address, {
          address,
          failureDomain: '',
          fabricDomain: group.fabricDomain,
          accelerators: 0,
          isLeaving: observation?.status?.leaving === true,
          isListed: false,
          isReachable: observation?.silence === undefined,
          isReleaseOutdated: this._isReleaseOutdated(address),
        });
      }
    }
  }

  private _isReleaseOutdated(address: string): boolean {
    const assignment = this._options.groups().findInstance(address);
    return isReleaseOutdated(assignment, this._options.prober.findObservation(address));
  }

  private _instancesOf(domain: string): readonly PlannedInstance[] {
    return [...this._instances().values()].filter(({ fabricDomain }) => fabricDomain === domain);
  }

  private _domains(): readonly string[] {
    return [...new Set([...this._instances().values()].map(({ fabricDomain }) => fabricDomain))].sort();
  }

  private _intervalFor(address: string): number {
    const assignment = this._options.groups().findInstance(address);
    const observation = this._options.prober.findObservation(address);
    const isSteady =
      observation?.silence === undefined &&
      ((assignment?.kind === 'member' && observation?.status?.phase === 'ready') ||
        (assignment?.kind === 'released' && !this._isReleaseOutdated(address)));
    return isSteady ? STEADY_PROBE_INTERVAL_MS : TRANSITION_PROBE_INTERVAL_MS;
  }

  private async _write(
    body: ControlBody,
    timeoutMs = WRITE_TIMEOUT_MS,
  ): Promise<Verdict<ControlRejection> | undefined> {
    try {
      const { verdict } = await this._options.controlWriter.write(body, { timeoutMs });
      const reason = verdict.kind === 'rejected' ? verdict.reason : 'none';
      const labels = { record: body.kind, verdict: verdict.kind, reason };
      this._options.counters.add('monsoonreach_control_records_total', labels);
      return verdict;
    } catch (error) {
      if (!(error instanceof AppendUnknownError) && !(error instanceof AppendNotSentError)) throw error;
      this._options.counters.add('monsoonreach_control_records_total', {
        record: body.kind,
        verdict: error.code,
      });
      return undefined;
    }
  }

  private _isDue(lastMs: Map<string, number>, key: string, intervalMs: number): boolean {
    const nowMs = this._options.clock.monotonic();
    if (nowMs - (lastMs.get(key) ?? -Infinity) < intervalMs) return false;
    lastMs.set(key, nowMs);
    return true;
  }
}

type PlanBody = Extract<ControlBody, { readonly kind: 'assign' | 'dissolve' }>;

function toPlanBody(step: PlanStep, domain: string, lease: number): PlanBody {
  switch (step.kind) {
    case 'assign': {
      const { model, version, members } = step;
      const group = `${model}-${uuidv7().slice(-12)}`;
      return { kind: 'assign', shard: domain, lease, group, model, version, fabricDomain: domain, members };
    }
    case 'dissolve': {
      const { group, reason } = step;
      return { kind: 'dissolve', shard: domain, lease, group: group.id, epoch: group.epoch, reason };
    }
  }
}
