import { MonsoonreachError } from '@monsoonreach/core';
import { BodyBuffer } from './bodyBuffer.js';

/** Why a caller's request body could not be read. */
export type BodyErrorCode = 'body-too-large' | 'body-too-slow' | 'body-cut';

/** A caller's request body could not be read completely. */
export class BodyError extends MonsoonreachError {
  constructor(
    readonly code: BodyErrorCode,
    message: string,
  ) {
    super(message);
  }
}

/**
 * Reads a request body completely.
 * @throws BodyError when it is larger than `maxBytes`, takes longer than `timeoutMs`, or ends early.
 */
export async function readBody(
  request: Request,
  options: { readonly maxBytes: number; readonly timeoutMs: number },
): Promise<Uint8Array> {
  const declaredBytes = Number(request.headers.get('content-length') ?? 0);
  if (declaredBytes > options.maxBytes) throw toTooLargeError(options.maxBytes);
  if (!request.body) return new Uint8Array();
  const reader = request.body.getReader();
  let timer: NodeJS.Timeout | undefined;
  const timedOut = new Promise<never>((_, reject) => {
    timer = setTimeout(() => {
      reject(new BodyError('body-too-slow', `Timed out waiting for the body after ${options.timeoutMs} ms.`));
    }, options.timeoutMs);
  });
  try {
    return await Promise.race([readAll(reader, options.maxBytes), timedOut]);
  } catch (error) {
    void reader.cancel().catch(() => undefined);
    if (error instanceof BodyError) throw error;
    throw new BodyError('body-cut', 'The body ended early.');
  } finally {
    clearTimeout(timer);
  }
}

async function readAll(
  reader: ReadableStreamDefaultReader<Uint8Array>,
  maxBytes: number,
): Promise<Uint8Array> {
  const body = new BodyBuffer();
  for (let result = await reader.read(); !result.done; result = await reader.read()) {
    if (body.length + result.value.byteLength > maxBytes) throw toTooLargeError(maxBytes);
    body.append(result.value);
  }
  return body.toBuffer();
}

function toTooLargeError(maxBytes: number): BodyError {
  return new BodyError('body-too-large', `The body is larger than ${maxBytes} bytes.`);
}
