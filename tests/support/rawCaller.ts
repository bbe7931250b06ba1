import { connect, type Socket } from 'node:net';
import { sleep } from '../standins/http.js';

/** Interval at which received bytes are checked, in milliseconds. */
const POLL_INTERVAL_MS = 5;

/** A caller that writes and reads the bytes of one connection itself. */
export class RawCaller {
  private readonly _socket: Socket;
  private _received = '';
  private _closedAtMs: number | undefined;

  private constructor(address: string) {
    const [host = '', port = ''] = address.split(':');
    this._socket = connect({ host, port: Number(port) });
    this._socket.setEncoding('latin1');
    this._socket.on('data', (text: string) => {
      this._received += text;
    });
    // A reset ends the connection as well; the bytes received so far tell the rest.
    this._socket.on('error', () => undefined);
    this._socket.on('close', () => {
      this._closedAtMs = Date.now();
    });
  }

  static async connect(address: string): Promise<RawCaller> {
    const caller = new RawCaller(address);
    await caller._waitFor(() => !caller._socket.connecting, 'the connection');
    return caller;
  }

  /** All bytes received so far. */
  get received(): string {
    return this._received;
  }

  /** Wall-clock time at which the connection was closed, in milliseconds; undefined while it is open. */
  get closedAtMs(): number | undefined {
    return this._closedAtMs;
  }

  write(text: string): void {
    this._socket.write(text, 'latin1');
  }

  /** Waits until the received bytes contain `text`. */
  async waitForText(text: string, timeoutMs = 10_000): Promise<void> {
    await this._waitFor(() => this._received.includes(text), JSON.stringify(text), timeoutMs);
  }

  async waitForClose(timeoutMs = 10_000): Promise<void> {
    await this._waitFor(() => this._closedAtMs !== undefined, 'the end of the connection', timeoutMs);
  }

  /** Stops reading, so that the other side's answers queue up. */
  pause(): void {
    this._socket.pause();
  }

  resume(): void {
    this._socket.resume();
  }

  close(): void {
    this._socket.destroy();
  }

  private async _waitFor(isTrue: () => boolean, awaited: string, timeoutMs = 10_000): Promise<void> {
    const endsAtMs = Date.now() + timeoutMs;
    while (!isTrue()) {
      if (Date.now() > endsAtMs)
        throw new Error(
          `Timed out after ${timeoutMs} ms waiting for ${awaited}; received ${JSON.stringify(this._received.slice(-300))}.`,
        );
      await sleep(POLL_INTERVAL_MS);
    }
  }
}

/** Formats the head of a request, and its body if it is given whole. */
export function formatRequest(options: {
  readonly method?: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: string;
}): string {
  const { method = 'POST', path, headers, body } = options;
  const length = body === undefined ? {} : { 'Content-Length': String(Buffer.byteLength(body)) };
  const lines = Object.entries({ Host: '127.0.0.1', ...headers, ...length }).map(
    ([name, value]) => `${name}: ${value}\r\n`,
  );
  return `${method} ${path} HTTP/1.1\r\n${lines.join('')}\r\n${body ?? ''}`;
}
