import type { BatchLoad, RequestSize } from './engineCost.js';

/** Initial lifetime of loads received by gossip, in milliseconds: several gossip intervals. */
const GOSSIP_TTL_MS = 1_500;
/** Lifetime of loads that a peer reported directly, in milliseconds; peers repeat the report each second. */
const DIRECT_TTL_MS = 2_500;
/** How long a direct report takes precedence over gossip, in milliseconds; the report is repeated each second. */
const DIRECT_PREFERENCE_MS = 1_500;

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
  readonly size: RequestSize;
}

interface PeerLoads {
  readonly receivedAtMs: number;
  readonly source: 'spread' | 'told';
  readonly incarnation: string | undefined;
  readonly sequence: number;
  readonly loads: ReadonlyMap<string, TargetLoad>;
  readonly grants: Map<number, Grant>;
}

/** A peer's report to the coordinator: its requests in progress and the placement asks that it still awaits. */
export interface DirectLoadReport {
  readonly incarnation: string;
  readonly sequence: number;
  readonly loads: ReadonlyMap<string, TargetLoad>;
  /** Number of its latest ask. */
  readonly lastAsk: number;
  /** Numbers of the asks that were unanswered when the report was written. */
  readonly openAsks: readonly number[];
}

/**
 * Tracks the load of this node and its peers at each target.
 *
 * With many nodes of few requests each, nodes that choose by stale loads overfill some groups. A coordinator that knows
 * the loads of all nodes, including its latest grants, fills groups evenly.
 */
export class LoadTracker {
  /** Lifetime of loads received by gossip, in milliseconds. */
  gossipTtlMs = GOSSIP_TTL_MS;
  private readonly _ownLoads = new Map<string, LoadTotal>();
  private readonly _peers = new Map<string, PeerLoads>();

  /** @param _onChange called whenever this node's own loads change. */
  constructor(private readonly _onChange: () => void = () => undefined) {}

  /** Counts a request at the target; returns callbacks for the end of its prefill and the end of the request. */
  startRequest(
    target: string,
    size: RequestSize,
  ): { readonly endPrefill: () => void; readonly endRequest: () => void } {
    const load = this._getOwnLoad(target);
    load.requests++;
    load.contextTokens += size.promptTokens;
    load.pendingPromptTokens += size.promptTokens;
    this._onChange();
    let isPrefillPending = true;
    const endPrefill = () => {
      if (!isPrefillPending) return;
      isPrefillPending = false;
      load.pendingPromptTokens -= size.promptTokens;
      this._onChange();
    };
    const endRequest = () => {
      endPrefill();
      load.requests--;
      load.contextTokens -= size.promptTokens;
      if (load.requests === 0) this._ownLoads.delete(target);
      this._onChange();
    };
    return { endPrefill, endRequest };
  }

  /** Records a peer's loads received by gossip, unless a recent direct report takes precedence. */
  recordGossip(peer: string, loads: ReadonlyMap<string, TargetLoad>, atMs: number): void {
    const previous = this._peers.get(peer);
    if (previous?.source === 'told' && atMs - previous.receivedAtMs < DIRECT_PREFERENCE_MS) return;
    const { incarnation, sequence = 0 } = previous ?? {};
    this._peers.set(peer, {
      receivedAtMs: atMs,
      source: 'spread',
      incarnation,
      sequence,
      loads,
      grants: new Map(),
    });
  }

  /** Records a peer's direct report, unless a newer one was recorded before. */
  recordDirectReport(peer: string, report: DirectLoadReport, atMs: number): void {
    const previous = this._peers.get(peer);
    const isSameIncarnation = previous?.incarnation === report.incarnation;
    if (isSameIncarnation && previous.sequence >= report.sequence) return;
    const open = new Set(report.openAsks);
    const grants = isSameIncarnation ? previous.grants : new Map<number, Grant>();
    for (const ask of grants.keys()) if (ask <= report.lastAsk && !open.has(ask)) grants.delete(ask);
    const { incarnation, sequence, loads } = report;
    this._peers.set(peer, { receivedAtMs: atMs, source: 'told', incarnation, sequence, loads, grants });
  }

  /** Counts a target assigned to a peer's request until the peer's report includes it. */
  recordGrant(peer: string, ask: number, target: string, size: RequestSize): void {
    this._peers.get(peer)?.grants.set(ask, { target, size });
  }

  /** Returns this node's own loads by target, to be sent to its peers. */
  getOwnLoads(): ReadonlyMap<string, TargetLoad> {
    return new Map(
      [...this._ownLoads].map(([target, load]) => [
        target,
        [load.requests, load.contextTokens, load.pendingPromptTokens] as const,
      ]),
    );
  }

  /** Returns the sum of all nodes' current loads, by target. */
  computeTotals(nowMs: number): ReadonlyMap<string, BatchLoad> {
    const totals = new Map<string, LoadTotal>();
    const add = (target: string, [requests, contextTokens, pendingPromptTokens]: TargetLoad) => {
      const total = totals.get(target) ?? { requests: 0, contextTokens: 0, pendingPromptTokens: 0 };
      total.requests += requests;
      total.contextTokens += contextTokens;
      total.pendingPromptTokens += pendingPromptTokens;
      totals.set(target, total);
    };
    for (const [target, figures] of this.getOwnLoads()) add(target, figures);
    for (const peer of this._peers.values()) {
      if (nowMs - peer.receivedAtMs > (peer.source === 'told' ? DIRECT_TTL_MS : this.gossipTtlMs)) continue;
      for (const [target, figures] of peer.loads) add(target, figures);
      for (const { target, size } of peer.grants.values()) {
        add(target, [1, size.promptTokens, size.promptTokens]);
      }
    }
    return totals;
  }

  private _getOwnLoad(target: string): LoadTotal {
    let load = this._ownLoads.get(target);
    if (!load) {
      load = { requests: 0, contextTokens: 0, pendingPromptTokens: 0 };
      this._ownLoads.set(target, load);
    }
    return load;
  }
}
