import type { Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Clock } from '@monsoonreach/core';
import type { CallerMemory, MemoryHolder } from './callerMemory.js';

export { BodyBuffer } from './bodyBuffer.js';
export { CallerMemory, type MemoryHolder } from './callerMemory.js';

/** Unanswered requests on a connection from which on no more are read from it; callers send a few dozen ahead. */
const HOLD_REQUESTS = 64;
/** Unanswered requests on a connection at which it is closed: what was read before the hold may exceed that one. */
const MAX_REQUESTS = 256;
/** Unanswered requests on a connection from which on it may be ended to free memory although one of them is being run. */
const MAX_SPARED_REQUESTS = 8;
/**
 * Chunks after which a connection waits for its turn, one connection in each turn of the event loop. A read of 64 KiB in
 * chunks of one byte takes tens of milliseconds, and many such connections would keep the process from everything else.
 */
const MAX_CHUNKS_PER_TURN = 1_024;
/** Accounted for a connection, in bytes: its socket and parser. */
const CONNECTION_BYTES = 4_096;
/** Accounted for an unanswered request beyond its headers, in bytes: its objects and those of its answer. */
const REQUEST_BYTES = 8_192;
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

/** Limits of callers that a process can reach. */
export type CallerLimit = 'memory' | 'requests-ahead' | 'connections';

/** Options of {@link CallerConnections}; nothing is bounded without them. */
export interface CallerConnectionsOptions {
  readonly memory?: CallerMemory;
  /** Largest number of connections; the one that has been idle for the longest time is closed first. */
  readonly maxConnections?: number;
  /** Called when a connection is ended or refused because of a limit. */
  readonly onLimit?: (limit: CallerLimit) => void;
  /**
   * Answers the first of a connection's requests, none of which is run because of the memory, and drops what is kept of
   * all of them. Their connection is closed after that.
   */
  readonly refuse?: (requests: readonly [OpenRequest, ...OpenRequest[]]) => void;
}

type HoldReason = 'requests' | 'memory' | 'chunks' | 'end';

interface Connection {
  readonly number: number;
  readonly holder: MemoryHolder;
  /** Requests whose answers have not been sent, and the bytes held for each, in their order. */
  readonly held: Map<ServerResponse, { readonly headBytes: number; bodyBytes: number }>;
  /** Why nothing is read from it; empty while it is read. */
  readonly holds: Set<HoldReason>;
  /** Chunks of bodies read since it was last its turn. */
  chunkCount: number;
  isEnding: boolean;
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
  /** Connections that wait for their turn because of many small chunks. */
  private readonly _waitingForTurn: { readonly socket: Socket; readonly connection: Connection }[] = [];
  private _lastNumber = 0;
  private _isClosingAfterAnswers = false;
  private _isClosingIdle = false;

