import * as z from 'zod';
import { readKeyTime } from './idempotencyKey.js';
import { toWriterId } from './record.js';
import { byKey } from './streamClock.js';
import type { AppliedRecord, StreamDefinition, StreamState } from './streamReducer.js';

/** How long after its timestamp a key can be claimed, and how long its claim is kept, in milliseconds. */
export const CLAIM_WINDOW_MS = 900_000;

/** Maximum length of a stored body in characters; an answer with a longer one is stored without it. */
export const MAX_STORED_BODY_CHARS = 4096;

/** Number of streams that claims are spread over. */
export const CLAIM_SHARDS = 4;

/** The name of one claims stream. */
export function toClaimsStream(shard: number): string {
  return `claims/${shard}`;
}

/** A record of a `claims/<shard>` stream. */
export type ClaimBody =
  | {
      readonly kind: 'claim';
      readonly workspace: string;
      readonly key: string;
      readonly fingerprint: string;
    }
  | {
      readonly kind: 'abandon';
      readonly workspace: string;
      readonly key: string;
      readonly claimSequence: number;
    }
  | {
      readonly kind: 'done';
      readonly workspace: string;
      readonly key: string;
      readonly claimSequence: number;
      readonly answer: StoredAnswer;
    }
  | { readonly kind: 'checkpoint'; readonly chunk: unknown };

/** Answer of a finished request, stored for duplicates; `body` is absent when it was too long to store. */
export interface StoredAnswer {
  readonly status: number;
  readonly contentType?: string | undefined;
  readonly body?: string | undefined;
}

/** Why a record of a claims stream is rejected. */
export type ClaimRejection = 'already-claimed' | 'fingerprint-mismatch' | 'window-over' | 'not-the-claimant';

/** An accepted claim of one key, with the answer once there is one. */
export interface Claim {
  readonly fingerprint: string;
  readonly claimantId: string;
  readonly claimSequence: number;
  readonly position: number;
  readonly expiresAtMs: number;
  readonly answer?: StoredAnswer | undefined;
}

/** Checks that tests can switch off, to show that the model then violates its properties. */
export interface ClaimGuards {
  readonly firstClaimWins: boolean;
  readonly windowIsChecked: boolean;
  readonly abandonNeedsClaimant: boolean;
  readonly workspacesAreSeparate: boolean;
}

const ALL_GUARDS: ClaimGuards = {
  firstClaimWins: true,
  windowIsChecked: true,
  abandonNeedsClaimant: true,
  workspacesAreSeparate: true,
};

type ClaimSnapshot = readonly (readonly [id: string, claim: Claim])[];

const answerSchema = z.object({
  status: z.number().int(),
  contentType: z.string().optional(),
  body: z.string().max(MAX_STORED_BODY_CHARS).optional(),
});

const keyFields = { workspace: z.string(), key: z.string() };

const bodySchema: z.ZodType<ClaimBody> = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('claim'), ...keyFields, fingerprint: z.string() }),
  z.object({ kind: z.literal('abandon'), ...keyFields, claimSequence: z.number().int() }),
  z.object({ kind: z.literal('done'), ...keyFields, claimSequence: z.number().int(), answer: answerSchema }),
  z.object({ kind: z.literal('checkpoint'), chunk: z.unknown() }),
]);

/**
 * Ensures at-most-once execution: only the claimant of a key's first accepted claim may dispatch. A claim
 * is removed when its window is over by the stream's clock. By the same clock later claims of that key are
 * rejected, so the removal never allows a second run.
 */
export class Claims implements StreamState<ClaimBody, ClaimRejection> {
  private readonly _claims: Map<string, Claim>;

  constructor(
    snapshot: ClaimSnapshot = [],
    private readonly _guards: ClaimGuards = ALL_GUARDS,
  ) {
    this._claims = new Map(snapshot);
  }

  get size(): number {
    return this._claims.size;
  }

  find(workspace: string, key: string): Claim | undefined {
    return this._claims.get(this._toId(workspace, key));
  }

  apply(record: AppliedRecord<ClaimBody>): ClaimRejection | undefined {
    const { body } = record.envelope;
    switch (body.kind) {
      case 'claim':
        return this._claim(record, body);
      case 'abandon':
        return this._abandon(record, body);
      case 'done':
        return this._finish(record, body);
      case 'checkpoint':
        return undefined;
    }
  }

  expire(nowMs: number): void {
    for (const [id, claim] of this._claims) {
      if (claim.expiresAtMs < nowMs) this._claims.delete(id);
    }
  }

  snapshot(): ClaimSnapshot {
    return [...this._claims].sort(byKey);
  }

  private _claim(
    record: AppliedRecord<ClaimBody>,
    body: Extract<ClaimBody, { kind: 'claim' }>,
  ): ClaimRejection | undefined {
    const id = this._toId(body.workspace, body.key);
    const expiresAtMs = (readKeyTime(body.key) ?? -Infinity) + CLAIM_WINDOW_MS;
    if (this._guards.windowIsChecked && expiresAtMs < record.nowMs) return 'window-over';
    const existing = this._claims.get(id);
    if (existing && existing.fingerprint !== body.fingerprint) return 'fingerprint-mismatch';
    if (existing && this._guards.firstClaimWins) return 'already-claimed';
    this._claims.set(id, {
      fingerprint: body.fingerprint,
      claimantId: toWriterId(record.envelope.writer),
      claimSequence: record.envelope.sequence,
      position: record.position,
      expiresAtMs,
    });
    return undefined;
  }

  private _abandon(
    record: AppliedRecord<ClaimBody>,
    body: Extract<ClaimBody, { kind: 'abandon' }>,
  ): ClaimRejection | undefined {
    const id = this._toId(body.workspace, body.key);
    const claim = this._claims.get(id);
    if (!claim) return undefined;
    if (this._guards.abandonNeedsClaimant && !isClaimant(claim, record, body.claimSequence)) {
      return 'not-the-claimant';
    }
    this._claims.delete(id);
    return undefined;
  }

  private _finish(
    record: AppliedRecord<ClaimBody>,
    body: Extract<ClaimBody, { kind: 'done' }>,
  ): ClaimRejection | undefined {
    const id = this._toId(body.workspace, body.key);
    const claim = this._claims.get(id);
    if (!claim || !isClaimant(claim, record, body.claimSequence)) return 'not-the-claimant';
    this._claims.set(id, { ...claim, answer: body.answer });
    return undefined;
  }

  private _toId(workspace: string, key: string): string {
    return this._guards.workspacesAreSeparate ? `${workspace}\u0000${key}` : key;
  }
}

function isClaimant(claim: Claim, record: AppliedRecord<ClaimBody>, claimSequence: number): boolean {
  return claim.claimantId === toWriterId(record.envelope.writer) && claim.claimSequence === claimSequence;
}

/** Definition of the `claims/<shard>` streams. */
export const claimsDefinition: StreamDefinition<ClaimBody, ClaimRejection, Claims> = {
  bodySchema,
  create: () => new Claims(),
  restore: (snapshot) => new Claims(snapshot as ClaimSnapshot),
};
