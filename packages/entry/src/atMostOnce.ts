import type { Claims, Undispatched } from '@monsoonreach/core';
import {
  AppendNotSentError,
  AppendUnknownError,
  checkIdempotencyKey,
  CLAIM_SHARDS,
  CLAIM_WINDOW_MS,
  type Claim,
  type ClaimBody,
  type ClaimRejection,
  claimsDefinition,
  Dispatched,
  hash32,
  IdempotencyKeyError,
  type Log,
  MAX_STORED_BODY_CHARS,
  type Outcome,
  pause,
  readKeyTime,
  sha256,
  type StoredAnswer,
  toClaimsStream,
  type Writer,
} from '@monsoonreach/core';
import type { CallContext, ServiceAnswer } from '@monsoonreach/callers';
import { LogWriter, StreamFollower, type WrittenRecord } from '@monsoonreach/log';
import type { EntryContext } from './entryContext.js';
import type { PreparedCall } from './preparedCall.js';

const CLAIM_TIMEOUT_MS = 3_000;
/** How long writing an outcome is retried; after that the claim stays in doubt. */
const OUTCOME_TIMEOUT_MS = 600_000;
const DUPLICATE_POLL_MS = 50;

/** One of the log streams that claims are spread over by key. */
interface Shard {
  readonly follower: StreamFollower<ClaimBody, ClaimRejection, Claims>;
  readonly writer: LogWriter<ClaimBody, ClaimRejection>;
}

interface ClaimedKey {
  readonly shard: Shard;
  readonly workspace: string;
  readonly key: string;
  readonly claimSequence: number;
}

/** Dependencies of {@link AtMostOnce}. */
export type AtMostOnceContext = Pick<EntryContext, 'clock' | 'counters'> & {
  readonly fleet: { readonly log: Log; readonly writer: Writer };
};

/** Sends a call whose claim was accepted. */
export type ClaimedDispatch = (undispatched: Undispatched) => Promise<Outcome<ServiceAnswer>>;

/**
 * Runs non-idempotent calls at most once per idempotency key. A call is dispatched only after its claim was read
 * back from the log as the first for its key. A duplicate gets the stored answer, or waits for it up to the
 * service's timeout; after that its outcome is in doubt.
 */
export class AtMostOnce {
  private readonly _shards: readonly Shard[];

  constructor(
    private readonly _context: AtMostOnceContext,
    options: { readonly maxBatch?: number } = {},
  ) {
    this._shards = Array.from({ length: CLAIM_SHARDS }, (_, index) =>
      this._createShard(index, options.maxBatch),
    );
  }

  start(): void {
    for (const { follower } of this._shards) follower.start();
  }

  async stop(): Promise<void> {
    for (const { writer } of this._shards) writer.close();
    await Promise.all(this._shards.map(({ follower }) => follower.stop()));
  }

  /** Whether every shard has been read up to its end once, so that any key can be looked up. */
  isReady(): boolean {
    return this._shards.every(({ follower }) => follower.isReady());
  }

  /** Number of records not yet confirmed by the log. */
  get backlog(): number {
    return this._shards.reduce((sum, { writer }) => sum + writer.backlog, 0);
  }

  async run(prepared: PreparedCall, dispatch: ClaimedDispatch): Promise<Outcome<ServiceAnswer>> {
    const { call, request } = prepared;
    const key = this._checkKey(request.idempotencyKey, call);
    if (typeof key !== 'string') return key;
    const shard = this._shardOf(call.workspace, key);
    if (!shard.follower.isReady())
      return call.undispatched.refuse('log-unavailable', { detail: 'Claims are not read yet.' });
    const fingerprint = toFingerprint(prepared);
    const existing = shard.follower.state.find(call.workspace, key);
    if (existing) return this._followClaim(shard, prepared, key, fingerprint);
    return this._claim(shard, prepared, key, fingerprint, dispatch);
  }

  private _checkKey(key: string | undefined, call: CallContext): string | Outcome<never> {
    try {
      return checkIdempotencyKey(key, { nowMs: this._context.clock.now(), windowMs: CLAIM_WINDOW_MS });
    } catch (error) {
      if (!(error instanceof IdempotencyKeyError)) throw error;
      return call.undispatched.refuse(error.code, { detail: error.message });
    }
  }

