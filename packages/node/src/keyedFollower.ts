import { type Clock, pause, type Random } from '@monsoonreach/core';
import { HistoryGoneError, type KeyedRecord, StoreUnavailableError } from '@monsoonreach/platform';
import { type DecisionLog, describeError } from './decisionLog.js';
import { TopicMirror } from './topicMirror.js';
import type { TopicAnswer, TopicSources } from './topicSources.js';

/** First wait after a call that failed, in milliseconds; doubles up to the longest, with full jitter. */
const FIRST_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 800;

const NO_WAIT = { waitMs: 0, peerWaitMs: 0 } as const;

/** What a follower is made of. */
export interface KeyedFollowerOptions {
  readonly topic: string;
  readonly sources: TopicSources;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: DecisionLog;
  /** How long a read waits for news, in milliseconds. */
  readonly waitMs: number;
  /** The same where a peer reads the store for this node. */
  readonly peerWaitMs: number;
  /** Pause between two reads of the store, in milliseconds. */
  readonly intervalMs: () => number;
  /** Takes the newest record of every key; keys that are not among them are gone. */
  readonly onSnapshot: (records: readonly KeyedRecord[]) => void;
  /** Takes changes in order. */
  readonly onChanges: (records: readonly KeyedRecord[]) => void;
  /** Called after each answer with the monotonic time at which what was read was the newest. */
  readonly onContact?: (atMs: number) => void;
}

/** Follows the newest records of a keyed topic: first all of them, then the changes. */
export class KeyedFollower {
  private _from: number | undefined;
  private _failures = 0;
  private _regainedAtMs = -Infinity;
  private readonly _stopping = new AbortController();
  /** What was read, for peers. */
  readonly mirror: TopicMirror;

  constructor(private readonly _options: KeyedFollowerOptions) {
    this.mirror = new TopicMirror(_options.clock);
  }

  /** Monotonic time at which the store was last reached again after calls that failed. */
  get regainedAtMs(): number {
    return this._regainedAtMs;
  }

  get isFailing(): boolean {
    return this._failures > 0;
  }

  async run(): Promise<void> {
    const { signal } = this._stopping;
    while (!signal.aborted) {
      const pauseMs = await this._turn();
      await pause(pauseMs, signal);
    }
  }

  stop(): void {
    this._stopping.abort();
  }

  /** @returns how long to pause before the next turn, in milliseconds. */
  private async _turn(): Promise<number> {
    try {
      const answer = await (this._from === undefined ? this._readAll() : this._readOn(this._from));
      this._noteContact(answer);
      return answer.isFromPeer ? 0 : this._options.intervalMs();
    } catch (error) {
      if (this._stopping.signal.aborted) return 0;
      if (error instanceof HistoryGoneError) {
        this._options.log.warn('history gone; reading all again', { topic: this._options.topic });
        this._from = undefined;
        return 0;
      }
      this._noteFailure(error);
      return this._backoffMs();
    }
  }

  private async _readAll(): Promise<TopicAnswer> {
    const { sources, topic, onSnapshot } = this._options;
    const answer = await sources.readNewest(topic);
    onSnapshot(answer.records);
    this.mirror.takeAll(answer.records, answer.end);
    this._from = answer.end;
    return answer;
  }

  private async _readOn(from: number): Promise<TopicAnswer> {
    const { sources, topic, onChanges } = this._options;
    // After a failure the answer itself is the news: it tells that nothing was missed.
    const { waitMs, peerWaitMs } = this._failures > 0 ? NO_WAIT : this._options;
    const answer = await sources.read({ topic, from, waitMs, peerWaitMs, signal: this._stopping.signal });
    this._from = from + answer.records.length;
    if (answer.records.length > 0) onChanges(answer.records);
    this.mirror.takeChanges(answer.records);
    return answer;
  }

  private _noteContact({ contactAtMs, regainedMs, isFromPeer }: TopicAnswer): void {
    const { clock, log, topic, onContact } = this._options;
    if (regainedMs !== undefined) {
      this._regainedAtMs = Math.max(this._regainedAtMs, clock.monotonic() - regainedMs);
    }
    if (this._failures > 0) {
      this._regainedAtMs = clock.monotonic();
      log.info('store regained', { topic, failures: this._failures });
    }
    this._failures = 0;
    const regainedAtMs = Number.isFinite(this._regainedAtMs) ? this._regainedAtMs : undefined;
    this.mirror.confirm(contactAtMs, regainedAtMs, !isFromPeer);
    onContact?.(contactAtMs);
  }

  private _noteFailure(error: unknown): void {
    this._failures++;
    if (!(error instanceof StoreUnavailableError) || this._failures === 1) {
      this._options.log.warn('store lost', { topic: this._options.topic, error: describeError(error) });
    }
  }

  private _backoffMs(): number {
    const ceilingMs = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** (this._failures - 1));
    return ceilingMs * (0.5 + 0.5 * this._options.random.next());
  }
}
