import { pause } from './deadline.js';

/** Options of a background loop. */
export interface BackgroundLoopOptions {
  /** One iteration; it should not throw. The signal aborts when the loop is stopped. */
  readonly runOnce: (signal: AbortSignal) => Promise<void> | void;
  /** Delay after each iteration, in milliseconds. */
  readonly intervalMs: () => number;
}

/** Runs an iteration repeatedly, with a delay in between, until it is stopped. */
export class BackgroundLoop {
  private readonly _controller = new AbortController();
  private _running: Promise<void> | undefined;

  constructor(private readonly _options: BackgroundLoopOptions) {}

  /** Aborts when the loop is stopped; for the calls that an iteration makes. */
  get signal(): AbortSignal {
    return this._controller.signal;
  }

  start(): void {
    this._running ??= this._run();
  }

  /** Stops the loop and resolves when the current iteration has ended. */
  async stop(): Promise<void> {
    this._controller.abort();
    await this._running;
  }

  private async _run(): Promise<void> {
    while (!this.signal.aborted) {
      await this._options.runOnce(this.signal);
      await pause(this._options.intervalMs(), this.signal);
    }
  }
}
