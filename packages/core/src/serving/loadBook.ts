import type { BatchLoad, RequestSize } from './engineCost.js';

/** How long figures that a peer spread count at first, in milliseconds; several times the interval at which it does. */
const PEER_LIFE_MS = 1_500;
/** How long figures that a peer told this node itself count, in milliseconds; it repeats them each second. */
const TOLD_LIFE_MS = 2_500;
/** Time for which figures told by the peer itself go before those that it spreads, in milliseconds; as above. */
const TOLD_PREFERENCE_MS = 1_500;

interface OwnLoad {
  requests: number;
  contextTokens: number;
  unreadTokens: number;
}

/** Requests, context tokens and unread prompt tokens of one node at one target. */
export type LoadFigures = readonly [requests: number, contextTokens: number, unreadTokens: number];

/** A place that this node gave a peer and that the peer's figures do not show yet. */
interface Grant {
  readonly target: string;
  readonly size: RequestSize;
}

interface PeerLoads {
  readonly atMs: number;
  readonly source: 'spread' | 'told';
  readonly incarnation: string | undefined;
  readonly sequence: number;
  readonly loads: ReadonlyMap<string, LoadFigures>;
  readonly grants: Map<number, Grant>;
}

/** What a peer tells the node that gives places: all that it has in progress, and which answers it still awaits. */
export interface ToldLoads {
  readonly incarnation: string;
  readonly sequence: number;
  readonly loads: ReadonlyMap<string, LoadFigures>;
  /** Number of its last question. */
  readonly lastAsk: number;
  /** Numbers of the questions whose answers had not come when it wrote this. */
  readonly openAsks: readonly number[];
}

/**
 * What this node has in progress at each target, and what its peers say that they have.
 *
 * Load pattern: many nodes with few requests each. One node that knows what all have in progress, down to the
 * places that it gave a moment ago, fills groups evenly; nodes that choose by old figures overfill some.
 */
export class LoadBook {
  /** How long figures that peers spread count, in milliseconds. */
  peerLifeMs = PEER_LIFE_MS;
  private readonly _own = new Map<string, OwnLoad>();
  private readonly _peers = new Map<string, PeerLoads>();

  /** @param _onChange called whenever this node's own figures change. */
  constructor(private readonly _onChange: () => void = () => undefined) {}

  /** A request goes to the target; returns what to call when its prompt is read, and when it ends. */
  begin(target: string, size: RequestSize): { readonly read: () => void; readonly end: () => void } {
    const load = this._ofOwn(target);
    load.requests++;
    load.contextTokens += size.promptTokens;
    load.unreadTokens += size.promptTokens;
    this._onChange();
    let isUnread = true;
    const read = () => {
      if (!isUnread) return;
      isUnread = false;
      load.unreadTokens -= size.promptTokens;
      this._onChange();
    };
    const end = () => {
      read();
      load.requests--;
      load.contextTokens -= size.promptTokens;
      if (load.requests === 0) this._own.delete(target);
      this._onChange();
    };
    return { read, end };
  }

  /** Takes in what a peer spreads of what it has in progress. */
  learn(peer: string, loads: ReadonlyMap<string, LoadFigures>, atMs: number): void {
    const before = this._peers.get(peer);
    if (before?.source === 'told' && atMs - before.atMs < TOLD_PREFERENCE_MS) return;
    const { incarnation, sequence = 0 } = before ?? {};
    this._peers.set(peer, { atMs, source: 'spread', incarnation, sequence, loads, grants: new Map() });
  }

  /** Takes in what a peer tells this node itself, unless it told something newer before. */
  learnTold(peer: string, told: ToldLoads, atMs: number): void {
    const before = this._peers.get(peer);
    const isSameStart = before?.incarnation === told.incarnation;
    if (isSameStart && before.sequence >= told.sequence) return;
    const open = new Set(told.openAsks);
    const grants = isSameStart ? before.grants : new Map<number, Grant>();
    for (const ask of grants.keys()) if (ask <= told.lastAsk && !open.has(ask)) grants.delete(ask);
    const { incarnation, sequence, loads } = told;
    this._peers.set(peer, { atMs, source: 'told', incarnation, sequence, loads, grants });
  }

  /** Counts a place that a peer is given until its own figures show it. */
  grant(peer: string, ask: number, target: string, size: RequestSize): void {
    this._peers.get(peer)?.grants.set(ask, { target, size });
  }

  /** This node's own figures, to tell its peers. */
  own(): ReadonlyMap<string, LoadFigures> {
    return new Map(
      [...this._own].map(([target, load]) => [
        target,
        [load.requests, load.contextTokens, load.unreadTokens] as const,
      ]),
    );
  }

  /** What all nodes together have there, by target. */
  totals(nowMs: number): ReadonlyMap<string, BatchLoad> {
    const totals = new Map<string, OwnLoad>();
    const add = (target: string, [requests, contextTokens, unreadTokens]: LoadFigures) => {
      const total = totals.get(target) ?? { requests: 0, contextTokens: 0, unreadTokens: 0 };
      total.requests += requests;
      total.contextTokens += contextTokens;
      total.unreadTokens += unreadTokens;
      totals.set(target, total);
    };
    for (const [target, figures] of this.own()) add(target, figures);
    for (const peer of this._peers.values()) {
      if (nowMs - peer.atMs > (peer.source === 'told' ? TOLD_LIFE_MS : this.peerLifeMs)) continue;
      for (const [target, figures] of peer.loads) add(target, figures);
      for (const { target, size } of peer.grants.values()) {
        add(target, [1, size.promptTokens, size.promptTokens]);
      }
    }
    return totals;
  }

  private _ofOwn(target: string): OwnLoad {
    let load = this._own.get(target);
    if (!load) {
      load = { requests: 0, contextTokens: 0, unreadTokens: 0 };
      this._own.set(target, load);
    }
    return load;
  }
}
