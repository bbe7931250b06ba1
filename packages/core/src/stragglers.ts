import type { Clock } from './clock.js';

const SMOOTHING = 0.2;
const SLOW_FACTOR = 2.5;
const RECOVERED_FACTOR = 1.5;
const MIN_SAMPLES = 5;
const MAX_EJECTED_SHARE = 0.2;
const TRICKLE_INTERVAL_MS = 10_000;

interface Pace {
  meanMs: number;
  samples: number;
  isOnProbation: boolean;
  lastTrickleMs: number;
}

/**
 * Finds targets that are slow against the median of their peers and puts them on probation, where they get a
 * trickle of work that shows when they have recovered. Never more than a fifth; and since the measure is the
 * median, none when most are slow.
 */
export class Stragglers {
  private readonly _paces = new Map<string, Pace>();

  constructor(private readonly _clock: Clock) {}

  /** Takes in one request's time, in milliseconds. */
  record(target: string, durationMs: number): void {
    const pace = this._of(target);
    const step = pace.samples === 0 ? 1 : SMOOTHING;
    pace.meanMs += step * (durationMs - pace.meanMs);
    pace.samples++;
    this._judge(target, pace);
  }

  isOnProbation(target: string): boolean {
    return this._paces.get(target)?.isOnProbation ?? false;
  }

  /** Whether a target on probation may take one request now; it uses the trickle up. */
  takeTrickle(target: string): boolean {
    const pace = this._paces.get(target);
    if (!pace?.isOnProbation) return true;
    const nowMs = this._clock.monotonic();
    if (nowMs - pace.lastTrickleMs < TRICKLE_INTERVAL_MS) return false;
    pace.lastTrickleMs = nowMs;
    return true;
  }

  /** Forgets targets that are gone. */
  retain(targets: ReadonlySet<string>): void {
    for (const target of this._paces.keys()) if (!targets.has(target)) this._paces.delete(target);
  }

  private _judge(target: string, pace: Pace): void {
    const medianMs = this._medianOfOthers(target);
    if (medianMs === undefined) return;
    if (pace.isOnProbation) {
      if (pace.meanMs < medianMs * RECOVERED_FACTOR) pace.isOnProbation = false;
      return;
    }
    const isSlow = pace.samples >= MIN_SAMPLES && pace.meanMs > medianMs * SLOW_FACTOR;
    if (!isSlow || !this._mayEject()) return;
    pace.isOnProbation = true;
    pace.lastTrickleMs = this._clock.monotonic();
  }

  private _mayEject(): boolean {
    const paces = [...this._paces.values()];
    const ejected = paces.filter((pace) => pace.isOnProbation).length;
    return ejected + 1 <= paces.length * MAX_EJECTED_SHARE;
  }

  private _medianOfOthers(target: string): number | undefined {
    const means: number[] = [];
    for (const [other, pace] of this._paces) {
      if (other !== target && pace.samples >= MIN_SAMPLES) means.push(pace.meanMs);
    }
    means.sort((a, b) => a - b);
    return means[Math.floor(means.length / 2)];
  }

  private _of(target: string): Pace {
    let pace = this._paces.get(target);
    if (!pace) {
      pace = { meanMs: 0, samples: 0, isOnProbation: false, lastTrickleMs: 0 };
      this._paces.set(target, pace);
    }
    return pace;
  }
}
