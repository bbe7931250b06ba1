import {
  BackgroundLoop,
  type Candidate,
  type Clock,
  type Counters,
  placeByRendezvous,
} from '@monsoonreach/core';
import type { GroupLease, PeerClients } from '@monsoonreach/peers';

const PULL_INTERVAL_MS = 500;
/** Interval in a large fleet, where a node queries only some of the stewards. */
const LARGE_FLEET_PULL_INTERVAL_MS = 1_000;
const CALL_TIMEOUT_MS = 800;
/** A node queries all stewards up to this number of them. */
const SMALL_FLEET_MAX_STEWARDS = 8;
/** Stewards that a node queries in a larger fleet; this bounds its share of the control traffic. */
export const LARGE_FLEET_STEWARDS_QUERIED = 4;

export interface LeasePullerOptions {
  readonly clients: PeerClients;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly self: Candidate;
  readonly stewards: () => readonly Candidate[];
  /** Called with a steward's answer to a query that was sent at this monotonic time. */
  readonly onAnswer: (querySentAtMs: number, leases: readonly GroupLease[]) => void;
  /** Called before each round. */
  readonly onTick?: () => void;
}

/** Polls stewards for whole leases, with at most one query in flight to each. */
export class LeasePuller {
  private readonly _queriesInFlight = new Set<string>();
  private readonly _unresponsive = new Set<string>();
  private readonly _loop = new BackgroundLoop({
    runOnce: () => {
      this._pull();
    },
    intervalMs: () => this._intervalMs(),
  });

  constructor(private readonly _options: LeasePullerOptions) {}

  start(): void {
    this._loop.start();
  }

  stop(): Promise<void> {
    return this._loop.stop();
  }

  private _pull(): void {
    this._options.onTick?.();
    for (const steward of this._chooseStewards()) void this._query(steward);
  }

  private _intervalMs(): number {
    const isSmall = this._options.stewards().length <= SMALL_FLEET_MAX_STEWARDS;
    return isSmall ? PULL_INTERVAL_MS : LARGE_FLEET_PULL_INTERVAL_MS;
  }

  private _chooseStewards(): readonly string[] {
    const { self, stewards } = this._options;
    const known = new Set(stewards().map(({ id }) => id));
    for (const steward of this._unresponsive) if (!known.has(steward)) this._unresponsive.delete(steward);
    const count = known.size <= SMALL_FLEET_MAX_STEWARDS ? known.size : LARGE_FLEET_STEWARDS_QUERIED;
    return placeByRendezvous(self.id, stewards(), { count });
  }

  private async _query(steward: string): Promise<void> {
    if (this._queriesInFlight.has(steward)) return;
    this._queriesInFlight.add(steward);
    const { clients, clock, counters, self, onAnswer } = this._options;
    const querySentAtMs = clock.monotonic();
    try {
      const options = { timeoutMs: CALL_TIMEOUT_MS, signal: this._loop.signal };
      const { groups } = await clients
        .getLeaseClient(steward)
        .leases({ entry: self.id, unanswering: [...this._unresponsive] }, options);
      this._unresponsive.delete(steward);
      onAnswer(querySentAtMs, groups);
      counters.add('monsoonreach_lease_queries_total', { result: 'answered' });
    } catch {
      this._unresponsive.add(steward);
      counters.add('monsoonreach_lease_queries_total', { result: 'unanswered' });
    } finally {
      this._queriesInFlight.delete(steward);
    }
  }
}
