/** Parts of the window in which requests and retries are counted. */
const PARTS = 10;
/** Share of the bound that is used, as nodes count their windows apart from each other. */
const SAFETY = 0.7;

/** The bound on retries that all nodes share. */
export interface RetryBound {
  /** Retries for each request in the window. */
  readonly share: number;
  /** Further retries in the window, over all nodes. */
  readonly slack: number;
  readonly windowMs: number;
}

interface Part {
  index: number;
  requests: number;
  retries: number;
}

/**
 * A node's part of the retries that a service may get in a sliding window: its own requests earn them, and the
 * fixed number is split evenly over the nodes.
 */
export class RetryAllowance {
  private readonly _services = new Map<string, Part[]>();

  constructor(
    private readonly _bound: RetryBound,
    private readonly _nodes: () => number,
  ) {}

  noteRequest(service: string, nowMs: number): void {
    this._part(service, nowMs).requests++;
  }

  /** Takes one retry; false when none is left in this window. */
  take(service: string, nowMs: number): boolean {
    const part = this._part(service, nowMs);
    const parts = this._services.get(service) ?? [];
    const requests = parts.reduce((sum, one) => sum + one.requests, 0);
    const retries = parts.reduce((sum, one) => sum + one.retries, 0);
    const allowed = SAFETY * (this._bound.share * requests + this._bound.slack / Math.max(1, this._nodes()));
    if (retries + 1 > allowed) return false;
    part.retries++;
    return true;
  }

  private _part(service: string, nowMs: number): Part {
    const index = Math.floor((nowMs * PARTS) / this._bound.windowMs);
    const parts = (this._services.get(service) ?? []).filter((part) => part.index > index - PARTS - 1);
    this._services.set(service, parts);
    const last = parts.at(-1);
    if (last?.index === index) return last;
    const part = { index, requests: 0, retries: 0 };
    parts.push(part);
    return part;
  }
}
