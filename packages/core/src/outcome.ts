/** Why a request was refused before any part of it was sent to a target. */
export type NotRunReason =
  | 'not-ready'
  | 'unauthenticated'
  | 'forbidden'
  | 'not-found'
  | 'bad-request'
  | 'body-too-large'
  | 'key-missing'
  | 'key-malformed'
  | 'key-expired'
  | 'key-ahead'
  | 'key-reused'
  | 'log-unavailable'
  | 'no-whole-group'
  | 'no-target'
  | 'queue-full'
  | 'deadline-unreachable'
  | 'workspace-limit'
  | 'quarantined'
  | 'caller-gone'
  | 'stopping';

/** Why it is not known whether a request was run. */
export type InDoubtReason = 'claimant-silent' | 'target-silent' | 'answer-not-kept' | 'caller-gone';

/** Why a request that was sent got no complete answer; it has no effect that must not be repeated. */
export type FailedReason =
  | 'target-lost'
  | 'target-timeout'
  | 'target-refused'
  | 'wrong-echo'
  | 'truncated'
  | 'group-broken'
  | 'retries-spent'
  | 'caller-gone';

/** Result of a request. */
export type Outcome<Answer> =
  | NotRun
  | { readonly kind: 'in-doubt'; readonly reason: InDoubtReason; readonly detail: string }
  | { readonly kind: 'failed'; readonly reason: FailedReason; readonly detail: string }
  | { readonly kind: 'answered'; readonly answer: Answer };

const notRunBrand: unique symbol = Symbol('not-run');

/** A refusal that guarantees that the request was not run. Only `Undispatched` can create one. */
export interface NotRun {
  readonly kind: 'not-run';
  readonly reason: NotRunReason;
  readonly detail: string;
  readonly retryAfterMs: number;
  readonly [notRunBrand]: true;
}

/** Options of a refusal. */
export interface RefusalOptions {
  readonly detail?: string;
  readonly retryAfterMs?: number;
}

/**
 * A request of which nothing has been sent to a target. After `dispatch` it can no longer be refused as not
 * run.
 */
export class Undispatched {
  private _isDispatched = false;

  /** Refuses the request as not run. */
  refuse(reason: NotRunReason, options: RefusalOptions = {}): NotRun {
    if (this._isDispatched) throw new AlreadyDispatchedError();
    return {
      kind: 'not-run',
      reason,
      detail: options.detail ?? reason,
      retryAfterMs: options.retryAfterMs ?? 0,
      [notRunBrand]: true,
    };
  }

  /** Marks the request as dispatched; call it right before the first byte is sent. */
  dispatch(): Dispatched {
    if (this._isDispatched) throw new AlreadyDispatchedError();
    this._isDispatched = true;
    return new Dispatched();
  }
}

/** A request of which some part may have been sent to a target. */
export class Dispatched {
  inDoubt(reason: InDoubtReason, detail: string = reason): Outcome<never> {
    return { kind: 'in-doubt', reason, detail };
  }

  failed(reason: FailedReason, detail: string = reason): Outcome<never> {
    return { kind: 'failed', reason, detail };
  }

  answered<Answer>(answer: Answer): Outcome<Answer> {
    return { kind: 'answered', answer };
  }

  /** Reverts the dispatch when nothing was sent, for instance because the connection was refused. */
  provenUnsent(_evidence: UnsentEvidence): Undispatched {
    return new Undispatched();
  }
}

/** Proof that no byte of a request was sent. */
export interface UnsentEvidence {
  readonly isProvenUnsent: true;
}

/** A request was dispatched twice, or refused as not run after it was dispatched; a bug in this program. */
export class AlreadyDispatchedError extends Error {
  readonly code = 'already-dispatched';

  constructor() {
    super('The request was dispatched already; it cannot be refused as not run or dispatched again.');
    this.name = 'AlreadyDispatchedError';
  }
}