  private async _claim(
    shard: Shard,
    prepared: PreparedCall,
    key: string,
    fingerprint: string,
    dispatch: ClaimedDispatch,
  ): Promise<Outcome<ServiceAnswer>> {
    const { call } = prepared;
    const { workspace } = call;
    const claimSequence = shard.writer.nextSequence;
    const claimed = { shard, workspace, key, claimSequence };
    const startedAtMs = this._context.clock.monotonic();
    try {
      const body = { kind: 'claim', workspace, key, fingerprint } as const;
      const written = await shard.writer.write(body, { timeoutMs: CLAIM_TIMEOUT_MS });
      this._context.counters.record('monsoonreach_claim_ms', this._context.clock.monotonic() - startedAtMs);
      return await this._handleVerdict(written, claimed, prepared, fingerprint, dispatch);
    } catch (error) {
      this._giveUpClaim(error, claimed);
      // The log shows the claim of another copy, which was first: its answer is the answer to this copy as well.
      if (shard.follower.state.find(workspace, key))
        return this._followClaim(shard, prepared, key, fingerprint);
      return refuseUnclaimed(call.undispatched);
    }
  }

  private _handleVerdict(
    written: WrittenRecord<ClaimRejection>,
    claimed: ClaimedKey,
    prepared: PreparedCall,
    fingerprint: string,
    dispatch: ClaimedDispatch,
  ): Promise<Outcome<ServiceAnswer>> {
    const { verdict } = written;
    switch (verdict.kind) {
      case 'accepted':
        return this._dispatch(claimed, prepared, dispatch);
      case 'duplicate':
        return Promise.resolve(
          prepared.call.undispatched.refuse('log-unavailable', { detail: 'The claim was overtaken.' }),
        );
      case 'rejected':
        return this._handleRejection(verdict.reason, claimed, prepared, fingerprint);
    }
  }

  private async _handleRejection(
    reason: ClaimRejection,
    claimed: ClaimedKey,
    prepared: PreparedCall,
    fingerprint: string,
  ): Promise<Outcome<ServiceAnswer>> {
    const { undispatched } = prepared.call;
    switch (reason) {
      case 'already-claimed':
        return this._followClaim(claimed.shard, prepared, claimed.key, fingerprint);
      case 'fingerprint-mismatch':
        return refuseReuse(undispatched);
      case 'window-over':
        return undispatched.refuse('key-expired', { detail: "The key's window is over." });
      case 'not-the-claimant':
        return undispatched.refuse('log-unavailable', { detail: 'The claim was not accepted.' });
    }
  }

  private async _dispatch(
    claimed: ClaimedKey,
    prepared: PreparedCall,
    dispatch: ClaimedDispatch,
  ): Promise<Outcome<ServiceAnswer>> {
    const outcome = await dispatch(prepared.call.undispatched);
    switch (outcome.kind) {
      case 'not-run':
        this._withdrawClaim(claimed);
        return outcome;
      case 'answered':
        this._storeAnswer(claimed, outcome.answer);
        return outcome;
      case 'in-doubt':
      case 'failed':
        return outcome;
    }
  }

  /** Never dispatches a call whose claim was not confirmed, and withdraws the claim in case the log took it. */
  private _giveUpClaim(error: unknown, claimed: ClaimedKey): void {
    if (error instanceof AppendUnknownError) this._withdrawClaim(claimed);
    else if (!(error instanceof AppendNotSentError)) throw error;
  }

  private _withdrawClaim({ shard, workspace, key, claimSequence }: ClaimedKey): void {
    this._writeOutcome(shard, { kind: 'abandon', workspace, key, claimSequence });
  }

  private _storeAnswer({ shard, workspace, key, claimSequence }: ClaimedKey, answer: ServiceAnswer): void {
    this._writeOutcome(shard, { kind: 'done', workspace, key, claimSequence, answer: toStored(answer) });
  }

  private _writeOutcome(shard: Shard, body: ClaimBody): void {
    void shard.writer.write(body, { timeoutMs: OUTCOME_TIMEOUT_MS }).catch(() => {
      this._context.counters.add('monsoonreach_claim_outcomes_lost_total', { kind: body.kind });
    });
  }

