import { connect, createServer, type Server, type Socket } from 'node:net';
import { sleep } from '../standins/http.js';

/** What a proxy does with the bytes that it forwards. */
export type LinkState =
  | { readonly kind: 'passes' }
  /** Bytes are held until the state is `passes` again, as during a network partition that heals. */
  | { readonly kind: 'silent' }
  /** Bytes of one direction are held. */
  | { readonly kind: 'one-way'; readonly pausedDirection: 'requests' | 'answers' }
  | { readonly kind: 'delayed'; readonly delayMs: number };

interface Connection {
  readonly caller: Socket;
  readonly server: Socket;
}

/** A loopback TCP proxy in front of one server, which injects network faults into its connections. */
export class FaultProxy {
  private readonly _connections = new Set<Connection>();
  private _state: LinkState = { kind: 'passes' };
  private _silences = 0;
  private readonly _server: Server;

  constructor(private readonly _getTargetAddress: () => string) {
    this._server = createServer((caller) => {
      this._accept(caller);
    });
  }

  listen(port: number): Promise<void> {
    return new Promise((resolve) => {
      this._server.listen(port, '127.0.0.1', resolve);
    });
  }

  setState(state: LinkState): void {
    this._state = state;
    for (const connection of this._connections) this._apply(connection);
  }

  /** Holds the bytes of all connections for `forMs` milliseconds; silences that overlap end with the last of them. */
  async silence(forMs: number): Promise<void> {
    this._silences++;
    this.setState({ kind: 'silent' });
    await sleep(forMs);
    if (--this._silences === 0) this.setState({ kind: 'passes' });
  }

  /** Resets every open connection, or every `every`-th of them. */
  resetConnections(every = 1): void {
    for (const { caller, server } of [...this._connections].filter((_, index) => index % every === 0)) {
      caller.resetAndDestroy();
      server.resetAndDestroy();
    }
  }

  close(): void {
    this._server.close();
    this.resetConnections();
  }

  private _accept(caller: Socket): void {
    const [host = '', port = '0'] = this._getTargetAddress().split(':');
    const connection = { caller, server: connect({ host, port: Number(port) }) };
    this._connections.add(connection);
    this._forward(connection.caller, connection.server);
    this._forward(connection.server, connection.caller);
    this._apply(connection);
  }

  private _forward(from: Socket, to: Socket): void {
    const afterDelay = (act: () => void) => {
      if (this._state.kind === 'delayed') setTimeout(act, this._state.delayMs);
      else act();
    };
    from.on('data', (chunk) => {
      afterDelay(() => {
        if (!to.destroyed) to.write(chunk);
      });
    });
    from.on('end', () => {
      // A reset directly after the last bytes arrives as 'end', but a reset socket has no remote address.
      const isReset = from.remoteAddress === undefined;
      afterDelay(() => {
        if (isReset) to.resetAndDestroy();
        else to.end();
      });
    });
    from.on('error', () => {
      if (!to.destroyed) to.resetAndDestroy();
    });
    from.on('close', () => {
      to.destroy();
      for (const connection of this._connections)
        if (connection.caller === from || connection.server === from) this._connections.delete(connection);
    });
  }

  private _apply({ caller, server }: Connection): void {
    const { _state: state } = this;
    const areRequestsHeld =
      state.kind === 'silent' || (state.kind === 'one-way' && state.pausedDirection === 'requests');
    const areAnswersHeld =
      state.kind === 'silent' || (state.kind === 'one-way' && state.pausedDirection === 'answers');
    if (areRequestsHeld) caller.pause();
    else caller.resume();
    if (areAnswersHeld) server.pause();
    else server.resume();
  }
}
