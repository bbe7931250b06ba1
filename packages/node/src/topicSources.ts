import {
  chooseReader,
  type ChosenReader,
  type Clock,
  type Counters,
  findFreshestPeer,
  MonsoonreachError,
  pause,
  type FallbackCandidate,
  type ReaderCandidate,
  readBoundedBody,
} from '@monsoonreach/core';
import {
  createConnector,
  decodeKeyedRecord,
  HistoryGoneError,
  isBrokenConnection,
  type KeyedRecord,
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
/** Time in which a node whose reader failed looks for another one before it reads the store itself, in milliseconds. */
const SEARCH_MS = 300;
/** Pause before a substitute is asked for the first time, in milliseconds; it learns as late that it has to read. */
const SUBSTITUTE_PAUSE_MS = 120;
/** Time for which a read through a fallback peer waits for the first change, in milliseconds. */
const FALLBACK_WAIT_MS = 300;
/** Time for which a store that failed is not asked while a peer can reach it, in milliseconds. */
const STORE_BACKOFF_MS = 2_000;
/** Time by which the end of the store's wait may seem early here, in milliseconds; timers are not exact. */
const WAIT_TOLERANCE_MS = 20;
/** Maximum age of a peer's data, in milliseconds; a node that reads the store receives an answer at least every 1.1 s. */
const MAX_PEER_AGE_MS = 1_900;
/** Largest answer of a peer that is read, in bytes. */
const MAX_ANSWER_BYTES = 16_777_216;

/** A peer gave no usable answer. */
class PeerReadError extends MonsoonreachError {
  readonly code = 'peer-read';
}

/** An established connection to a peer ended during a read, which says nothing of the peer. */
class BrokenReadError extends PeerReadError {}

/** A peer refused a read because its answer would be too large; the store has to be read instead. */
class LargeAnswerError extends PeerReadError {}

interface PeerAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Uint8Array;
}

interface PeerRequest {
  readonly path: string;
  /** How long the peer waits for the first change, in milliseconds. */
  readonly waitMs: number;
}

interface SearchResult {
  /** Undefined if the store has to be read. */
  readonly answer: TopicReadResult | undefined;
  /** Whether a reader failed before. */
  readonly hasFailed: boolean;
}

interface TopicPeers {
  /** Addresses of peers that failed, with the monotonic time until which they are not asked. */
  readonly skipped: Map<string, number>;
  /** Addresses of the peers that answered when they were last asked. */
  readonly proven: Set<string>;
}

/** Options of {@link TopicSources._askPeer}. */
interface AskOptions {
  readonly maxMs?: number;
  /** Whether to use a new connection that is not kept. */
  readonly isFresh: boolean;
}

interface FallbackAnswer {
  readonly peer: ReaderCandidate;
  readonly answer: TopicReadResult;
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
  /** Called when the store did not answer, before the read goes on through a peer. */
  readonly onStoreFailed?: () => void;
}

/** Result of a read. */
export interface TopicReadResult {
  readonly records: readonly KeyedRecord[];
  /** Position after the last change. */
  readonly end: StorePosition;
  /** Monotonic time at which the result was known to be current. */
  readonly contactAtMs: number;
  /** Monotonic time at which it was asked for. */
  readonly askedAtMs: number;
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
 *
 * A change of the configuration has to be in force in two seconds, however many sources fail at once. So only a peer that
 * answered last time is asked to wait for changes; all that is asked after a failure is asked for an immediate answer.
 */
export class TopicSources {
  private readonly _dispatcher = createDispatcher();
  /** What is known of peers by topic: a peer that cannot read one topic may well read another. */
  private readonly _peersByTopic = new Map<string, TopicPeers>();
  private _storeSkippedUntilMs = -Infinity;

  constructor(private readonly _options: TopicSourcesOptions) {}

  /** Reads the newest record of each key. @throws StoreUnavailableError when neither the store nor a peer answers. */
  async readNewest(topic: string): Promise<TopicReadResult> {
    const { answer } = await this._searchReaders(topic, () => ({ path: `/topics/${topic}`, waitMs: 0 }));
    if (answer) return answer;
    try {
      const askedAtMs = this._options.clock.monotonic();
      const { records, end } = await this._options.store.readNewest(topic);
      if (this._isOutdated(end)) throw new StoreUnavailableError('The answer is older than a restore.', true);
      return { records, end, contactAtMs: askedAtMs, askedAtMs, isFromPeer: false };
    } catch (error) {
      return this._readFallback(error, topic, { path: `/topics/${topic}?whole`, waitMs: 0 });
    }
  }