  /** Waits for the outcome of the earlier call with the same key. */
  private async _followClaim(
    shard: Shard,
    prepared: PreparedCall,
    key: string,
    fingerprint: string,
  ): Promise<Outcome<ServiceAnswer>> {
    const { call, service } = prepared;
    const { clock } = this._context;
    const endsAtMs = clock.monotonic() + service.timeout;
    for (;;) {
      const claim = shard.follower.state.find(call.workspace, key);
      const outcome = toDuplicateOutcome(claim, fingerprint, call.undispatched);
      if (!claim && isWindowOver(key, shard)) return call.undispatched.refuse('key-expired');
      if (outcome) return outcome;
      if (call.signal.aborted) return inDoubt('caller-gone', 'The caller left before the outcome was known.');
      if (clock.monotonic() >= endsAtMs) {
        return inDoubt(
          'claimant-silent',
          'Another request with this key was started and its outcome is not known.',
        );
      }
      await pause(DUPLICATE_POLL_MS, call.signal);
    }
  }

  private _shardOf(workspace: string, key: string): Shard {
    const shard = this._shards[hash32(`${workspace}\u0000${key}`) % CLAIM_SHARDS];
    if (!shard)
      throw new RangeError('No claims shard for the key; the number of shards differs from CLAIM_SHARDS.');
    return shard;
  }

  private _createShard(index: number, maxBatch: number | undefined): Shard {
    const { fleet, clock, counters } = this._context;
    const stream = toClaimsStream(index);
    const follower = new StreamFollower({ stream, log: fleet.log, clock, definition: claimsDefinition });
    const writer = new LogWriter<ClaimBody, ClaimRejection>({
      stream,
      log: fleet.log,
      writer: fleet.writer,
      clock,
      counters,
      subscribe: (listener) => follower.subscribe(listener),
      ...(maxBatch === undefined ? {} : { maxBatch }),
    });
    return { follower, writer };
  }
}

/** The outcome of a duplicate, or undefined while the earlier call is still running. */
function toDuplicateOutcome(
  claim: Claim | undefined,
  fingerprint: string,
  undispatched: Undispatched,
): Outcome<ServiceAnswer> | undefined {
  if (!claim) {
    const detail = 'The earlier request with this key was withdrawn before it ran; send it again.';
    return undispatched.refuse('log-unavailable', { detail, retryAfterMs: 1_000 });
  }
  if (claim.fingerprint !== fingerprint) return refuseReuse(undispatched);
  if (!claim.answer) return undefined;
  const { status, contentType, body } = claim.answer;
  if (body === undefined) {
    return inDoubt(
      'answer-not-kept',
      `The request was run and answered ${status}; its body was too long to keep.`,
    );
  }
  return new Dispatched().answered({ status, contentType, body: Buffer.from(body), isReplayed: true });
}

function isWindowOver(key: string, shard: Shard): boolean {
  return (readKeyTime(key) ?? 0) + CLAIM_WINDOW_MS < shard.follower.streamNowMs;
}

function refuseUnclaimed(undispatched: Undispatched): Outcome<never> {
  return undispatched.refuse('log-unavailable', {
    detail: 'The log did not confirm the claim in time; the request was not run and can be sent again.',
    retryAfterMs: CLAIM_TIMEOUT_MS,
  });
}

function refuseReuse(undispatched: Undispatched): Outcome<never> {
  return undispatched.refuse('key-reused', { detail: 'The key was used for another request.' });
}

function inDoubt(reason: Parameters<Dispatched['inDoubt']>[0], detail: string): Outcome<never> {
  return new Dispatched().inDoubt(reason, detail);
}

function toFingerprint({ request, call }: PreparedCall): string {
  const { service, method, path, body } = request;
  return sha256(
    JSON.stringify([call.workspace, service, method, path, Buffer.from(body).toString('base64')]),
  );
}

function toStored(answer: ServiceAnswer): StoredAnswer {
  const body = Buffer.from(answer.body).toString('utf8');
  const isStored = body.length <= MAX_STORED_BODY_CHARS;
  return { status: answer.status, contentType: answer.contentType, ...(isStored ? { body } : {}) };
}
