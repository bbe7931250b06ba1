import { type Clock, MonsoonreachError } from '@monsoonreach/core';
import { createConnector, decodeResponseHead, type ResponseHead } from '@monsoonreach/platform';
import { type buildConnector, Client, type Dispatcher, Pool } from 'undici';

/** Timeout for connecting to a target, in milliseconds; many times the latency between failure domains. */
const CONNECT_TIMEOUT_MS = 120;
/** Time for which an idle connection is reused, in milliseconds; short, as idle connections may be lost unnoticed. */
const IDLE_TIMEOUT_MS = 2_500;

/** Time within which a closed connection answers a request with a reset, in milliseconds; a few round trips. */
const STALE_RESET_MS = 15;

/** A call to a target ended without a complete answer. */
export class CallError extends MonsoonreachError {
  readonly code = 'call';

  constructor(
    message: string,
    /** Whether it is certain that no byte of the request was sent. */
    readonly isUnsent: boolean,
    /** Whether an idle connection was used that turned out to be closed; the target may be well. */
    readonly isStale: boolean,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}

/** One call to a target. */
export interface TargetCall {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  /** Names and values, alternating. */
  readonly headers: string[];
  readonly body: Buffer | undefined;
  /** Whether to use a new connection that is not reused afterwards. */
  readonly isFresh: boolean;
}

/** Receives the parts of a target's answer as they arrive. */
export interface CallListener {
  readonly onHead: (head: ResponseHead) => void;
  readonly onData: (chunk: Buffer) => void;
  readonly onEnd: () => void;
  readonly onError: (error: CallError) => void;
}

/** A call in progress. */
export interface OpenCall {
  /** Ends the call; its connection is not reused and its listener is not called again. */
  cancel(): void;
  pause(): void;
  resume(): void;
}

/** Connections to targets, each with at most one request in progress. */
export class TargetConnections {
  private readonly _resets = new ResetDetector();
  private readonly _pools = new Map<string, { readonly pool: Pool; usedAtMs: number }>();

  constructor(private readonly _clock: Clock) {}

  open(call: TargetCall, listener: CallListener): OpenCall {
    const { dispatcher, isReused, release } = this._getDispatcher(call);
    const handler = new CallHandler({
      listener,
      release,
      resets: this._resets,
      isReused,
      clock: this._clock,
    });
    try {
      dispatcher.dispatch(
        {
          path: call.path,
          method: call.method as Dispatcher.HttpMethod,
          headers: call.headers,
          body: call.body ?? null,
          headersTimeout: 0,
          bodyTimeout: 0,
          idempotent: false,
        },
        handler,
      );
    } catch (error) {
      handler.onResponseError(undefined, error as Error);
    }
    return handler;
  }

  /** Addresses of targets to which a connection is idle, the latest used first. */
  listConnected(): readonly string[] {
    const nowMs = this._clock.monotonic();
    return [...this._pools]
      .filter(([, { pool, usedAtMs }]) => nowMs - usedAtMs < IDLE_TIMEOUT_MS && pool.stats.free > 0)
      .sort(([, a], [, b]) => b.usedAtMs - a.usedAtMs)
      .map(([address]) => address);
  }

  /** Closes the pools of targets that were not called for `unusedMs`. */
  closeUnused(unusedMs: number): void {
    const nowMs = this._clock.monotonic();
    for (const [address, { pool, usedAtMs }] of this._pools) {
      if (nowMs - usedAtMs < unusedMs) continue;
      this._pools.delete(address);
      void pool.close();
    }
  }

  private _getDispatcher(call: TargetCall): {
    readonly dispatcher: Dispatcher;
    /** Whether the call uses an idle connection. */
    readonly isReused: boolean;
    readonly release: () => void;
  } {
    const origin = `http://${call.address}`;
    const connect = this._resets.connect;
    if (call.isFresh) {
      const client = new Client(origin, { pipelining: 1, connect });
      return { dispatcher: client, isReused: false, release: () => void client.destroy() };
    }
    let entry = this._pools.get(call.address);
    if (!entry) {
      const options = {
        pipelining: 1,
        connect,
        keepAliveTimeout: IDLE_TIMEOUT_MS,
        keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
      };
      entry = { pool: new Pool(origin, { connections: null, ...options }), usedAtMs: 0 };
      this._pools.set(call.address, entry);
    }
    entry.usedAtMs = this._clock.monotonic();
    const isReused = entry.pool.stats.free > 0;
    return { dispatcher: entry.pool, isReused, release: () => undefined };
  }
}

/**
 * Detects connections that are being reset. An answer without a length ends with its connection, and undici reports
 * a reset as the regular end of such an answer.
 */
class ResetDetector {
  private _isResetting = false;

  readonly connect: buildConnector.connector = (options, callback) => {
    this._connector(options, (...result) => {
      const [, socket] = result;
      socket?.prependListener('error', () => {
        this._markResetting();
      });
      socket?.prependListener('end', () => {
        // A reset directly after the last bytes arrives as 'end', but a reset socket has no remote address.
        if (socket.remoteAddress === undefined) this._markResetting();
      });
      callback(...result);
    });
  };
  private readonly _connector = createConnector(CONNECT_TIMEOUT_MS);

  /** True while the listeners of a connection's error, or of an end caused by a reset, run. */
  get isResetting(): boolean {
    return this._isResetting;
  }

  private _markResetting(): void {
    this._isResetting = true;
    queueMicrotask(() => {
      this._isResetting = false;
    });
  }
}

interface CallHandlerOptions {
  readonly listener: CallListener;
  readonly release: () => void;
  readonly resets: ResetDetector;
  readonly isReused: boolean;
  readonly clock: Clock;
}

class CallHandler implements Dispatcher.DispatchHandler, OpenCall {
  private _controller: Dispatcher.DispatchController | undefined;
  private _isFinished = false;
  private _isAnswered = false;
  /** Monotonic time at which sending began; undefined before. */
  private _sentAtMs: number | undefined;

  constructor(private readonly _options: CallHandlerOptions) {}

  cancel(): void {
    if (this._isFinished) return;
    this._isFinished = true;
    this._controller?.abort(new CallError('The call was cancelled.', false, false));
    this._options.release();
  }

  pause(): void {
    this._controller?.pause();
  }

  resume(): void {
    this._controller?.resume();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this._controller = controller;
    if (this._isFinished) controller.abort(new CallError('The call was cancelled.', true, false));
    else this._sentAtMs = this._options.clock.monotonic();
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): void {
    this._isAnswered = true;
    if (!this._isFinished && status >= 200)
      this._options.listener.onHead(decodeResponseHead(status, headers));
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (!this._isFinished) this._options.listener.onData(chunk);
  }

  onResponseEnd(): void {
    if (this._isFinished) return;
    if (this._options.resets.isResetting) {
      this.onResponseError(undefined, new Error('The connection was reset before the answer was complete.'));
      return;
    }
    this._isFinished = true;
    this._options.release();
    this._options.listener.onEnd();
  }

  onResponseError(_controller: unknown, error: Error): void {
    if (this._isFinished) return;
    this._isFinished = true;
    this._options.release();
    const message = `The call to the target ended without a complete answer: ${error.message}`;
    const { listener, isReused, clock } = this._options;
    const sentAtMs = this._sentAtMs ?? Infinity;
    const isStale = isReused && !this._isAnswered && clock.monotonic() - sentAtMs < STALE_RESET_MS;
    listener.onError(new CallError(message, sentAtMs === Infinity, isStale, { cause: error }));
  }
}
