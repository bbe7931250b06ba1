/** Smallest capacity, in bytes. */
const MIN_CAPACITY = 4_096;

/** Collects a body in one growing buffer, so that small chunks cost their content instead of an object each. */
export class BodyBuffer {
  private _buffer = Buffer.alloc(0);
  private _length = 0;

  get length(): number {
    return this._length;
  }

  /** Bytes that are held, which is more than {@link length}. */
  get capacity(): number {
    return this._buffer.length;
  }

  append(chunk: Uint8Array): void {
    const length = this._length + chunk.length;
    if (length > this._buffer.length) {
      const buffer = Buffer.allocUnsafeSlow(Math.max(MIN_CAPACITY, length, this._buffer.length * 2));
      this._buffer.copy(buffer, 0, 0, this._length);
      this._buffer = buffer;
    }
    this._buffer.set(chunk, this._length);
    this._length = length;
  }

  /** Drops the content. */
  clear(): void {
    this._buffer = Buffer.alloc(0);
    this._length = 0;
  }

  /** Returns the content in a buffer of its size. */
  toBuffer(): Buffer {
    if (this._length !== this._buffer.length)
      this._buffer = Buffer.from(this._buffer.subarray(0, this._length));
    return this._buffer;
  }
}
