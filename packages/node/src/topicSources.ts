import {
  chooseReader,
  type Clock,
  type Counters,
  freshestPeer,
  MonsoonreachError,
  type ReaderCandidate,
} from '@monsoonreach/core';
import {
  createConnector,
  decodeKeyedRecord,
  HistoryGoneError,
  type KeyedRecord,
  type StoreClient,
  StoreUnavailableError,
} from '@monsoonreach/platform';
import { Agent, request } from 'undici';
import { type DecisionLog, describeError } from './decisionLog.js';
import { decodeSlice } from './topicMessages.js';
import { GONE_STATUS, TOO_LARGE_STATUS } from './topicServer.js';

/** Longest wait for a connection to a peer, in milliseconds; many times the way between failure domains. */
const CONNECT_TIMEOUT_MS = 150;
/** Longest wait for a peer's answer beyond the wait that was asked for, in milliseconds; a peer may be busy for a moment. */
const ANSWER_TIMEOUT_MS = 300;
/** How long a peer that failed is not asked again, in milliseconds; about the time in which a lost peer is found out. */
const DOUBT_MS = 2_000;
/** How long a read through a peer waits for the first change while the store is doubted, in milliseconds. */
const INSTEAD_WAIT_MS = 300;
/** How long a store that failed is not asked while a peer can reach it, in milliseconds. */
const STORE_DOUBT_MS = 2_000;
/** Greatest age of what a peer has, in milliseconds; a reader hears from the store at least every 1.3 s. */
const MAX_PEER_AGE_MS = 1_900;

/** A peer gave no answer that can be used. */
class PeerReadError extends MonsoonreachError {
  readonly code = 'peer-read';
}

/** A peer has more to tell than it does over its link where the store can be asked. */
class LargeAnswerError extends PeerReadError {}

/** A peer that can be read through. */
export interface ReadablePeer extends ReaderCandidate {
  readonly address: string;
}

/** A read of a topic's changes. */
export interface TopicRead {
  readonly topic: string;
  readonly from: number;
  /** How long to wait for the first change, in milliseconds. */
  readonly waitMs: number;
  /** The same at a peer, which has each change as soon as it has read it. */
  readonly peerWaitMs: number;
  readonly signal: AbortSignal;
}

/** What was read. */
export interface TopicAnswer {
  readonly records: readonly KeyedRecord[];
  /** Offset after the last change. */
  readonly end: number;
  /** Monotonic time at which this was the newest. */
  readonly contactAtMs: number;
  /** Milliseconds since the peer that was asked reached the store again. */
  readonly regainedMs?: number | undefined;
  readonly isFromPeer: boolean;
}

/** What sources are made of. */
export interface TopicSourcesOptions {
  readonly node: string;
  readonly failureDomain: string;
  readonly store: StoreClient;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly log: DecisionLog;
  readonly peers: () => readonly ReadablePeer[];
  /** Whether this node must read the store itself, as the one that plans. */
  readonly isDirect: () => boolean;
}

/**
 * Reads topics from the store, or through a peer: where another node reads for this one, and where the store turns
 * this node away. Offsets are the store's, so that a reader can change its source at any time.
 */
export class TopicSources {
  private readonly _dispatcher = new Agent({ pipelining: 1, connect: createConnector(CONNECT_TIMEOUT_MS) });
  /** Peers that failed, with the time until which they are not asked. */
  private readonly _doubted = new Map<string, number>();
  private _storeDoubtedUntilMs = -Infinity;

  constructor(private readonly _options: TopicSourcesOptions) {}

  /** @throws StoreUnavailableError when neither the store nor a peer answers. */
  async readNewest(topic: string): Promise<TopicAnswer> {
    try {
      const contactAtMs = this._options.clock.monotonic();
      const { records, end } = await this._options.store.readNewest(topic);
      return { records, end, contactAtMs, isFromPeer: false };
    } catch (error) {
      return this._readInstead(error, `/topics/${topic}?whole`, 0);
    }
  }

  /** @throws StoreUnavailableError, HistoryGoneError */
  async read(options: TopicRead): Promise<TopicAnswer> {
    const reader = this._options.isDirect() ? undefined : this._peer(chooseReader(this._view()));
    if (reader) {
      try {
        const { peerWaitMs } = options;
        return await this._ask(reader, toPath({ ...options, waitMs: peerWaitMs }), peerWaitMs);
      } catch (error) {
        if (!(error instanceof PeerReadError)) throw error;
        if (!(error instanceof LargeAnswerError)) this._noteDoubt(reader, error);
      }
    }
    return this._readStore(options);
  }