  /** Whether any peer had contact with the store lately, or with a peer that had. */
  hasFreshPeer(): boolean {
    return this._options.peers().some(({ storeAgeMs }) => storeAgeMs <= MAX_PEER_AGE_MS);
  }

  /**
   * Reads changes from an offset on.
   * @throws StoreUnavailableError when neither the store nor a peer answers.
   * @throws HistoryGoneError when the position is older than the history that the source keeps, or of another era.
   */
  async read(options: TopicReadOptions): Promise<TopicReadResult> {
    const { topic } = options;
    const { answer, hasFailed } = await this._searchReaders(topic, (reader, isAfterFailure) => {
      const isProven = this._getPeers(topic).proven.has(reader.address) && !isAfterFailure;
      const waitMs = isProven ? options.peerWaitMs : 0;
      return { path: toPath({ ...options, waitMs }), waitMs };
    });
    return answer ?? this._readStore(hasFailed ? { ...options, waitMs: 0 } : options);
  }

  /** Asks the readers for this node, one after the other, until one answers or it is time to read the store instead. */
  private async _searchReaders(
    topic: string,
    toRequest: (reader: ReaderCandidate, isAfterFailure: boolean) => PeerRequest,
  ): Promise<SearchResult> {
    const { clock } = this._options;
    const broken = new Set<string>();
    let endsAtMs = Infinity;
    let hasPaused = false;
    for (;;) {
      const hasFailed = endsAtMs < Infinity;
      const reader = this._chooseReader(topic);
      if (!reader) return { answer: undefined, hasFailed };
      if (reader.isSubstitute && !hasPaused && !this._getPeers(topic).proven.has(reader.address)) {
        hasPaused = true;
        await pause(SUBSTITUTE_PAUSE_MS);
      }
      const remainingMs = endsAtMs - clock.monotonic();
      if (remainingMs <= 0) return { answer: undefined, hasFailed };
      try {
        const peerRequest = toRequest(reader, hasFailed);
        const options = { maxMs: remainingMs, isFresh: broken.has(reader.address) };
        return { answer: await this._askPeer(reader, topic, peerRequest, options), hasFailed };
      } catch (error) {
        if (!(error instanceof PeerReadError)) throw error;
        if (error instanceof LargeAnswerError) return { answer: undefined, hasFailed };
        this._recordFailure(reader, topic, error, broken);
        endsAtMs = Math.min(endsAtMs, clock.monotonic() + SEARCH_MS);
      }
    }
  }

  private async _readStore(options: TopicReadOptions): Promise<TopicReadResult> {
    const { store, clock, history } = this._options;
    const { topic } = options;
    const waitMs = FALLBACK_WAIT_MS;
    const peerRequest = { path: `${toPath({ ...options, waitMs })}&whole`, waitMs };
    if (clock.monotonic() < this._storeSkippedUntilMs) {
      const found = await this._askFallbackPeers(topic, peerRequest);
      if (found) return found.answer;
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
      return { records: keyed, end, contactAtMs, askedAtMs: sentAtMs, isFromPeer: false };
    } catch (error) {
      if (!(error instanceof StoreUnavailableError) || options.signal.aborted) throw error;
      options.onStoreFailed?.();
      return this._readFallback(error, topic, peerRequest);
    }
  }

  /** Reads through a peer after the store has failed; rethrows the error when no peer is fresh enough. */
  private async _readFallback(
    error: unknown,
    topic: string,
    peerRequest: PeerRequest,
  ): Promise<TopicReadResult> {
    if (!(error instanceof StoreUnavailableError)) throw error;
    const found = await this._askFallbackPeers(topic, peerRequest);
    if (!found) throw error;
    const { peer, answer } = found;
    this._storeSkippedUntilMs = this._options.clock.monotonic() + STORE_BACKOFF_MS;
    this._options.log.info('store read through a peer', { peer: peer.node, error: describeError(error) });
    return answer;
  }

  /** Asks peers that lately read the store until one answers; undefined when none does. */
  private async _askFallbackPeers(
    topic: string,
    peerRequest: PeerRequest,
  ): Promise<FallbackAnswer | undefined> {
    const { clock } = this._options;
    const broken = new Set<string>();
    const endsAtMs = clock.monotonic() + SEARCH_MS;
    for (;;) {
      const peer = this._findFreshestPeer(topic);
      if (!peer || clock.monotonic() >= endsAtMs) return undefined;
      try {
        const options = { isFresh: broken.has(peer.address) };
        return { peer, answer: await this._askPeer(peer, topic, peerRequest, options) };
      } catch (error) {
        if (!(error instanceof PeerReadError)) throw error;
        this._recordFailure(peer, topic, error, broken);
      }
    }
  }

