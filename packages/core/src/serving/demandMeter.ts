import { prefillMs, predictServiceMs, type RequestSize } from './engineCost.js';
import type { EngineProfile, ModelProfile } from './servingConfiguration.js';

/** Time in which old demand loses most of its weight, in milliseconds; several times a request's own time. */
const HORIZON_MS = 5_000;

/** Weight of the time in which a prompt is read, as it holds up all requests of the batch. */
const PREFILL_WEIGHT = 2;

interface Rate {
  groups: number;
  atMs: number;
}

/**
 * How many full groups of each model the requests that arrive would keep busy, those that are refused included.
 *
 * Load pattern: the share of a model's requests moves during the day; what is refused must still count, or a
 * model without groups would never get one.
 */
export class DemandMeter {
  private readonly _rates = new Map<string, Rate>();

  /** A request arrived. */
  note(engine: EngineProfile, model: ModelProfile, size: RequestSize, nowMs: number): void {
    const requests = engine.slots / 2;
    const batch = { requests, contextTokens: requests * engine.usualPromptTokens, unreadTokens: 0 };
    const serviceMs = predictServiceMs(engine, model, batch, size);
    const rate = this._rates.get(model.name) ?? { groups: 0, atMs: nowMs };
    const busyMs = serviceMs / engine.slots + PREFILL_WEIGHT * prefillMs(engine, model, size.promptTokens);
    rate.groups = decay(rate, nowMs) + busyMs / HORIZON_MS;
    rate.atMs = nowMs;
    this._rates.set(model.name, rate);
  }

  /** Groups needed for each model, as far as this node's requests tell. */
  groups(nowMs: number): ReadonlyMap<string, number> {
    return new Map([...this._rates].map(([model, rate]) => [model, decay(rate, nowMs)]));
  }
}

function decay(rate: Rate, nowMs: number): number {
  return rate.groups * Math.exp((rate.atMs - nowMs) / HORIZON_MS);
}
