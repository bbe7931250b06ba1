import { sha256 } from '../hashing.js';

/** Hexadecimal digits of a fingerprint: 64 bits. */
const FINGERPRINT_DIGITS = 16;

const CRASH_FACTOR_KINDS = ['request', 'part', 'pending-request', 'pending-part'] as const;

/** Something that requests have in common and that may crash the targets that run them. */
export interface CrashFactor {
  /**
   * `request`: the whole request, which comes again; its id is a fingerprint. `part`: a part of a prompt, which many
   * requests may share. Both concern targets that had just begun to answer. `pending-request` and `pending-part`: the
   * same for targets that held the request at any stage, as sound requests do in larger number.
   */
  readonly kind: (typeof CRASH_FACTOR_KINDS)[number];
  readonly id: string;
}

/** Whether the kind concerns a part of a prompt, which sound requests may share. */
export function isPartKind(kind: CrashFactor['kind']): boolean {
  return kind === 'part' || kind === 'pending-part';
}

/** Identifies a factor among those of all kinds. */
export function toFactorKey({ kind, id }: CrashFactor): string {
  return `${kind}/${id}`;
}

export function isCrashFactorKind(kind: string): kind is CrashFactor['kind'] {
  return (CRASH_FACTOR_KINDS as readonly string[]).includes(kind);
}

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

/**
 * Returns what a request may share with others that crash their targets.
 * @param sharedParts ids of the parts of its prompt that other requests may have.
 */
export function createCrashFactors(
  request: RequestIdentity,
  sharedParts: readonly string[],
): readonly CrashFactor[] {
  const parts = sharedParts.map((id) => ({ kind: 'part' as const, id }));
  return [{ kind: 'request', id: createFingerprint(request) }, ...parts];
}

const PENDING_KINDS: Readonly<Record<CrashFactor['kind'], CrashFactor['kind']>> = {
  request: 'pending-request',
  part: 'pending-part',
  'pending-request': 'pending-request',
  'pending-part': 'pending-part',
};

/** Returns the factors that stand for the same requests and parts at any stage of their answers. */
export function toPendingFactors(factors: readonly CrashFactor[]): readonly CrashFactor[] {
  return factors.map(({ kind, id }) => ({ kind: PENDING_KINDS[kind], id }));
}
