import {
  type BrokenGroup,
  createRandom,
  decideRepairs,
  DEFAULT_RECOVERY_MODES,
  type Random,
  type RepairPolicy,
  type RepairWeights,
  type RecoveryKind,
  type RecoveryMode,
} from '@monsoonreach/core';
import type { ResultRow, Scenario } from './scenario.js';
import { sampleExponential } from './simulation.js';

const STEP_MS = 1_000;
const ACCELERATORS_PER_INSTANCE = 8;
const DAY_MS = 86_400_000;

/** Size of a fabric domain and the outages it is exposed to. */
interface DomainSetup {
  readonly groups: number;
  readonly instancesPerGroup: number;
  readonly spares: number;
  /** Mean time from the end of one outage of an instance to its next, in milliseconds. */
  readonly meanTimeBetweenOutagesMs: number;
  readonly loadMs: number;
  readonly days: number;
  readonly returns: readonly RecoveryMode[];
}

const DEFAULT_SETUP: DomainSetup = {
  groups: 12,
  instancesPerGroup: 4,
  spares: 1,
  meanTimeBetweenOutagesMs: 2 * DAY_MS,
  loadMs: 90_000,
  days: 20,
  returns: DEFAULT_RECOVERY_MODES,
};

/** Large groups, no spares, slow loads, and outages that mostly end after minutes without a restart. */
const TIGHT_SETUP: DomainSetup = {
  groups: 6,
  instancesPerGroup: 8,
  spares: 0,
  meanTimeBetweenOutagesMs: DAY_MS / 4,
  loadMs: 600_000,
  days: 3,
  returns: [
    { kind: 'blip', share: 0.7, meanMs: 600_000 },
    { kind: 'restart', share: 0.1, meanMs: 300_000 },
    { kind: 'replacement', share: 0.2, meanMs: 3_600_000 },
  ],
};

interface Outage {
  readonly atMs: number;
  readonly instance: number;
  readonly kind: RecoveryKind;
  readonly durationMs: number;
}

interface InstanceState {
  downUntilMs: number;
  downSinceMs: number;
  kind: RecoveryKind;
  group: number | undefined;
}

interface GroupState {
  members: number[];
  /** Time at which its model is loaded; undefined while the group is not formed. */
  readyAtMs: number | undefined;
  hasRestarted: boolean;
}

/** Generates the outages; the same seed gives every policy and weight the same ones. */
function generateOutages(setup: DomainSetup, random: Random): readonly Outage[] {
  const count = setup.groups * setup.instancesPerGroup + setup.spares;
  const outages: Outage[] = [];
  for (let instance = 0; instance < count; instance++) {
    let atMs = sampleExponential(setup.meanTimeBetweenOutagesMs, random);
    while (atMs < setup.days * DAY_MS) {
      const { kind, meanMs } = pickReturnMode(setup.returns, random);
      const durationMs = sampleExponential(meanMs, random);
      outages.push({ atMs, instance, kind, durationMs });
      atMs += durationMs + sampleExponential(setup.meanTimeBetweenOutagesMs, random);
    }
  }
  return outages.sort((a, b) => a.atMs - b.atMs);
}

function pickReturnMode(returns: readonly RecoveryMode[], random: Random): RecoveryMode {
  let remainingShare = random.next();
  for (const mode of returns) {
    remainingShare -= mode.share;
    if (remainingShare <= 0) return mode;
  }
  return returns[returns.length - 1] ?? { kind: 'blip', share: 1, meanMs: 1_000 };
}

interface Totals {
  downtimeS: number;
  strandedS: number;
  repairs: number;
}

/** Simulates one fabric domain under one policy in steps of `STEP_MS`. */
class FabricDomainSimulation {
  readonly totals: Totals = { downtimeS: 0, strandedS: 0, repairs: 0 };
  private readonly _instances: InstanceState[];
  private readonly _groups: GroupState[];

