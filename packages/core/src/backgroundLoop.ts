import { pause } from './deadline.js';

/** What a loop is made of. */
export interface BackgroundLoopOptions {
  /** One turn; it should not throw. The signal aborts when the loop is to end. */
  readonly turn: (signal: AbortSignal) => Promise<void> | void;
  /** The wait after each turn, in milliseconds. */
  readonly intervalMs: () => number;
}

/** Runs a turn again and again, with a wait between, until it is stopped. */
export class BackgroundLoop {
  private readonly _controller = new AbortController();
  private _running: Promise<void> | undefined;

  constructor(private readonly _options: BackgroundLoopOptions) {}

  /** Aborts when the loop is to end; for the calls that a turn makes. */
  get signal(): AbortSignal {
    return this._controller.signal;
  }

  start(): void {
    this._running ??= this._run();
  }

  /** Ends the loop and resolves when the turn under way has ended. */
  async stop(): Promise<void> {
    this._controller.abort();
    await this._running;
  }

  private async _run(): Promise<void> {
    while (!this.signal.aborted) {
      await this._options.turn(this.signal);
      await pause(this._options.intervalMs(), this.signal);
    }
  }
}
