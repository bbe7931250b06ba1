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

  constructor(private readonly _clock: Clock) {}

  record({ sender, demand }: ReportMessage): void {
    this._demand.set(sender, { demand: new Map(Object.entries(demand)), atMs: this._clock.monotonic() });
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
