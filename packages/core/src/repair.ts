/** How a missing instance recovers: unchanged, restarted (it must load again) or replaced. */
export type RecoveryKind = 'blip' | 'restart' | 'replacement';

/** A kind of recovery with its share of all losses and its mean time. */
export interface RecoveryMode {
  readonly kind: RecoveryKind;
  readonly share: number;
  readonly meanMs: number;
}

/** Recovery modes to assume when no better data is available. */
export const DEFAULT_RECOVERY_MODES: readonly RecoveryMode[] = [
  { kind: 'blip', share: 0.5, meanMs: 2_000 },
  { kind: 'restart', share: 0.3, meanMs: 30_000 },
  { kind: 'replacement', share: 0.2, meanMs: 1_800_000 },
];

/** Weights of the repair costs, set by operators. */
export interface RepairWeights {
  /** Cost of one second of one group's downtime. */
  readonly downtime: number;
  /** Cost of one accelerator-second without a working group. */
  readonly stranded: number;
}

/** A group with missing or restarted members. */
export interface BrokenGroup {
  readonly id: string;
  /** How long each missing member has been unreachable, in milliseconds. */
  readonly missingForMs: readonly number[];
  /** True when a member has restarted: waiting cannot make the group whole again. */
  readonly hasRestartedMember: boolean;
  readonly survivors: number;
  readonly acceleratorsPerInstance: number;
}

/** Broken groups of one model in one fabric domain, and what is available to repair them. */
export interface RepairSituation {
  readonly broken: readonly BrokenGroup[];
  /** Released instances that are reachable and not reserved. */
  readonly spares: number;
  readonly instancesPerGroup: number;
  /** Time from the assignment of a new group until it serves, in milliseconds. */
  readonly loadMs: number;
  readonly graceMs: number;
  readonly weights: RepairWeights;
  readonly recoveryModes?: readonly RecoveryMode[];
}

/** Decision on one broken group. */
export type RepairDecision =
  | { readonly kind: 'wait'; readonly group: string; readonly reason: 'grace' | 'likely-back' | 'cheaper' }
  | { readonly kind: 'substitute'; readonly group: string }
  | { readonly kind: 'regroup'; readonly group: string }
  | { readonly kind: 'dissolve'; readonly group: string };

/** Repair policy; all but `weighed` are baselines for benchmarks. */
export type RepairPolicy = 'weighed' | 'always-wait' | 'always-substitute';

/** Decides on every broken group of one fabric domain and one model. */
export function decideRepairs(
  situation: RepairSituation,
  policy: RepairPolicy = 'weighed',
): readonly RepairDecision[] {
  switch (policy) {
    case 'always-wait':
      return situation.broken.map((group) => decideWaiting(group));
    case 'always-substitute':
      return decideBySpares(situation, () => false);
    case 'weighed':
      return decideByCost(situation);
  }
}

/** Recovery modes with their probabilities, given how long the instance has been unreachable. */
export function estimateRecoveryModes(
  missingMs: number,
  returns: readonly RecoveryMode[],
): readonly RecoveryMode[] {
  const likelihoods = returns.map(({ share, meanMs }) => share * Math.exp(-missingMs / meanMs));
  const total = likelihoods.reduce((sum, likelihood) => sum + likelihood, 0);
  const last = returns.length - 1;
  return returns.map((mode, index) => {
    const share = total > 0 ? (likelihoods[index] ?? 0) / total : index === last ? 1 : 0;
    return { ...mode, share };
  });
}

/** Expected time until a group is whole again if nothing is done, in milliseconds. */
export function expectedWaitMs(
  group: BrokenGroup,
  loadMs: number,
  returns: readonly RecoveryMode[] = DEFAULT_RECOVERY_MODES,
): number {
  if (group.hasRestartedMember) return Infinity;
  const waits = group.missingForMs.map((missingMs) =>
    estimateRecoveryModes(missingMs, returns).reduce(
      (sum, { kind, share, meanMs }) => sum + share * (meanMs + (kind === 'blip' ? 0 : loadMs)),
      0,
    ),
  );
  return Math.max(0, ...waits);
}

function decideWaiting(group: BrokenGroup): RepairDecision {
  if (group.hasRestartedMember) return { kind: 'substitute', group: group.id };
  return { kind: 'wait', group: group.id, reason: 'cheaper' };
}

function decideByCost(situation: RepairSituation): readonly RepairDecision[] {
  const bySpares = decideBySpares(situation, (group) => isLikelyBack(group, situation));
  const unsubstituted = situation.broken.filter(({ id }) =>
    bySpares.some(
      (decision) => decision.group === id && decision.kind === 'wait' && decision.reason === 'cheaper',
    ),
  );
  const regrouped = chooseRegrouping(unsubstituted, situation);
  return bySpares.map((decision) => regrouped.get(decision.group) ?? decision);
}

