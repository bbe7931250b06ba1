import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net';
import { sleep } from '../standins/http.js';

/** Attempts to listen on the port that a target had before, and the time between two of them, in milliseconds. */
const MAX_LISTEN_ATTEMPTS = 100;
const LISTEN_INTERVAL_MS = 50;

/** A request as a raw target has received it. */
export interface RawRequest {
  readonly socket: Socket;
  readonly id: string;
  readonly head: string;
  /** Number of the request on its connection, from 1. */
  readonly ordinal: number;
}

/** Answers a request by writing to its socket. */
export type RawHandler = (request: RawRequest) => void;

/** Answers with a short body and closes the connection. */
export const answerShortly: RawHandler = ({ socket, id }) => {
  socket.end(
    `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Seal: s\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok`,
  );
};

/** A target that writes any bytes as its answers, whether they are HTTP or not. */
export class RawTarget {
  handle: RawHandler = ({ socket }) => socket.destroy();
  /** Requests received since the last {@link reset}. */
  readonly requests: RawRequest[] = [];
  private readonly _sockets = new Set<Socket>();
  private readonly _server: Server;
  private _port = 0;

  constructor() {
    this._server = createServer((socket) => {
      this._accept(socket);
    });
  }

  get address(): string {
    return `127.0.0.1:${this._port}`;
  }

  get openConnections(): number {
    return this._sockets.size;
  }

  /** Bytes written to the connections of the received requests. */
  get bytesWritten(): number {
    return [...new Set(this.requests.map(({ socket }) => socket))].reduce(
      (sum, { bytesWritten, writableLength }) => sum + bytesWritten - writableLength,
      0,
    );
  }

  /** Starts listening, after a crash on the same port. */
  async start(): Promise<void> {
    for (let attempt = 1; !(await this._listen(attempt === MAX_LISTEN_ATTEMPTS)); attempt++)
      await sleep(LISTEN_INTERVAL_MS);
    this._port = (this._server.address() as AddressInfo).port;
  }

  /** Returns whether the target listens; another process may have the port for its end of a connection meanwhile. */
  private _listen(isLastAttempt: boolean): Promise<boolean> {
    return new Promise((resolve, reject) => {
      const handleError = (error: NodeJS.ErrnoException) => {
        if (error.code === 'EADDRINUSE' && !isLastAttempt) resolve(false);
        else reject(error);
      };
      this._server.once('error', handleError);
      this._server.listen(this._port, '127.0.0.1', () => {
        this._server.off('error', handleError);
        resolve(true);
      });
    });
  }

  /** Closes all connections and stops listening, as a process that ends. */
  crash(): void {
    this._server.close();
    for (const socket of this._sockets) socket.resetAndDestroy();
  }

  /** Closes all connections and forgets the received requests. */
  reset(handle: RawHandler): void {
    for (const socket of this._sockets) socket.resetAndDestroy();
    this.requests.length = 0;
    this.handle = handle;
  }

  private _accept(socket: Socket): void {
    this._sockets.add(socket);
    socket.on('close', () => this._sockets.delete(socket));
    socket.on('error', () => undefined);
    let pending = '';
    let ordinal = 0;
    socket.on('data', (chunk) => {
      pending += chunk.toString('latin1');
      for (;;) {
        const end = pending.indexOf('\r\n\r\n');
        if (end === -1) return;
        const head = pending.slice(0, end);
        const length = Number(readHeader(head, 'content-length') ?? 0);
        if (pending.length < end + 4 + length) return;
        pending = pending.slice(end + 4 + length);
        const request = { socket, id: readHeader(head, 'attempt-id') ?? '', head, ordinal: ++ordinal };
        this.requests.push(request);
        this.handle(request);
      }
    });
  }
}

/** Returns the value of a header in a head; undefined when it is absent. */
export function readHeader(head: string, name: string): string | undefined {
  return new RegExp(`^${name}: *(.*)$`, 'im').exec(head)?.[1]?.trim();
}

/** Writes `text` again and again, as fast as the other end reads, until the connection is closed. */
export function writeEndlessly(socket: Socket, text: string): void {
  const block = Buffer.from(text.repeat(Math.ceil(16_384 / text.length)));
  const writeOn = () => {
    while (!socket.destroyed && socket.write(block));
    if (!socket.destroyed) socket.once('drain', writeOn);
  };
  writeOn();
}

/** What a caller has received, and how its connection ended. */
export interface RawAnswer {
  readonly status: number;
  readonly head: string;
  /** Without the framing of chunks. */
  readonly body: string;
  readonly ending: 'end' | 'reset' | 'none';
  /** Whether a caller takes the answer to be complete. */
  readonly isComplete: boolean;
  readonly durationMs: number;
}

/** A caller's connection. */
export class RawCaller {
  readonly socket: Socket;
  private readonly _chunks: Buffer[] = [];
  private _ending: RawAnswer['ending'] = 'none';
  private readonly _closed: Promise<void>;

  constructor(address: string) {
    const [host = '', port = ''] = address.split(':');
    this.socket = connect({ host, port: Number(port), allowHalfOpen: true });
    this.socket.on('data', (chunk) => this._chunks.push(chunk));
    this.socket.on('end', () => {
      this._ending = 'end';
      this.socket.destroy();
    });
    this.socket.on('error', () => (this._ending = 'reset'));
    this._closed = new Promise((resolve) => {
      this.socket.on('close', () => {
        resolve();
      });
    });
  }

  get text(): string {
    return Buffer.concat(this._chunks).toString('latin1');
  }

  /** Sends a request and reads until the connection ends, or for `timeoutMs`. */
  async exchange(request: string, timeoutMs = 5_000): Promise<RawAnswer> {
    const startedAtMs = performance.now();
    this.socket.write(request);
    let timer: NodeJS.Timeout | undefined;
    await Promise.race([
      this._closed,
      new Promise((resolve) => {
        timer = setTimeout(resolve, timeoutMs);
      }),
    ]);
    clearTimeout(timer);
    this.socket.destroy();
    return parseAnswer(this.text, this._ending, performance.now() - startedAtMs);
  }
}

function parseAnswer(text: string, ending: RawAnswer['ending'], durationMs: number): RawAnswer {
  const end = text.indexOf('\r\n\r\n');
  const head = end === -1 ? text : text.slice(0, end);
  const rest = end === -1 ? '' : text.slice(end + 4);
  const status = Number(/^HTTP\/1\.1 (\d{3})/.exec(head)?.[1] ?? 0);
  const length = readHeader(head, 'content-length');
  if (end === -1) return { status, head, body: '', ending, isComplete: false, durationMs };
  if (readHeader(head, 'transfer-encoding') === 'chunked') {
    const { body, isComplete } = decodeChunks(rest);
    return { status, head, body, ending, isComplete, durationMs };
  }
  const isComplete = length === undefined ? ending === 'end' : rest.length === Number(length);
  return { status, head, body: rest, ending, isComplete, durationMs };
}

function decodeChunks(text: string): { readonly body: string; readonly isComplete: boolean } {
  let body = '';
  for (let at = 0; ;) {
    const lineEnd = text.indexOf('\r\n', at);
    if (lineEnd === -1) return { body, isComplete: false };
    const length = Number.parseInt(text.slice(at, lineEnd), 16);
    if (Number.isNaN(length)) return { body, isComplete: false };
    if (length === 0) return { body, isComplete: text.endsWith('\r\n\r\n') };
    body += text.slice(lineEnd + 2, lineEnd + 2 + length);
    at = lineEnd + 2 + length + 2;
  }
}
