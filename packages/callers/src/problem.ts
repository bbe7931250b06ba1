import type { FailedReason, InDoubtReason, NotRunReason, Outcome } from '@monsoonreach/core';

/** Whether the request behind a problem was run. */
export type RunState = 'not-run' | 'in-doubt' | 'failed';

/** A problem document after RFC 9457 with this system's own members. */
export interface Problem {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly run: RunState;
  readonly reason: string;
  readonly requestId: string;
}

/** An outcome that is not an answer. */
export type Refusal = Exclude<Outcome<never>, { readonly kind: 'answered' }>;

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

/** The HTTP status of a refusal. */
export function toStatus(refusal: Refusal): number {
  switch (refusal.kind) {
    case 'not-run':
      return NOT_RUN_STATUS[refusal.reason];
    case 'in-doubt':
      return IN_DOUBT_STATUS[refusal.reason];
    case 'failed':
      return FAILED_STATUS[refusal.reason];
  }
}

/** The problem document of a refusal. */
export function toProblem(refusal: Refusal, requestId: string): Problem {
  return {
    type: `urn:monsoonreach:${refusal.kind}:${refusal.reason}`,
    title: `Request ${refusal.kind}: ${refusal.reason}`,
    status: toStatus(refusal),
    detail: refusal.detail,
    run: refusal.kind,
    reason: refusal.reason,
    requestId,
  };
}

/** The HTTP answer of a refusal. */
export function toProblemResponse(refusal: Refusal, requestId: string): Response {
  const problem = toProblem(refusal, requestId);
  const headers: Record<string, string> = {
    'content-type': 'application/problem+json',
    'x-request-id': requestId,
  };
  const retryAfterMs = refusal.kind === 'not-run' ? refusal.retryAfterMs : 0;
  if (retryAfterMs > 0) headers['retry-after'] = String(Math.ceil(retryAfterMs / 1_000));
  if (problem.status === 401) headers['www-authenticate'] = 'Bearer';
  return new Response(JSON.stringify(problem), { status: problem.status, headers });
}
