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
  type StateLog,
  toWriterId,
  type Verdict,
  type Writer,
} from '@monsoonreach/core';
import type { ListedInstance, LogWriter } from '@monsoonreach/log';
import { v7 as uuidv7 } from 'uuid';
import { EngineOrders } from './engineOrders.js';
import type { Observation, Prober } from './prober.js';

const TICK_MS = 250;
const PLAN_INTERVAL_MS = 500;
const WRITE_TIMEOUT_MS = 5_000;
/** Interval of the probes of instances that are well or that wait, in milliseconds. */
const STEADY_INTERVAL_MS = 4_000;
/** Interval of the probes of instances in change, in milliseconds. */
const CHANGING_INTERVAL_MS = 500;
const DEFAULT_LOAD_MS = 10_000;
const LOAD_SMOOTHING = 0.3;

/** What planning is made of. */
export interface PlanningOptions {
  readonly clock: Clock;
  readonly counters: Counters;
  readonly stateLog: StateLog;
  readonly writer: Writer;
  readonly self: Candidate;
  readonly stewards: () => readonly Candidate[];
  readonly groups: () => Groups;
  readonly isControlRead: () => boolean;
  /** The next offset of the control stream; a position made of it is above all that were read. */
  readonly controlNext: () => number;
  readonly configuration: () => Configuration | undefined;
  readonly listed: () => ReadonlyMap<string, ListedInstance>;
  readonly prober: Prober;
  readonly log: LogWriter<ControlBody, ControlRejection>;
  /** Groups that some watcher sees whole, for those in other fabric domains. */
  readonly isSeenWhole: (group: Group) => boolean;
}

/** Plans the fabric domains whose lease this steward holds, and carries the plans out. */
export class Planning {
  private readonly _lastPlanMs = new Map<string, number>();
  private readonly _assignedAtMs = new Map<string, number>();
  private readonly _orders: EngineOrders;
  private _loadMs = DEFAULT_LOAD_MS;
  private _known: ReadonlyMap<string, PlannedInstance> = new Map();
  private _knownUntilMs = -Infinity;
  private readonly _loop = new BackgroundLoop({
    turn: () => this._turn(),
    intervalMs: () => TICK_MS,
  });

  constructor(private readonly _options: PlanningOptions) {
    const { clock, counters, groups, configuration, prober, controlNext } = _options;
    this._orders = new EngineOrders({
      clock,
      counters,
      groups,
      configuration,
      prober,
      controlNext,
      write: (body) => this._write(body),
      onLoaded: (group) => {
        this._noteLoaded(group);
      },
    });
  }

  start(): void {
    this._loop.start();
  }

  stop(): Promise<void> {
    return this._loop.stop();
  }

  /** How long loading a group takes as measured so far, in milliseconds. */
  get loadMs(): number {
    return this._loadMs;
  }

  /** Fabric domains whose lease this steward holds. */
  heldDomains(): readonly string[] {
    return this._domains().filter((domain) => this._leaseOf(domain) !== undefined);
  }

  /** Instances to probe for planning and how often. */
  targets(): ReadonlyMap<string, number> {
    const held = new Set(this.heldDomains());
    const targets = new Map<string, number>();
    for (const instance of this._instances().values()) {
      if (held.has(instance.fabricDomain)) targets.set(instance.address, this._intervalFor(instance.address));
    }
    return targets;
  }

  private async _turn(): Promise<void> {
    if (this._options.isControlRead() && this._options.configuration()) await this._tick();
  }

  private async _tick(): Promise<void> {
    this._orders.noteIntents();
    for (const domain of this._domains()) {
      await this._keepLease(domain);
      if (this._leaseOf(domain) === undefined) continue;
      this._orders.carryOut(this._instancesOf(domain));
      if (this._isDue(this._lastPlanMs, domain, PLAN_INTERVAL_MS)) await this._plan(domain);
    }
  }

  /** Takes the lease of a domain that is this steward's by rendezvous; any holder it had is superseded. */
  private async _keepLease(domain: string): Promise<void> {
    const { self, stewards, groups } = this._options;
    const [wanted] = placeByRendezvous(`plan/${domain}`, stewards(), { count: 1 });
    if (wanted !== self.id || this._leaseOf(domain) !== undefined) return;
    const basis = groups().findLease(domain)?.position ?? 0;
    const verdict = await this._write({ kind: 'lease', shard: domain, basis });
    if (verdict?.kind === 'accepted') this._options.stateLog.info('planner lease taken', { domain });
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
    for (const step of steps) await this._writeStep(step, domain);
  }

