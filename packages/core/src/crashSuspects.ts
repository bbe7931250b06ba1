import type { Clock } from './clock.js';

/** Number of groups that a request may break before it is refused everywhere. */
export const MAX_STRIKES = 2;
/** Duration of a quarantine, in milliseconds. */
export const QUARANTINE_MS = 600_000;
/**
 * How long a request whose group was lost waits before it goes to another, so that strikes recorded by any
 * entry arrive first, in milliseconds.
 */
export const STRIKE_PROPAGATION_MS = 150;
/** How long strikes count after the latest one, in milliseconds. */
const STRIKE_RETENTION_MS = 120_000;

interface Suspect {
  /** All known strikes: those recorded here, and what other nodes reported. */
  strikes: number;
  /** Strikes recorded by this node. */
  ownStrikes: number;
  seenAtMs: number;
  /** When each group broke off the request by its connection alone, on the monotonic clock. */
  readonly brokenOffAtMs: Map<string, number>;
}

/** Whether a request may run: without restriction, one suspect at a time, or not at all. */
export type SuspectStatus = 'clear' | 'suspect' | 'quarantined';

/**
 * Detects requests that break the groups that run them. The loss of a group adds a strike to each suspect
 * it was running, or to every request it was running if none was a suspect. A request that a group broke off counts
 * in the same way, but by itself, once for each group, and until the group is seen whole again. A complete answer clears a
 * request; `MAX_STRIKES` strikes quarantine it.
 */
export class CrashSuspects {
  private readonly _suspects = new Map<string, Suspect>();
  private readonly _quarantined = new Map<string, number>();
  private readonly _inFlight = new Map<string, Map<string, number>>();

  constructor(private readonly _clock: Clock) {}

  statusOf(fingerprint: string): SuspectStatus {
    const untilMs = this._quarantined.get(fingerprint);
    if (untilMs !== undefined && untilMs > this._clock.now()) return 'quarantined';
    return this._isSuspect(fingerprint) ? 'suspect' : 'clear';
  }

  /** Whether a suspect is in progress on this node; suspects run one at a time. */
  isSuspectRunning(): boolean {
    for (const running of this._inFlight.values()) {
      for (const fingerprint of running.keys()) if (this._isSuspect(fingerprint)) return true;
    }
    return false;
  }

  begin(fingerprint: string, group: string): void {
    const running = this._inFlight.get(group) ?? new Map<string, number>();
    running.set(fingerprint, (running.get(fingerprint) ?? 0) + 1);
    this._inFlight.set(group, running);
  }

  /** The request was answered completely; clears its strikes. */
  finish(fingerprint: string, group: string): void {
    this._remove(fingerprint, group);
    this._suspects.delete(fingerprint);
  }

  /** The request ended without an answer, for a reason other than the loss of its group. */
  endUnanswered(fingerprint: string, group: string): void {
    this._remove(fingerprint, group);
  }

  /** Records the loss of a group; returns the fingerprints to quarantine. */
  recordGroupLoss(group: string): readonly string[] {
    const running = [...(this._inFlight.get(group)?.keys() ?? [])];
    this._inFlight.delete(group);
    const suspects = running.filter((fingerprint) => this._isSuspect(fingerprint));
    const blamed = suspects.length > 0 ? suspects : running;
    return blamed.filter((fingerprint) => this._addStrike(fingerprint) >= MAX_STRIKES);
  }

  /**
   * Records that a group broke off one request, of which it may go on with others; returns the fingerprints to
   * quarantine. A suspect takes the blame for the others, which get no strike of their own.
   */
  recordRequestLoss(fingerprint: string, group: string): readonly string[] {
    const running = this._inFlight.get(group);
    if (running?.has(fingerprint) !== true) return [];
    const isSuspect = this._isSuspect(fingerprint);
    const hasSuspect = [...running.keys()].some((other) => this._isSuspect(other));
    running.delete(fingerprint);
    if (isSuspect) {
      for (const other of running.keys()) if (!this._isSuspect(other)) running.delete(other);
    }
    if (running.size === 0) this._inFlight.delete(group);
    if (hasSuspect && !isSuspect) return [];
    const suspect = this._findOrAdd(fingerprint);
    const isGroupCounted = suspect.brokenOffAtMs.has(group);
    suspect.brokenOffAtMs.set(group, this._clock.monotonic());
    suspect.seenAtMs = this._clock.now();
    if (isGroupCounted) return [];
    return this._addStrike(fingerprint) >= MAX_STRIKES ? [fingerprint] : [];
  }

