import type { Clock } from '@monsoonreach/core';
import type { ReportMessage } from './peerMessages.js';

/** Time for which a peer's report is used, in milliseconds; peers repeat it each second. */
const REPORT_TTL_MS = 2_500;

/** What the peers of an owner reported of their requests. */
export class FleetReports {
  private readonly _demand = new Map<
    string,
    { readonly demand: ReadonlyMap<string, number>; readonly atMs: number }
  >();

  /** When a peer last got bytes from a target, by target. */
  private readonly _servedAtMs = new Map<string, number>();

  constructor(private readonly _clock: Clock) {}

  record({ sender, demand, served }: ReportMessage): void {
    const nowMs = this._clock.monotonic();
    this._demand.set(sender, { demand: new Map(Object.entries(demand)), atMs: nowMs });
    for (const [target, atMs] of this._servedAtMs)
      if (nowMs - atMs > REPORT_TTL_MS) this._servedAtMs.delete(target);
    for (const [target, ageMs] of Object.entries(served))
      this._servedAtMs.set(target, Math.max(this.getServedAtMs(target), nowMs - ageMs));
  }

  /** Time at which a peer last got bytes from a target, as far as peers have told, in milliseconds; -Infinity if none did lately. */
  getServedAtMs(target: string): number {
    return this._servedAtMs.get(target) ?? -Infinity;
  }

  /** Number of groups that the requests of this node and its peers need, by model. */
  sumDemand(own: ReadonlyMap<string, number>): ReadonlyMap<string, number> {
    const sum = new Map(own);
    const nowMs = this._clock.monotonic();
    for (const [sender, { demand, atMs }] of this._demand) {
      if (nowMs - atMs > REPORT_TTL_MS) this._demand.delete(sender);
      else for (const [model, groups] of demand) sum.set(model, (sum.get(model) ?? 0) + groups);
    }
    return sum;
  }
}
