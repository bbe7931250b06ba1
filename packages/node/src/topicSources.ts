import {
  chooseReader,
  type Clock,
  type Counters,
  findFreshestPeer,
  MonsoonreachError,
  type FallbackCandidate,
  type ReaderCandidate,
} from '@monsoonreach/core';
import {
  createConnector,
  decodeKeyedRecord,
  HistoryGoneError,
  type KeyedRecord,
  readBoundedBody,
  type StoreClient,
  type StorePosition,
  StoreUnavailableError,
} from '@monsoonreach/platform';
import { Agent, request } from 'undici';
import { type DecisionLog, describeError } from './decisionLog.js';
import type { StoreHistory } from './storeHistory.js';
import { decodeSlice, decodeSliceEra } from './topicMessages.js';
import { GONE_STATUS, TOO_LARGE_STATUS } from './topicServer.js';

/** Timeout for connecting to a peer, in milliseconds; many times the latency between failure domains. */
const CONNECT_TIMEOUT_MS = 150;
/** Timeout of a peer's answer beyond the requested wait, in milliseconds; a peer may be busy for a moment. */
const ANSWER_TIMEOUT_MS = 300;
/** Time for which a peer that failed is not asked, in milliseconds; about the time in which a lost peer is detected. */
const PEER_BACKOFF_MS = 2_000;
/** Time for which a read through a fallback peer waits for the first change, in milliseconds. */
const FALLBACK_WAIT_MS = 300;
/** Time for which a store that failed is not asked while a peer can reach it, in milliseconds. */
const STORE_BACKOFF_MS = 2_000;
/** Time by which the end of the store's wait may seem early here, in milliseconds; timers are not exact. */
const WAIT_TOLERANCE_MS = 20;
/** Maximum age of a peer's data, in milliseconds; a node that reads the store receives an answer at least every 1.3 s. */
const MAX_PEER_AGE_MS = 1_900;
/** Largest answer of a peer that is read, in bytes. */
const MAX_ANSWER_BYTES = 16_777_216;

/** A peer gave no usable answer. */
class PeerReadError extends MonsoonreachError {
  readonly code = 'peer-read';
}

/** A peer refused a read because its answer would be too large; the store has to be read instead. */
class LargeAnswerError extends PeerReadError {}

interface PeerAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Uint8Array;
}

/** A read of a topic's changes. */
export interface TopicReadOptions {
  readonly topic: string;
  readonly from: StorePosition;
  /** How long to wait for the first change, in milliseconds. */
  readonly waitMs: number;
  /** The same for a read through a peer, in milliseconds; a peer has each change as soon as it has read it. */
  readonly peerWaitMs: number;
  readonly signal: AbortSignal;
}

/** Result of a read. */
export interface TopicReadResult {
  readonly records: readonly KeyedRecord[];
  /** Position after the last change. */
  readonly end: StorePosition;
  /** Monotonic time at which the result was known to be current. */
  readonly contactAtMs: number;
  /** Milliseconds since the peer that answered reached the store again after an outage. */
  readonly regainedMs?: number | undefined;
  readonly isFromPeer: boolean;
}

/** Dependencies of {@link TopicSources}. */
export interface TopicSourcesOptions {
  readonly self: ReaderCandidate;
  readonly store: StoreClient;
  readonly history: StoreHistory;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly log: DecisionLog;
  /** All live nodes including this one, those preferred for duties first. */
  readonly nodes: () => readonly ReaderCandidate[];
  /** Live peers with their contact with the store. */
  readonly peers: () => readonly FallbackCandidate[];
  /** Addresses of the nodes that plan groups, which read the store directly. */
  readonly owners: () => ReadonlySet<string>;
}

/**
 * Reads topics from the store, or through a peer: the one chosen to read for this node, or a fallback peer when the
 * store does not answer. All sources use the store's positions, so that a reader can change its source at any time. What
 * a peer has from before a restore of the store is not used.
 */
export class TopicSources {
  private readonly _dispatcher = new Agent({ pipelining: 1, connect: createConnector(CONNECT_TIMEOUT_MS) });
  /** Peers that failed, with the monotonic time until which they are not asked. */
  private readonly _skippedPeers = new Map<string, number>();
  private _storeSkippedUntilMs = -Infinity;

