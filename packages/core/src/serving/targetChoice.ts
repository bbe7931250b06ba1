import type { Random } from '../random.js';
import { type BatchLoad, predictFirstEventMs, type RequestSize } from './engineCost.js';
import type { Evacuations } from './evacuations.js';
import { isAllowedTarget } from './homes.js';
import { hasMemoryFor } from './groupMemory.js';
import { predictPromptHarmMs, type PromptObjectives } from './promptHarm.js';
import type { EngineProfile, ModelProfile } from './servingConfiguration.js';
import type { TargetJudgement } from './targetHealth.js';
import { getIncarnationKey, type TargetInstance } from './targetInstance.js';

/** Added to the predicted time of a target in another failure domain, in milliseconds: one hop each way. */
const REMOTE_PENALTY_MS = 4;
/** Added for a target to which a connection has to be opened, in milliseconds: a round trip and the processor time of both ends. */
const CONNECT_COST_MS = 8;
/** Assumed factor on the times of a cold target; it has not loaded all that it needs. */
const COLD_FACTOR = 2;
/** Predicted cost of one failure, in milliseconds: a second attempt that repeats the prefill. */
const FAILURE_COST_MS = 400;
/** Added for a suspect ungrouped instance, in milliseconds, so that it is used only when no other is available. */
const SUSPECT_PENALTY_MS = 2_000;
/** Requests that may queue at a target, as a share of its slots. */
const QUEUE_SHARE = 0.25;
/** Maximum jitter as a share of the predicted time, so that nodes with stale loads do not all pick one target. */
const JITTER_SHARE = 0.15;
/** Maximum jitter where the loads are current; it only breaks ties. */
const EXACT_JITTER_SHARE = 0.02;

/** A target that may take a request: an ungrouped instance, or the head of a whole group. */
export interface TargetCandidate {
  /** Identifies the target in load and health records: one incarnation of an instance, or one epoch of a group. */
  readonly key: string;
  readonly instance: TargetInstance;
  /** Failure domains of the head and the known members of a group; undefined for ungrouped instances. */
  readonly failureDomains?: readonly string[] | undefined;
  readonly slots: number;
  /** Undefined for ungrouped instances. */
  readonly engine: { readonly profile: EngineProfile; readonly model: ModelProfile } | undefined;
  /** Load that all nodes together have placed on the target, as far as this node knows. */
  readonly load: BatchLoad;
}

/** Input of a choice besides the candidates. */
export interface ChoiceContext {
  readonly nowMs: number;
  readonly random: Random;
  readonly health: TargetJudgement;
  readonly failureDomain: string;
  readonly size: RequestSize;
  /** Keys of targets that this request was already sent to. */
  readonly tried: ReadonlySet<string>;
  /** Whether the loads are current; false by default, when peers may have sent more requests since. */
  readonly isExact?: boolean;
  /** Keys of targets to which the node that holds the request has an idle connection; none by default. */
  readonly connected?: ReadonlySet<string>;
  /** Incarnations of instances that take no request now, as they said themselves; none by default. */
  readonly unavailable?: ReadonlySet<string>;
  /** Incarnations of instances that are cold, and slower for some seconds; none by default. */
  readonly cold?: ReadonlySet<string>;
  /** Whether the request resumes a partially delivered answer; it then queues at a full target instead of failing. */
  readonly isContinuing?: boolean;
  /** Failure domains that are evacuated; none by default. */
  readonly evacuations?: Evacuations;
  /** Failure domains in which the request may be run; any if undefined. */
  readonly allowedDomains?: ReadonlySet<string> | undefined;
  /** Objectives of the callers of the service; only if given, the harm to other requests at a group counts as cost. */
  readonly promptObjectives?: PromptObjectives | undefined;
  /** Objective for the first event of this request, in milliseconds; the strictest of `promptObjectives` by default. */
  readonly firstEventObjectiveMs?: number | undefined;
}

/** The chosen target, or why there is none. */
export type TargetChoice =
  | { readonly kind: 'chosen'; readonly candidate: TargetCandidate; readonly predictedMs: number }
  | { readonly kind: 'none'; readonly reason: NoTargetReason };

/**
 * Why no target is chosen. `evacuated`: all that are left are in evacuated failure domains; `no-target-in-homes`: none
 * runs only in the home regions of the request.
 */
export type NoTargetReason = 'no-target' | 'all-full' | 'all-silent' | 'evacuated' | 'no-target-in-homes';

/**
 * Chooses the target with the shortest predicted time to the first bytes, plus penalties.
 *
 * Full targets are skipped, which matters when traffic surges. Silent groups are skipped. A target that fails part of
 * its requests is penalized by the expected cost of a retry. Targets in evacuated failure domains are used only if no
 * other has capacity, and never once they are excluded.
 */
