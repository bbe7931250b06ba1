import type { Random } from '../random.js';
import { type BatchLoad, predictFirstEventMs, type RequestSize } from './engineCost.js';
import type { EngineProfile, ModelProfile } from './servingConfiguration.js';
import type { TargetHealth } from './targetHealth.js';
import type { TargetInstance } from './targetInstance.js';

/** Added to the predicted time of a target in another failure domain, in milliseconds; two hops there and back. */
const REMOTE_PENALTY_MS = 4;
/** Predicted time that one expected failure costs, in milliseconds; a second attempt with a new prefill. */
const FAILURE_COST_MS = 400;
/** Predicted time that doubt costs a plain instance, in milliseconds; it is used when nothing else is left. */
const DOUBT_PENALTY_MS = 2_000;
/** Requests that may wait at a target beyond those that it runs, as a share of its slots. */
const QUEUE_SHARE = 0.25;
/** Random share of the predicted time that spreads equal choices of many nodes that choose by old figures. */
const SPREAD = 0.15;
/** The same where the figures are those of this moment; it only spreads ties. */
const EXACT_SPREAD = 0.02;

/** A target that may take a request: a plain instance, or the head of a whole group. */
export interface TargetCandidate {
  /** Names the target for its load and health: one incarnation of an instance, or one formation of a group. */
  readonly key: string;
  readonly instance: TargetInstance;
  readonly slots: number;
  /** Only for heads of groups. */
  readonly engine: { readonly profile: EngineProfile; readonly model: ModelProfile } | undefined;
  /** What all nodes together have there, as far as this node knows. */
  readonly load: BatchLoad;
}

/** What a choice depends on beside the candidates. */
export interface ChoiceContext {
  readonly nowMs: number;
  readonly random: Random;
  readonly health: TargetHealth;
  readonly failureDomain: string;
  readonly size: RequestSize;
  /** Targets that this request has been to. */
  readonly tried: ReadonlySet<string>;
  /** Whether the loads are those of this moment; false by default, where peers may have sent more since. */
  readonly isExact?: boolean;
  /** Whether the request goes on with an answer that has begun, and so waits at a full target rather than fail. */
  readonly isContinuing?: boolean;
}

/** The outcome of a choice. */
export type TargetChoice =
  | { readonly kind: 'chosen'; readonly candidate: TargetCandidate; readonly predictedMs: number }
  | { readonly kind: 'none'; readonly reason: 'no-target' | 'all-full' | 'all-silent' };

/**
 * Chooses the target with the shortest predicted time to the first bytes.
 *
 * Load patterns: a jump in traffic (a full target gets nothing more while another has room); a silent group (it
 * gets nothing while another moves); a target that fails part of its requests (its failures count as time).
 */
export function chooseTarget(candidates: readonly TargetCandidate[], context: ChoiceContext): TargetChoice {
  const untried = candidates.filter(({ key }) => !context.tried.has(key));
  if (untried.length === 0) return { kind: 'none', reason: 'no-target' };
  const moving = untried.filter((candidate) => isMoving(candidate, context));
  if (moving.length === 0) return { kind: 'none', reason: 'all-silent' };
  const free = moving.filter((candidate) => context.isContinuing === true || hasRoom(candidate));
  const spread = context.isExact === true ? EXACT_SPREAD : SPREAD;
  let best: { readonly candidate: TargetCandidate; readonly costMs: number; predictedMs: number } | undefined;
  for (const candidate of free) {
    const predictedMs = predictMs(candidate, context.size);
    const costMs = predictedMs * (1 + spread * context.random.next()) + penaltyMs(candidate, context);
    if (!best || costMs < best.costMs) best = { candidate, costMs, predictedMs };
  }
  if (!best) return { kind: 'none', reason: 'all-full' };
  return { kind: 'chosen', candidate: best.candidate, predictedMs: best.predictedMs };
}

/** Nothing is known to have stopped at the target; a plain instance is used all the same when all are doubted. */
function isMoving({ key, engine }: TargetCandidate, { health, nowMs }: ChoiceContext): boolean {
  return engine === undefined || !health.isSuspect(key, nowMs);
}

/** Whether the target can take one more request without a long wait. */
export function hasRoom({ load, slots }: TargetCandidate): boolean {
  return load.requests < slots * (1 + QUEUE_SHARE);
}

function predictMs({ engine, load, slots }: TargetCandidate, size: RequestSize): number {
  if (engine) return predictFirstEventMs(engine.profile, engine.model, load, size);
  return PLAIN_CALL_MS * (1 + load.requests / slots + Math.max(0, load.requests + 1 - slots));
}

/** Time of a call to a plain service without load, in milliseconds; only its ratio to the penalties matters. */
const PLAIN_CALL_MS = 20;

function penaltyMs(candidate: TargetCandidate, context: ChoiceContext): number {
  const isRemote = candidate.instance.failureDomain !== context.failureDomain;
  const failureRate = context.health.failureRate(candidate.key, context.nowMs);
  const isDoubted = context.health.isSuspect(candidate.key, context.nowMs);
  return (
    (isRemote ? REMOTE_PENALTY_MS : 0) + (isDoubted ? DOUBT_PENALTY_MS : 0) + failureRate * FAILURE_COST_MS
  );
}
