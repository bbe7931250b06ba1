const BLANK_LINE = Buffer.from('\n\n');

/** Whole events and the id of the last one. */
export interface EventBatch {
  readonly bytes: Buffer;
  readonly events: number;
  readonly lastId: string | undefined;
}

/**
 * Cuts a `text/event-stream` into whole events, so that an event that breaks off in the middle is never passed on.
 */
export class EventFramer {
  private _rest: Buffer = Buffer.alloc(0);

  /** Bytes of an event that has not ended. */
  get pendingBytes(): number {
    return this._rest.length;
  }

  /** Takes bytes as they come; returns the events that are whole now. */
  push(chunk: Buffer): EventBatch | undefined {
    const data = this._rest.length === 0 ? chunk : Buffer.concat([this._rest, chunk]);
    const end = data.lastIndexOf(BLANK_LINE);
    if (end === -1) {
      this._rest = data;
      return undefined;
    }
    const bytes = data.subarray(0, end + BLANK_LINE.length);
    this._rest = data.subarray(bytes.length);
    return { bytes, ...readIds(bytes.toString('latin1')) };
  }
}

function readIds(text: string): { readonly events: number; readonly lastId: string | undefined } {
  let events = 0;
  let lastId: string | undefined;
  for (const event of text.split('\n\n')) {
    if (event === '') continue;
    events++;
    lastId = /^id:[ ]?(.*)$/m.exec(event)?.[1] ?? lastId;
  }
  return { events, lastId };
}
