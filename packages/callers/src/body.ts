import { MonsoonreachError } from '@monsoonreach/core';

/** Why a caller's body was not taken. */
export type BodyFault = 'body-too-large' | 'body-too-slow' | 'body-cut';

/** A caller's body that could not be read whole. */
export class BodyError extends MonsoonreachError {
  constructor(
    readonly code: BodyFault,
    message: string,
  ) {
    super(message);
  }
}

/**
 * Reads a body whole.
 * @throws BodyError when it is larger than `maxBytes` or takes longer than `timeoutMs`.
 */
export async function readBody(
  request: Request,
  options: { readonly maxBytes: number; readonly timeoutMs: number },
): Promise<Uint8Array> {
  const declared = Number(request.headers.get('content-length') ?? 0);
  if (declared > options.maxBytes) throw tooLarge(options.maxBytes);
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
  const chunks: Uint8Array[] = [];
  let size = 0;
  for (let part = await reader.read(); !part.done; part = await reader.read()) {
    size += part.value.byteLength;
    if (size > maxBytes) throw tooLarge(maxBytes);
    chunks.push(part.value);
  }
  return Buffer.concat(chunks);
}

function tooLarge(maxBytes: number): BodyError {
  return new BodyError('body-too-large', `The body is larger than ${maxBytes} bytes.`);
}
