import type { Random } from './random.js';

/** Maximum number of retries that a workspace can save up. */
const MAX_BALANCE_RETRIES = 10;
/** Retries earned by each request unless the configuration sets another share. */
export const DEFAULT_RETRY_SHARE = 0.18;
const BASE_DELAY_MS = 25;
const MAX_DELAY_MS = 1_000;

/** Why a request is retried. */
export type RetryReason =
  'proven-unsent' | 'target-lost' | 'target-timeout' | 'wrong-echo' | 'truncated' | 'group-broken';

/** Options of a budget. */
export interface RetryBudgetOptions {
  /** Retries earned by each request, read each time; one plus this bounds the long-run amplification. */
  readonly share: () => number;
}

/** Retry budget of each workspace: a share of its requests, so that retries cannot multiply an overload. */
export class RetryBudgets {
  private readonly _balances = new Map<string, number>();

  constructor(private readonly _options: RetryBudgetOptions) {}

  /** Adds to the budget for a first attempt. */
  earn(workspace: string): void {
    this._balances.set(
      workspace,
      Math.min(MAX_BALANCE_RETRIES, this._balanceOf(workspace) + this._options.share()),
    );
  }

  /** Spends one retry; false when the budget is used up. */
  spend(workspace: string): boolean {
    const balance = this._balanceOf(workspace);
    if (balance < 1) return false;
    this._balances.set(workspace, balance - 1);
    return true;
  }

  private _balanceOf(workspace: string): number {
    return this._balances.get(workspace) ?? MAX_BALANCE_RETRIES;
  }
}

/** Delay before retry `attempt` (1 for the first): exponential backoff with full jitter, in milliseconds. */
export function retryDelayMs(attempt: number, random: Random): number {
  const ceilingMs = Math.min(MAX_DELAY_MS, BASE_DELAY_MS * 2 ** (attempt - 1));
  return random.next() * ceilingMs;
}