  constructor(
    private readonly _setup: DomainSetup,
    private readonly _policy: RepairPolicy,
    private readonly _weights: RepairWeights,
  ) {
    const { groups, instancesPerGroup, spares } = _setup;
    this._groups = Array.from({ length: groups }, (_, group) => ({
      members: Array.from({ length: instancesPerGroup }, (_, index) => group * instancesPerGroup + index),
      readyAtMs: 0,
      hasRestarted: false,
    }));
    this._instances = Array.from({ length: groups * instancesPerGroup + spares }, (_, index) => {
      const group = Math.floor(index / instancesPerGroup);
      return {
        downUntilMs: 0,
        downSinceMs: 0,
        kind: 'blip' as const,
        group: group < groups ? group : undefined,
      };
    });
  }

  applyOutage(outage: Outage): void {
    const instance = this._instances[outage.instance];
    if (!instance) return;
    instance.downSinceMs = outage.atMs;
    instance.downUntilMs = outage.atMs + outage.durationMs;
    instance.kind = outage.kind;
    const group = instance.group === undefined ? undefined : this._groups[instance.group];
    if (group && outage.kind !== 'blip') group.hasRestarted = true;
  }

  /** Whether an instance is down or a group is not serving; otherwise a step would only count idle spares. */
  isDegraded(nowMs: number): boolean {
    const hasDownInstance = this._instances.some(({ downUntilMs }) => downUntilMs > nowMs);
    const hasUnreadyGroup = this._groups.some(
      ({ readyAtMs, hasRestarted }) => readyAtMs === undefined || readyAtMs > nowMs || hasRestarted,
    );
    return hasDownInstance || hasUnreadyGroup;
  }

  step(nowMs: number): void {
    this._repairGroups(nowMs);
    this._formGroups(nowMs);
    this._addTotals(nowMs);
  }

  private _isDown(index: number, nowMs: number): boolean {
    return (this._instances[index]?.downUntilMs ?? 0) > nowMs;
  }

  private _repairGroups(nowMs: number): void {
    const broken = this._groups.flatMap((group, id) => this._describeBrokenGroup(group, id, nowMs));
    if (broken.length === 0) return;
    const { instancesPerGroup } = this._setup;
    const decisions = decideRepairs(
      {
        broken,
        spares: this._listFreeInstances(nowMs).length,
        instancesPerGroup,
        loadMs: this._setup.loadMs,
        recoveryModes: this._setup.returns,
        graceMs: 3_000,
        weights: this._weights,
      },
      this._policy,
    );
    for (const decision of decisions) {
      if (decision.kind !== 'wait') this._dissolve(Number(decision.group));
    }
  }

  private _describeBrokenGroup(group: GroupState, id: number, nowMs: number): readonly BrokenGroup[] {
    if (group.readyAtMs === undefined) return [];
    const missing = group.members.filter((index) => this._isDown(index, nowMs));
    const hasRestartedMember = group.hasRestarted && missing.length === 0;
    if (missing.length === 0 && !hasRestartedMember) return [];
    return [
      {
        id: String(id),
        missingForMs: missing.map((index) => nowMs - (this._instances[index]?.downSinceMs ?? nowMs)),
        hasRestartedMember,
        survivors: group.members.length - missing.length,
        acceleratorsPerInstance: ACCELERATORS_PER_INSTANCE,
      },
    ];
  }

  private _dissolve(id: number): void {
    const group = this._groups[id];
    if (!group) return;
    for (const index of group.members) {
      const instance = this._instances[index];
      if (instance) instance.group = undefined;
    }
    this._groups[id] = { members: [], readyAtMs: undefined, hasRestarted: false };
    this.totals.repairs++;
  }

  private _listFreeInstances(nowMs: number): readonly number[] {
    return [...this._instances.keys()].filter(
      (index) => this._instances[index]?.group === undefined && !this._isDown(index, nowMs),
    );
  }

  private _formGroups(nowMs: number): void {
    for (const [id, group] of this._groups.entries()) {
      if (group.readyAtMs !== undefined) continue;
      const free = this._listFreeInstances(nowMs);
      if (free.length < this._setup.instancesPerGroup) return;
      const members = free.slice(0, this._setup.instancesPerGroup);
      for (const index of members) {
        const instance = this._instances[index];
        if (instance) instance.group = id;
      }
      this._groups[id] = { members, readyAtMs: nowMs + this._setup.loadMs, hasRestarted: false };
    }
  }

