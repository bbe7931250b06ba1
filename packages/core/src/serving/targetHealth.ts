/** Weight of the newest outcome in a target's failure rate. */
const SMOOTHING = 0.15;
/** First time that a silent target gets no new work, in milliseconds; doubles each time it is silent again. */
const FIRST_SUSPICION_MS = 700;
/** Longest such time, in milliseconds; the time in which engines give up on a lost member. */
const MAX_SUSPICION_MS = 4_000;
/** Failure rates lose half of their weight in this time, in milliseconds, so that a recovered target is tried again. */
const FAILURE_HALF_LIFE_MS = 3_000;

interface Health {
  failureRate: number;
  failureAtMs: number;
  suspicions: number;
  suspectUntilMs: number;
  progressAtMs: number;
}

/**
 * What requests have seen of each target: whether it goes silent, and how often it fails.
 *
 * Load pattern: an engine group that loses a member keeps accepting requests while nothing moves; and a target
 * that fails a part of its requests while its health check passes.
 */
export class TargetHealth {
  private readonly _targets = new Map<string, Health>();

  /** Bytes came from the target. */
  noteProgress(target: string, nowMs: number): void {
    const health = this._of(target);
    health.progressAtMs = nowMs;
    health.suspectUntilMs = 0;
  }

  /** A request ended well or badly. */
  noteOutcome(target: string, isFailure: boolean, nowMs: number): void {
    const health = this._of(target);
    const rate = decay(health, nowMs);
    health.failureRate = rate + SMOOTHING * ((isFailure ? 1 : 0) - rate);
    health.failureAtMs = nowMs;
    if (!isFailure) health.suspicions = 0;
  }

  /** Nothing moves at the target. Returns whether this is news. */
  noteSilence(target: string, nowMs: number): boolean {
    const health = this._of(target);
    if (health.suspectUntilMs > nowMs) return false;
    const lengthMs = Math.min(MAX_SUSPICION_MS, FIRST_SUSPICION_MS * 2 ** health.suspicions);
    health.suspicions++;
    health.suspectUntilMs = nowMs + lengthMs;
    return true;
  }

  isSuspect(target: string, nowMs: number): boolean {
    return (this._targets.get(target)?.suspectUntilMs ?? 0) > nowMs;
  }

  /** When bytes last came from the target; -Infinity when they never did. */
  progressAtMs(target: string): number {
    return this._targets.get(target)?.progressAtMs ?? -Infinity;
  }

  /** Share of failures lately, 0 to 1. */
  failureRate(target: string, nowMs: number): number {
    const health = this._targets.get(target);
    return health ? decay(health, nowMs) : 0;
  }

  /** Forgets targets that are gone. */
  retain(targets: ReadonlySet<string>): void {
    for (const target of this._targets.keys()) if (!targets.has(target)) this._targets.delete(target);
  }

  private _of(target: string): Health {
    let health = this._targets.get(target);
    if (!health) {
      health = {
        failureRate: 0,
        failureAtMs: 0,
        suspicions: 0,
        suspectUntilMs: 0,
        progressAtMs: -Infinity,
      };
      this._targets.set(target, health);
    }
    return health;
  }
}

function decay(health: Health, nowMs: number): number {
  return health.failureRate * 0.5 ** ((nowMs - health.failureAtMs) / FAILURE_HALF_LIFE_MS);
}
