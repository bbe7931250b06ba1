import {
  type Candidate,
  type Clock,
  type Counters,
  type Log,
  type LogReadOptions,
  type LogSlice,
  LogUnavailableError,
  placeByRendezvous,
} from '@monsoonreach/core';
import { fromReadResponse } from './convert.js';
import type { PeerClients } from './peerClients.js';

const CALL_TIMEOUT_MS = 2_000;
/** How long a peer is not called after a failed call, in milliseconds. */
const PEER_BACKOFF_MS = 5_000;

/** Dependencies of a relayed log. */
export interface RelayedLogOptions {
  /** The platform's log, called when no relay can be used. */
  readonly directLog: Log;
  readonly clients: PeerClients;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly self: Candidate;
  /** Nodes that can act as relay or sequencer, including this one. */
  readonly candidates: () => readonly Candidate[];
  /** Number of nodes per failure domain that read the log directly. */
  readonly relays: number;
}

/**
 * Reads and appends to the platform's log through peers. A few relays per failure domain, chosen by rendezvous
 * hashing, read the log and serve it to the others, so that the number of the log's readers does not grow with
 * the fleet. Appends go to the stream's sequencer, which batches those of many nodes. When the relay or the
 * sequencer does not answer, the node calls the log directly.
 */
export class RelayedLog implements Log {
  private readonly _backoffUntilMs = new Map<string, number>();

  constructor(private readonly _options: RelayedLogOptions) {}

  async append(stream: string, entries: readonly string[], signal?: AbortSignal): Promise<number> {
    const sequencer = this.findSequencer(stream);
    if (sequencer === undefined) return this._options.directLog.append(stream, entries, signal);
    try {
      const options = { timeoutMs: CALL_TIMEOUT_MS, ...(signal ? { signal } : {}) };
      const request = { stream, entries: [...entries] };
      const response = await this._options.clients.getLogClient(sequencer).append(request, options);
      this._count('append', 'relayed');
      return Number(response.offset);
    } catch {
      // The batch may have been stored; appending it again is safe, because readers drop repeated records.
      this._startBackoff(sequencer);
      this._count('append', 'fallback');
      return this._options.directLog.append(stream, entries, signal);
    }
  }

  async read(stream: string, from: number, options: LogReadOptions = {}): Promise<LogSlice> {
    const relay = this._chooseRelay(stream);
    if (relay === undefined) return this._options.directLog.read(stream, from, options);
    try {
      const slice = await this._readFrom(relay, stream, from, options);
      this._count('read', 'relayed');
      return slice;
    } catch {
      this._startBackoff(relay);
      this._count('read', 'fallback');
      return this._options.directLog.read(stream, from, options);
    }
  }

  /** The peer that batches the stream's appends; undefined when that is this node or no node is available. */
  findSequencer(stream: string): string | undefined {
    const [sequencer] = placeByRendezvous(`append/${stream}`, this._findAvailableCandidates(), { count: 1 });
    return sequencer === this._options.self.id ? undefined : sequencer;
  }

  /** Whether this node is one of its failure domain's relays, which read the log directly. */
  isRelay(stream: string): boolean {
    return this._chooseRelays(stream).includes(this._options.self.id);
  }

  private async _readFrom(
    relay: string,
    stream: string,
    from: number,
    options: LogReadOptions,
  ): Promise<LogSlice> {
    const waitMs = options.waitMs ?? 0;
    const request = { stream, from: BigInt(from), waitMs, limit: options.limit ?? 0 };
    const callOptions = {
      timeoutMs: CALL_TIMEOUT_MS + waitMs,
      ...(options.signal ? { signal: options.signal } : {}),
    };
    const slice = fromReadResponse(
      await this._options.clients.getLogClient(relay).read(request, callOptions),
    );
    if (slice.head < from) throw new LogUnavailableError(`Relay ${relay} is behind offset ${from}.`);
    return slice;
  }

  private _chooseRelay(stream: string): string | undefined {
    const relays = this._chooseRelays(stream);
    if (relays.length === 0 || relays.includes(this._options.self.id)) return undefined;
    return relays.find((relay) => this._findAvailableCandidates().some(({ id }) => id === relay));
  }

  private _chooseRelays(stream: string): readonly string[] {
    const { self, relays } = this._options;
    const localCandidates = this._options
      .candidates()
      .filter(({ failureDomain }) => failureDomain === self.failureDomain);
    return placeByRendezvous(`read/${stream}`, localCandidates, { count: relays });
  }

  private _findAvailableCandidates(): readonly Candidate[] {
    const nowMs = this._options.clock.monotonic();
    return this._options.candidates().filter(({ id }) => (this._backoffUntilMs.get(id) ?? 0) <= nowMs);
  }

  private _startBackoff(peer: string): void {
    this._backoffUntilMs.set(peer, this._options.clock.monotonic() + PEER_BACKOFF_MS);
  }

  private _count(call: string, way: string): void {
    this._options.counters.add('monsoonreach_log_calls_total', { call, way });
  }
}