  /**
   * Records that all members of a group were seen serving it at this monotonic time. Requests that it broke off before
   * did not break it: they lost a connection only, and the strikes are withdrawn.
   */
  recordWholeGroup(group: string, seenAtMs: number): void {
    for (const [fingerprint, suspect] of this._suspects) {
      const brokenOffAtMs = suspect.brokenOffAtMs.get(group);
      if (brokenOffAtMs === undefined || brokenOffAtMs >= seenAtMs) continue;
      suspect.brokenOffAtMs.delete(group);
      suspect.strikes--;
      suspect.ownStrikes--;
      if (suspect.strikes === 0) this._suspects.delete(fingerprint);
    }
  }

  /** Merges strikes that another node reported. */
  mergeStrikes(fingerprint: string, strikes: number): void {
    if (strikes < 1) return;
    const suspect = this._findOrAdd(fingerprint);
    if (suspect.ownStrikes === 0 || strikes > suspect.strikes) suspect.seenAtMs = this._clock.now();
    suspect.strikes = Math.max(suspect.strikes, strikes);
    if (strikes >= MAX_STRIKES) this.quarantine(fingerprint, this._clock.now() + QUARANTINE_MS);
  }

  /** Refuses the fingerprint until the wall-clock time `untilMs`. */
  quarantine(fingerprint: string, untilMs: number): void {
    this._quarantined.set(fingerprint, Math.max(untilMs, this._quarantined.get(fingerprint) ?? 0));
  }

  /** All known strikes. */
  strikes(): readonly (readonly [fingerprint: string, strikes: number])[] {
    this._pruneExpired();
    return [...this._suspects].map(([fingerprint, { strikes }]) => [fingerprint, strikes] as const);
  }

  /**
   * Strikes to report to other nodes. Each node reports the suspects to which it gave a strike: a node that passed on
   * what it was told would give it back to the one that has cleared the request, and renew it for ever.
   */
  reportableStrikes(): readonly (readonly [fingerprint: string, strikes: number])[] {
    this._pruneExpired();
    return [...this._suspects]
      .filter(([, { ownStrikes }]) => ownStrikes > 0)
      .map(([fingerprint, { strikes }]) => [fingerprint, strikes] as const);
  }

  private _findOrAdd(fingerprint: string): Suspect {
    const suspect = this._suspects.get(fingerprint) ?? {
      strikes: 0,
      ownStrikes: 0,
      seenAtMs: 0,
      brokenOffAtMs: new Map<string, number>(),
    };
    this._suspects.set(fingerprint, suspect);
    return suspect;
  }

  private _addStrike(fingerprint: string): number {
    const suspect = this._findOrAdd(fingerprint);
    suspect.strikes++;
    suspect.ownStrikes++;
    suspect.seenAtMs = this._clock.now();
    if (suspect.strikes >= MAX_STRIKES) this.quarantine(fingerprint, this._clock.now() + QUARANTINE_MS);
    return suspect.strikes;
  }

  private _isSuspect(fingerprint: string): boolean {
    const suspect = this._suspects.get(fingerprint);
    return suspect !== undefined && suspect.seenAtMs + STRIKE_RETENTION_MS > this._clock.now();
  }

  private _remove(fingerprint: string, group: string): void {
    const running = this._inFlight.get(group);
    const left = (running?.get(fingerprint) ?? 0) - 1;
    if (left > 0) running?.set(fingerprint, left);
    else running?.delete(fingerprint);
    if (running?.size === 0) this._inFlight.delete(group);
  }

  private _pruneExpired(): void {
    const nowMs = this._clock.now();
    for (const [fingerprint, { seenAtMs }] of this._suspects) {
      if (seenAtMs + STRIKE_RETENTION_MS <= nowMs) this._suspects.delete(fingerprint);
    }
    for (const [fingerprint, untilMs] of this._quarantined) {
      if (untilMs <= nowMs) this._quarantined.delete(fingerprint);
    }
  }
}
