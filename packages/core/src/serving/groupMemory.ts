import type { BatchLoad, RequestSize } from './engineCost.js';
import type { EngineProfile } from './servingConfiguration.js';

/**
 * Whether the memory of a group holds the tokens of its requests and of one more: prompts and expected answers.
 *
 * Requests that wait for a slot hold no memory; the tokens count in proportion. An idle group accepts any request: no
 * other group of the service has more memory. Reports contain no answer tokens, so that the usual number is assumed.
 */
export function hasMemoryFor(engine: EngineProfile, load: BatchLoad, size: RequestSize): boolean {
  if (load.requests <= 0) return true;
  const requests = load.requests + 1;
  const answerTokens = load.requests * engine.usualAnswerTokens + size.answerTokens;
  const tokens = load.contextTokens + size.promptTokens + answerTokens;
  return tokens * Math.min(1, engine.slots / requests) <= engine.kvCapacityTokens;
}
