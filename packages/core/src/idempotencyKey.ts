import { validate, version } from 'uuid';
import { MonsoonreachError } from './errors.js';

/** How far a key's timestamp may be ahead of this process's clock, in milliseconds. */
export const MAX_KEY_AHEAD_MS = 300_000;

/** Why an idempotency key is refused. */
export type KeyFault = 'key-missing' | 'key-malformed' | 'key-expired' | 'key-ahead';

/** An idempotency key that cannot be used; the request was not run. */
export class IdempotencyKeyError extends MonsoonreachError {
  constructor(
    readonly code: KeyFault,
    message: string,
  ) {
    super(message);
  }
}

/** Timestamp of a UUIDv7 in milliseconds, or undefined when the text is not a UUIDv7. */
export function readKeyTime(key: string): number | undefined {
  if (!validate(key) || version(key) !== 7) return undefined;
  return Number.parseInt(key.slice(0, 8) + key.slice(9, 13), 16);
}

/**
 * Validates the key of a non-idempotent request and returns it in lower case.
 * @throws IdempotencyKeyError naming what is wrong and what to send.
 */
export function checkIdempotencyKey(
  key: string | undefined,
  options: { readonly nowMs: number; readonly windowMs: number },
): string {
  if (key === undefined || key === '') {
    throw new IdempotencyKeyError('key-missing', 'Send an Idempotency-Key header that holds a UUIDv7.');
  }
  const keyTimeMs = readKeyTime(key);
  if (keyTimeMs === undefined) {
    throw new IdempotencyKeyError(
      'key-malformed',
      'The Idempotency-Key is not a UUIDv7; generate a new one.',
    );
  }
  if (keyTimeMs + options.windowMs < options.nowMs) {
    throw new IdempotencyKeyError(
      'key-expired',
      'The Idempotency-Key is older than the window; look the request up before you send it with a new key.',
    );
  }
  if (keyTimeMs > options.nowMs + MAX_KEY_AHEAD_MS) {
    throw new IdempotencyKeyError(
      'key-ahead',
      "The Idempotency-Key's time is ahead; check the caller's clock.",
    );
  }
  return key.toLowerCase();
}
