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
/** How long a relay that failed is left alone, in milliseconds. */
const RELAY_REST_MS = 5_000;

/** What a relayed log is made of. */
export interface RelayedLogOptions {
  readonly direct: Log;
  readonly clients: PeerClients;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly self: Candidate;
  /** Nodes that can relay, this one among them. */
  readonly candidates: () => readonly Candidate[];
  /** Members of one failure domain that read the log themselves. */
  readonly relays: number;
}

/**
 * The platform's log as most nodes reach it: a few nodes of each failure domain, chosen by rendezvous, read it
 * and pass it on, so that the log's readers do not grow with the fleet. A node falls back to the log itself
 * when no relay answers. Appends go to the stream's sequencer, which batches those of many nodes.
 */
export class RelayedLog implements Log {
  private readonly _restingUntilMs = new Map<string, number>();

  constructor(private readonly _options: RelayedLogOptions) {}

  async append(stream: string, entries: readonly string[], signal?: AbortSignal): Promise<number> {
    const sequencer = this.sequencerOf(stream);
    if (sequencer === undefined) return this._options.direct.append(stream, entries, signal);
    try {
      const options = { timeoutMs: CALL_TIMEOUT_MS, ...(signal ? { signal } : {}) };
      const request = { stream, entries: [...entries] };
      const response = await this._options.clients.log(sequencer).append(request, options);
      this._count('append', 'relayed');
      return Number(response.offset);
    } catch {
      // The batch may have been stored; appending it again is safe, since readers drop what is repeated.
      this._rest(sequencer);
      this._count('append', 'fallback');
      return this._options.direct.append(stream, entries, signal);
    }
  }

  async read(stream: string, from: number, options: LogReadOptions = {}): Promise<LogSlice> {
    const relay = this._chooseRelay(stream);
    if (relay === undefined) return this._options.direct.read(stream, from, options);
    try {
      const slice = await this._readFrom(relay, stream, from, options);
      this._count('read', 'relayed');
      return slice;
    } catch {
      this._rest(relay);
      this._count('read', 'fallback');
      return this._options.direct.read(stream, from, options);
    }
  }

  /** The peer that batches the stream's appends; nothing when that is this node or no node is known. */
  sequencerOf(stream: string): string | undefined {
    const [sequencer] = placeByRendezvous(`append/${stream}`, this._awake(), { count: 1 });
    return sequencer === this._options.self.id ? undefined : sequencer;
  }

  /** Whether this node reads the log itself for its failure domain. */
  isRelay(stream: string): boolean {
    return this._relays(stream).includes(this._options.self.id);
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
    const slice = fromReadResponse(await this._options.clients.log(relay).read(request, callOptions));
    if (slice.head < from) throw new LogUnavailableError(`Relay ${relay} is behind offset ${from}.`);
    return slice;
  }

  private _chooseRelay(stream: string): string | undefined {
    const relays = this._relays(stream);
    if (relays.length === 0 || relays.includes(this._options.self.id)) return undefined;
    return relays.find((relay) => this._awake().some(({ id }) => id === relay));
  }

  private _relays(stream: string): readonly string[] {
    const { self, relays } = this._options;
    const near = this._options
      .candidates()
      .filter(({ failureDomain }) => failureDomain === self.failureDomain);
    return placeByRendezvous(`read/${stream}`, near, { count: relays });
  }

  private _awake(): readonly Candidate[] {
    const nowMs = this._options.clock.monotonic();
    return this._options.candidates().filter(({ id }) => (this._restingUntilMs.get(id) ?? 0) <= nowMs);
  }

  private _rest(peer: string): void {
    this._restingUntilMs.set(peer, this._options.clock.monotonic() + RELAY_REST_MS);
  }

  private _count(call: string, way: string): void {
    this._options.counters.add('monsoonreach_log_calls_total', { call, way });
  }
}
