import {
  type BrokenGroup,
  createRandom,
  decideRepairs,
  DEFAULT_RETURNS,
  type Random,
  type RepairPolicy,
  type RepairWeights,
  type ReturnKind,
  type ReturnMode,
} from '@monsoonreach/core';
import type { Row, Scenario } from './scenario.js';
import { exponential } from './simulation.js';

const STEP_MS = 1_000;
const ACCELERATORS = 8;
const DAY_MS = 86_400_000;

/** One deployment's fabric domain as the failures find it. */
interface Site {
  readonly groups: number;
  readonly instancesPerGroup: number;
  readonly spares: number;
  /** Mean time between losses of one instance, in milliseconds. */
  readonly lossEveryMs: number;
  readonly loadMs: number;
  readonly days: number;
  readonly returns: readonly ReturnMode[];
}

const SITE: Site = {
  groups: 12,
  instancesPerGroup: 4,
  spares: 1,
  lossEveryMs: 2 * DAY_MS,
  loadMs: 90_000,
  days: 20,
  returns: DEFAULT_RETURNS,
};

/** Large groups, no spare, slow loads, and losses that mostly come back unchanged after minutes. */
const TIGHT_SITE: Site = {
  groups: 6,
  instancesPerGroup: 8,
  spares: 0,
  lossEveryMs: DAY_MS / 4,
  loadMs: 600_000,
  days: 3,
  returns: [
    { kind: 'blip', share: 0.7, meanMs: 600_000 },
    { kind: 'restart', share: 0.1, meanMs: 300_000 },
    { kind: 'replacement', share: 0.2, meanMs: 3_600_000 },
  ],
};

interface Loss {
  readonly atMs: number;
  readonly instance: number;
  readonly kind: ReturnKind;
  readonly backAfterMs: number;
}

interface Instance {
  darkUntilMs: number;
  darkSinceMs: number;
  kind: ReturnKind;
  group: number | undefined;
}

interface SiteGroup {
  members: number[];
  /** Time at which its load is done; undefined while it is not formed. */
  readyAtMs: number | undefined;
  hasRestarted: boolean;
}

/** The same losses for every policy and weight. */
function drawLosses(site: Site, random: Random): readonly Loss[] {
  const count = site.groups * site.instancesPerGroup + site.spares;
  const losses: Loss[] = [];
  for (let instance = 0; instance < count; instance++) {
    let atMs = exponential(site.lossEveryMs, random);
    while (atMs < site.days * DAY_MS) {
      const { kind, meanMs } = drawMode(site.returns, random);
      const backAfterMs = exponential(meanMs, random);
      losses.push({ atMs, instance, kind, backAfterMs });
      atMs += backAfterMs + exponential(site.lossEveryMs, random);
    }
  }
  return losses.sort((a, b) => a.atMs - b.atMs);
}

function drawMode(returns: readonly ReturnMode[], random: Random): ReturnMode {
  let rest = random.next();
  for (const mode of returns) {
    rest -= mode.share;
    if (rest <= 0) return mode;
  }
  return returns[returns.length - 1] ?? { kind: 'blip', share: 1, meanMs: 1_000 };
}

interface Measures {
  downtimeS: number;
  strandedS: number;
  repairs: number;
}

/** Steps one fabric domain through the losses under one policy. */
class FabricDomain {
  readonly measures: Measures = { downtimeS: 0, strandedS: 0, repairs: 0 };
  private readonly _instances: Instance[];
  private readonly _groups: SiteGroup[];

  constructor(
    private readonly _site: Site,
    private readonly _policy: RepairPolicy,
    private readonly _weights: RepairWeights,
  ) {
    const { groups, instancesPerGroup, spares } = _site;
    this._groups = Array.from({ length: groups }, (_, group) => ({
      members: Array.from({ length: instancesPerGroup }, (_, index) => group * instancesPerGroup + index),
      readyAtMs: 0,
      hasRestarted: false,
    }));
    this._instances = Array.from({ length: groups * instancesPerGroup + spares }, (_, index) => {
      const group = Math.floor(index / instancesPerGroup);
      return {
        darkUntilMs: 0,
        darkSinceMs: 0,
        kind: 'blip' as const,
        group: group < groups ? group : undefined,
      };
    });
  }

  lose(loss: Loss): void {
    const instance = this._instances[loss.instance];
    if (!instance) return;
    instance.darkSinceMs = loss.atMs;
    instance.darkUntilMs = loss.atMs + loss.backAfterMs;
    instance.kind = loss.kind;
    const group = instance.group === undefined ? undefined : this._groups[instance.group];
    if (group && loss.kind !== 'blip') group.hasRestarted = true;
  }

  /** Whether anything is amiss, so that the step has to be taken. */
  isDisturbed(nowMs: number): boolean {
    const isDark = this._instances.some(({ darkUntilMs }) => darkUntilMs > nowMs);
    const isForming = this._groups.some(
      ({ readyAtMs, hasRestarted }) => readyAtMs === undefined || readyAtMs > nowMs || hasRestarted,
    );
    return isDark || isForming;
  }

  step(nowMs: number): void {
    this._repair(nowMs);
    this._form(nowMs);
    this._measure(nowMs);
  }

  private _isDark(index: number, nowMs: number): boolean {
    return (this._instances[index]?.darkUntilMs ?? 0) > nowMs;
  }

