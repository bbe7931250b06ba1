import { type BatchLoad, predictPrefillMs, predictStepMs, type RequestSize } from './engineCost.js';
import type { EngineProfile, ModelProfile, ServingConfiguration } from './servingConfiguration.js';

/**
 * Relative distance from an objective at which a predicted time starts to count as late, and at which it counts in full.
 * The predicted duration of a pass is off by a few percent, as the number of decoding requests is an estimate.
 */
const TOLERANCE = 0.05;
/** Passes until the first event, as in `predictFirstEventMs`: half a pass remains, and the event ends the next one. */
const FIRST_EVENT_PASSES = 1.5;

/** The strictest objectives of the callers of a service. */
export interface PromptObjectives {
  /** Time to the first event, in milliseconds. */
  readonly firstEventMs: number;
  /** Longest pause between two events, in milliseconds; undefined if no route has such an objective. */
  readonly pauseMs: number | undefined;
}

/** Finds the strictest objectives of the stream routes of a service; undefined if it has no such route. */
export function findPromptObjectives(
  { routes }: Pick<ServingConfiguration, 'routes'>,
  service: string,
): PromptObjectives | undefined {
  const streams = routes.filter(
    ({ kind, services }) =>
      kind === 'stream' && services.some(({ service: name, weight }) => name === service && weight > 0),
  );
  if (streams.length === 0) return undefined;
  const pauses = streams.flatMap(({ pauseObjectiveMs }) => pauseObjectiveMs ?? []);
  return {
    firstEventMs: Math.min(...streams.map(({ latencyObjectiveMs }) => latencyObjectiveMs)),
    pauseMs: pauses.length === 0 ? undefined : Math.min(...pauses),
  };
}

/**
 * Predicts the harm that the prefill of a prompt does at a target, in milliseconds: the number of requests that miss an
 * objective because of it, times the strictest objective for the first event.
 *
 * Prefill lengthens the passes, and with them the pauses of the streams and the time to the first event of those that
 * still wait. The prompt itself counts as one request where it misses its own objective, so that it queues behind other
 * long prompts only as long as it can. Requests that arrive later are not counted, because the choice of their target
 * takes the unread tokens into account.
 *
 * The harm is at most the objective for the first event, so that no prompt is delayed by more than what it protects. It
 * is 0 for prompts of up to the usual size, which take a small part of a pass, and at an idle target, so that an empty
 * fleet accepts any prompt.
 * @param ownObjectiveMs objective for the first event of the prompt itself.
 */
export function predictPromptHarmMs(
  engine: EngineProfile,
  model: ModelProfile,
  load: BatchLoad,
  { promptTokens }: RequestSize,
  { firstEventMs, pauseMs }: PromptObjectives,
  ownObjectiveMs = firstEventMs,
): number {
  if (load.requests <= 0 || promptTokens <= engine.usualPromptTokens) return 0;
  const { beforeMs, afterMs } = predictLongestPassMs(engine, model, load, promptTokens);
  const streams = countStreams(engine, load);
  // Requests that wait and are late in any case are not harmed again. Streams are: each late pass reaches other streams.
  const addedLateShare =
    computeLateShare(FIRST_EVENT_PASSES * afterMs, firstEventMs) -
    computeLateShare(FIRST_EVENT_PASSES * beforeMs, firstEventMs);
  const lateWaiting = (load.requests - streams) * addedLateShare;
  const lateStreams = pauseMs === undefined ? 0 : streams * computeLateShare(afterMs, pauseMs);
  const ownMs = predictOwnFirstEventMs(engine, model, load, promptTokens);
  const lateOwn = computeLateShare(ownMs, ownObjectiveMs);
  return Math.min(1, lateWaiting + lateStreams + lateOwn) * firstEventMs;
}

/**
 * Computes the largest number of unread prompt tokens at a target without streams with which a usual prompt that
 * arrives next still meets the objective for its first event.
 */
export function computeUnreadBound(
  engine: EngineProfile,
  model: ModelProfile,
  { firstEventMs }: PromptObjectives,
): number {
  const stepMs = predictStepMs(engine, model, { requests: 1, contextTokens: 0, pendingPromptTokens: 0 });
  const ownMs =
    stepMs * engine.stepsPerPass * FIRST_EVENT_PASSES +
    predictPrefillMs(engine, model, engine.usualPromptTokens);
  // A step of the engine comes with each chunk.
  const tokenMs = predictReadMs(engine, model, 1) + stepMs / engine.prefillChunk;
  return Math.max(0, Math.floor((firstEventMs - ownMs) / tokenMs));
}

/** Reading time without that for pairs of tokens, which the sum of several prompts does not determine. */
function predictReadMs(engine: EngineProfile, model: ModelProfile, tokens: number): number {
  return (model.timeFactor * tokens * 1_000) / engine.prefillTokensPerS;
}

/** Predicts the duration of the longest pass without and with a prompt. */
function predictLongestPassMs(
  engine: EngineProfile,
  model: ModelProfile,
  load: BatchLoad,
  promptTokens: number,
): { readonly beforeMs: number; readonly afterMs: number } {
  const maxTokens = engine.prefillChunk * engine.stepsPerPass;
  const pendingTokens = Math.min(maxTokens, load.pendingPromptTokens);
  const addedTokens = Math.min(maxTokens - pendingTokens, promptTokens);
  const beforeMs =
    predictStepMs(engine, model, load) * engine.stepsPerPass + predictReadMs(engine, model, pendingTokens);
  // The last tokens of a prompt are read in pairs with all earlier ones.
  const addedMs =
    predictPrefillMs(engine, model, promptTokens) -
    predictPrefillMs(engine, model, promptTokens - addedTokens);
  return { beforeMs, afterMs: beforeMs + addedMs };
}

/** Predicts the time to the first event of the prompt itself, with the steps between the chunks that are read before. */
function predictOwnFirstEventMs(
  engine: EngineProfile,
  model: ModelProfile,
  load: BatchLoad,
  promptTokens: number,
): number {
  const stepMs = predictStepMs(engine, model, load);
  const chunks = (load.pendingPromptTokens + promptTokens) / engine.prefillChunk;
  return (
    stepMs * (engine.stepsPerPass * FIRST_EVENT_PASSES + chunks) +
    predictReadMs(engine, model, load.pendingPromptTokens) +
    predictPrefillMs(engine, model, promptTokens)
  );
}

/** Estimates the requests that already decode; a report holds only the sum of the prompt tokens that await prefill. */
function countStreams(engine: EngineProfile, load: BatchLoad): number {
  if (load.pendingPromptTokens <= 0) return Math.min(engine.slots, load.requests);
  const readTokens = Math.max(0, load.contextTokens - load.pendingPromptTokens);
  const streams = Math.min(load.requests - 1, readTokens / Math.max(1, engine.usualPromptTokens));
  return Math.min(engine.slots, Math.max(0, streams));
}

function computeLateShare(predictedMs: number, objectiveMs: number): number {
  return Math.min(1, Math.max(0, (predictedMs / objectiveMs - 1 + TOLERANCE) / (2 * TOLERANCE)));
}
