import type { Socket } from 'node:net';
import { type Clock, MonsoonreachError } from '@monsoonreach/core';
import {
  ConnectionTimeoutError,
  createConnector,
  decodeResponseHead,
  type ResponseHead,
} from '@monsoonreach/platform';
import { createResetError, ResetDetector } from '@monsoonreach/targets/resets';
import { Client, type Dispatcher, errors } from 'undici';

/** Timeout for connecting to a target, in milliseconds; many times the latency between failure domains. */
const CONNECT_TIMEOUT_MS = 120;
/** Time for which an idle connection is kept, in milliseconds; short, as idle connections may be lost unnoticed. */
const IDLE_TIMEOUT_MS = 2_500;

/** Time within which a closed connection answers a request with a reset, in milliseconds; a few round trips. */
const STALE_RESET_MS = 15;

/** Bytes besides its body that an answer may have, as these may be sent without end: heads, chunk sizes, trailers. */
const MAX_FRAMING_BYTES = 262_144;
/** The same for each byte of the body; chunks of one byte have five. */
const MAX_FRAMING_PER_BODY_BYTE = 8;

/**
 * How a call failed. Only `unreachable` tells of the target rather than of one connection.
 *
 * - `unreachable`: no connection could be established, as nothing listens or nothing answers there.
 * - `unsent`: the connection ended before a byte of the request was sent.
 * - `stale`: an idle connection was used that turned out to be closed; the target may be well.
 * - `broken`: the connection ended before the answer was complete.
 * - `malformed`: the target sent bytes that are no answer.
 */
export type CallFailure = 'unreachable' | 'unsent' | 'stale' | 'broken' | 'malformed';

/** A call to a target ended without a complete answer. */
export class CallError extends MonsoonreachError {
  readonly code = 'call';

  constructor(
    message: string,
    readonly failure: CallFailure,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }

  /** Whether it is certain that no byte of the request was sent. */
  get isUnsent(): boolean {
    return this.failure === 'unsent' || this.failure === 'unreachable';
  }
}

/** A target sends bytes that are neither a head of the usual size nor a body. */
class EndlessFramingError extends MonsoonreachError {
  readonly code = 'endless-framing';

  constructor(framingBytes: number, bodyBytes: number) {
    super(`The target sent ${framingBytes} bytes that belong to no body, and a body of ${bodyBytes} bytes.`);
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
  /** Whether an idle connection is used, on which late bytes of an earlier answer may arrive. */
  readonly isReused: boolean;
  /** Ends the call; its connection is not reused and its listener is not called again. */
  cancel(): void;
  pause(): void;
  resume(): void;
}

/** Connections to targets, each with at most one request in progress. */
export class TargetConnections {
  private readonly _resets = new ResetDetector(createConnector(CONNECT_TIMEOUT_MS));
  /** Idle connections by address, the latest used last. */
  private readonly _idle = new Map<string, TargetConnection[]>();

  constructor(private readonly _clock: Clock) {}

  open(call: TargetCall, listener: CallListener): OpenCall {
    const idle = call.isFresh ? undefined : this._takeIdle(call.address);
    const connection = idle ?? new TargetConnection(call.address, this._resets);
    const handler = new CallHandler({
      listener,
      connection,
      resets: this._resets,
      isReused: idle !== undefined,
      clock: this._clock,
      onComplete: () => {
        if (call.isFresh) connection.destroy();
        else this._release(connection);
      },
    });
    connection.dispatch(call, handler);
    return handler;
  }

  /** Addresses of targets to which a connection is idle, the latest used first. */
  listConnected(): readonly string[] {
    return [...this._idle]
      .map(([address, connections]) => ({ address, usedAtMs: connections.at(-1)?.usedAtMs ?? -Infinity }))
      .sort((a, b) => b.usedAtMs - a.usedAtMs)
      .map(({ address }) => address);
  }

  /** Closes the connections that were idle for `unusedMs`. */
  closeUnused(unusedMs: number): void {
    const nowMs = this._clock.monotonic();
    for (const connection of [...this._idle.values()].flat()) {
      if (nowMs - connection.usedAtMs >= unusedMs) connection.destroy();
    }
  }

  private _takeIdle(address: string): TargetConnection | undefined {
    const connection = this._idle.get(address)?.findLast(({ isConnected }) => isConnected);
    if (connection) this._removeIdle(connection);
    return connection;
  }

  /** Keeps a connection for reuse, once its target had the time to close it. */
  private _release(connection: TargetConnection): void {
    setImmediate(() => {
      if (!connection.isConnected) {
        connection.destroy();
        return;
      }
      connection.usedAtMs = this._clock.monotonic();
      connection.onClose = () => {
        this._removeIdle(connection);
      };
      const idle = this._idle.get(connection.address);
      if (idle) idle.push(connection);
      else this._idle.set(connection.address, [connection]);
    });
  }

  private _removeIdle(connection: TargetConnection): void {
    connection.onClose = undefined;
    const others = (this._idle.get(connection.address) ?? []).filter((other) => other !== connection);
    if (others.length > 0) this._idle.set(connection.address, others);
    else this._idle.delete(connection.address);
  }
}

/** One connection to a target; a pool of undici opens a new connection in place of each that is closed under a call. */
class TargetConnection {
  /** Monotonic time of the end of its latest call. */
  usedAtMs = -Infinity;
  /** Called once when the connection is closed. */
  onClose: (() => void) | undefined;
  private readonly _client: Client;
  private _socket: Socket | undefined;
  private _handler: CallHandler | undefined;
  /** Bytes that the socket had read before the call in progress. */
  private _earlierBytes = 0;

