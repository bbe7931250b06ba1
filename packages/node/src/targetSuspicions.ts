import type { Clock, TargetHealth, TargetJudgement } from '@monsoonreach/core';

/** Age of a target's last bytes up to which peers' reports of silence are ignored, in milliseconds; two steps of a full batch. */
const RECENT_PROGRESS_MS = 200;

/** Dependencies of {@link TargetSuspicions}. */
export interface TargetSuspicionsOptions {
  readonly clock: Clock;
  readonly health: TargetHealth;
  /** Whether most nodes have found the target silent lately. */
  readonly isSilentForMost: (target: string) => boolean;
}

/**
 * Decides whose requests avoid a silent target. A node may have lost its own paths to targets that serve, so that what it
 * finds concerns its own requests only; what most nodes find concerns all.
 */
export class TargetSuspicions {
  constructor(private readonly _options: TargetSuspicionsOptions) {}

  /** Applies a peer's report that a target is silent, unless this node has just received bytes from the target. */
  applyReport(target: string): void {
    const { clock, health, isSilentForMost } = this._options;
    const nowMs = clock.monotonic();
    const hasProgress = nowMs - health.getProgressAtMs(target) <= RECENT_PROGRESS_MS;
    if (!hasProgress && isSilentForMost(target)) health.recordSilence(target, nowMs);
  }

  /** Judges targets for a request of a peer, which names the targets that it finds silent itself. */
  judgeForPeers(): TargetJudgement {
    const { health, isSilentForMost } = this._options;
    return {
      isSuspect: (target, nowMs) =>
        health.isRefusing(target, nowMs) || (health.isSuspect(target, nowMs) && isSilentForMost(target)),
      getFailureRate: (target, nowMs) => health.getFailureRate(target, nowMs),
    };
  }
}
