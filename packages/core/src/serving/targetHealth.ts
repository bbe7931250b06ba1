/** Weight of the latest outcome in the moving average of a target's failure rate. */
const FAILURE_SMOOTHING = 0.15;
/** Weight of the latest pause in the moving average of the pauses between two events. */
const PAUSE_SMOOTHING = 0.2;
/** How long a silent target is suspect and gets no new requests, in milliseconds; doubles each time it is silent again. */
const INITIAL_SUSPICION_MS = 700;
/** Maximum suspicion time, in milliseconds: the time in which engines declare a member lost. */
const MAX_SUSPICION_MS = 4_000;
/** Half-life of a failure rate, in milliseconds, so that a recovered target is tried again. */
const FAILURE_HALF_LIFE_MS = 3_000;

interface Health {
  failureRate: number;
  failureAtMs: number;
  consecutiveSuspicions: number;
  suspectUntilMs: number;
  /** Until when it is suspect because it sends nothing. */
  silentUntilMs: number;
  /** Until when it is suspect because it refuses. */
  refusedUntilMs: number;
  progressAtMs: number;
  /** When its connections last broke; those that break together count from the first one. */
  lostAtMs: number;
  usualPauseMs: number;
}

/** What a choice asks about targets. */
export type TargetJudgement = Pick<TargetHealth, 'isSuspect' | 'getFailureRate'>;

/**
 * Tracks the silence and the failure rate of each target, as observed by requests.
 *
 * Health checks are not enough: a group that lost a member keeps accepting requests without any progress, and a target
 * may fail part of its requests while its health check passes.
 */
export class TargetHealth {
  private readonly _targets = new Map<string, Health>();

  /** Records an event of a stream or bytes of another answer, which end the target's suspicion. */
  recordProgress(target: string, nowMs: number): void {
    const health = this._getHealth(target);
    health.progressAtMs = nowMs;
    health.suspectUntilMs = 0;
    health.silentUntilMs = 0;
    health.refusedUntilMs = 0;
  }

  /** Records the time between two events of a stream, or since its last event when it was left. */
  recordPause(target: string, pauseMs: number): void {
    const health = this._getHealth(target);
    health.usualPauseMs += PAUSE_SMOOTHING * (pauseMs - health.usualPauseMs);
  }

  /** Records the outcome of a request. */
  recordOutcome(target: string, isFailure: boolean, nowMs: number): void {
    const health = this._getHealth(target);
    const rate = decay(health, nowMs);
    health.failureRate = rate + FAILURE_SMOOTHING * ((isFailure ? 1 : 0) - rate);
    health.failureAtMs = nowMs;
    if (!isFailure) health.consecutiveSuspicions = 0;
  }

  /** Makes the target suspect because it sends nothing. Returns false if it already was for that reason. */
  recordSilence(target: string, nowMs: number): boolean {
    const health = this._getHealth(target);
    if (health.silentUntilMs > nowMs) return false;
    suspect(health, nowMs);
    health.silentUntilMs = health.suspectUntilMs;
    return true;
  }

  /**
   * Makes the target suspect because no connection to it was established. As it costs little to try again, the suspicion is
   * short each time, so that requests return soon after the path does.
   * @returns false if the target already was suspect because it sends nothing.
   */
  recordUnreachable(target: string, nowMs: number): boolean {
    const health = this._getHealth(target);
    if (health.silentUntilMs > nowMs) return false;
    health.suspectUntilMs = Math.max(health.suspectUntilMs, nowMs + INITIAL_SUSPICION_MS);
    health.silentUntilMs = health.suspectUntilMs;
    return true;
  }

  /**
   * Records that the target's connection ended before its answer was complete.
   * @returns whether that happened lately as well, to a request that was sent before this one, without progress since.
   */
  recordLoss(target: string, startedAtMs: number, nowMs: number): boolean {
    const health = this._getHealth(target);
    const { lostAtMs, progressAtMs } = health;
    const isKnown = nowMs - lostAtMs < MAX_SUSPICION_MS && progressAtMs <= lostAtMs;
    // Connections that break together are one event, in which the path may have failed.
    if (isKnown && startedAtMs < lostAtMs) return false;
    health.lostAtMs = nowMs;
    return isKnown;
  }

  /** Makes the target suspect because it refuses. Returns false if it already was suspect. */
  recordRefusal(target: string, nowMs: number): boolean {
    const health = this._getHealth(target);
    const isNew = suspect(health, nowMs);
    health.refusedUntilMs = health.suspectUntilMs;
    return isNew;
  }

  isSuspect(target: string, nowMs: number): boolean {
    return (this._targets.get(target)?.suspectUntilMs ?? 0) > nowMs;
  }

  /** Whether the target is suspect because it refuses, as it says itself. */
  isRefusing(target: string, nowMs: number): boolean {
    return (this._targets.get(target)?.refusedUntilMs ?? 0) > nowMs;
  }

  /** Returns the targets that are suspect. */
  listSuspects(nowMs: number): readonly string[] {
    return [...this._targets].flatMap(([target, { suspectUntilMs }]) =>
      suspectUntilMs > nowMs ? [target] : [],
    );
  }

  /** Time of the target's last progress, in milliseconds; -Infinity if it never made any. */
  getProgressAtMs(target: string): number {
    return this._targets.get(target)?.progressAtMs ?? -Infinity;
  }

  /** Returns the time of the last progress, in milliseconds, of the targets that made any since `sinceMs`. */
  listProgress(sinceMs: number): ReadonlyMap<string, number> {
    const targets = [...this._targets].filter(({ 1: { progressAtMs } }) => progressAtMs >= sinceMs);
    return new Map(targets.map(([target, { progressAtMs }]) => [target, progressAtMs]));
  }

  /** Usual time between two events of a stream, in milliseconds; 0 if unknown. */
  getUsualPauseMs(target: string): number {
    return this._targets.get(target)?.usualPauseMs ?? 0;
  }

  /** Recent share of failed requests, 0 to 1. */
  getFailureRate(target: string, nowMs: number): number {
    const health = this._targets.get(target);
    return health ? decay(health, nowMs) : 0;
  }

  /** Removes all targets except these. */
  retain(targets: ReadonlySet<string>): void {
    for (const target of this._targets.keys()) if (!targets.has(target)) this._targets.delete(target);
  }

  private _getHealth(target: string): Health {
    let health = this._targets.get(target);
    if (!health) {
      health = {
        failureRate: 0,
        failureAtMs: 0,
        consecutiveSuspicions: 0,
        suspectUntilMs: 0,
        silentUntilMs: 0,
        refusedUntilMs: 0,
        progressAtMs: -Infinity,
        lostAtMs: -Infinity,
        usualPauseMs: 0,
      };
      this._targets.set(target, health);
    }
    return health;
  }
}

/** Begins a suspicion, unless one lasts; each is longer than the one before. Returns whether it began. */
function suspect(health: Health, nowMs: number): boolean {
  if (health.suspectUntilMs > nowMs) return false;
  const suspicionMs = Math.min(MAX_SUSPICION_MS, INITIAL_SUSPICION_MS * 2 ** health.consecutiveSuspicions);
  health.consecutiveSuspicions++;
  health.suspectUntilMs = nowMs + suspicionMs;
  return true;
}

function decay(health: Health, nowMs: number): number {
  return health.failureRate * 0.5 ** ((nowMs - health.failureAtMs) / FAILURE_HALF_LIFE_MS);
}
