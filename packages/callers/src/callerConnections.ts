import type { Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Clock } from '@monsoonreach/core';

/**
 * Time for which a connection stays open after an answer that did not announce its end, in milliseconds. A request that
 * its caller sends at once would otherwise be reset, and the caller could not tell whether it was run.
 */
const LINGER_MS = 250;

/** How far a request has come: held until the node knows its targets, its body being read, or being served. */
export type RequestStage = 'held' | 'reading' | 'serving';

/** A request whose answer has not been sent completely. */
export interface OpenRequest {
  readonly response: ServerResponse;
  /** Empty if it is not known to the server. */
  readonly requestId: string;
  readonly stage: RequestStage;
  /** Monotonic time at which its head was read, in milliseconds. */
  readonly startedAtMs: number;
  /** Number of its connection, counted from the start of the process. */
  readonly connection: number;
  /** Monotonic time at which its connection was opened, in milliseconds. */
  readonly connectionOpenedAtMs: number;
  /** Position among the requests of its connection, from 1. */
  readonly position: number;
}

interface Connection {
  readonly number: number;
  readonly openedAtMs: number;
  requestCount: number;
  openRequests: number;
  /** Called when a request ends, or the connection. */
  readonly waiters: Set<() => void>;
}

/**
 * The connections of callers, and their requests from the head until the last byte of the answer was handed to the system.
 *
 * A stopping node closes each connection after its current answer. The head of that answer may have been sent before
 * the stop and then does not announce it.
 */
export class CallerConnections {
  private readonly _connections = new Map<Socket, Connection>();
  private readonly _requests = new Map<ServerResponse, OpenRequest>();
  private _lastNumber = 0;
  private _isClosingAfterAnswers = false;
  private _isClosingIdle = false;

  constructor(private readonly _clock: Clock) {}

  /** Number of open connections. */
  get size(): number {
    return this._connections.size;
  }

  /** Tracks the connections of a server, and decides when it closes them. */
  attach(server: Server): void {
    server.on('connection', (socket) => {
      this._add(socket);
    });
    // Otherwise close() also destroys connections with an answer that has ended but not left.
    server.closeIdleConnections = () => {
      this.closeIdle();
    };
  }

  private _closeSoon(socket: Socket, connection: Connection): void {
    const { requestCount } = connection;
    setTimeout(() => {
      if (connection.requestCount === requestCount && connection.openRequests === 0) socket.destroySoon();
    }, LINGER_MS);
  }

  private _add(socket: Socket): void {
    this._connections.set(socket, {
      number: ++this._lastNumber,
      openedAtMs: this._clock.monotonic(),
      requestCount: 0,
      openRequests: 0,
      waiters: new Set(),
    });
    socket.once('close', () => {
      this._remove(socket);
    });
    if (this._isClosingIdle) socket.destroySoon();
  }

  private _remove(socket: Socket): void {
    const connection = this._connections.get(socket);
    this._connections.delete(socket);
    // A response that has waited for another one does not tell that its connection is closed.
    for (const { response } of this._requests.values())
      if (response.req.socket === socket) this._requests.delete(response);
    if (connection) wake(connection);
  }

  /** Tracks a request until its answer has been sent or its connection is closed. */
  startRequest(response: ServerResponse, requestId = ''): void {
    // A response has no socket of its own until the one before it on the connection has ended.
    const { socket } = response.req;
    const connection = this._connections.get(socket);
    if (!connection) return;
    connection.requestCount++;
    connection.openRequests++;
    this._requests.set(response, {
      response,
      requestId,
      stage: 'held',
      startedAtMs: this._clock.monotonic(),
      connection: connection.number,
      connectionOpenedAtMs: connection.openedAtMs,
      position: connection.requestCount,
    });
    response.once('close', () => {
      this._requests.delete(response);
      connection.openRequests--;
      wake(connection);
      if (this._isClosingAfterAnswers) this._closeSoon(socket, connection);
    });
  }

  /** Whether no later request has arrived on the connection, so that the response may announce the connection's end. */
  isLatest(response: ServerResponse): boolean {
    const connection = this._connections.get(response.req.socket);
    return connection?.requestCount === this._requests.get(response)?.position;
  }

  /** Whether the answer to an earlier request on the connection has not been sent, so that the response has to wait. */
  isBehindAnother(response: ServerResponse): boolean {
    const position = this._requests.get(response)?.position ?? 0;
    return [...this._requests.values()].some(
      (earlier) => earlier.response.req.socket === response.req.socket && earlier.position < position,
    );
  }

  /** Resolves when the answers to the earlier requests on the connection have been sent, or the connection is closed. */
  async waitForTurn(response: ServerResponse): Promise<void> {
    const connection = this._connections.get(response.req.socket);
    while (connection && this.isBehindAnother(response)) {
      await new Promise<void>((resolve) => connection.waiters.add(resolve));
    }
  }

  /** Whether a request on the connection is being served. */
  isServing(socket: Socket): boolean {
    return [...this._requests.values()].some(
      ({ response, stage }) => stage === 'serving' && response.req.socket === socket,
    );
  }

  setStage(response: ServerResponse, stage: RequestStage): void {
    const request = this._requests.get(response);
    if (request) this._requests.set(response, { ...request, stage });
  }

  listOpenRequests(): readonly OpenRequest[] {
    return [...this._requests.values()];
  }

  /** Resets the connections whose answer has not left, so that it does not look complete. */
  resetUnfinished(): void {
    for (const { response } of this._requests.values()) response.req.socket.resetAndDestroy();
  }

  /** From now on, closes each connection a moment after its current answer. */
  closeAfterAnswers(): void {
    this._isClosingAfterAnswers = true;
  }

  /** Closes the connections without a request in progress, also those that never had one, now and when opened. */
  closeIdle(): void {
    this._isClosingIdle = true;
    for (const [socket, { openRequests }] of this._connections) {
      if (openRequests === 0) socket.destroySoon();
    }
  }
}

function wake({ waiters }: Connection): void {
  for (const resolve of waiters) resolve();
  waiters.clear();
}
