import { connect, createServer, type Server, type Socket } from 'node:net';

/** What a proxy does to the bytes that pass it. */
export type LinkState =
  | { readonly kind: 'passes' }
  /** Bytes wait until the link passes again, as behind a partition that heals. */
  | { readonly kind: 'silent' }
  /** Bytes of one direction wait. */
  | { readonly kind: 'one-way'; readonly waits: 'requests' | 'answers' }
  | { readonly kind: 'delayed'; readonly byMs: number };

interface Pair {
  readonly caller: Socket;
  readonly server: Socket;
}

/** A loopback proxy in front of one server, which harms its connections from outside. */
export class FaultProxy {
  private readonly _pairs = new Set<Pair>();
  private _state: LinkState = { kind: 'passes' };
  private readonly _server: Server;

  constructor(private readonly _target: () => string) {
    this._server = createServer((caller) => {
      this._accept(caller);
    });
  }

  listen(port: number): Promise<void> {
    return new Promise((resolve) => {
      this._server.listen(port, '127.0.0.1', resolve);
    });
  }

  set(state: LinkState): void {
    this._state = state;
    for (const pair of this._pairs) this._apply(pair);
  }

  /** Resets every connection that is open. */
  reset(): void {
    for (const { caller, server } of this._pairs) {
      caller.resetAndDestroy();
      server.resetAndDestroy();
    }
  }

  close(): void {
    this._server.close();
    this.reset();
  }

  private _accept(caller: Socket): void {
    const [host = '', port = '0'] = this._target().split(':');
    const pair = { caller, server: connect({ host, port: Number(port) }) };
    this._pairs.add(pair);
    this._pass(pair.caller, pair.server);
    this._pass(pair.server, pair.caller);
    this._apply(pair);
  }

  private _pass(from: Socket, to: Socket): void {
    const afterDelay = (act: () => void) => {
      if (this._state.kind === 'delayed') setTimeout(act, this._state.byMs);
      else act();
    };
    from.on('data', (chunk) => {
      afterDelay(() => {
        if (!to.destroyed) to.write(chunk);
      });
    });
    from.on('end', () => {
      afterDelay(() => to.end());
    });
    from.on('error', () => {
      if (!to.destroyed) to.resetAndDestroy();
    });
    from.on('close', () => {
      to.destroy();
      for (const pair of this._pairs)
        if (pair.caller === from || pair.server === from) this._pairs.delete(pair);
    });
  }

  private _apply({ caller, server }: Pair): void {
    const { _state: state } = this;
    const areRequestsHeld =
      state.kind === 'silent' || (state.kind === 'one-way' && state.waits === 'requests');
    const areAnswersHeld = state.kind === 'silent' || (state.kind === 'one-way' && state.waits === 'answers');
    if (areRequestsHeld) caller.pause();
    else caller.resume();
    if (areAnswersHeld) server.pause();
    else server.resume();
  }
}
