import type { Clock } from '../clock.js';
import { listFailureDomains, type TargetLocation } from './targetInstance.js';

/**
 * Part of the bound that is left once targets are excluded, in milliseconds: the long poll in which the order is read, and
 * a request that waits for its grant and its connection meanwhile.
 */
const RESERVED_MS = 2_500;
/** Longest time between the acknowledgement of an order and the read that brings it, with contact to the store, in milliseconds. */
const LONG_POLL_MS = 1_100;

/** How targets in an evacuated failure domain are treated: used only if no other has capacity, or never. */
export type EvacuationPhase = 'avoided' | 'excluded';

/** A record by which the operator orders or revokes the evacuation of a failure domain. */
export interface EvacuationRecord {
  readonly failureDomain: string;
  /** Offset of the record; undefined if its source does not tell it. */
  readonly offset: number | undefined;
}

/** A failure domain that is evacuated. */
export interface Evacuation extends EvacuationRecord {
  /** Monotonic time at which this node first read the order, in milliseconds. */
  readonly sinceMs: number;
  readonly phase: EvacuationPhase;
}

/** What has changed, for the log. */
export type EvacuationEvent = EvacuationRecord &
  (
    | { readonly kind: 'ordered'; readonly phase: EvacuationPhase }
    | { readonly kind: 'phase'; readonly phase: EvacuationPhase }
    | { readonly kind: 'revoked' }
  );

interface KnownOrder {
  readonly offset: number | undefined;
  readonly sinceMs: number;
  readonly excludedAtMs: number;
  /** The phase that was last reported. */
  readonly phase: EvacuationPhase;
}

/**
 * The failure domains that the operator has ordered to be evacuated, as far as this node has read.
 *
 * Targets there are avoided first, so that capacity can be provided elsewhere, then excluded in time for the bound, which
 * runs from the acknowledgement of the order. An order whose age is unknown excludes at once. State that cannot be read
 * again, as the store is out of reach, stays in force.
 */
export class Evacuations {
  private readonly _orders = new Map<string, KnownOrder>();
  private _version = 0;
  /** Monotonic time of the next change of a phase, in milliseconds. */
  private _nextPhaseAtMs = Infinity;

  /** Without `boundMs`, the time from an order until no request reaches its domain, all orders exclude at once. */
  constructor(
    private readonly _clock: Clock,
    private readonly _boundMs?: number,
  ) {}

  get isEmpty(): boolean {
    return this._orders.size === 0;
  }

  /** Changes with the orders and their phases, also with one that `advance` has yet to report. */
  get version(): number {
    return 2 * this._version + (this._clock.monotonic() < this._nextPhaseAtMs ? 0 : 1);
  }

  /**
   * Applies the orders of a snapshot; those that are not among them are revoked. A known order keeps its phase: it can only
   * exclude too early in relation to one that has replaced it.
   */
  applySnapshot(records: readonly EvacuationRecord[]): readonly EvacuationEvent[] {
    const listed = new Set(records.map(({ failureDomain }) => failureDomain));
    const gone = [...this._orders].filter(([failureDomain]) => !listed.has(failureDomain));
    return [
      ...gone.flatMap(([failureDomain, { offset }]) => this.revoke({ failureDomain, offset })),
      ...records.flatMap((record) => this._order(record, -Infinity)),
    ];
  }

  /**
   * Applies an order that was read as a change. `previousAtMs` is the monotonic time at which all earlier records were known
   * to have been read, so that a node that was disconnected in between does not take the order for a new one.
   */
  order(record: EvacuationRecord, previousAtMs: number): readonly EvacuationEvent[] {
    if (this._boundMs === undefined) return this._order(record, -Infinity);
    const byReadMs = this._clock.monotonic() + this._boundMs - RESERVED_MS;
    const byAgeMs = previousAtMs + this._boundMs - (RESERVED_MS - LONG_POLL_MS);
    return this._order(record, Math.min(byReadMs, byAgeMs));
  }

  /** Returns a failure domain to service. */
  revoke({ failureDomain, offset }: EvacuationRecord): readonly EvacuationEvent[] {
    if (!this._orders.delete(failureDomain)) return [];
    this._recordChange();
    return [{ kind: 'revoked', failureDomain, offset }];
  }

  /** Reports the phases that have changed with time; to be called periodically. */
  advance(): readonly EvacuationEvent[] {
    const nowMs = this._clock.monotonic();
    if (nowMs < this._nextPhaseAtMs) return [];
    const events: EvacuationEvent[] = [];
    for (const [failureDomain, order] of this._orders) {
      const phase = toPhase(order, nowMs);
      if (phase === order.phase) continue;
      this._orders.set(failureDomain, { ...order, phase });
      events.push({ kind: 'phase', failureDomain, offset: order.offset, phase });
    }
    this._recordChange();
    return events;
  }

  /** Phase of the failure domain; undefined if it is in service. */
  findPhase(failureDomain: string): EvacuationPhase | undefined {
    const order = this._orders.get(failureDomain);
    return order && toPhase(order, this._clock.monotonic());
  }

  /** The stricter phase of the failure domains of a target; undefined if all are in service. */
  findPhaseOf(target: TargetLocation): EvacuationPhase | undefined {
    if (this.isEmpty) return undefined;
    const phases = listFailureDomains(target).map((domain) => this.findPhase(domain));
    return phases.find((phase) => phase === 'excluded') ?? phases.find((phase) => phase !== undefined);
  }

  list(): readonly Evacuation[] {
    const nowMs = this._clock.monotonic();
    return [...this._orders].map(([failureDomain, order]) => ({
      failureDomain,
      offset: order.offset,
      sinceMs: order.sinceMs,
      phase: toPhase(order, nowMs),
    }));
  }

  private _order({ failureDomain, offset }: EvacuationRecord, excludedAtMs: number): EvacuationEvent[] {
    const nowMs = this._clock.monotonic();
    const known = this._orders.get(failureDomain);
    if (known) {
      // The bound runs from the first order: one that repeats it neither restarts nor skips a phase.
      this._orders.set(failureDomain, { ...known, offset });
      return [];
    }
    const phase = toPhase({ excludedAtMs }, nowMs);
    this._orders.set(failureDomain, { offset, sinceMs: nowMs, excludedAtMs, phase });
    this._recordChange();
    return [{ kind: 'ordered', failureDomain, offset, phase }];
  }

  private _recordChange(): void {
    this._version++;
    const pending = [...this._orders.values()].filter(({ phase }) => phase === 'avoided');
    this._nextPhaseAtMs = Math.min(Infinity, ...pending.map(({ excludedAtMs }) => excludedAtMs));
  }
}

function toPhase({ excludedAtMs }: Pick<KnownOrder, 'excludedAtMs'>, nowMs: number): EvacuationPhase {
  return nowMs >= excludedAtMs ? 'excluded' : 'avoided';
}
