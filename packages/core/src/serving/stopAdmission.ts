import { predictBusyServiceMs, type RequestSize } from './engineCost.js';
import type { ServingConfiguration, ServingRoute } from './servingConfiguration.js';

/** What decides how long a request may take. */
export interface StopAdmissionRequest {
  readonly route: ServingRoute;
  readonly model: string | undefined;
  readonly size: RequestSize;
  /** Time that the caller allows, in milliseconds; undefined if it names none. */
  readonly timeoutMs: number | undefined;
  /** Time since it arrived, in milliseconds. */
  readonly elapsedMs: number;
  /** Factor on the predicted duration, as its target is slower than published; 1 by default. */
  readonly pace?: number;
  /** Predicted time to the first event at its target, in milliseconds; by default that of the prefill, without a wait. */
  readonly firstEventMs?: number;
}

/** How far a stop has come. */
export interface StopProgress {
  /** Time until the process ends, in milliseconds. */
  readonly remainingMs: number;
  /** Whether the balancer may still send new connections. */
  readonly isInRotation: boolean;
}

/** Whether a request ends before the process, and why; times are in milliseconds. */
export interface FinishEstimate {
  readonly canFinish: boolean;
  /** Time until the request's timeout. */
  readonly limitMs: number;
  /** Predicted duration; Infinity if unknown or not considered. */
  readonly predictedMs: number;
  /** Time until the process ends. */
  readonly remainingMs: number;
}

/**
 * Estimates whether a node that is stopping can finish a request that arrives now.
 *
 * A request that is refused at once is served by another node a moment later; one that is cut has to start again. While
 * the balancer still connects, a refused caller may come back, and a stream is accepted by its predicted duration.
 * Afterwards only its timeout counts: targets may be slower than predicted, or silent for a time.
 */
export function estimateFinish(
  request: StopAdmissionRequest,
  configuration: ServingConfiguration,
  { remainingMs, isInRotation }: StopProgress,
): FinishEstimate {
  const { route, timeoutMs, elapsedMs, pace = 1 } = request;
  const limitMs = Math.min(timeoutMs ?? Infinity, route.timeoutMs) - elapsedMs;
  const predictedMs = isInRotation ? pace * predictStreamMs(request, configuration) : Infinity;
  return { canFinish: Math.min(limitMs, predictedMs) <= remainingMs, limitMs, predictedMs, remainingMs };
}

/** Time that a stream takes in full batches, in milliseconds; Infinity if it names no size, and for other requests. */
function predictStreamMs(
  { route, model: modelName, size, firstEventMs }: StopAdmissionRequest,
  configuration: ServingConfiguration,
): number {
  if (route.kind !== 'stream' || size.answerTokens === 0) return Infinity;
  const decoded = firstEventMs === undefined ? size : { ...size, promptTokens: 0 };
  const durationsMs = route.services.map(({ service }) => {
    const engine = configuration.services.get(service)?.engine;
    const model = engine?.models.find(({ name }) => name === modelName);
    return engine && model ? predictBusyServiceMs(engine, model, decoded) : Infinity;
  });
  return (firstEventMs ?? 0) + Math.max(...durationsMs);
}