  private async _readStore(options: TopicRead): Promise<TopicAnswer> {
    const { store, clock } = this._options;
    const path = `${toPath({ ...options, waitMs: INSTEAD_WAIT_MS })}&whole`;
    if (clock.monotonic() < this._storeDoubtedUntilMs) {
      const peer = this._peer(freshestPeer(this._view(), MAX_PEER_AGE_MS));
      if (peer) return this._askOrDoubt(peer, path, INSTEAD_WAIT_MS);
    }
    try {
      const sentAtMs = clock.monotonic();
      const { records, end } = await store.read(options);
      this._storeDoubtedUntilMs = -Infinity;
      // The store answers with nothing only when it has waited that long.
      const contactAtMs = sentAtMs + (records.length === 0 ? options.waitMs : 0);
      return { records: records.map(decodeKeyedRecord), end, contactAtMs, isFromPeer: false };
    } catch (error) {
      if (!(error instanceof StoreUnavailableError) || options.signal.aborted) throw error;
      return this._readInstead(error, path, INSTEAD_WAIT_MS);
    }
  }

  /** The store has failed: a peer may reach it. */
  private async _readInstead(error: unknown, path: string, waitMs: number): Promise<TopicAnswer> {
    if (!(error instanceof StoreUnavailableError)) throw error;
    const peer = this._peer(freshestPeer(this._view(), MAX_PEER_AGE_MS));
    if (!peer) throw error;
    const answer = await this._askOrDoubt(peer, path, waitMs);
    this._storeDoubtedUntilMs = this._options.clock.monotonic() + STORE_DOUBT_MS;
    this._options.log.info('store read through a peer', { peer: peer.node, error: describeError(error) });
    return answer;
  }

  private async _askOrDoubt(peer: ReadablePeer, path: string, waitMs: number): Promise<TopicAnswer> {
    try {
      return await this._ask(peer, path, waitMs);
    } catch (error) {
      if (!(error instanceof PeerReadError)) throw error;
      this._noteDoubt(peer, error);
      throw new StoreUnavailableError('Neither the store nor a peer answers.', false, { cause: error });
    }
  }

  private async _ask(peer: ReadablePeer, path: string, waitMs: number): Promise<TopicAnswer> {
    this._options.counters.add('monsoonreach_topic_reads_total', { from: 'peer' });
    const sentAtMs = this._options.clock.monotonic();
    const answer = await this._call(peer, path, waitMs);
    if (answer.status === GONE_STATUS) throw new HistoryGoneError(0);
    if (answer.status === TOO_LARGE_STATUS) throw new LargeAnswerError(`Peer ${peer.node} has much to tell.`);
    if (answer.status !== 200) throw new PeerReadError(`Peer ${peer.node} answered ${answer.status}.`);
    const { records, end, ageMs, regainedMs } = decodeSlice(answer.text);
    const contactAtMs = sentAtMs - ageMs;
    if (ageMs <= MAX_PEER_AGE_MS) return { records, end, contactAtMs, regainedMs, isFromPeer: true };
    throw new PeerReadError(`Peer ${peer.node} has not heard from the store for ${Math.round(ageMs)} ms.`);
  }

  private async _call(
    peer: ReadablePeer,
    path: string,
    waitMs: number,
  ): Promise<{ readonly status: number; readonly text: string }> {
    try {
      const response = await request(`http://${peer.address}${path}`, {
        dispatcher: this._dispatcher,
        headersTimeout: 0,
        bodyTimeout: 0,
        signal: AbortSignal.timeout(waitMs + ANSWER_TIMEOUT_MS),
      });
      return { status: response.statusCode, text: await response.body.text() };
    } catch (error) {
      throw new PeerReadError(`No answer from peer ${peer.node}.`, { cause: error });
    }
  }

  private _noteDoubt(peer: ReadablePeer, error: PeerReadError): void {
    const { clock, counters, log } = this._options;
    this._doubted.set(peer.node, clock.monotonic() + DOUBT_MS);
    counters.add('monsoonreach_topic_reads_failed_total');
    log.info('peer is not read through for now', { peer: peer.node, reason: error.message, forMs: DOUBT_MS });
  }

  private _view() {
    const { node, failureDomain, peers, clock } = this._options;
    const nowMs = clock.monotonic();
    for (const [id, untilMs] of this._doubted) if (untilMs <= nowMs) this._doubted.delete(id);
    return { node, failureDomain, peers: peers(), doubted: new Set(this._doubted.keys()) };
  }

  private _peer(node: string | undefined): ReadablePeer | undefined {
    return node === undefined ? undefined : this._options.peers().find((peer) => peer.node === node);
  }
}

function toPath({ topic, from, waitMs }: Pick<TopicRead, 'topic' | 'from' | 'waitMs'>): string {
  return `/topics/${topic}?from=${from}&wait=${waitMs}`;
}
