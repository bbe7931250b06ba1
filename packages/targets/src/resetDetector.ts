import type { buildConnector, Dispatcher } from 'undici';

/**
 * Detects connections that are being reset. An answer without a length ends with its connection, and undici reports
 * a reset as the regular end of such an answer.
 */
export class ResetDetector {
  private _isResetting = false;

  constructor(private readonly _connector: buildConnector.connector) {}

  /** Connects, and observes the connection. */
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

  /** Interceptor for which an answer fails if its connection is reset. */
  readonly intercept: Dispatcher.DispatchInterceptor = (dispatch) => (options, handler) =>
    dispatch(options, new ResetHandler(handler, this));

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

/** Passes an answer on, and fails it in place of an end that is caused by a reset. */
class ResetHandler implements Dispatcher.DispatchHandler {
  constructor(
    private readonly _handler: Dispatcher.DispatchHandler,
    private readonly _resets: ResetDetector,
  ) {}

  onRequestStart(controller: Dispatcher.DispatchController, context: unknown): void {
    this._handler.onRequestStart?.(controller, context);
  }

  onResponseStart(...start: Parameters<NonNullable<Dispatcher.DispatchHandler['onResponseStart']>>): void {
    this._handler.onResponseStart?.(...start);
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this._handler.onResponseData?.(controller, chunk);
  }

  onResponseEnd(...end: Parameters<NonNullable<Dispatcher.DispatchHandler['onResponseEnd']>>): void {
    const [controller] = end;
    if (this._resets.isResetting) this.onResponseError(controller, createResetError());
    else this._handler.onResponseEnd?.(...end);
  }

  onResponseError(controller: Dispatcher.DispatchController, error: Error): void {
    this._handler.onResponseError?.(controller, error);
  }
}

/** Creates the error of an answer whose connection was reset on the way. */
export function createResetError(): Error {
  return new Error('The connection was reset before the answer was complete.');
}