export function chooseTarget(candidates: readonly TargetCandidate[], context: ChoiceContext): TargetChoice {
  const { allowedDomains } = context;
  const allowed =
    allowedDomains === undefined
      ? candidates
      : candidates.filter((candidate) => isAllowedTarget(candidate, allowedDomains));
  if (allowedDomains !== undefined && allowed.length === 0)
    return { kind: 'none', reason: 'no-target-in-homes' };
  const untried = allowed.filter(({ key }) => !context.tried.has(key));
  if (untried.length === 0) return { kind: 'none', reason: 'no-target' };
  const inService = dropExcluded(untried, context);
  if (inService.length === 0) return { kind: 'none', reason: 'evacuated' };
  const responsive = inService.filter((candidate) => isResponsive(candidate, context));
  if (responsive.length === 0) return { kind: 'none', reason: 'all-silent' };
  const free = responsive.filter(
    (candidate) =>
      context.unavailable?.has(getIncarnationKey(candidate.instance)) !== true &&
      (context.isContinuing === true || hasCapacity(candidate, context.size)),
  );
  const jitterShare = context.isExact === true ? EXACT_JITTER_SHARE : JITTER_SHARE;
  let best: { readonly candidate: TargetCandidate; readonly costMs: number; predictedMs: number } | undefined;
  for (const candidate of preferInService(free, context)) {
    const isCold = context.cold?.has(getIncarnationKey(candidate.instance)) === true;
    const predictedMs = predictMs(candidate, context.size) * (isCold ? COLD_FACTOR : 1);
    const costMs =
      predictedMs * (1 + jitterShare * context.random.next()) +
      computePenaltyMs(candidate, context) +
      computeHarmMs(candidate, context);
    if (!best || costMs < best.costMs) best = { candidate, costMs, predictedMs };
  }
  if (!best) return { kind: 'none', reason: 'all-full' };
  return { kind: 'chosen', candidate: best.candidate, predictedMs: best.predictedMs };
}

function dropExcluded(
  candidates: readonly TargetCandidate[],
  { evacuations }: ChoiceContext,
): readonly TargetCandidate[] {
  if (!evacuations || evacuations.isEmpty) return candidates;
  return candidates.filter((candidate) => evacuations.findPhaseOf(candidate) !== 'excluded');
}

/** Returns the targets outside of evacuated failure domains that have capacity; all of them if there is none. */
function preferInService(
  candidates: readonly TargetCandidate[],
  { evacuations, health, nowMs, size }: ChoiceContext,
): readonly TargetCandidate[] {
  if (!evacuations || evacuations.isEmpty) return candidates;
  const inService = candidates.filter(
    (candidate) =>
      evacuations.findPhaseOf(candidate) === undefined &&
      hasCapacity(candidate, size) &&
      !health.isSuspect(candidate.key, nowMs),
  );
  return inService.length > 0 ? inService : candidates;
}

/** Whether the target is not a suspect group; a suspect ungrouped instance only gets a penalty. */
function isResponsive({ key, engine }: TargetCandidate, { health, nowMs }: ChoiceContext): boolean {
  return engine === undefined || !health.isSuspect(key, nowMs);
}

/** Whether the target can accept one more request without a long wait. */
export function hasCapacity({ engine, load, slots }: TargetCandidate, size: RequestSize): boolean {
  return load.requests < slots * (1 + QUEUE_SHARE) && (!engine || hasMemoryFor(engine.profile, load, size));
}

function predictMs({ engine, load, slots }: TargetCandidate, size: RequestSize): number {
  if (engine) return predictFirstEventMs(engine.profile, engine.model, load, size);
  return UNLOADED_CALL_MS * (1 + load.requests / slots + Math.max(0, load.requests + 1 - slots));
}

/** Duration of a call to an idle ungrouped instance, in milliseconds; only its ratio to the penalties matters. */
const UNLOADED_CALL_MS = 20;

function computeHarmMs({ engine, load }: TargetCandidate, context: ChoiceContext): number {
  const { size, promptObjectives, firstEventObjectiveMs } = context;
  if (!engine || !promptObjectives) return 0;
  const { profile, model } = engine;
  return predictPromptHarmMs(profile, model, load, size, promptObjectives, firstEventObjectiveMs);
}

function computePenaltyMs(candidate: TargetCandidate, context: ChoiceContext): number {
  const isRemote = candidate.instance.failureDomain !== context.failureDomain;
  const failureRate = context.health.getFailureRate(candidate.key, context.nowMs);
  const isSuspect = context.health.isSuspect(candidate.key, context.nowMs);
  return (
    (isRemote ? REMOTE_PENALTY_MS : 0) +
    (context.connected?.has(candidate.key) === true ? 0 : CONNECT_COST_MS) +
    (isSuspect ? SUSPECT_PENALTY_MS : 0) +
    failureRate * FAILURE_COST_MS
  );
}
