import { sha256 } from '../hashing.js';

/** Hexadecimal digits of a fingerprint: 64 bits. */
const FINGERPRINT_DIGITS = 16;

/** What identifies the same request when it comes again, at any node and with another id. */
export interface RequestIdentity {
  readonly path: string;
  readonly workspace: string | undefined;
  readonly body: Uint8Array | undefined;
}

/** Returns the same text for repetitions of the same request. */
export function createFingerprint({ path, workspace = '', body }: RequestIdentity): string {
  const head = JSON.stringify([path, workspace]);
  return sha256(body ? Buffer.concat([Buffer.from(head), body]) : head).slice(0, FINGERPRINT_DIGITS);
}