  constructor(private readonly _options: TopicSourcesOptions) {}

  /** Reads the newest record of each key. @throws StoreUnavailableError when neither the store nor a peer answers. */
  async readNewest(topic: string): Promise<TopicReadResult> {
    const reader = this._chooseReader();
    if (reader) {
      try {
        return await this._askPeer(reader, `/topics/${topic}`, 0);
      } catch (error) {
        if (!(error instanceof PeerReadError)) throw error;
        if (!(error instanceof LargeAnswerError)) this._skipPeer(reader, error);
      }
    }
    try {
      const contactAtMs = this._options.clock.monotonic();
      const { records, end } = await this._options.store.readNewest(topic);
      if (this._isOutdated(end)) throw new StoreUnavailableError('The answer is older than a restore.', true);
      return { records, end, contactAtMs, isFromPeer: false };
    } catch (error) {
      return this._readFallback(error, `/topics/${topic}?whole`, 0);
    }
  }

  /** Whether any peer had contact with the store lately. */
  hasFreshPeer(): boolean {
    return this._findFreshestPeer() !== undefined;
  }

  /**
   * Reads changes from an offset on.
   * @throws StoreUnavailableError when neither the store nor a peer answers.
   * @throws HistoryGoneError when the position is older than the history that the source keeps, or of another era.
   */
  async read(options: TopicReadOptions): Promise<TopicReadResult> {
    const reader = this._chooseReader();
    if (reader) {
      try {
        const { peerWaitMs } = options;
        return await this._askPeer(reader, toPath({ ...options, waitMs: peerWaitMs }), peerWaitMs);
      } catch (error) {
        if (!(error instanceof PeerReadError)) throw error;
        if (!(error instanceof LargeAnswerError)) this._skipPeer(reader, error);
      }
    }
    return this._readStore(options);
  }

  private async _readStore(options: TopicReadOptions): Promise<TopicReadResult> {
    const { store, clock, history } = this._options;
    const path = `${toPath({ ...options, waitMs: FALLBACK_WAIT_MS })}&whole`;
    if (clock.monotonic() < this._storeSkippedUntilMs) {
      const peer = this._findFreshestPeer();
      if (peer) return this._askFallbackPeer(peer, path, FALLBACK_WAIT_MS);
    }
    try {
      const sentAtMs = clock.monotonic();
      const { records, end } = await store.read(options);
      if (this._isOutdated(end)) throw new HistoryGoneError({ era: history.era ?? end.era, offset: 0 });
      this._storeSkippedUntilMs = -Infinity;
      // After an empty answer that took the whole wait, nothing had changed until its end.
      const waitedMs = clock.monotonic() - sentAtMs;
      const hasWaited = records.length === 0 && waitedMs >= options.waitMs - WAIT_TOLERANCE_MS;
      const contactAtMs = sentAtMs + (hasWaited ? Math.max(0, options.waitMs - WAIT_TOLERANCE_MS) : 0);
      const keyed = records.map((record, index) => ({
        ...decodeKeyedRecord(record),
        offset: options.from.offset + index,
      }));
      return { records: keyed, end, contactAtMs, isFromPeer: false };
    } catch (error) {
      if (!(error instanceof StoreUnavailableError) || options.signal.aborted) throw error;
      return this._readFallback(error, path, FALLBACK_WAIT_MS);
    }
  }

  /** Reads through a peer after the store has failed; rethrows the error when no peer is fresh enough. */
  private async _readFallback(error: unknown, path: string, waitMs: number): Promise<TopicReadResult> {
    if (!(error instanceof StoreUnavailableError)) throw error;
    const peer = this._findFreshestPeer();
    if (!peer) throw error;
    const answer = await this._askFallbackPeer(peer, path, waitMs);
    this._storeSkippedUntilMs = this._options.clock.monotonic() + STORE_BACKOFF_MS;
    this._options.log.info('store read through a peer', { peer: peer.node, error: describeError(error) });
    return answer;
  }

  private async _askFallbackPeer(
    peer: ReaderCandidate,
    path: string,
    waitMs: number,
  ): Promise<TopicReadResult> {
    try {
      return await this._askPeer(peer, path, waitMs);
    } catch (error) {
      if (!(error instanceof PeerReadError)) throw error;
      this._skipPeer(peer, error);
      throw new StoreUnavailableError('Neither the store nor a peer answered.', false, { cause: error });
    }
  }

