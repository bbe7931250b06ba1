/** A part of an answer that is kept until it is complete. */
export interface BufferedAnswer {
  /** Called when the answer has to be given up; must release it. */
  readonly onOverflow: () => void;
}

/**
 * Bounds what is kept of all answers together. Beyond the bound the largest answers are given up first, so that targets
 * that send without end cost sound ones nothing.
 */
export class AnswerBuffers {
  private readonly _sizes = new Map<BufferedAnswer, number>();
  private _totalBytes = 0;

  /** @param _maxBytes largest size of all answers together, in bytes. */
  constructor(private readonly _maxBytes: number) {}

  get totalBytes(): number {
    return this._totalBytes;
  }

  /** Records how many bytes of an answer are kept now. */
  record(answer: BufferedAnswer, bytes: number): void {
    this._totalBytes += bytes - (this._sizes.get(answer) ?? 0);
    this._sizes.set(answer, bytes);
    while (this._totalBytes > this._maxBytes) {
      const largest = this._takeLargest();
      if (!largest) return;
      largest.onOverflow();
    }
  }

  release(answer: BufferedAnswer): void {
    this._totalBytes -= this._sizes.get(answer) ?? 0;
    this._sizes.delete(answer);
  }

  private _takeLargest(): BufferedAnswer | undefined {
    let largest: BufferedAnswer | undefined;
    let largestBytes = 0;
    for (const [answer, bytes] of this._sizes) {
      if (bytes > largestBytes) [largest, largestBytes] = [answer, bytes];
    }
    if (largest) this.release(largest);
    return largest;
  }
}
