import { createHash, timingSafeEqual } from 'node:crypto';
import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** 32-bit non-cryptographic hash for placement; not for secrets. */
export function hash32(text: string, seed = 0): number {
  return hasher.h32(text, seed);
}

/** SHA-256 of a text or of bytes in hexadecimal. */
export function sha256(data: string | Uint8Array): string {
  return createHash('sha256').update(data).digest('hex');
}

/** Compares two texts in time that does not depend on where they differ. */
export function isEqualInConstantTime(left: string, right: string): boolean {
  const a = createHash('sha256').update(left).digest();
  const b = createHash('sha256').update(right).digest();
  return timingSafeEqual(a, b);
}
