import type { EngineProfile, ModelProfile } from './servingConfiguration.js';

/** A request's size in tokens. */
export interface RequestSize {
  readonly promptTokens: number;
  readonly answerTokens: number;
}

/** A group's batch as it is believed to be. */
export interface BatchLoad {
  /** Requests that run or wait. */
  readonly requests: number;
  /** Tokens of context of the running requests. */
  readonly contextTokens: number;
  /** Prompt tokens that are not read yet. */
  readonly unreadTokens: number;
}

/** Time of one step with `requests` writers that share `contextTokens`, in milliseconds. */
export function stepMs(engine: EngineProfile, model: ModelProfile, load: BatchLoad): number {
  const writers = Math.min(engine.slots, load.requests);
  const context = (engine.stepMsPerThousandTokens * load.contextTokens) / 1_000;
  return model.pace * (engine.stepMs + engine.stepMsPerRequest * writers + context);
}

/** Time to read a prompt, in milliseconds. */
export function prefillMs(engine: EngineProfile, model: ModelProfile, promptTokens: number): number {
  const readMs = (promptTokens * 1_000) / engine.prefillTokensPerS;
  const millionPairs = (promptTokens * promptTokens) / 2 / 1_000_000;
  return model.pace * (readMs + engine.prefillMsPerMillionPairs * millionPairs);
}

/** Time from the dispatch to the first event if the request joined this batch, in milliseconds. */
export function predictFirstEventMs(
  engine: EngineProfile,
  model: ModelProfile,
  load: BatchLoad,
  size: RequestSize,
): number {
  const joined = {
    requests: load.requests + 1,
    contextTokens: load.contextTokens + size.promptTokens,
    unreadTokens: 0,
  };
  const passMs = stepMs(engine, model, joined) * engine.stepsPerPass;
  const readMs = prefillMs(engine, model, size.promptTokens) + prefillMs(engine, model, load.unreadTokens);
  // On average half a pass is under way; the first event comes with the pass after the prompt is read.
  const startMs = passMs * 1.5 + readMs;
  const waiting = load.requests + 1 - engine.slots;
  return waiting > 0 ? startMs + waiting * meanSlotWaitMs(engine, model) : startMs;
}

/** Time that a request holds its place in a batch of this load, in milliseconds. */
export function predictServiceMs(
  engine: EngineProfile,
  model: ModelProfile,
  load: BatchLoad,
  size: RequestSize,
): number {
  return prefillMs(engine, model, size.promptTokens) + size.answerTokens * stepMs(engine, model, load);
}

/** Time until the next place of a full batch becomes free, in milliseconds. */
export function meanSlotWaitMs(engine: EngineProfile, model: ModelProfile): number {
  const size = { promptTokens: engine.usualPromptTokens, answerTokens: engine.usualAnswerTokens };
  const full = {
    requests: engine.slots,
    contextTokens: engine.slots * (size.promptTokens + size.answerTokens / 2),
    unreadTokens: 0,
  };
  return predictServiceMs(engine, model, full, size) / engine.slots;
}
