import {
  BackgroundLoop,
  type Candidate,
  type Clock,
  type Counters,
  placeByRendezvous,
} from '@monsoonreach/core';
import type { GroupLease, PeerClients } from '@monsoonreach/peers';

const PULL_INTERVAL_MS = 500;
/** The interval once a node asks only some of the stewards. */
const LARGE_FLEET_PULL_INTERVAL_MS = 1_000;
const CALL_TIMEOUT_MS = 800;
/** Stewards up to which a node asks all of them. */
const SMALL_FLEET = 8;
/** Stewards that a node asks in a larger fleet, which bounds its share of the control traffic. */
export const STEWARDS_ASKED = 4;

/** What a puller is made of. */
export interface LeasePullerOptions {
  readonly clients: PeerClients;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly self: Candidate;
  readonly stewards: () => readonly Candidate[];
  /** Takes one steward's answer to a query sent at this monotonic time. */
  readonly onAnswer: (querySentAtMs: number, leases: readonly GroupLease[]) => void;
  /** Called before each round. */
  readonly onTick?: () => void;
}

/** Asks stewards for whole leases, each a moment after its last answer. */
export class LeasePuller {
  private readonly _asking = new Set<string>();
  private readonly _unanswering = new Set<string>();
  private readonly _loop = new BackgroundLoop({
    turn: () => {
      this._turn();
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

  private _turn(): void {
    this._options.onTick?.();
    for (const steward of this._chooseStewards()) void this._ask(steward);
  }

  private _intervalMs(): number {
    const isSmall = this._options.stewards().length <= SMALL_FLEET;
    return isSmall ? PULL_INTERVAL_MS : LARGE_FLEET_PULL_INTERVAL_MS;
  }

  private _chooseStewards(): readonly string[] {
    const { self, stewards } = this._options;
    const known = new Set(stewards().map(({ id }) => id));
    for (const steward of this._unanswering) if (!known.has(steward)) this._unanswering.delete(steward);
    const count = known.size <= SMALL_FLEET ? known.size : STEWARDS_ASKED;
    return placeByRendezvous(self.id, stewards(), { count });
  }

  private async _ask(steward: string): Promise<void> {
    if (this._asking.has(steward)) return;
    this._asking.add(steward);
    const { clients, clock, counters, self, onAnswer } = this._options;
    const querySentAtMs = clock.monotonic();
    try {
      const options = { timeoutMs: CALL_TIMEOUT_MS, signal: this._loop.signal };
      const { groups } = await clients
        .leases(steward)
        .leases({ entry: self.id, unanswering: [...this._unanswering] }, options);
      this._unanswering.delete(steward);
      onAnswer(querySentAtMs, groups);
      counters.add('monsoonreach_lease_queries_total', { result: 'answered' });
    } catch {
      this._unanswering.add(steward);
      counters.add('monsoonreach_lease_queries_total', { result: 'unanswered' });
    } finally {
      this._asking.delete(steward);
    }
  }
}
