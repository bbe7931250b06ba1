import type { BatchLoad, RequestSize } from '@monsoonreach/core';

/** How long a peer's figures count at first, in milliseconds; several times the interval at which peers tell them. */
const PEER_LIFE_MS = 1_500;

interface OwnLoad {
  requests: number;
  contextTokens: number;
  unreadTokens: number;
}

/** Requests and context tokens of one node at one target. */
export type LoadFigures = readonly [requests: number, contextTokens: number, unreadTokens: number];

interface PeerLoads {
  readonly atMs: number;
  readonly loads: ReadonlyMap<string, LoadFigures>;
}

/** What this node has in progress at each target, and what its peers say that they have. */
export class LoadBook {
  /** How long a peer's figures count, in milliseconds. */
  peerLifeMs = PEER_LIFE_MS;
  private readonly _own = new Map<string, OwnLoad>();
  private readonly _peers = new Map<string, PeerLoads>();

  /** A request goes to the target; returns what to call when its prompt is read, and when it ends. */
  begin(target: string, size: RequestSize): { readonly read: () => void; readonly end: () => void } {
    const load = this._ofOwn(target);
    load.requests++;
    load.contextTokens += size.promptTokens;
    load.unreadTokens += size.promptTokens;
    let isUnread = true;
    const read = () => {
      if (!isUnread) return;
      isUnread = false;
      load.unreadTokens -= size.promptTokens;
    };
    const end = () => {
      read();
      load.requests--;
      load.contextTokens -= size.promptTokens;
      if (load.requests === 0) this._own.delete(target);
    };
    return { read, end };
  }

  /** Takes in what a peer says that it has in progress. */
  learn(peer: string, loads: ReadonlyMap<string, LoadFigures>, atMs: number): void {
    this._peers.set(peer, { atMs, loads });
  }

  forget(peer: string): void {
    this._peers.delete(peer);
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

  /** What all nodes together have at the target. */
  estimate(target: string, nowMs: number): BatchLoad {
    const own = this._own.get(target);
    let requests = own?.requests ?? 0;
    let contextTokens = own?.contextTokens ?? 0;
    let unreadTokens = own?.unreadTokens ?? 0;
    for (const { atMs, loads } of this._peers.values()) {
      if (nowMs - atMs > this.peerLifeMs) continue;
      const load = loads.get(target);
      if (!load) continue;
      requests += load[0];
      contextTokens += load[1];
      unreadTokens += load[2];
    }
    return { requests, contextTokens, unreadTokens };
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
