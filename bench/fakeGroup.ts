import type { Simulation } from './simulation.js';

/** Capacity and speed of a fake group. */
export interface FakeGroupOptions {
  readonly id: string;
  readonly region: string;
  readonly concurrency: number;
  /** Number of prefixes in its LRU cache; 20 by default. */
  readonly cacheSize?: number;
  /** Multiplies all latencies; 1 by default. */
  readonly slowFactor?: number;
}

/** Time to the first token when the prompt's prefix is cached. */
const CACHE_HIT_FIRST_TOKEN_MS = 120;
/** Time to the first token when the whole prompt must be processed. */
const CACHE_MISS_FIRST_TOKEN_MS = 700;
const MS_PER_TOKEN = 30;

/** Outcome of one request at a fake group. */
export interface FakeResponse {
  readonly kind: 'whole' | 'lost';
  readonly firstTokenMs: number;
}

interface RunningRequest {
  readonly finish: (answer: FakeResponse) => void;
}

/** Simulated group: runs up to `concurrency` requests at once, queues the rest, and caches prompt prefixes. */
export class FakeGroup {
  isDown = false;
  servedCount = 0;
  private readonly _cache = new Set<string>();
  private readonly _waiting: (() => void)[] = [];
  private readonly _running = new Set<RunningRequest>();

  constructor(
    readonly options: FakeGroupOptions,
    private readonly _simulation: Simulation,
  ) {}

  /** Number of queued and running requests. */
  get inFlight(): number {
    return this._running.size + this._waiting.length;
  }

  /** Runs or queues a request and calls `onEnd` with its outcome; a request to a group that is down is lost. */
  submit(prefix: string, tokens: number, onEnd: (answer: FakeResponse) => void): void {
    const arrivedMs = this._simulation.clock.monotonic();
    if (this.isDown) {
      this._simulation.schedule(1, () => {
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

  /** Takes the group down: running requests end as lost, queued ones are dropped without an outcome. */
  fail(): void {
    this.isDown = true;
    this._waiting.length = 0;
    for (const running of [...this._running]) running.finish({ kind: 'lost', firstTokenMs: 0 });
  }

  private _start(
    prefix: string,
    tokens: number,
    arrivedMs: number,
    onEnd: (answer: FakeResponse) => void,
  ): void {
    const { concurrency, slowFactor = 1 } = this.options;
    const loadFactor = 1 + this._running.size / concurrency;
    const firstMs =
      (this._touchCache(prefix) ? CACHE_HIT_FIRST_TOKEN_MS : CACHE_MISS_FIRST_TOKEN_MS) *
      slowFactor *
      loadFactor;
    const firstTokenMs = this._simulation.clock.monotonic() - arrivedMs + firstMs;
    let isEnded = false;
    const running: RunningRequest = {
      finish: (answer) => {
        if (isEnded) return;
        isEnded = true;
        this._running.delete(running);
        this._waiting.shift()?.();
        onEnd(answer);
      },
    };
    this._running.add(running);
    this._simulation.schedule(firstMs + tokens * MS_PER_TOKEN * slowFactor * loadFactor, () => {
      this.servedCount++;
      running.finish({ kind: 'whole', firstTokenMs });
    });
  }

  private _touchCache(prefix: string): boolean {
    const isHit = this._cache.delete(prefix);
    this._cache.add(prefix);
    const [oldest] = this._cache;
    if (this._cache.size > (this.options.cacheSize ?? 20) && oldest !== undefined) this._cache.delete(oldest);
    return isHit;
  }
}
