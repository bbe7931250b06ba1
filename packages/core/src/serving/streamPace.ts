/** Half-life of what a target's streams have shown, in milliseconds; a target may become slow, or recover. */
const HALF_LIFE_MS = 3_000;
/** Weight of the published pace, as the predicted duration of events that kept it, in milliseconds. */
const PUBLISHED_WEIGHT_MS = 500;

/** Events that a target has sent one after another; times are in milliseconds. */
export interface StreamProgress {
  /** Time since the event before them. */
  readonly durationMs: number;
  /** The same as predicted for a full batch; 0 if the stream was left without another event. */
  readonly predictedMs: number;
}

interface Shown {
  durationMs: number;
  predictedMs: number;
  atMs: number;
}

/**
 * The pace that each target keeps: how much longer the latest events of its streams took than predicted for a full
 * batch.
 */
export class StreamPace {
  private readonly _targets = new Map<string, Shown>();

  record(target: string, { durationMs, predictedMs }: StreamProgress, nowMs: number): void {
    const before = this._getShown(target, nowMs);
    this._targets.set(target, {
      durationMs: before.durationMs + durationMs,
      predictedMs: before.predictedMs + predictedMs,
      atMs: nowMs,
    });
  }

  /**
   * Factor on the predicted durations of a target's streams: the pace that it keeps times `margin`, at least 1. A target
   * that has shown nothing counts with its published pace.
   */
  getFactor(target: string, nowMs: number, margin = 1): number {
    const { durationMs, predictedMs } = this._getShown(target, nowMs);
    return Math.max(1, (margin * (durationMs + PUBLISHED_WEIGHT_MS)) / (predictedMs + PUBLISHED_WEIGHT_MS));
  }

  /** Removes all targets except these. */
  retain(targets: ReadonlySet<string>): void {
    for (const target of this._targets.keys()) if (!targets.has(target)) this._targets.delete(target);
  }

  private _getShown(target: string, nowMs: number): Shown {
    const { durationMs, predictedMs, atMs } = this._targets.get(target) ?? NOTHING_SHOWN;
    const weight = 0.5 ** ((nowMs - atMs) / HALF_LIFE_MS);
    return { durationMs: durationMs * weight, predictedMs: predictedMs * weight, atMs: nowMs };
  }
}

const NOTHING_SHOWN: Shown = { durationMs: 0, predictedMs: 0, atMs: 0 };