  constructor(
    readonly address: string,
    resets: ResetDetector,
  ) {
    this._client = new Client(`http://${address}`, {
      pipelining: 1,
      connect: (options, callback) => {
        resets.connect(options, (...result) => {
          callback(...result);
          if (result[1]) this._watch(result[1]);
        });
      },
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
    });
    this._client.on('disconnect', () => {
      // A call that is not sent yet goes on over a new connection.
      if (this._client.stats.size === 0) this.destroy();
    });
  }

  get isConnected(): boolean {
    return this._client.stats.connected;
  }

  /** Bytes that were read since the start of the latest call. */
  get readBytes(): number {
    return (this._socket?.bytesRead ?? 0) - this._earlierBytes;
  }

  dispatch(call: TargetCall, handler: CallHandler): void {
    this._handler = handler;
    this._earlierBytes = this._socket?.bytesRead ?? 0;
    try {
      this._client.dispatch(
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
  }

  destroy(): void {
    this.onClose?.();
    void this._client.destroy();
  }

  private _watch(socket: Socket): void {
    this._socket = socket;
    this._earlierBytes = 0;
    socket.on('readable', () => {
      this._handler?.checkFraming(this.readBytes);
    });
  }
}

interface CallHandlerOptions {
  readonly listener: CallListener;
  readonly connection: TargetConnection;
  readonly resets: ResetDetector;
  readonly isReused: boolean;
  readonly clock: Clock;
  /** Called after a complete answer, when the connection may be reused. */
  readonly onComplete: () => void;
}

class CallHandler implements Dispatcher.DispatchHandler, OpenCall {
  private _controller: Dispatcher.DispatchController | undefined;
  private _isFinished = false;
  /** Monotonic time at which sending began; undefined before. */
  private _sentAtMs: number | undefined;
  private _bodyBytes = 0;

  constructor(private readonly _options: CallHandlerOptions) {}

  get isReused(): boolean {
    return this._options.isReused;
  }

  cancel(): void {
    if (this._isFinished) return;
    this._isFinished = true;
    this._controller?.abort(new CallError('The call was cancelled.', 'broken'));
    this._options.connection.destroy();
  }

  pause(): void {
    this._controller?.pause();
  }

  resume(): void {
    if (!this._isFinished) this._controller?.resume();
  }

  /** Ends the call if most of the `readBytes` that its connection has read since its start belong to no body. */
  checkFraming(readBytes: number): void {
    const framingBytes = readBytes - this._bodyBytes;
    if (framingBytes <= MAX_FRAMING_BYTES + MAX_FRAMING_PER_BODY_BYTE * this._bodyBytes) return;
    this.onResponseError(undefined, new EndlessFramingError(framingBytes, this._bodyBytes));
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this._controller = controller;
    if (this._isFinished) controller.abort(new CallError('The call was cancelled.', 'unsent'));
    else this._sentAtMs = this._options.clock.monotonic();
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): void {
    if (!this._isFinished && status >= 200)
      this._options.listener.onHead(decodeResponseHead(status, headers));
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this._bodyBytes += chunk.length;
    if (!this._isFinished) this._options.listener.onData(chunk);
  }

  onResponseEnd(): void {
    if (this._isFinished) return;
    if (this._options.resets.isResetting) {
      this.onResponseError(undefined, createResetError());
      return;
    }
    this._isFinished = true;
    this._options.onComplete();
    this._options.listener.onEnd();
  }

  onResponseError(_controller: unknown, error: Error): void {
    if (this._isFinished) return;
    this._isFinished = true;
    const { listener, connection } = this._options;
    connection.destroy();
    const message = `The call to the target ended without a complete answer: ${error.message}`;
    listener.onError(new CallError(message, this._classify(error), { cause: error }));
  }

  private _classify(error: Error): CallFailure {
    const { isReused, connection, clock } = this._options;
    if (this._sentAtMs === undefined) return isUnreachable(error) ? 'unreachable' : 'unsent';
    const isAtOnce = clock.monotonic() - this._sentAtMs < STALE_RESET_MS;
    if (isReused && connection.readBytes === 0 && isAtOnce) return 'stale';
    return isMalformed(error) ? 'malformed' : 'broken';
  }
}

/** Whether no connection was established, rather than one that ended. */
function isUnreachable(error: Error): boolean {
  const { code = '' } = error as { readonly code?: string };
  return error instanceof ConnectionTimeoutError || UNREACHABLE_CODES.has(code);
}

const UNREACHABLE_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ETIMEDOUT',
]);

/** Whether an error tells of bytes that are no answer, rather than of an answer that is not complete. */
function isMalformed(error: Error): boolean {
  if (error instanceof EndlessFramingError) return true;
  // The parser's errors name the bytes that it refuses; at the end of an incomplete answer there are none.
  const { data = '' } = error as { readonly data?: string };
  if (error instanceof errors.HTTPParserError) return data !== '';
  return error instanceof errors.HeadersOverflowError;
}
