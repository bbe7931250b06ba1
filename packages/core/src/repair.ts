/** How a missing instance may come back: unchanged, restarted (it must load again), or replaced. */
export type ReturnKind = 'blip' | 'restart' | 'replacement';

/** One way of coming back, its share among all losses and its mean time. */
export interface ReturnMode {
  readonly kind: ReturnKind;
  readonly share: number;
  readonly meanMs: number;
}

/** What losses look like where nothing better is known. */
export const DEFAULT_RETURNS: readonly ReturnMode[] = [
  { kind: 'blip', share: 0.5, meanMs: 2_000 },
  { kind: 'restart', share: 0.3, meanMs: 30_000 },
  { kind: 'replacement', share: 0.2, meanMs: 1_800_000 },
];

/** What the users weigh. */
export interface RepairWeights {
  /** Cost of one second of one group's downtime. */
  readonly downtime: number;
  /** Cost of one accelerator-second without a working group. */
  readonly stranded: number;
}

/** A group of which members are missing. */
export interface BrokenGroup {
  readonly id: string;
  /** How long each missing member has been dark, in milliseconds. */
  readonly missingForMs: readonly number[];
  /** True when a member came back restarted: waiting cannot make the group whole again. */
  readonly hasRestartedMember: boolean;
  readonly survivors: number;
  readonly acceleratorsPerInstance: number;
}

/** What there is to repair with inside one fabric domain. */
export interface RepairSituation {
  readonly broken: readonly BrokenGroup[];
  /** Released instances that are there and not spoken for. */
  readonly spares: number;
  readonly instancesPerGroup: number;
  /** How long a new group takes from its assignment until it serves, in milliseconds. */
  readonly loadMs: number;
  readonly graceMs: number;
  readonly weights: RepairWeights;
  readonly returns?: readonly ReturnMode[];
}

/** What to do about one broken group. */
export type RepairDecision =
  | { readonly kind: 'wait'; readonly group: string; readonly why: 'grace' | 'likely-back' | 'cheaper' }
  | { readonly kind: 'substitute'; readonly group: string }
  | { readonly kind: 'regroup'; readonly group: string }
  | { readonly kind: 'dissolve'; readonly group: string };

/** How to decide; all but `weighed` serve as baselines in measurements. */
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

/** The chance of each way of coming back, given that the instance has been dark for so long. */
export function weighReturns(darkForMs: number, returns: readonly ReturnMode[]): readonly ReturnMode[] {
  const likelihoods = returns.map(({ share, meanMs }) => share * Math.exp(-darkForMs / meanMs));
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
  returns: readonly ReturnMode[] = DEFAULT_RETURNS,
): number {
  if (group.hasRestartedMember) return Infinity;
  const waits = group.missingForMs.map((darkForMs) =>
    weighReturns(darkForMs, returns).reduce(
      (sum, { kind, share, meanMs }) => sum + share * (meanMs + (kind === 'blip' ? 0 : loadMs)),
      0,
    ),
  );
  return Math.max(0, ...waits);
}

function decideWaiting(group: BrokenGroup): RepairDecision {
  if (group.hasRestartedMember) return { kind: 'substitute', group: group.id };
  return { kind: 'wait', group: group.id, why: 'cheaper' };
}

function decideByCost(situation: RepairSituation): readonly RepairDecision[] {
  const bySpares = decideBySpares(situation, (group) => isLikelyBack(group, situation));
  const unserved = situation.broken.filter(({ id }) =>
    bySpares.some(
      (decision) => decision.group === id && decision.kind === 'wait' && decision.why === 'cheaper',
    ),
  );
  const regrouped = chooseRegrouping(unserved, situation);
  return bySpares.map((decision) => regrouped.get(decision.group) ?? decision);
}

