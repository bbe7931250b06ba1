import type { Clock } from '../clock.js';

/** Longest time for which an instance is left alone because it asked for it, in milliseconds. */
const MAX_PAUSE_MS = 600_000;
/** Time after which a leaving instance is forgotten, in milliseconds; it has ended long before. */
const LEAVING_TTL_MS = 120_000;

/** Instances that told this node in their answers that they take no requests from it. */
export class TargetAvailability {
  /** Incarnations of the instances, with the monotonic time from which on they may be used again. */
  private readonly _unavailable = new Map<string, number>();

  constructor(private readonly _clock: Clock) {}

  /** The instance leaves; returns false if that was known. */
  recordLeaving(incarnation: string): boolean {
    const isKnown = this._isUnavailable(incarnation);
    this._extend(incarnation, LEAVING_TTL_MS);
    return !isKnown;
  }

  /** The instance wants nothing from this node for `pauseMs`. */
  recordPause(incarnation: string, pauseMs: number): void {
    this._extend(incarnation, Math.min(pauseMs, MAX_PAUSE_MS));
  }

  /** Incarnations of the instances that may get no request from this node now. */
  listUnavailable(): ReadonlySet<string> {
    for (const id of this._unavailable.keys()) if (!this._isUnavailable(id)) this._unavailable.delete(id);
    return new Set(this._unavailable.keys());
  }

  private _isUnavailable(incarnation: string): boolean {
    return (this._unavailable.get(incarnation) ?? -Infinity) > this._clock.monotonic();
  }

  private _extend(incarnation: string, durationMs: number): void {
    const untilMs = this._clock.monotonic() + durationMs;
    this._unavailable.set(incarnation, Math.max(untilMs, this._unavailable.get(incarnation) ?? -Infinity));
  }
}