  private _repair(nowMs: number): void {
    const broken = this._groups.flatMap((group, id) => this._toBroken(group, id, nowMs));
    if (broken.length === 0) return;
    const { instancesPerGroup } = this._site;
    const decisions = decideRepairs(
      {
        broken,
        spares: this._free(nowMs).length,
        instancesPerGroup,
        loadMs: this._site.loadMs,
        returns: this._site.returns,
        graceMs: 3_000,
        weights: this._weights,
      },
      this._policy,
    );
    for (const decision of decisions) {
      if (decision.kind !== 'wait') this._dissolve(Number(decision.group));
    }
  }

  private _toBroken(group: SiteGroup, id: number, nowMs: number): readonly BrokenGroup[] {
    if (group.readyAtMs === undefined) return [];
    const missing = group.members.filter((index) => this._isDark(index, nowMs));
    const hasRestartedMember = group.hasRestarted && missing.length === 0;
    if (missing.length === 0 && !hasRestartedMember) return [];
    return [
      {
        id: String(id),
        missingForMs: missing.map((index) => nowMs - (this._instances[index]?.darkSinceMs ?? nowMs)),
        hasRestartedMember,
        survivors: group.members.length - missing.length,
        acceleratorsPerInstance: ACCELERATORS,
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
    this.measures.repairs++;
  }

  private _free(nowMs: number): readonly number[] {
    return [...this._instances.keys()].filter(
      (index) => this._instances[index]?.group === undefined && !this._isDark(index, nowMs),
    );
  }

  private _form(nowMs: number): void {
    for (const [id, group] of this._groups.entries()) {
      if (group.readyAtMs !== undefined) continue;
      const free = this._free(nowMs);
      if (free.length < this._site.instancesPerGroup) return;
      const members = free.slice(0, this._site.instancesPerGroup);
      for (const index of members) {
        const instance = this._instances[index];
        if (instance) instance.group = id;
      }
      this._groups[id] = { members, readyAtMs: nowMs + this._site.loadMs, hasRestarted: false };
    }
  }

  private _measure(nowMs: number): void {
    const seconds = STEP_MS / 1_000;
    for (const { members, readyAtMs, hasRestarted } of this._groups) {
      const hasDark = members.some((index) => this._isDark(index, nowMs));
      const isServing = readyAtMs !== undefined && readyAtMs <= nowMs && !hasDark && !hasRestarted;
      if (isServing) continue;
      this.measures.downtimeS += seconds;
      const there = members.filter((index) => !this._isDark(index, nowMs)).length;
      this.measures.strandedS += there * ACCELERATORS * seconds;
    }
    this.measures.strandedS += this._free(nowMs).length * ACCELERATORS * seconds;
  }
}

function runPolicy(
  variant: string,
  site: Site,
  policy: RepairPolicy,
  weights: RepairWeights,
  seed: number,
): Row {
  const losses = drawLosses(site, createRandom(seed));
  const domain = new FabricDomain(site, policy, weights);
  let next = 0;
  for (let nowMs = 0; nowMs < site.days * DAY_MS; nowMs += STEP_MS) {
    for (let loss = losses[next]; loss && loss.atMs <= nowMs; loss = losses[++next]) domain.lose(loss);
    if (domain.isDisturbed(nowMs)) domain.step(nowMs);
    else domain.measures.strandedS += site.spares * ACCELERATORS * (STEP_MS / 1_000);
  }
  const { downtimeS, strandedS, repairs } = domain.measures;
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

/** What each user weighs: one group's second against one accelerator-second. */
export const SKORSTENSLAUG: RepairWeights = { downtime: 100, stranded: 0.1 };
export const KETTLEHAVEN: RepairWeights = { downtime: 1, stranded: 1 };

/** Each policy on the same losses, for both users' weights. */
export const repair: Scenario = {
  name: 'repair',
  question: `${SITE.groups} groups of ${SITE.instancesPerGroup} in one fabric domain, ${SITE.spares} spare, a loss an instance every 2 days, ${SITE.days} days`,
  run: (seed) =>
    [
      { user: 'skorstenslaug', weights: SKORSTENSLAUG },
      { user: 'kettlehaven', weights: KETTLEHAVEN },
    ].flatMap(({ user, weights }) =>
      (['always-wait', 'always-substitute', 'weighed'] as const).map((policy) =>
        runPolicy(`${user}: ${policy}`, SITE, policy, weights, seed),
      ),
    ),
};

/** The trade: the same losses under weights from one extreme to the other, where spares are short. */
export const repairWeights: Scenario = {
  name: 'repair-weights',
  question: `${TIGHT_SITE.groups} groups of ${TIGHT_SITE.instancesPerGroup}, no spare, loads of 10 min, losses mostly back unchanged after 10 min; downtime price 1`,
  run: (seed) => [
    ...[0, 0.01, 0.03, 0.1, 1, 10].map((stranded) =>
      runPolicy(`stranded-weight ${stranded}`, TIGHT_SITE, 'weighed', { downtime: 1, stranded }, seed),
    ),
    ...(['always-wait', 'always-substitute'] as const).map((policy) =>
      runPolicy(policy, TIGHT_SITE, policy, KETTLEHAVEN, seed),
    ),
  ],
};