  private async _writeStep(step: PlanStep, domain: string): Promise<void> {
    const lease = this._leaseOf(domain);
    if (lease === undefined) return;
    const body = toPlanBody(step, domain, lease);
    const verdict = await this._write(body);
    if (verdict?.kind !== 'accepted') return;
    const reason = step.kind === 'dissolve' ? step.reason : 'planned';
    this._options.counters.add('monsoonreach_plan_steps_total', { step: step.kind, reason });
    this._options.stateLog.info(`group ${step.kind}`, { group: body.group, reason });
    if (step.kind === 'assign') this._assignedAtMs.set(body.group, this._options.clock.monotonic());
  }

  private _noteLoaded(group: Group): void {
    const assignedAtMs = this._assignedAtMs.get(group.id);
    if (assignedAtMs === undefined || this._healthOf(group, group.fabricDomain).phase !== 'whole') return;
    this._assignedAtMs.delete(group.id);
    const tookMs = this._options.clock.monotonic() - assignedAtMs;
    this._loadMs += LOAD_SMOOTHING * (tookMs - this._loadMs);
  }

  private _healthOf(group: Group, domain: string): GroupHealth {
    if (group.fabricDomain !== domain) {
      const phase = this._options.isSeenWhole(group) ? 'whole' : 'unknown';
      return { phase, missing: [], restarted: [] };
    }
    const nowMs = this._options.clock.monotonic();
    const members = group.members.map(({ address, boot }) => ({
      address,
      boot,
      observation: this._options.prober.observe(address),
    }));
    const missing = members.flatMap(({ address, observation }) =>
      observation?.darkSinceMs === undefined ? [] : [{ address, darkForMs: nowMs - observation.darkSinceMs }],
    );
    const answering = members.filter(({ observation }) => observation?.darkSinceMs === undefined);
    const restarted = answering
      .filter(({ boot, observation }) => isElsewhere(group, boot, observation))
      .map(({ address }) => address);
    const isRight = ({ observation }: (typeof members)[number]) =>
      observation?.status?.phase === 'ready' && observation.status.group === group.id;
    const phase =
      missing.length + restarted.length > 0 ? 'broken' : members.every(isRight) ? 'whole' : 'loading';
    return { phase, missing, restarted };
  }

  /** Instances as listed and as read back; worked out once for each tick. */
  private _instances(): ReadonlyMap<string, PlannedInstance> {
    const nowMs = this._options.clock.monotonic();
    if (nowMs >= this._knownUntilMs) {
      this._known = this._collectInstances();
      this._knownUntilMs = nowMs + TICK_MS;
    }
    return this._known;
  }

  private _collectInstances(): ReadonlyMap<string, PlannedInstance> {
    const instances = new Map<string, PlannedInstance>();
    for (const listed of this._options.listed().values()) {
      if (listed.kind !== 'engine') continue;
      const observation = this._options.prober.observe(listed.address);
      instances.set(listed.address, {
        address: listed.address,
        failureDomain: listed.failureDomain,
        fabricDomain: listed.fabricDomain,
        accelerators: listed.accelerators,
        isLeaving: listed.state === 'leaving' || observation?.status?.leaving === true,
        isReachable: observation?.darkSinceMs === undefined,
      });
    }
    this._addUnlisted(instances);
    return instances;
  }

  /** Members that fell off the list are still in their groups and have to be dealt with. */
  private _addUnlisted(instances: Map<string, PlannedInstance>): void {
    for (const group of this._options.groups().groups()) {
      for (const { address } of group.members) {
        if (instances.has(address)) continue;
        const isReachable = this._options.prober.observe(address)?.darkSinceMs === undefined;
        const { fabricDomain } = group;
        const place = { failureDomain: '', fabricDomain, accelerators: 0 };
        instances.set(address, { address, ...place, isLeaving: false, isReachable });
      }
    }
  }

  private _instancesOf(domain: string): readonly PlannedInstance[] {
    return [...this._instances().values()].filter(({ fabricDomain }) => fabricDomain === domain);
  }

  private _domains(): readonly string[] {
    return [...new Set([...this._instances().values()].map(({ fabricDomain }) => fabricDomain))].sort();
  }

  private _intervalFor(address: string): number {
    const standing = this._options.groups().findInstance(address);
    const observation = this._options.prober.observe(address);
    const isSteady =
      observation?.darkSinceMs === undefined &&
      ((standing?.kind === 'member' && observation?.status?.phase === 'ready') ||
        standing?.kind === 'released');
    return isSteady ? STEADY_INTERVAL_MS : CHANGING_INTERVAL_MS;
  }

  private async _write(body: ControlBody): Promise<Verdict<ControlRejection> | undefined> {
    try {
      const { verdict } = await this._options.log.write(body, { timeoutMs: WRITE_TIMEOUT_MS });
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

/** Whether a member runs under another boot id, or for another group than the log has it in. */
function isElsewhere(group: Group, boot: string, observation: Observation | undefined): boolean {
  const status = observation?.status;
  if (!status) return false;
  if (status.boot !== boot) return true;
  return status.group !== null && (status.group !== group.id || status.epoch !== group.epoch);
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
