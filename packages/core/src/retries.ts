import type { Random } from './random.js';

/** Retries that a workspace may have saved up at most. */
const MAX_SAVED_RETRIES = 10;
/** Retries earned by each request where the configuration says nothing. */
export const DEFAULT_RETRY_SHARE = 0.18;
const FIRST_DELAY_MS = 25;
const MAX_DELAY_MS = 1_000;

/** Why a request is tried again. */
export type RetryReason =
  'proven-unsent' | 'target-lost' | 'target-timeout' | 'wrong-echo' | 'truncated' | 'group-broken';

/** Options of a budget. */
export interface RetryBudgetOptions {
  /** Retries earned by each request, read anew each time; one plus this bounds the amplification in the long run. */
  readonly share: () => number;
}

/** A workspace's retries: a share of its requests, so that retries cannot multiply an overload. */
export class RetryBudgets {
  private readonly _saved = new Map<string, number>();

  constructor(private readonly _options: RetryBudgetOptions) {}

  /** Counts a first attempt. */
  earn(workspace: string): void {
    this._saved.set(workspace, Math.min(MAX_SAVED_RETRIES, this._of(workspace) + this._options.share()));
  }

  /** Takes one retry; false when the budget is spent. */
  spend(workspace: string): boolean {
    const saved = this._of(workspace);
    if (saved < 1) return false;
    this._saved.set(workspace, saved - 1);
    return true;
  }

  private _of(workspace: string): number {
    return this._saved.get(workspace) ?? MAX_SAVED_RETRIES;
  }
}

/** A wait before attempt `attempt` (1 for the first retry) with full jitter, in milliseconds. */
export function retryDelayMs(attempt: number, random: Random): number {
  const ceilingMs = Math.min(MAX_DELAY_MS, FIRST_DELAY_MS * 2 ** (attempt - 1));
  return random.next() * ceilingMs;
}