  private _addTotals(nowMs: number): void {
    const seconds = STEP_MS / 1_000;
    for (const { members, readyAtMs, hasRestarted } of this._groups) {
      const hasDownMember = members.some((index) => this._isDown(index, nowMs));
      const isServing = readyAtMs !== undefined && readyAtMs <= nowMs && !hasDownMember && !hasRestarted;
      if (isServing) continue;
      this.totals.downtimeS += seconds;
      const reachable = members.filter((index) => !this._isDown(index, nowMs)).length;
      this.totals.strandedS += reachable * ACCELERATORS_PER_INSTANCE * seconds;
    }
    this.totals.strandedS += this._listFreeInstances(nowMs).length * ACCELERATORS_PER_INSTANCE * seconds;
  }
}

function runPolicy(
  variant: string,
  setup: DomainSetup,
  policy: RepairPolicy,
  weights: RepairWeights,
  seed: number,
): ResultRow {
  const outages = generateOutages(setup, createRandom(seed));
  const domain = new FabricDomainSimulation(setup, policy, weights);
  let nextOutage = 0;
  for (let nowMs = 0; nowMs < setup.days * DAY_MS; nowMs += STEP_MS) {
    for (let outage = outages[nextOutage]; outage && outage.atMs <= nowMs; outage = outages[++nextOutage])
      domain.applyOutage(outage);
    if (domain.isDegraded(nowMs)) domain.step(nowMs);
    else domain.totals.strandedS += setup.spares * ACCELERATORS_PER_INSTANCE * (STEP_MS / 1_000);
  }
  const { downtimeS, strandedS, repairs } = domain.totals;
  const cost = weights.downtime * downtimeS + weights.stranded * strandedS;
  return {
    variant,
    figures: {
      'group downtime s': Math.round(downtimeS),
      'stranded accelerator-s': Math.round(strandedS),
      repairs,
      'weighted cost': Math.round(cost),
    },
  };
}

/** Repair weights of each user: the cost of a group-second of downtime and of a stranded accelerator-second. */
export const SKORSTENSLAUG_WEIGHTS: RepairWeights = { downtime: 100, stranded: 0.1 };
export const KETTLEHAVEN_WEIGHTS: RepairWeights = { downtime: 1, stranded: 1 };

/** Compares the policies on the same outages, with the weights of both users. */
export const repairScenario: Scenario = {
  name: 'repair',
  question: `${DEFAULT_SETUP.groups} groups of ${DEFAULT_SETUP.instancesPerGroup} in one fabric domain, ${DEFAULT_SETUP.spares} spare, one outage per instance every 2 days, ${DEFAULT_SETUP.days} days`,
  run: (seed) =>
    [
      { user: 'skorstenslaug', weights: SKORSTENSLAUG_WEIGHTS },
      { user: 'kettlehaven', weights: KETTLEHAVEN_WEIGHTS },
    ].flatMap(({ user, weights }) =>
      (['always-wait', 'always-substitute', 'weighed'] as const).map((policy) =>
        runPolicy(`${user}: ${policy}`, DEFAULT_SETUP, policy, weights, seed),
      ),
    ),
};

/** Trade-off of downtime against stranded accelerators: a range of weights on the same outages, no spares. */
export const repairWeightsScenario: Scenario = {
  name: 'repair-weights',
  question: `${TIGHT_SETUP.groups} groups of ${TIGHT_SETUP.instancesPerGroup}, no spare, loads of 10 min, outages that mostly end after 10 min without a restart; downtime weight 1`,
  run: (seed) => [
    ...[0, 0.01, 0.03, 0.1, 1, 10].map((stranded) =>
      runPolicy(`stranded-weight ${stranded}`, TIGHT_SETUP, 'weighed', { downtime: 1, stranded }, seed),
    ),
    ...(['always-wait', 'always-substitute'] as const).map((policy) =>
      runPolicy(policy, TIGHT_SETUP, policy, KETTLEHAVEN_WEIGHTS, seed),
    ),
  ],
};
