import { type Clock, pause, type Random } from '@monsoonreach/core';
import {
  HistoryGoneError,
  type KeyedRecord,
  type StorePosition,
  StoreUnavailableError,
} from '@monsoonreach/platform';
import { type DecisionLog, describeError } from './decisionLog.js';
import { TopicMirror } from './topicMirror.js';
import type { TopicReadOptions, TopicReadResult, TopicSources } from './topicSources.js';

/** First backoff after a failed read, in milliseconds; doubles up to the maximum, with jitter of up to half. */
const INITIAL_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 800;

/** Maximum time until a pause follows an interval that has become shorter, in milliseconds. */
const INTERVAL_CHECK_MS = 50;

const NO_WAIT = { waitMs: 0, peerWaitMs: 0 } as const;

/** Dependencies of {@link KeyedFollower}. */
export interface KeyedFollowerOptions {
  readonly topic: string;
  readonly sources: TopicSources;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: DecisionLog;
  /** Time for which a read waits for the first change, in milliseconds. */
  readonly waitMs: () => number;
  /** The same for a read through a peer, in milliseconds. */
  readonly peerWaitMs: () => number;
  /** Pause between two reads of the store, in milliseconds; may become shorter during a pause. */
  readonly intervalMs: () => number;
  /** The same for reads through a peer, in milliseconds; 0 by default. */
  readonly peerIntervalMs?: number;
  /** Called with the newest record of every key; keys that are not among them no longer exist. */
  readonly onSnapshot: (records: readonly KeyedRecord[]) => void;
  /** Called with changes, in order. */
  readonly onChanges: (records: readonly KeyedRecord[]) => void;
  /** Called after each answer with the monotonic times at which it was known to be current and at which it was asked for. */
  readonly onContact?: (atMs: number, askedAtMs: number) => void;
}

/** Follows a keyed topic: reads the newest record of every key, then the changes. */
export class KeyedFollower {
  private _next: StorePosition | undefined;
  private _failures = 0;
  /** Whether no peer had contact with the store either while reads failed. */
  private _isStoreOut = false;
  private _reconnectedAtMs = -Infinity;
  private readonly _abortController = new AbortController();
  /** Copy of what was read, which is served to peers. */
  readonly mirror: TopicMirror;

  constructor(private readonly _options: KeyedFollowerOptions) {
    this.mirror = new TopicMirror(_options.clock);
  }

  /** Monotonic time at which the store was last reached again after it was out for all nodes; -Infinity if it never was. */
  get reconnectedAtMs(): number {
    return this._reconnectedAtMs;
  }

  get isFailing(): boolean {
    return this._failures > 0;
  }

  async run(): Promise<void> {
    const { signal } = this._abortController;
    while (!signal.aborted) {
      const intervalMs = await this._poll();
      await this._pause(intervalMs);
    }
  }

  stop(): void {
    this._abortController.abort();
  }

  /** Pauses until the interval has passed as it is then, not as it was at the start. */
  private async _pause(intervalMs: () => number): Promise<void> {
    const { signal } = this._abortController;
    const startedAtMs = this._options.clock.monotonic();
    while (!signal.aborted) {
      const remainingMs = startedAtMs + intervalMs() - this._options.clock.monotonic();
      if (remainingMs <= 0) return;
      await pause(Math.min(remainingMs, INTERVAL_CHECK_MS), signal);
    }
  }

  /** Reads once. @returns the interval until the next read, in milliseconds, which may change meanwhile. */
  private async _poll(): Promise<() => number> {
    try {
      const answer = await (this._next === undefined ? this._readAll() : this._readChanges(this._next));
      this._recordContact(answer);
      return answer.isFromPeer ? () => this._options.peerIntervalMs ?? 0 : this._options.intervalMs;
    } catch (error) {
      if (this._abortController.signal.aborted) return () => 0;
      if (error instanceof HistoryGoneError) {
        this._options.log.warn('history gone; reading all records again', {
          topic: this._options.topic,
        });
        this._next = undefined;
        return () => 0;
      }
      this._recordFailure(error);
      const backoffMs = this._drawBackoffMs();
      return () => backoffMs;
    }
  }

  private async _readAll(): Promise<TopicReadResult> {
    const { sources, topic, onSnapshot } = this._options;
    const answer = await sources.readNewest(topic);
    onSnapshot(answer.records);
    this.mirror.replaceAll(answer.records, answer.end);
    this._next = answer.end;
    return answer;
  }

  private async _readChanges(from: StorePosition): Promise<TopicReadResult> {
    const { sources, topic, onChanges } = this._options;
    // After a failure an immediate answer matters, even an empty one: it confirms that no change was missed.
    const { waitMs, peerWaitMs } = this._failures > 0 ? NO_WAIT : this._getWaits();
    const answer = await sources.read({
      topic,
      from,
      waitMs,
      peerWaitMs,
      signal: this._abortController.signal,
      onStoreFailed: () => {
        this.mirror.recordStoreFailure();
      },
    });
    this._next = { ...from, offset: from.offset + answer.records.length };
    if (answer.records.length > 0) onChanges(answer.records);
    this.mirror.applyChanges(answer.records);
    return answer;
  }

  private _getWaits(): Pick<TopicReadOptions, 'waitMs' | 'peerWaitMs'> {
    // What came with a change proves no contact after the start of its wait; the next answer has to come the sooner.
    const ageMs = this._options.clock.monotonic() - this.mirror.contactAtMs;
    return {
      waitMs: Math.max(0, Math.floor(this._options.waitMs() - ageMs)),
      peerWaitMs: this._options.peerWaitMs(),
    };
  }

  private _recordContact({ contactAtMs, askedAtMs, regainedMs, isFromPeer }: TopicReadResult): void {
    const { clock, log, topic, onContact } = this._options;
    if (regainedMs !== undefined) {
      this._reconnectedAtMs = Math.max(this._reconnectedAtMs, clock.monotonic() - regainedMs);
    }
    if (this._failures > 0) {
      if (this._isStoreOut && !isFromPeer) this._reconnectedAtMs = clock.monotonic();
      log.info('store reachable again', {
        topic,
        failures: this._failures,
        wasOutForAll: this._isStoreOut,
        isFromPeer,
      });
    }
    this._failures = 0;
    this._isStoreOut = false;
    const reconnectedAtMs = Number.isFinite(this._reconnectedAtMs) ? this._reconnectedAtMs : undefined;
    this.mirror.confirm(contactAtMs, reconnectedAtMs, !isFromPeer);
    onContact?.(contactAtMs, askedAtMs);
  }

  private _recordFailure(error: unknown): void {
    this._failures++;
    this.mirror.recordStoreFailure();
    this._isStoreOut ||= !this._options.sources.hasFreshPeer();
    if (!(error instanceof StoreUnavailableError) || this._failures === 1) {
      this._options.log.warn('store read failed', {
        topic: this._options.topic,
        error: describeError(error),
      });
    }
  }

  private _drawBackoffMs(): number {
    const ceilingMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** (this._failures - 1));
    return ceilingMs * (0.5 + 0.5 * this._options.random.next());
  }
}
