import { MonsoonreachError } from './errors.js';

/** A response has a larger body than any that the protocol allows. */
export class BodyTooLargeError extends MonsoonreachError {
  readonly code = 'body-too-large';

  constructor(maxBytes: number) {
    super(`The body of a response exceeds ${maxBytes} bytes; its connection is closed.`);
  }
}

/**
 * Reads a whole body, and closes its connection when it is larger than `maxBytes`.
 * @throws BodyTooLargeError
 */
export async function readBoundedBody(body: AsyncIterable<Uint8Array>, maxBytes: number): Promise<Buffer> {
  const chunks: Uint8Array[] = [];
  let length = 0;
  for await (const chunk of body) {
    length += chunk.length;
    if (length > maxBytes) throw new BodyTooLargeError(maxBytes);
    chunks.push(chunk);
  }
  return Buffer.concat(chunks, length);
}