/** Substitutes while there are spares, groups with the fewest missing members first; the others wait. */
function decideBySpares(
  situation: RepairSituation,
  isWorthWaiting: (group: BrokenGroup) => boolean,
): readonly RepairDecision[] {
  let spares = situation.spares;
  const byMissing = [...situation.broken].sort(
    (a, b) => countMissing(a, situation) - countMissing(b, situation),
  );
  return byMissing.map((group): RepairDecision => {
    if (isInGrace(group, situation)) return { kind: 'wait', group: group.id, reason: 'grace' };
    if (isWorthWaiting(group)) return { kind: 'wait', group: group.id, reason: 'likely-back' };
    if (group.hasRestartedMember && group.missingForMs.length === 0)
      return { kind: 'regroup', group: group.id };
    const needed = countMissing(group, situation);
    if (needed > spares) return { kind: 'wait', group: group.id, reason: 'cheaper' };
    spares -= needed;
    return { kind: 'substitute', group: group.id };
  });
}

function countMissing(group: BrokenGroup, { instancesPerGroup }: RepairSituation): number {
  return instancesPerGroup - group.survivors;
}

function isInGrace(group: BrokenGroup, { graceMs }: RepairSituation): boolean {
  return !group.hasRestartedMember && group.missingForMs.some((missingMs) => missingMs < graceMs);
}

/**
 * A substitution costs one load. Waiting longer pays while the probability per millisecond of an unchanged
 * return, times the load time that it would save, is above one.
 */
function isLikelyBack(
  group: BrokenGroup,
  { loadMs, recoveryModes: returns = DEFAULT_RECOVERY_MODES }: RepairSituation,
): boolean {
  if (group.hasRestartedMember) return false;
  const hazards = group.missingForMs.map((missingMs) => {
    const blip = estimateRecoveryModes(missingMs, returns).find(({ kind }) => kind === 'blip');
    return blip ? blip.share / blip.meanMs : 0;
  });
  return Math.min(...hazards) * loadMs > 1;
}

/** Finds the cheapest number of groups without substitutes to dismantle and regroup. */
function chooseRegrouping(
  unsubstituted: readonly BrokenGroup[],
  situation: RepairSituation,
): ReadonlyMap<string, RepairDecision> {
  const byWait = [...unsubstituted].sort((a, b) => waitMsOf(b, situation) - waitMsOf(a, situation));
  let best = { cost: costOfWaiting(byWait, situation), taken: 0 };
  for (let taken = 1; taken <= byWait.length; taken++) {
    const cost = costOfRegrouping(byWait, taken, situation);
    if (cost < best.cost) best = { cost, taken };
  }
  return new Map(byWait.slice(0, best.taken).map(({ id }) => [id, { kind: 'regroup', group: id }] as const));
}

function waitMsOf(group: BrokenGroup, { loadMs, recoveryModes: returns }: RepairSituation): number {
  return expectedWaitMs(group, loadMs, returns);
}

function costOfWaiting(groups: readonly BrokenGroup[], situation: RepairSituation): number {
  const { downtime, stranded } = situation.weights;
  return groups.reduce((sum, group) => {
    const accelerators = group.survivors * group.acceleratorsPerInstance;
    return sum + waitMsOf(group, situation) * (downtime + stranded * accelerators);
  }, 0);
}

/** Cost if the first `taken` groups are dismantled and as many as possible rebuilt, while the others wait. */
function costOfRegrouping(byWait: readonly BrokenGroup[], taken: number, situation: RepairSituation): number {
  const { instancesPerGroup, loadMs, spares } = situation;
  const { downtime, stranded } = situation.weights;
  const dismantled = byWait.slice(0, taken);
  const available = spares + dismantled.reduce((sum, { survivors }) => sum + survivors, 0);
  const rebuilt = Math.min(taken, Math.floor(available / instancesPerGroup));
  if (rebuilt === 0) return Infinity;
  const perInstance = dismantled[0]?.acceleratorsPerInstance ?? 1;
  const rebuilding = rebuilt * loadMs * (downtime + stranded * instancesPerGroup * perInstance);
  const lost = taken - rebuilt;
  const leftover = available - rebuilt * instancesPerGroup;
  const longestWaitMs = Math.max(...dismantled.map((group) => waitMsOf(group, situation))) + loadMs;
  const remaining = lost === 0 ? 0 : longestWaitMs * (lost * downtime + stranded * leftover * perInstance);
  return rebuilding + remaining + costOfWaiting(byWait.slice(taken), situation);
}
