import type { Clock } from './clock.js';

const SMOOTHING = 0.2;
const SLOW_FACTOR = 2.5;
const RECOVERED_FACTOR = 1.5;
const MIN_SAMPLES = 5;
const MAX_EJECTED_SHARE = 0.2;
const PROBE_INTERVAL_MS = 10_000;

interface TargetLatency {
  meanMs: number;
  samples: number;
  isOnProbation: boolean;
  lastProbeAtMs: number;
}

/**
 * Puts targets on probation that are slow relative to the median of their peers; there they get only probe
 * requests, which show when they have recovered. At most a fifth of the targets are on probation, and none
 * when most are slow, since the reference is the median.
 */
export class Stragglers {
  private readonly _latencies = new Map<string, TargetLatency>();

  constructor(private readonly _clock: Clock) {}

  /** Records one request's duration, in milliseconds. */
  record(target: string, durationMs: number): void {
    const latency = this._getOrCreate(target);
    const smoothing = latency.samples === 0 ? 1 : SMOOTHING;
    latency.meanMs += smoothing * (durationMs - latency.meanMs);
    latency.samples++;
    this._updateProbation(target, latency);
  }

  isOnProbation(target: string): boolean {
    return this._latencies.get(target)?.isOnProbation ?? false;
  }

  /**
   * Whether the target may get a request now; on probation, one per `PROBE_INTERVAL_MS`, which this call
   * uses up.
   */
  acquireProbe(target: string): boolean {
    const latency = this._latencies.get(target);
    if (!latency?.isOnProbation) return true;
    const nowMs = this._clock.monotonic();
    if (nowMs - latency.lastProbeAtMs < PROBE_INTERVAL_MS) return false;
    latency.lastProbeAtMs = nowMs;
    return true;
  }

  /** Drops all targets but the given ones. */
  retain(targets: ReadonlySet<string>): void {
    for (const target of this._latencies.keys()) if (!targets.has(target)) this._latencies.delete(target);
  }

  private _updateProbation(target: string, latency: TargetLatency): void {
    const medianMs = this._medianOfOthers(target);
    if (medianMs === undefined) return;
    if (latency.isOnProbation) {
      if (latency.meanMs < medianMs * RECOVERED_FACTOR) latency.isOnProbation = false;
      return;
    }
    const isSlow = latency.samples >= MIN_SAMPLES && latency.meanMs > medianMs * SLOW_FACTOR;
    if (!isSlow || !this._isBelowEjectionLimit()) return;
    latency.isOnProbation = true;
    latency.lastProbeAtMs = this._clock.monotonic();
  }

  private _isBelowEjectionLimit(): boolean {
    const latencies = [...this._latencies.values()];
    const ejected = latencies.filter((latency) => latency.isOnProbation).length;
    return ejected + 1 <= latencies.length * MAX_EJECTED_SHARE;
  }

  private _medianOfOthers(target: string): number | undefined {
    const means: number[] = [];
    for (const [other, latency] of this._latencies) {
      if (other !== target && latency.samples >= MIN_SAMPLES) means.push(latency.meanMs);
    }
    means.sort((a, b) => a - b);
    return means[Math.floor(means.length / 2)];
  }

  private _getOrCreate(target: string): TargetLatency {
    let latency = this._latencies.get(target);
    if (!latency) {
      latency = { meanMs: 0, samples: 0, isOnProbation: false, lastProbeAtMs: 0 };
      this._latencies.set(target, latency);
    }
    return latency;
  }
}
