import type { Clock } from '@monsoonreach/core';

/** Requests whose way is remembered for operators. */
const KEPT_TRACES = 2_000;
const KEPT_STEPS = 32;

/** Remembers, for a while, why each request went where it went. */
export class RequestTraces {
  private readonly _steps = new Map<string, string[]>();

  constructor(private readonly _clock: Clock) {}

  note(requestId: string, step: string): void {
    let steps = this._steps.get(requestId);
    if (!steps) {
      steps = [];
      this._steps.set(requestId, steps);
      this._forgetOldest();
    }
    if (steps.length < KEPT_STEPS) steps.push(`${new Date(this._clock.now()).toISOString()} ${step}`);
  }

  /** The steps of one request, oldest first; none when it is not remembered. */
  explain(requestId: string): readonly string[] {
    return this._steps.get(requestId) ?? [];
  }

  private _forgetOldest(): void {
    if (this._steps.size <= KEPT_TRACES) return;
    const [oldest] = this._steps.keys();
    if (oldest !== undefined) this._steps.delete(oldest);
  }
}