  private async _askPeer(
    peer: ReaderCandidate,
    topic: string,
    { path, waitMs }: PeerRequest,
    { maxMs = Infinity, isFresh }: AskOptions,
  ): Promise<TopicReadResult> {
    this._options.counters.add('monsoonreach_topic_reads_total', { from: 'peer' });
    const sentAtMs = this._options.clock.monotonic();
    const timeoutMs = Math.min(maxMs, waitMs + ANSWER_TIMEOUT_MS);
    const dispatcher = isFresh ? createDispatcher() : this._dispatcher;
    const answer = await this._fetch(peer, path, timeoutMs, dispatcher).finally(() => {
      if (isFresh) void dispatcher.destroy();
    });
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
    if (ageMs > MAX_PEER_AGE_MS)
      throw new PeerReadError(`Peer ${peer.node} had no contact with the store for ${Math.round(ageMs)} ms.`);
    this._getPeers(topic).proven.add(peer.address);
    return { records, end, contactAtMs, askedAtMs: sentAtMs, regainedMs, isFromPeer: true };
  }

  private async _fetch(
    peer: ReaderCandidate,
    path: string,
    timeoutMs: number,
    dispatcher: Agent,
  ): Promise<PeerAnswer> {
    try {
      const response = await request(`http://${peer.address}${path}`, {
        dispatcher,
        headersTimeout: 0,
        bodyTimeout: 0,
        signal: AbortSignal.timeout(Math.ceil(timeoutMs)),
      });
      const { statusCode: status, headers } = response;
      return { status, headers, body: await readBoundedBody(response.body, MAX_ANSWER_BYTES) };
    } catch (error) {
      if (isBrokenConnection(error))
        throw new BrokenReadError(`The connection to peer ${peer.node} ended during a read.`, {
          cause: error,
        });
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

  /** Skips the peer, unless it may be asked once more over a new connection as the first one ended. */
  private _recordFailure(
    peer: ReaderCandidate,
    topic: string,
    error: PeerReadError,
    broken: Set<string>,
  ): void {
    if (error instanceof BrokenReadError && !broken.has(peer.address)) {
      broken.add(peer.address);
      this._options.counters.add('monsoonreach_topic_reads_broken_total');
    } else this._skipPeer(peer, topic, error);
  }

  private _skipPeer(peer: ReaderCandidate, topic: string, error: PeerReadError): void {
    const { clock, counters, log } = this._options;
    const { proven, skipped } = this._getPeers(topic);
    proven.delete(peer.address);
    skipped.set(peer.address, clock.monotonic() + PEER_BACKOFF_MS);
    counters.add('monsoonreach_topic_reads_failed_total');
    log.info('read through a peer failed; peer is skipped', {
      peer: peer.node,
      topic,
      reason: error.message,
      forMs: PEER_BACKOFF_MS,
    });
  }

  private _chooseReader(topic: string): ChosenReader | undefined {
    const { self, nodes, owners } = this._options;
    return chooseReader({ self, nodes: nodes(), owners: owners(), doubted: this._listDoubted(topic) });
  }

  private _findFreshestPeer(topic: string): ReaderCandidate | undefined {
    return findFreshestPeer(this._options.peers(), this._listDoubted(topic), MAX_PEER_AGE_MS);
  }

  /** Whether an answer is from before a restore of the store that this node already knows of. */
  private _isOutdated({ era }: Pick<StorePosition, 'era'>): boolean {
    return era < (this._options.history.era ?? 0);
  }

  /** Addresses of the peers that are not asked for now. */
  private _listDoubted(topic: string): ReadonlySet<string> {
    const { skipped } = this._getPeers(topic);
    const nowMs = this._options.clock.monotonic();
    for (const [address, untilMs] of skipped) if (untilMs <= nowMs) skipped.delete(address);
    return new Set(skipped.keys());
  }

  private _getPeers(topic: string): TopicPeers {
    let peers = this._peersByTopic.get(topic);
    if (!peers) {
      peers = { skipped: new Map(), proven: new Set() };
      this._peersByTopic.set(topic, peers);
    }
    return peers;
  }
}

function createDispatcher(): Agent {
  return new Agent({ pipelining: 1, connect: createConnector(CONNECT_TIMEOUT_MS) });
}

function toPath({ topic, from, waitMs }: Pick<TopicReadOptions, 'topic' | 'from' | 'waitMs'>): string {
  return `/topics/${topic}?from=${from.offset}&era=${from.era}&wait=${waitMs}`;
}
