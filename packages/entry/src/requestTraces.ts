import type { Clock } from '@monsoonreach/core';

const MAX_TRACES = 2_000;
const MAX_STEPS_PER_TRACE = 32;

/** Keeps the routing steps of the most recent requests, for operators. Later steps of a full trace are dropped. */
export class RequestTraces {
  private readonly _steps = new Map<string, string[]>();

  constructor(private readonly _clock: Clock) {}

  addStep(requestId: string, step: string): void {
    let steps = this._steps.get(requestId);
    if (!steps) {
      steps = [];
      this._steps.set(requestId, steps);
      this._evictOldest();
    }
    if (steps.length < MAX_STEPS_PER_TRACE)
      steps.push(`${new Date(this._clock.now()).toISOString()} ${step}`);
  }

  /** The steps of one request, oldest first; empty if its trace is not kept. */
  explain(requestId: string): readonly string[] {
    return this._steps.get(requestId) ?? [];
  }

  private _evictOldest(): void {
    if (this._steps.size <= MAX_TRACES) return;
    const [oldest] = this._steps.keys();
    if (oldest !== undefined) this._steps.delete(oldest);
  }
}
