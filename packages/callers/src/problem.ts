import type { FailedReason, InDoubtReason, NotRunReason, Outcome } from '@monsoonreach/core';

/** Whether the request was run: certainly not, possibly, or run and failed. */
export type RunState = 'not-run' | 'in-doubt' | 'failed';

/** A problem document (RFC 9457) with the extension members `run`, `reason` and `requestId`. */
export interface Problem {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly run: RunState;
  readonly reason: string;
  readonly requestId: string;
}

/** Any outcome other than `answered`. */
export type UnansweredOutcome = Exclude<Outcome<never>, { readonly kind: 'answered' }>;

const NOT_RUN_STATUS: Readonly<Record<NotRunReason, number>> = {
  'not-ready': 503,
  unauthenticated: 401,
  forbidden: 403,
  'not-found': 404,
  'bad-request': 400,
  'body-too-large': 413,
  'key-missing': 400,
  'key-malformed': 400,
  'key-expired': 409,
  'key-ahead': 400,
  'key-reused': 422,
  'log-unavailable': 503,
  'no-whole-group': 503,
  'no-target': 503,
  'queue-full': 429,
  'deadline-unreachable': 503,
  'workspace-limit': 429,
  quarantined: 422,
  'caller-gone': 499,
  stopping: 503,
};

const IN_DOUBT_STATUS: Readonly<Record<InDoubtReason, number>> = {
  'claimant-silent': 409,
  'target-silent': 504,
  'answer-not-kept': 409,
  'caller-gone': 499,
};

const FAILED_STATUS: Readonly<Record<FailedReason, number>> = {
  'target-lost': 502,
  'target-timeout': 504,
  'target-refused': 502,
  'wrong-echo': 502,
  truncated: 502,
  'group-broken': 502,
  'retries-spent': 502,
  'caller-gone': 499,
};

/** HTTP status for an unanswered request. */
export function toHttpStatus(outcome: UnansweredOutcome): number {
  switch (outcome.kind) {
    case 'not-run':
      return NOT_RUN_STATUS[outcome.reason];
    case 'in-doubt':
      return IN_DOUBT_STATUS[outcome.reason];
    case 'failed':
      return FAILED_STATUS[outcome.reason];
  }
}

/** Problem document for an unanswered request. */
export function toProblem(outcome: UnansweredOutcome, requestId: string): Problem {
  return {
    type: `urn:monsoonreach:${outcome.kind}:${outcome.reason}`,
    title: `Request ${outcome.kind}: ${outcome.reason}`,
    status: toHttpStatus(outcome),
    detail: outcome.detail,
    run: outcome.kind,
    reason: outcome.reason,
    requestId,
  };
}

/** HTTP response with the problem document for an unanswered request. */
export function toProblemResponse(outcome: UnansweredOutcome, requestId: string): Response {
  const problem = toProblem(outcome, requestId);
  const headers: Record<string, string> = {
    'content-type': 'application/problem+json',
    'x-request-id': requestId,
  };
  const retryAfterMs = outcome.kind === 'not-run' ? outcome.retryAfterMs : 0;
  if (retryAfterMs > 0) headers['retry-after'] = String(Math.ceil(retryAfterMs / 1_000));
  if (problem.status === 401) headers['www-authenticate'] = 'Bearer';
  return new Response(JSON.stringify(problem), { status: problem.status, headers });
}
