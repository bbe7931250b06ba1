import { ManualClock } from '@monsoonreach/core';
import { build, type Histogram } from 'hdr-histogram-js';

interface ScheduledEvent {
  readonly atMs: number;
  readonly sequence: number;
  readonly callback: () => void;
}

/** Discrete-event simulation: runs scheduled callbacks in time order and advances a manual clock to each. */
export class Simulation {
  readonly clock = new ManualClock();
  private readonly _heap: ScheduledEvent[] = [];
  private _nextSequence = 0;

  /** Schedules a callback `delayMs` from now. Callbacks due at the same time run in the order of scheduling. */
  schedule(delayMs: number, callback: () => void): void {
    this._push({
      atMs: this.clock.monotonic() + Math.max(0, delayMs),
      sequence: this._nextSequence++,
      callback,
    });
  }

  /** Runs every callback due up to `endMs`; pending promises are settled after each. */
  async run(endMs: number): Promise<void> {
    for (let next = this._pop(); next && next.atMs <= endMs; next = this._pop()) {
      this.clock.advance(Math.max(0, next.atMs - this.clock.monotonic()));
      next.callback();
      await drainMicrotasks();
    }
  }

  private _push(event: ScheduledEvent): void {
    this._heap.push(event);
    let index = this._heap.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(event, this._heap[parent])) break;
      this._swap(index, parent);
      index = parent;
    }
  }

  private _pop(): ScheduledEvent | undefined {
    const [top] = this._heap;
    const last = this._heap.pop();
    if (this._heap.length > 0 && last) {
      this._heap[0] = last;
      this._siftDown();
    }
    return top;
  }

  private _siftDown(): void {
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
    [this._heap[a], this._heap[b]] = [this._heap[b] as ScheduledEvent, this._heap[a] as ScheduledEvent];
  }
}

function isBefore(a: ScheduledEvent | undefined, b: ScheduledEvent | undefined): boolean {
  if (!a || !b) return a !== undefined;
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.sequence < b.sequence);
}

async function drainMicrotasks(): Promise<void> {
  for (let turn = 0; turn < 4; turn++) await Promise.resolve();
}

/** Creates a histogram of durations from 1 ms to one day. */
export function createHistogram(): Histogram {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: 86_400_000, bitBucketSize: 32 });
}

/** Returns the 50th, 95th and 99th percentile, in the histogram's unit. */
export function toPercentiles(histogram: Histogram): Readonly<Record<string, number>> {
  return {
    p50: histogram.getValueAtPercentile(50),
    p95: histogram.getValueAtPercentile(95),
    p99: histogram.getValueAtPercentile(99),
  };
}

/** Samples the time to the next event of a Poisson process with this mean interval. */
export function sampleExponential(meanMs: number, random: { next(): number }): number {
  return -Math.log(1 - random.next()) * meanMs;
}
