const BLANK_LINE = Buffer.from('\n\n');

/** Complete events and the last event id among them. */
export interface EventBatch {
  readonly bytes: Buffer;
  readonly eventCount: number;
  readonly lastId: string | undefined;
}

/** Splits a `text/event-stream` into complete events, so that a truncated event is never forwarded. */
export class EventFramer {
  private _pending: Buffer = Buffer.alloc(0);

  /** Number of buffered bytes of an incomplete event. */
  get pendingBytes(): number {
    return this._pending.length;
  }

  /** Adds received bytes; returns the events that they complete, undefined if none. */
  push(chunk: Buffer): EventBatch | undefined {
    const data = this._pending.length === 0 ? chunk : Buffer.concat([this._pending, chunk]);
    const end = data.lastIndexOf(BLANK_LINE);
    if (end === -1) {
      this._pending = data;
      return undefined;
    }
    const bytes = data.subarray(0, end + BLANK_LINE.length);
    this._pending = data.subarray(bytes.length);
    return { bytes, ...scanEvents(bytes.toString('latin1')) };
  }
}

function scanEvents(text: string): { readonly eventCount: number; readonly lastId: string | undefined } {
  let events = 0;
  let lastId: string | undefined;
  for (const event of text.split('\n\n')) {
    if (event === '') continue;
    events++;
    lastId = /^id:[ ]?(.*)$/m.exec(event)?.[1] ?? lastId;
  }
  return { eventCount: events, lastId };
}
