import type { Clock } from './clock.js';
import { CancelledError, DeadlineExceededError } from './errors.js';

/** A monotonic deadline with cancellation, passed through every long call. */
export class Deadline {
  readonly signal: AbortSignal;
  private readonly _controller = new AbortController();
  private readonly _timer: NodeJS.Timeout;

  private constructor(
    private readonly _clock: Clock,
    private readonly _endsAtMs: number,
    awaited: string,
  ) {
    this.signal = this._controller.signal;
    const remainingMs = Math.max(0, _endsAtMs - _clock.monotonic());
    this._timer = setTimeout(() => {
      this._controller.abort(
        new DeadlineExceededError(`Timed out waiting for ${awaited}; raise the timeout or check the peer.`),
      );
    }, remainingMs);
    this._timer.unref();
  }

  /** A deadline `ms` from now; `awaited` names what is waited for in the error. */
  static after(ms: number, awaited: string, clock: Clock): Deadline {
    return new Deadline(clock, clock.monotonic() + ms, awaited);
  }

  /** Milliseconds left, never negative. */
  remainingMs(): number {
    return Math.max(0, this._endsAtMs - this._clock.monotonic());
  }

  isOver(): boolean {
    return this.signal.aborted || this.remainingMs() === 0;
  }

  /** Aborts every wait under this deadline, with the reason. */
  cancel(reason: string): void {
    clearTimeout(this._timer);
    if (!this.signal.aborted) this._controller.abort(new CancelledError(reason));
  }

  /** Clears the timer; waits no longer time out. */
  dispose(): void {
    clearTimeout(this._timer);
  }
}

/** Resolves after `ms`, or at once when the signal aborts; never rejects. */
export function pause(ms: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted) {
      resolve();
      return;
    }
    const finish = () => {
      clearTimeout(timer);
      signal?.removeEventListener('abort', finish);
      resolve();
    };
    const timer = setTimeout(finish, ms);
    signal?.addEventListener('abort', finish, { once: true });
  });
}