  private async _askPeer(peer: ReaderCandidate, path: string, waitMs: number): Promise<TopicReadResult> {
    this._options.counters.add('monsoonreach_topic_reads_total', { from: 'peer' });
    const sentAtMs = this._options.clock.monotonic();
    const answer = await this._fetch(peer, path, waitMs);
    if (answer.status === TOO_LARGE_STATUS)
      throw new LargeAnswerError(
        `The answer of peer ${peer.node} would be too large; the store is read instead.`,
      );
    if (answer.status !== 200 && answer.status !== GONE_STATUS)
      throw new PeerReadError(`Peer ${peer.node} answered with status ${answer.status}; expected 200.`);
    const era = this._decode(peer, () => decodeSliceEra(answer.headers));
    if (this._isOutdated({ era }))
      throw new PeerReadError(`Peer ${peer.node} has the store as it was before a restore.`);
    this._options.history.observe(era);
    if (answer.status === GONE_STATUS) throw new HistoryGoneError({ era, offset: 0 });
    const { records, end, ageMs, regainedMs } = this._decode(peer, () =>
      decodeSlice(answer.body, answer.headers),
    );
    const contactAtMs = sentAtMs - ageMs;
    if (ageMs <= MAX_PEER_AGE_MS) return { records, end, contactAtMs, regainedMs, isFromPeer: true };
    throw new PeerReadError(`Peer ${peer.node} had no contact with the store for ${Math.round(ageMs)} ms.`);
  }

  private async _fetch(peer: ReaderCandidate, path: string, waitMs: number): Promise<PeerAnswer> {
    try {
      const response = await request(`http://${peer.address}${path}`, {
        dispatcher: this._dispatcher,
        headersTimeout: 0,
        bodyTimeout: 0,
        signal: AbortSignal.timeout(waitMs + ANSWER_TIMEOUT_MS),
      });
      const { statusCode: status, headers } = response;
      return { status, headers, body: await readBoundedBody(response.body, MAX_ANSWER_BYTES) };
    } catch (error) {
      throw new PeerReadError(`Peer ${peer.node} did not answer in time or cannot be reached.`, {
        cause: error,
      });
    }
  }

  private _decode<Part>(peer: ReaderCandidate, decode: () => Part): Part {
    try {
      return decode();
    } catch (error) {
      throw new PeerReadError(`The answer of peer ${peer.node} cannot be decoded.`, { cause: error });
    }
  }

  private _skipPeer(peer: ReaderCandidate, error: PeerReadError): void {
    const { clock, counters, log } = this._options;
    this._skippedPeers.set(peer.address, clock.monotonic() + PEER_BACKOFF_MS);
    counters.add('monsoonreach_topic_reads_failed_total');
    log.info('read through a peer failed; peer is skipped', {
      peer: peer.node,
      reason: error.message,
      forMs: PEER_BACKOFF_MS,
    });
  }

  private _chooseReader(): ReaderCandidate | undefined {
    const { self, nodes, owners } = this._options;
    return chooseReader({ self, nodes: nodes(), owners: owners(), doubted: this._listDoubted() });
  }

  private _findFreshestPeer(): ReaderCandidate | undefined {
    return findFreshestPeer(this._options.peers(), this._listDoubted(), MAX_PEER_AGE_MS);
  }

  /** Whether an answer is from before a restore of the store that this node already knows of. */
  private _isOutdated({ era }: Pick<StorePosition, 'era'>): boolean {
    return era < (this._options.history.era ?? 0);
  }

  /** Addresses of the peers that are not asked for now. */
  private _listDoubted(): ReadonlySet<string> {
    const nowMs = this._options.clock.monotonic();
    for (const [address, untilMs] of this._skippedPeers)
      if (untilMs <= nowMs) this._skippedPeers.delete(address);
    return new Set(this._skippedPeers.keys());
  }
}

function toPath({ topic, from, waitMs }: Pick<TopicReadOptions, 'topic' | 'from' | 'waitMs'>): string {
  return `/topics/${topic}?from=${from.offset}&era=${from.era}&wait=${waitMs}`;
}