  constructor(
    private readonly _clock: Clock,
    private readonly _options: CallerConnectionsOptions = {},
  ) {}

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
    const { maxConnections = Infinity, onLimit } = this._options;
    if (this._connections.size >= maxConnections) {
      onLimit?.('connections');
      const idle = this._findLongestIdle();
      if (!idle) {
        socket.destroy();
        return;
      }
      // Not tracked until it is closed, so that it is not found again.
      this._remove(idle);
      idle.destroy();
    }
    const connection: Connection = {
      number: ++this._lastNumber,
      openedAtMs: this._clock.monotonic(),
      requestCount: 0,
      openRequests: 0,
      waiters: new Set(),
      held: new Map(),
      holds: new Set(),
      chunkCount: 0,
      isEnding: false,
      holder: {
        canEnd: () => this._canEnd(connection),
        end: () => {
          this._endForMemory(socket, connection);
        },
        setHeld: (isHeld) => {
          if (isHeld) hold(socket, connection, 'memory');
          else unhold(socket, connection, 'memory');
        },
      },
    };
    this._connections.set(socket, connection);
    // Reading a body resumes its socket.
    socket.on('resume', () => {
      if (connection.holds.size > 0) socket.pause();
    });
    socket.once('close', () => {
      this._remove(socket);
    });
    this._account(connection);
    if (this._isClosingIdle) socket.destroySoon();
  }

  /** Connections are in the order in which they became idle, among others that are not idle. */
  private _findLongestIdle(): Socket | undefined {
    for (const [socket, { openRequests }] of this._connections) if (openRequests === 0) return socket;
    return undefined;
  }

  private _remove(socket: Socket): void {
    const connection = this._connections.get(socket);
    if (!connection) return;
    this._connections.delete(socket);
    connection.isEnding = true;
    // A response that has waited for another one does not tell that its connection is closed.
    for (const response of connection.held.keys()) this._requests.delete(response);
    this._options.memory?.release(connection.holder);
    wake(connection);
  }

  /**
   * Tracks a request until its answer has been sent or its connection is closed.
   * @returns whether the request may be handled: otherwise its connection is being closed.
   */
  startRequest(response: ServerResponse, requestId = ''): boolean {
    // A response has no socket of its own until the one before it on the connection has ended.
    const { socket } = response.req;
    const connection = this._connections.get(socket);
    if (!connection || connection.isEnding) return false;
    if (connection.openRequests >= MAX_REQUESTS) {
      this._options.onLimit?.('requests-ahead');
      this._remove(socket);
      resetWhileParsing(socket);
      return false;
    }
    connection.requestCount++;
    connection.openRequests++;
    const headBytes = response.req.rawHeaders.reduce((sum, text) => sum + text.length, 0);
    connection.held.set(response, { headBytes, bodyBytes: 0 });
    if (connection.openRequests >= HOLD_REQUESTS) hold(socket, connection, 'requests');
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
      connection.held.delete(response);
      if (connection.openRequests < HOLD_REQUESTS) unhold(socket, connection, 'requests');
      if (connection.openRequests === 0 && this._connections.delete(socket))
        this._connections.set(socket, connection);
      this._account(connection);
      wake(connection);
      if (this._isClosingAfterAnswers) this._closeSoon(socket, connection);
    });
    this._account(connection);
    return !connection.isEnding;
  }

  /** Records how many bytes are held for a request's body. */
  recordBody(response: ServerResponse, bodyBytes: number): void {
    const connection = this._connections.get(response.req.socket);
    const request = connection?.held.get(response);
    if (!connection || !request || request.bodyBytes === bodyBytes) return;
    request.bodyBytes = bodyBytes;
    this._account(connection);
  }

  /** Counts a chunk of a request's body, so that bodies in small chunks leave time for other work. */
  recordChunk({ req: { socket } }: ServerResponse): void {
    const connection = this._connections.get(socket);
    if (!connection || ++connection.chunkCount < MAX_CHUNKS_PER_TURN) return;
    connection.chunkCount = 0;
    if (connection.holds.has('chunks')) return;
    hold(socket, connection, 'chunks');
    if (this._waitingForTurn.push({ socket, connection }) === 1) setImmediate(() => this._giveTurn());
  }

  private _giveTurn(): void {
    const next = this._waitingForTurn.shift();
    if (!next) return;
    unhold(next.socket, next.connection, 'chunks');
    if (this._waitingForTurn.length > 0) setImmediate(() => this._giveTurn());
  }

  /** Accounts for answers that callers have not read, and ends connections that keep others from being read. */
  check(): void {
    const { memory } = this._options;
    if (!memory) return;
    for (const connection of [...this._connections.values()]) this._account(connection);
    memory.check();
  }

  /** Whether the connection is closed or will be, so that no request that waits on it may be run. */
  isEnding(socket: Socket): boolean {
    return this._connections.get(socket)?.isEnding ?? true;
  }

  /** Reads nothing more from the connection. */
  stopReading(socket: Socket): void {
    const connection = this._connections.get(socket);
    if (connection) hold(socket, connection, 'end');
  }

  private _account(connection: Connection): void {
    const { memory } = this._options;
    if (!memory || connection.isEnding) return;
    let bytes = CONNECTION_BYTES;
    for (const [response, { headBytes, bodyBytes }] of connection.held)
      bytes += REQUEST_BYTES + headBytes + bodyBytes + response.writableLength;
    memory.record(connection.holder, bytes);
  }

  private _canEnd({ openRequests, held }: Connection): 'yes' | 'last' | 'no' {
    const isServing = [...held.keys()].some(
      (response) => this._requests.get(response)?.stage === 'serving' && !response.writableEnded,
    );
    if (!isServing) return 'yes';
    return openRequests > MAX_SPARED_REQUESTS ? 'last' : 'no';
  }

  /** Refuses the first request if nothing of it was run, as later answers would have to wait; then closes the connection. */
  private _endForMemory(socket: Socket, connection: Connection): void {
    const { onLimit, refuse } = this._options;
    connection.isEnding = true;
    onLimit?.('memory');
    const [first, ...others] = [...connection.held.keys()].flatMap(
      (response) => this._requests.get(response) ?? [],
    );
    if (!refuse || !first || first.stage === 'serving' || first.response.headersSent) {
      this._remove(socket);
      resetWhileParsing(socket);
      return;
    }
    hold(socket, connection, 'end');
    refuse([first, ...others]);
    setTimeout(() => socket.destroy(), LINGER_MS);
    wake(connection);
  }

  /** Whether no later request has arrived on the connection, so that the response may announce the connection's end. */
  isLatest(response: ServerResponse): boolean {
    const connection = this._connections.get(response.req.socket);
    return connection?.requestCount === this._requests.get(response)?.position;
  }

  /** Whether the answer to an earlier request on the connection has not been sent, so that the response has to wait. */
  isBehindAnother(response: ServerResponse): boolean {
    const position = this._requests.get(response)?.position ?? 0;
    const [first] = this._connections.get(response.req.socket)?.held.keys() ?? [];
    return first !== undefined && (this._requests.get(first)?.position ?? Infinity) < position;
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
    const responses = [...(this._connections.get(socket)?.held.keys() ?? [])];
    return responses.some((response) => this._requests.get(response)?.stage === 'serving');
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

function hold(socket: Socket, { holds }: Connection, reason: HoldReason): void {
  holds.add(reason);
  socket.pause();
}

function unhold(socket: Socket, { holds }: Connection, reason: HoldReason): void {
  if (holds.delete(reason) && holds.size === 0 && !socket.destroyed) socket.resume();
}

/** Answer of the callback of Node.js's parser after a head that ends the parsing, as for an upgrade. */
const STOP_PARSING = 2;

/**
 * Resets a connection whose requests may be being parsed. Node.js would parse the rest of what was read, thousands of
 * requests, and keep them until the end of the turn. It has no public way to stop, so that its parser's callback is
 * replaced; without one, the requests are only freed later.
 */
function resetWhileParsing(socket: Socket): void {
  const { parser } = socket as { parser?: { onIncoming?: unknown } | null };
  if (parser?.onIncoming) parser.onIncoming = () => STOP_PARSING;
  socket.resetAndDestroy();
}
