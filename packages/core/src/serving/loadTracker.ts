import type { BatchLoad, RequestSize } from './engineCost.js';

/** Lifetime of the loads that a peer reported, in milliseconds; peers repeat the report each second. */
const REPORT_TTL_MS = 2_500;

interface LoadTotal {
  requests: number;
  contextTokens: number;
  pendingPromptTokens: number;
}

/** Requests, context tokens and prompt tokens that await prefill, of one node at one target. */
export type TargetLoad = readonly [requests: number, contextTokens: number, pendingPromptTokens: number];

/** A target that this node assigned to a peer's request and that the peer's reported loads do not include yet. */
interface Grant {
  readonly target: string;
  readonly load: TargetLoad;
}

interface PeerLoads {
  readonly receivedAtMs: number;
  readonly sequence: number;
  readonly loads: ReadonlyMap<string, TargetLoad>;
  readonly grants: Map<number, Grant>;
}

/** A peer's report to the owner of the targets: its requests in progress and the asks that it still awaits. */
export interface LoadReport {
  readonly sequence: number;
  readonly loads: ReadonlyMap<string, TargetLoad>;
  /** Number of its latest ask. */
  readonly lastAsk: number;
  /** Numbers of the asks that were unanswered when the report was written. */
  readonly openAsks: readonly number[];
}

const NO_LOAD: BatchLoad = { requests: 0, contextTokens: 0, pendingPromptTokens: 0 };

/**
 * Tracks the load of this node and its peers at each target.
 *
 * With many nodes of few requests each, nodes that choose by what they know themselves overfill some groups. The owner
 * of a group knows the loads of all nodes, including its latest grants, and fills groups evenly.
 */
export class LoadTracker {
  private readonly _ownLoads = new Map<string, LoadTotal>();
  private readonly _peers = new Map<string, PeerLoads>();
  /** Sums of the peers' loads and grants, kept up to date with each report. */
  private readonly _peerTotals = new Map<string, LoadTotal>();

  /** @param _onChange called with the target whenever this node's own load of it changes. */
  constructor(private readonly _onChange: (target: string) => void = () => undefined) {}

  /** Counts a request at the target; returns callbacks for the end of its prefill and the end of the request. */
  startRequest(
    target: string,
    size: RequestSize,
  ): { readonly endPrefill: () => void; readonly endRequest: () => void } {
    const load = getOrCreate(this._ownLoads, target);
    addLoad(load, toLoad(size), 1);
    this._onChange(target);
    let isPrefillPending = true;
    let isEnded = false;
    const endPrefill = () => {
      if (!isPrefillPending) return;
      isPrefillPending = false;
      load.pendingPromptTokens -= size.promptTokens;
      this._onChange(target);
    };
    const endRequest = () => {
      if (isEnded) return;
      isEnded = true;
      endPrefill();
      load.requests--;
      load.contextTokens -= size.promptTokens;
      if (load.requests === 0) this._ownLoads.delete(target);
      this._onChange(target);
    };
    return { endPrefill, endRequest };
  }

  /**
   * Records a peer's report, unless a newer one was recorded before.
   * @param peer id of one start of the peer.
   */
  recordReport(peer: string, report: LoadReport, atMs: number): void {
    const previous = this._peers.get(peer);
    if (previous && previous.sequence >= report.sequence) return;
    this._forget(peer);
    const open = new Set(report.openAsks);
    const grants = new Map(
      [...(previous?.grants ?? [])].filter(([ask]) => ask > report.lastAsk || open.has(ask)),
    );
    const { sequence, loads } = report;
    const current = { receivedAtMs: atMs, sequence, loads, grants };
    this._peers.set(peer, current);
    this._addPeer(current, 1);
  }

  /** Counts a target assigned to a peer's request until the peer's report includes it. */
  recordGrant(peer: string, ask: number, target: string, size: RequestSize): void {
    const grants = this._peers.get(peer)?.grants;
    if (!grants || grants.has(ask)) return;
    const load = toLoad(size);
    grants.set(ask, { target, load });
    this._addToPeerTotal(target, load, 1);
  }

  /** Forgets the loads of peers that have not reported lately. */
  removeExpired(nowMs: number): void {
    for (const [peer, { receivedAtMs }] of this._peers) {
      if (nowMs - receivedAtMs > REPORT_TTL_MS) this._forget(peer);
    }
  }

  /** Forgets what peers reported, as this node no longer owns the targets. */
  forgetPeers(): void {
    this._peers.clear();
    this._peerTotals.clear();
  }

  /** Returns this node's own loads by target. */
  getOwnLoads(): ReadonlyMap<string, TargetLoad> {
    return new Map(
      [...this._ownLoads].map(([target, load]) => [
        target,
        [load.requests, load.contextTokens, load.pendingPromptTokens] as const,
      ]),
    );
  }

  /** Returns the load that this node and the peers that reported to it have at the target. */
  getLoad(target: string): BatchLoad {
    const own = this._ownLoads.get(target);
    const peers = this._peerTotals.get(target);
    if (!own || !peers) return own ?? peers ?? NO_LOAD;
    return {
      requests: own.requests + peers.requests,
      contextTokens: own.contextTokens + peers.contextTokens,
      pendingPromptTokens: own.pendingPromptTokens + peers.pendingPromptTokens,
    };
  }

  /** Whether this node has requests at the target. */
  hasOwnLoad(target: string): boolean {
    return this._ownLoads.has(target);
  }

  /** Returns the peers that have requests at the target, as they reported. */
  listPeersAt(target: string): readonly string[] {
    return [...this._peers].flatMap(([peer, { loads }]) => (loads.has(target) ? [peer] : []));
  }

  private _forget(peer: string): void {
    const known = this._peers.get(peer);
    if (known) this._addPeer(known, -1);
    this._peers.delete(peer);
  }

  private _addPeer({ loads, grants }: PeerLoads, factor: 1 | -1): void {
    for (const [target, load] of loads) this._addToPeerTotal(target, load, factor);
    for (const { target, load } of grants.values()) this._addToPeerTotal(target, load, factor);
  }

  private _addToPeerTotal(target: string, load: TargetLoad, factor: 1 | -1): void {
    const total = getOrCreate(this._peerTotals, target);
    addLoad(total, load, factor);
    if (total.requests === 0) this._peerTotals.delete(target);
  }
}

function toLoad({ promptTokens }: RequestSize): TargetLoad {
  return [1, promptTokens, promptTokens];
}

function addLoad(total: LoadTotal, [requests, context, pending]: TargetLoad, factor: 1 | -1): void {
  total.requests += factor * requests;
  total.contextTokens += factor * context;
  total.pendingPromptTokens += factor * pending;
}

function getOrCreate(totals: Map<string, LoadTotal>, target: string): LoadTotal {
  let total = totals.get(target);
  if (!total) {
    total = { requests: 0, contextTokens: 0, pendingPromptTokens: 0 };
    totals.set(target, total);
  }
  return total;
}
