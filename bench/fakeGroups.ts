import type { Simulation } from './simulation.js';

/** What a fake group is like. */
export interface FakeGroupOptions {
  readonly id: string;
  readonly region: string;
  readonly concurrency: number;
  /** Prefixes that its cache holds. */
  readonly cacheSize?: number;
  readonly slowFactor?: number;
}

/** Time to the first token of a prompt whose beginning is cached, in milliseconds. */
const HIT_MS = 120;
/** Time to the first token of a prompt that must be read whole, in milliseconds. */
const MISS_MS = 700;
const TOKEN_MS = 30;

/** How one request went at a fake group. */
export interface FakeAnswer {
  readonly kind: 'whole' | 'lost';
  readonly firstTokenMs: number;
}

interface Running {
  readonly finish: (answer: FakeAnswer) => void;
}

/** A group that batches up to its concurrency, queues the rest, and remembers prefixes. */
export class FakeGroup {
  isDark = false;
  served = 0;
  private readonly _cache = new Set<string>();
  private readonly _waiting: (() => void)[] = [];
  private readonly _running = new Set<Running>();

  constructor(
    readonly options: FakeGroupOptions,
    private readonly _simulation: Simulation,
  ) {}

  /** Requests at the group, waiting or running. */
  get inFlight(): number {
    return this._running.size + this._waiting.length;
  }

  /** Runs a request and tells its end; a dark group loses what it has and what comes. */
  submit(prefix: string, tokens: number, onEnd: (answer: FakeAnswer) => void): void {
    const arrivedMs = this._simulation.clock.monotonic();
    if (this.isDark) {
      this._simulation.after(1, () => {
        onEnd({ kind: 'lost', firstTokenMs: 0 });
      });
      return;
    }
    const start = () => {
      this._start(prefix, tokens, arrivedMs, onEnd);
    };
    if (this._running.size < this.options.concurrency) start();
    else this._waiting.push(start);
  }

  /** Goes dark: all that it has is lost at once. */
  darken(): void {
    this.isDark = true;
    this._waiting.length = 0;
    for (const running of [...this._running]) running.finish({ kind: 'lost', firstTokenMs: 0 });
  }

  private _start(
    prefix: string,
    tokens: number,
    arrivedMs: number,
    onEnd: (answer: FakeAnswer) => void,
  ): void {
    const { concurrency, slowFactor = 1 } = this.options;
    const crowding = 1 + this._running.size / concurrency;
    const firstMs = (this._touch(prefix) ? HIT_MS : MISS_MS) * slowFactor * crowding;
    const firstTokenMs = this._simulation.clock.monotonic() - arrivedMs + firstMs;
    let isEnded = false;
    const running: Running = {
      finish: (answer) => {
        if (isEnded) return;
        isEnded = true;
        this._running.delete(running);
        this._waiting.shift()?.();
        onEnd(answer);
      },
    };
    this._running.add(running);
    this._simulation.after(firstMs + tokens * TOKEN_MS * slowFactor * crowding, () => {
      this.served++;
      running.finish({ kind: 'whole', firstTokenMs });
    });
  }

  private _touch(prefix: string): boolean {
    const isHit = this._cache.delete(prefix);
    this._cache.add(prefix);
    const [oldest] = this._cache;
    if (this._cache.size > (this.options.cacheSize ?? 20) && oldest !== undefined) this._cache.delete(oldest);
    return isHit;
  }
}
