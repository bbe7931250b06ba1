import type { Clock } from './clock.js';

/** Half-life of a report's weight in an estimate, in milliseconds. */
const REPORT_HALF_LIFE_MS = 1_000;

interface Load {
  own: number;
  reported: number;
  ownAtReport: number;
  reportedAtMs: number;
}

/**
 * Estimates requests in flight at each group: this node's own, which are exact, and those of other nodes by
 * the group's last report, which counts for less as it ages.
 */
export class Loads {
  private readonly _loads = new Map<string, Load>();

  constructor(private readonly _clock: Clock) {}

  begin(group: string): void {
    this._getOrCreate(group).own++;
  }

  end(group: string): void {
    const load = this._getOrCreate(group);
    load.own = Math.max(0, load.own - 1);
  }

  own(group: string): number {
    return this._loads.get(group)?.own ?? 0;
  }

  /** Records a group's report of its requests in flight, as of `ageMs` ago. */
  report(group: string, inFlight: number, ageMs: number): void {
    const load = this._getOrCreate(group);
    const atMs = this._clock.monotonic() - ageMs;
    if (atMs <= load.reportedAtMs) return;
    load.reported = inFlight;
    load.ownAtReport = load.own;
    load.reportedAtMs = atMs;
  }

  /** Estimated number of requests in flight at the group, from all nodes. */
  estimate(group: string): number {
    const load = this._loads.get(group);
    if (!load) return 0;
    const ageMs = this._clock.monotonic() - load.reportedAtMs;
    const confidence = 2 ** (-ageMs / REPORT_HALF_LIFE_MS);
    return load.own + Math.max(0, load.reported - load.ownAtReport) * confidence;
  }

  /** Drops all groups but the given ones and those with requests of this node in flight. */
  retain(groups: ReadonlySet<string>): void {
    for (const [group, load] of this._loads) {
      if (!groups.has(group) && load.own === 0) this._loads.delete(group);
    }
  }

  private _getOrCreate(group: string): Load {
    let load = this._loads.get(group);
    if (!load) {
      load = { own: 0, reported: 0, ownAtReport: 0, reportedAtMs: -Infinity };
      this._loads.set(group, load);
    }
    return load;
  }
}