/** Substitutes while there are spares, the most damaged group last; the others wait. */
function decideBySpares(
  situation: RepairSituation,
  isWorthWaiting: (group: BrokenGroup) => boolean,
): readonly RepairDecision[] {
  let spares = situation.spares;
  const byDamage = [...situation.broken].sort((a, b) => missingOf(a, situation) - missingOf(b, situation));
  return byDamage.map((group): RepairDecision => {
    if (isInGrace(group, situation)) return { kind: 'wait', group: group.id, why: 'grace' };
    if (isWorthWaiting(group)) return { kind: 'wait', group: group.id, why: 'likely-back' };
    if (group.hasRestartedMember && group.missingForMs.length === 0)
      return { kind: 'regroup', group: group.id };
    const needed = missingOf(group, situation);
    if (needed > spares) return { kind: 'wait', group: group.id, why: 'cheaper' };
    spares -= needed;
    return { kind: 'substitute', group: group.id };
  });
}

function missingOf(group: BrokenGroup, { instancesPerGroup }: RepairSituation): number {
  return instancesPerGroup - group.survivors;
}

function isInGrace(group: BrokenGroup, { graceMs }: RepairSituation): boolean {
  return !group.hasRestartedMember && group.missingForMs.some((darkForMs) => darkForMs < graceMs);
}

/**
 * A substitute costs one load. Waiting a moment longer is worth it while the chance per millisecond of an
 * unchanged return, times the load it would save, is above one.
 */
function isLikelyBack(group: BrokenGroup, { loadMs, returns = DEFAULT_RETURNS }: RepairSituation): boolean {
  if (group.hasRestartedMember) return false;
  const hazards = group.missingForMs.map((darkForMs) => {
    const blip = weighReturns(darkForMs, returns).find(({ kind }) => kind === 'blip');
    return blip ? blip.share / blip.meanMs : 0;
  });
  return Math.min(...hazards) * loadMs > 1;
}

/** Tries how many of the groups without substitutes to take apart for the others, and takes the cheapest. */
function chooseRegrouping(
  unserved: readonly BrokenGroup[],
  situation: RepairSituation,
): ReadonlyMap<string, RepairDecision> {
  const byWait = [...unserved].sort((a, b) => waitOf(b, situation) - waitOf(a, situation));
  let best = { cost: costOfWaiting(byWait, situation), taken: 0 };
  for (let taken = 1; taken <= byWait.length; taken++) {
    const cost = costOfRegrouping(byWait, taken, situation);
    if (cost < best.cost) best = { cost, taken };
  }
  return new Map(byWait.slice(0, best.taken).map(({ id }) => [id, { kind: 'regroup', group: id }] as const));
}

function waitOf(group: BrokenGroup, { loadMs, returns }: RepairSituation): number {
  return expectedWaitMs(group, loadMs, returns);
}

function costOfWaiting(groups: readonly BrokenGroup[], situation: RepairSituation): number {
  const { downtime, stranded } = situation.weights;
  return groups.reduce((sum, group) => {
    const accelerators = group.survivors * group.acceleratorsPerInstance;
    return sum + waitOf(group, situation) * (downtime + stranded * accelerators);
  }, 0);
}

/** The first `taken` groups are taken apart and as many as possible rebuilt; the others wait. */
function costOfRegrouping(byWait: readonly BrokenGroup[], taken: number, situation: RepairSituation): number {
  const { instancesPerGroup, loadMs, spares } = situation;
  const { downtime, stranded } = situation.weights;
  const parts = byWait.slice(0, taken);
  const free = spares + parts.reduce((sum, { survivors }) => sum + survivors, 0);
  const rebuilt = Math.min(taken, Math.floor(free / instancesPerGroup));
  if (rebuilt === 0) return Infinity;
  const perInstance = parts[0]?.acceleratorsPerInstance ?? 1;
  const rebuilding = rebuilt * loadMs * (downtime + stranded * instancesPerGroup * perInstance);
  const lost = taken - rebuilt;
  const leftover = free - rebuilt * instancesPerGroup;
  const longestWaitMs = Math.max(...parts.map((group) => waitOf(group, situation))) + loadMs;
  const remaining = lost === 0 ? 0 : longestWaitMs * (lost * downtime + stranded * leftover * perInstance);
  return rebuilding + remaining + costOfWaiting(byWait.slice(taken), situation);
}
