const LINE_FEED = 0x0a;
/** Size of the first buffer for an incomplete event, in bytes; it doubles when it is full. */
const INITIAL_CAPACITY = 1_024;

/** Complete events and the last event id among them. */
export interface EventBatch {
  readonly bytes: Buffer;
  readonly eventCount: number;
  /** Id of the first event. */
  readonly firstId: string | undefined;
  readonly lastId: string | undefined;
}

/** Whether an event with the id `next` continues a stream after the event `last`: the ids of a stream increase. */
export function isNextEvent(last: string | undefined, next: string | undefined): boolean {
  if (last === undefined || next === undefined) return false;
  return INTEGER.test(last) && INTEGER.test(next) ? BigInt(next) > BigInt(last) : next !== last;
}

const INTEGER = /^\d{1,30}$/;

/**
 * Splits a `text/event-stream` into complete events, so that a truncated event is never forwarded.
 *
 * Comments are no events: they are kept until the next event is complete.
 */
export class EventFramer {
  private _pending = Buffer.alloc(0);
  private _pendingBytes = 0;
  /** The line that is not complete yet. */
  private _line = '';
  /** Whether the event that is not complete has a line other than comments. */
  private _hasField = false;
  /** Id in the event that is not complete. */
  private _id: string | undefined;

  /** Number of buffered bytes that belong to no complete event. */
  get pendingBytes(): number {
    return this._pendingBytes;
  }

  /** Whether the stream would be truncated if it ended here. */
  get isInsideEvent(): boolean {
    return this._hasField || this._line !== '';
  }

  /** Adds received bytes; returns the events that they complete, undefined if none. */
  push(chunk: Buffer): EventBatch | undefined {
    let eventCount = 0;
    let firstId: string | undefined;
    let lastId: string | undefined;
    let batchEnd = 0;
    let lineStart = 0;
    for (let end = chunk.indexOf(LINE_FEED); end !== -1; end = chunk.indexOf(LINE_FEED, lineStart)) {
      const isEventEnd = this._endLine(this._line + chunk.toString('latin1', lineStart, end));
      lineStart = end + 1;
      if (!isEventEnd) continue;
      if (eventCount++ === 0) firstId = this._id;
      lastId = this._id ?? lastId;
      this._id = undefined;
      batchEnd = lineStart;
    }
    this._line += chunk.toString('latin1', lineStart);
    if (eventCount === 0) {
      this._keep(chunk);
      return undefined;
    }
    const bytes = Buffer.concat([this.takePending(), chunk.subarray(0, batchEnd)]);
    this._keep(chunk.subarray(batchEnd));
    return { bytes, eventCount, firstId, lastId };
  }

  /** Returns the buffered bytes and forgets them: at the end of a stream, the comments after its last event. */
  takePending(): Buffer {
    const bytes = this._pending.subarray(0, this._pendingBytes);
    this._pending = Buffer.alloc(0);
    this._pendingBytes = 0;
    return bytes;
  }

  /** Returns whether the line ends an event. */
  private _endLine(text: string): boolean {
    this._line = '';
    const line = text.endsWith('\r') ? text.slice(0, -1) : text;
    if (line === '') {
      const isEventEnd = this._hasField;
      this._hasField = false;
      return isEventEnd;
    }
    if (line.startsWith(':')) return false;
    this._hasField = true;
    if (line.startsWith('id:')) this._id = line.slice(line.startsWith('id: ') ? 4 : 3);
    return false;
  }

  private _keep(bytes: Buffer): void {
    const length = this._pendingBytes + bytes.length;
    if (length > this._pending.length) {
      const grown = Buffer.allocUnsafe(Math.max(INITIAL_CAPACITY, this._pending.length * 2, length));
      this._pending.copy(grown, 0, 0, this._pendingBytes);
      this._pending = grown;
    }
    bytes.copy(this._pending, this._pendingBytes);
    this._pendingBytes = length;
  }
}
