import type { EngineProfile, ModelProfile } from './servingConfiguration.js';

/** A request's size in tokens. */
export interface RequestSize {
  readonly promptTokens: number;
  readonly answerTokens: number;
}

/** Estimated load of a group's batch. */
export interface BatchLoad {
  /** Running and queued requests. */
  readonly requests: number;
  /** Context tokens of these requests. */
  readonly contextTokens: number;
  /** Prompt tokens that await prefill. */
  readonly pendingPromptTokens: number;
}

/** Predicts the duration of one decode step of the batch, in milliseconds. */
export function predictStepMs(engine: EngineProfile, model: ModelProfile, load: BatchLoad): number {
  const decodingRequests = Math.min(engine.slots, load.requests);
  const contextMs = (engine.stepMsPerThousandTokens * load.contextTokens) / 1_000;
  return model.timeFactor * (engine.stepMs + engine.stepMsPerRequest * decodingRequests + contextMs);
}

/** Predicts the prefill time of a prompt, in milliseconds. */
export function predictPrefillMs(engine: EngineProfile, model: ModelProfile, promptTokens: number): number {
  const linearMs = (promptTokens * 1_000) / engine.prefillTokensPerS;
  const millionTokenPairs = (promptTokens * promptTokens) / 2 / 1_000_000;
  return model.timeFactor * (linearMs + engine.prefillMsPerMillionPairs * millionTokenPairs);
}

/** Predicts the time from dispatch to first event if the request joins this batch, in milliseconds. */
export function predictFirstEventMs(
  engine: EngineProfile,
  model: ModelProfile,
  load: BatchLoad,
  size: RequestSize,
): number {
  const joined = {
    requests: load.requests + 1,
    contextTokens: load.contextTokens + size.promptTokens,
    pendingPromptTokens: 0,
  };
  const passMs = predictStepMs(engine, model, joined) * engine.stepsPerPass;
  const prefillTotalMs =
    predictPrefillMs(engine, model, size.promptTokens) +
    predictPrefillMs(engine, model, load.pendingPromptTokens);
  // On average half a pass remains at dispatch; the first event comes with the pass after the prefill.
  const startMs = passMs * 1.5 + prefillTotalMs;
  const waitingRequests = load.requests + 1 - engine.slots;
  return waitingRequests > 0 ? startMs + waitingRequests * predictSlotWaitMs(engine, model) : startMs;
}

/** Predicts how long a request occupies its slot in a batch of this load, in milliseconds. */
export function predictServiceMs(
  engine: EngineProfile,
  model: ModelProfile,
  load: BatchLoad,
  size: RequestSize,
): number {
  return (
    predictPrefillMs(engine, model, size.promptTokens) +
    size.answerTokens * predictStepMs(engine, model, load)
  );
}

/** Predicts the mean time until a slot of a full batch becomes free, in milliseconds. */
export function predictSlotWaitMs(engine: EngineProfile, model: ModelProfile): number {
  return predictServiceMs(engine, model, createFullLoad(engine), getUsualSize(engine)) / engine.slots;
}

/** Predicts how long a request takes if its batch stays full, in milliseconds. */
export function predictBusyServiceMs(engine: EngineProfile, model: ModelProfile, size: RequestSize): number {
  const serviceMs = predictServiceMs(engine, model, createFullLoad(engine), size);
  return serviceMs * predictPrefillFactor(engine, model);
}

/** Predicts the mean time between two events of a stream if its batch stays full, in milliseconds; each pass sends one. */
export function predictBusyPauseMs(engine: EngineProfile, model: ModelProfile): number {
  const passMs = predictStepMs(engine, model, createFullLoad(engine)) * engine.stepsPerPass;
  return passMs * predictPrefillFactor(engine, model);
}

/** Factor by which the prefill of others slows a full batch down. */
function predictPrefillFactor(engine: EngineProfile, model: ModelProfile): number {
  const usual = getUsualSize(engine);
  const decodeMs = usual.answerTokens * predictStepMs(engine, model, createFullLoad(engine));
  // While one request decodes, each slot is filled once more, and every prefill delays the whole batch.
  const prefillMs = engine.slots * predictPrefillMs(engine, model, usual.promptTokens);
  return 1 + prefillMs / Math.max(1, decodeMs);
}

function getUsualSize(engine: EngineProfile): RequestSize {
  return { promptTokens: engine.usualPromptTokens, answerTokens: engine.usualAnswerTokens };
}

function createFullLoad(engine: EngineProfile): BatchLoad {
  const { promptTokens, answerTokens } = getUsualSize(engine);
  return {
    requests: engine.slots,
    contextTokens: engine.slots * (promptTokens + answerTokens / 2),
    pendingPromptTokens: 0,
  };
}
