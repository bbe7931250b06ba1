import { ManualClock } from '@monsoonreach/core';
import { build, type Histogram } from 'hdr-histogram-js';

interface Scheduled {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

/** Runs scheduled steps in order of a clock that jumps from one to the next. */
export class Simulation {
  readonly clock = new ManualClock();
  private readonly _heap: Scheduled[] = [];
  private _order = 0;

  /** Runs a step `delayMs` from now. */
  after(delayMs: number, run: () => void): void {
    this._push({ atMs: this.clock.monotonic() + Math.max(0, delayMs), order: this._order++, run });
  }

  /** Runs every step that is due before `endMs`; what the policies await settles between steps. */
  async run(endMs: number): Promise<void> {
    for (let next = this._pop(); next && next.atMs <= endMs; next = this._pop()) {
      this.clock.advance(Math.max(0, next.atMs - this.clock.monotonic()));
      next.run();
      await settle();
    }
  }

  private _push(step: Scheduled): void {
    this._heap.push(step);
    let index = this._heap.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(step, this._heap[parent])) break;
      this._swap(index, parent);
      index = parent;
    }
  }

  private _pop(): Scheduled | undefined {
    const [top] = this._heap;
    const last = this._heap.pop();
    if (this._heap.length > 0 && last) {
      this._heap[0] = last;
      this._sink();
    }
    return top;
  }

  private _sink(): void {
    for (let index = 0; ;) {
      const left = index * 2 + 1;
      const right = left + 1;
      const child = isBefore(this._heap[right], this._heap[left]) ? right : left;
      if (!isBefore(this._heap[child], this._heap[index])) return;
      this._swap(index, child);
      index = child;
    }
  }

  private _swap(a: number, b: number): void {
    [this._heap[a], this._heap[b]] = [this._heap[b] as Scheduled, this._heap[a] as Scheduled];
  }
}

function isBefore(a: Scheduled | undefined, b: Scheduled | undefined): boolean {
  if (!a || !b) return a !== undefined;
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
}

async function settle(): Promise<void> {
  for (let turn = 0; turn < 4; turn++) await Promise.resolve();
}

/** A histogram of milliseconds. */
export function createHistogram(): Histogram {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: 86_400_000, bitBucketSize: 32 });
}

/** The percentiles that the tables show. */
export function toPercentiles(histogram: Histogram): Readonly<Record<string, number>> {
  return {
    p50: histogram.getValueAtPercentile(50),
    p95: histogram.getValueAtPercentile(95),
    p99: histogram.getValueAtPercentile(99),
  };
}

/** Time to the next of events that come at random with this mean interval. */
export function exponential(meanMs: number, random: { next(): number }): number {
  return -Math.log(1 - random.next()) * meanMs;
}
