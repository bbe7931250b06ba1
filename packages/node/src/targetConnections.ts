import { type Clock, MonsoonreachError } from '@monsoonreach/core';
import { createConnector, decodeTargetHead, type TargetHead } from '@monsoonreach/platform';
import { type buildConnector, Client, type Dispatcher, Pool } from 'undici';

/** Longest wait for a connection to a target, in milliseconds; many times the time between failure domains. */
const CONNECT_TIMEOUT_MS = 120;
/** How long an idle connection is reused, in milliseconds; short, as idle connections may die silently. */
const IDLE_MS = 2_500;

/** A call that did not end with a whole answer. */
export class CallError extends MonsoonreachError {
  readonly code = 'call';

  constructor(
    message: string,
    /** True when it is certain that no byte of the request was sent. */
    readonly isUnsent: boolean,
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
  /** Names and values in turn. */
  readonly headers: string[];
  readonly body: Buffer | undefined;
  /** A connection of its own, which is not used again. */
  readonly isFresh: boolean;
}

/** Takes a target's answer as it comes. */
export interface CallListener {
  readonly onHead: (head: TargetHead) => void;
  readonly onData: (chunk: Buffer) => void;
  readonly onEnd: () => void;
  readonly onError: (error: CallError) => void;
}

/** A call under way. */
export interface OpenCall {
  /** Ends the call; its connection is not used again and its listener hears nothing more. */
  cancel(): void;
  pause(): void;
  resume(): void;
}

/** Connections to targets; one request at a time on each. */
export class TargetConnections {
  private readonly _resets = new ResetWatch();
  private readonly _pools = new Map<string, { readonly pool: Pool; usedAtMs: number }>();

  constructor(private readonly _clock: Clock) {}

  open(call: TargetCall, listener: CallListener): OpenCall {
    const { dispatcher, release } = this._dispatcherFor(call);
    const handler = new CallHandler(listener, release, this._resets);
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

  /** Closes pools of targets that were not called for a while. */
  closeUnused(unusedMs: number): void {
    const nowMs = this._clock.monotonic();
    for (const [address, { pool, usedAtMs }] of this._pools) {
      if (nowMs - usedAtMs < unusedMs) continue;
      this._pools.delete(address);
      void pool.close();
    }
  }

  private _dispatcherFor(call: TargetCall): {
    readonly dispatcher: Dispatcher;
    readonly release: () => void;
  } {
    const origin = `http://${call.address}`;
    const connect = this._resets.connect;
    if (call.isFresh) {
      const client = new Client(origin, { pipelining: 1, connect });
      return { dispatcher: client, release: () => void client.destroy() };
    }
    let entry = this._pools.get(call.address);
    if (!entry) {
      const options = { pipelining: 1, connect, keepAliveTimeout: IDLE_MS, keepAliveMaxTimeout: IDLE_MS };
      entry = { pool: new Pool(origin, { connections: null, ...options }), usedAtMs: 0 };
      this._pools.set(call.address, entry);
    }
    entry.usedAtMs = this._clock.monotonic();
    return { dispatcher: entry.pool, release: () => undefined };
  }
}

/**
 * Tells whether a connection is being reset at this moment. An answer without a length ends with its connection,
 * and the client library takes a reset for such an end.
 */
class ResetWatch {
  private _isResetting = false;

  readonly connect: buildConnector.connector = (options, callback) => {
    this._connector(options, (...result) => {
      const [, socket] = result;
      socket?.prependListener('error', () => {
        this._note();
      });
      socket?.prependListener('end', () => {
        // A reset right behind the last bytes is reported as an end, but a connection that was reset has no peer.
        if (socket.remoteAddress === undefined) this._note();
      });
      callback(...result);
    });
  };
  private readonly _connector = createConnector(CONNECT_TIMEOUT_MS);

  /** True while the listeners of a connection's error, or of its end by a reset, run. */
  get isResetting(): boolean {
    return this._isResetting;
  }

  private _note(): void {
    this._isResetting = true;
    queueMicrotask(() => {
      this._isResetting = false;
    });
  }
}

class CallHandler implements Dispatcher.DispatchHandler, OpenCall {
  private _controller: Dispatcher.DispatchController | undefined;
  private _isOver = false;
  private _isSent = false;

  constructor(
    private readonly _listener: CallListener,
    private readonly _release: () => void,
    private readonly _resets: ResetWatch,
  ) {}

  cancel(): void {
    if (this._isOver) return;
    this._isOver = true;
    this._controller?.abort(new CallError('The call was cancelled.', false));
    this._release();
  }

  pause(): void {
    this._controller?.pause();
  }

  resume(): void {
    this._controller?.resume();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this._controller = controller;
    if (this._isOver) controller.abort(new CallError('The call was cancelled.', true));
    else this._isSent = true;
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): void {
    if (!this._isOver && status >= 200) this._listener.onHead(decodeTargetHead(status, headers));
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (!this._isOver) this._listener.onData(chunk);
  }

  onResponseEnd(): void {
    if (this._isOver) return;
    if (this._resets.isResetting) {
      this.onResponseError(undefined, new Error('The connection was reset before the answer had ended.'));
      return;
    }
    this._isOver = true;
    this._release();
    this._listener.onEnd();
  }

  onResponseError(_controller: unknown, error: Error): void {
    if (this._isOver) return;
    this._isOver = true;
    this._release();
    const message = `The call to a target ended without a whole answer: ${error.message}`;
    this._listener.onError(new CallError(message, !this._isSent, { cause: error }));
  }
}
