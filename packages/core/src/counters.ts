import { build, type Histogram } from 'hdr-histogram-js';

type Labels = Readonly<Record<string, string>>;

const PERCENTILES = [50, 90, 95, 99] as const;

/** Counters, gauges and histograms of one process, exported in the text format that scrapers read. */
export class Counters {
  private readonly _counts = new Map<string, number>();
  private readonly _gauges = new Map<string, number>();
  private readonly _histograms = new Map<string, Histogram>();

  /** Adds to a counter, such as `monsoonreach_refusals_total{reason="queue-full"}`. */
  add(name: string, labels: Labels = {}, amount = 1): void {
    const id = toSeries(name, labels);
    this._counts.set(id, (this._counts.get(id) ?? 0) + amount);
  }

  /** Sets a gauge. */
  set(name: string, value: number, labels: Labels = {}): void {
    this._gauges.set(toSeries(name, labels), value);
  }

  /** Records a duration in milliseconds. */
  record(name: string, valueMs: number): void {
    let histogram = this._histograms.get(name);
    if (!histogram) {
      histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 3_600_000, bitBucketSize: 32 });
      this._histograms.set(name, histogram);
    }
    histogram.recordValue(Math.max(0, Math.round(valueMs)));
  }

  /** The value of one counter; 0 when it was never added to. */
  count(name: string, labels: Labels = {}): number {
    return this._counts.get(toSeries(name, labels)) ?? 0;
  }

  /** Every counter by its series. */
  counts(): ReadonlyMap<string, number> {
    return this._counts;
  }

  /** All series in the text exposition format. */
  expose(): string {
    const lines = [...this._counts, ...this._gauges].map(([series, value]) => `${series} ${value}`);
    for (const [name, histogram] of this._histograms) {
      for (const percentile of PERCENTILES) {
        const quantile = String(percentile / 100);
        lines.push(`${toSeries(name, { quantile })} ${histogram.getValueAtPercentile(percentile)}`);
      }
      lines.push(`${name}_count ${histogram.totalCount}`);
    }
    return `${lines.sort().join('\n')}\n`;
  }
}

function toSeries(name: string, labels: Labels): string {
  const pairs = Object.entries(labels).map(([key, value]) => `${key}="${value.replace(/["\\\n]/g, '_')}"`);
  return pairs.length === 0 ? name : `${name}{${pairs.join(',')}}`;
}
