import { predictPrefillMs, predictServiceMs, type RequestSize } from './engineCost.js';
import type { EngineProfile, ModelProfile } from './servingConfiguration.js';

/** Time constant of the exponential decay, in milliseconds: several times a request's duration. */
const DECAY_TIME_MS = 5_000;

/** Weight of prefill time, as a prefill delays all requests of the batch. */
const PREFILL_WEIGHT = 2;

interface Demand {
  groups: number;
  atMs: number;
}

/**
 * Measures how many groups of each model the arriving requests would keep busy.
 *
 * The models' shares of the requests shift during the day. Refused requests count too, as otherwise a model without
 * groups would never get one.
 */
export class DemandMeter {
  private readonly _demands = new Map<string, Demand>();

  /** Records the arrival of a request. */
  recordRequest(engine: EngineProfile, model: ModelProfile, size: RequestSize, nowMs: number): void {
    const requests = engine.slots / 2;
    const batch = { requests, contextTokens: requests * engine.usualPromptTokens, pendingPromptTokens: 0 };
    const serviceMs = predictServiceMs(engine, model, batch, size);
    const demand = this._demands.get(model.name) ?? { groups: 0, atMs: nowMs };
    const busyMs =
      serviceMs / engine.slots + PREFILL_WEIGHT * predictPrefillMs(engine, model, size.promptTokens);
    demand.groups = decay(demand, nowMs) + busyMs / DECAY_TIME_MS;
    demand.atMs = nowMs;
    this._demands.set(model.name, demand);
  }

  /** Returns the number of groups needed for this node's requests, by model. */
  getNeededGroups(nowMs: number): ReadonlyMap<string, number> {
    return new Map([...this._demands].map(([model, demand]) => [model, decay(demand, nowMs)]));
  }
}

function decay(demand: Demand, nowMs: number): number {
  return demand.groups * Math.exp((demand.atMs - nowMs) / DECAY_TIME_MS);
}
