import { type Clock, Loads, type Random, Stragglers } from '@monsoonreach/core';

export interface ServiceTargetsOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly isLeaving: (address: string) => boolean;
}

/** Chooses a target of a plain service: the less loaded of two random ones that are not leaving. */
export class ServiceTargets {
  readonly loads: Loads;
  readonly stragglers: Stragglers;

  constructor(private readonly _options: ServiceTargetsOptions) {
    this.loads = new Loads(_options.clock);
    this.stragglers = new Stragglers(_options.clock);
  }

  /** A target that was not tried and is below its concurrency limit, or undefined if there is none. */
  choose(addresses: readonly string[], concurrency: number, tried: ReadonlySet<string>): string | undefined {
    const usable = addresses.filter(
      (address) =>
        !tried.has(address) && !this._options.isLeaving(address) && this.loads.own(address) < concurrency,
    );
    const preferred = usable.filter((address) => this.stragglers.acquireProbe(address));
    const pool = preferred.length > 0 ? preferred : usable;
    const first = pool[this._options.random.below(pool.length)];
    const second = pool[this._options.random.below(pool.length)];
    if (first === undefined || second === undefined) return first;
    return this.loads.own(second) < this.loads.own(first) ? second : first;
  }
}
