import {
  Deadline,
  type Dispatched,
  type Group,
  type ModelConfiguration,
  type Outcome,
  pause,
  type Permit,
  retryDelayMs,
  type RetryReason,
  type RouteCandidate,
  type Router,
  sha256,
  Undispatched,
} from '@monsoonreach/core';
import type { CallContext, CompletionAnswer, CompletionRequest, StreamPart } from '@monsoonreach/callers';
import {
  type EngineEvent,
  isUnsent,
  readEvents,
  type TargetAnswer,
  TargetCallError,
} from '@monsoonreach/targets';
import { type EntryContext, spendRetry } from './entryContext.js';
import type { InFlightCalls } from './inFlightCalls.js';

/** How long a request waits for a group that may be given work, in milliseconds. */
const GROUP_WAIT_MS = 2_000;
const GROUP_POLL_MS = 20;
/** Characters of the prompt that decide which group's cache it shares. */
const AFFINITY_LENGTH = 256;
const MAX_ATTEMPTS = 4;

/** What one run of a completion is made of. */
export interface CompletionRunOptions {
  readonly context: EntryContext;
  readonly router: Router;
  readonly request: CompletionRequest;
  readonly call: CallContext;
  readonly model: ModelConfiguration;
  readonly canResume: boolean;
  readonly priority: number;
  /** Groups' in-flight calls, ended when their group breaks. */
  readonly inFlight: InFlightCalls;
}

/** One attempt at one group. */
interface Attempt {
  readonly candidate: RouteCandidate;
  readonly controller: AbortController;
  readonly startedAtMs: number;
}

type Begun =
  | {
      readonly kind: 'begun';
      readonly attempt: Attempt;
      readonly answer: TargetAnswer;
      readonly dispatched: Dispatched;
    }
  | { readonly kind: 'ended'; readonly outcome: Outcome<never> };

/** One request for a completion, over as many groups as it takes and its budget allows. */
export class CompletionRun {
  readonly fingerprint: string;
  private readonly _deadline: Deadline;
  private readonly _affinityKey: string;
  private readonly _tried = new Set<string>();
  private _attempts = 0;
  private _lastEventId: string | undefined;
  private _hasDelivered = false;

  constructor(private readonly _options: CompletionRunOptions) {
    const { request, call, model, context } = _options;
    this.fingerprint = sha256(`${call.workspace}\u0000${request.body}`).slice(0, 32);
    this._affinityKey = `${call.workspace}\u0000${request.body.slice(0, AFFINITY_LENGTH)}`;
    this._deadline = Deadline.after(model.deadline, 'the whole completion', context.clock);
  }

  /** Runs until the answer has begun; a stream then goes on as it is read. */
  async run(permit: Permit): Promise<Outcome<CompletionAnswer>> {
    const begun = await this._begin(this._options.call.undispatched);
    if (begun.kind === 'ended') {
      this._end(permit);
      return begun.outcome;
    }
    if (!this._options.request.isStreaming) return this._finishWhole(begun, permit);
    return this._startStream(begun, permit);
  }

  /** Tries groups until one begins to answer. */
  private async _begin(from: Undispatched | Dispatched): Promise<Begun> {
    let standing = from;
    for (;;) {
      const candidate = await this._chooseGroup();
      if (!candidate) return { kind: 'ended', outcome: this._giveUp(standing) };
      const attempt = this._startAttempt(candidate);
      const wasUndispatched: boolean = standing instanceof Undispatched;
      const dispatched: Dispatched = standing instanceof Undispatched ? standing.dispatch() : standing;
      try {
        const answer = await this._call(attempt);
        if (isAccepted(answer)) return { kind: 'begun', attempt, answer, dispatched };
        await drain(answer);
        throw new TargetCallError('target-refused', false, `The group answered ${answer.status}.`);
      } catch (error) {
        if (!(error instanceof TargetCallError)) throw error;
        const reason = this._fail(attempt, error);
        standing = wasUndispatched && isUnsent(error) ? dispatched.provenUnsent(error) : dispatched;
        if (!(await this._mayRetry(reason))) return { kind: 'ended', outcome: toOutcome(standing, error) };
      }
    }
  }

  private async _finishWhole(
    begun: Extract<Begun, { kind: 'begun' }>,
    permit: Permit,
  ): Promise<Outcome<CompletionAnswer>> {
    const { attempt, answer, dispatched } = begun;
    try {
      const chunks: Uint8Array[] = [];
      for await (const chunk of answer.body) chunks.push(chunk);
      this._succeed(attempt);
      const contentType = answer.headers['content-type'] ?? 'application/json';
      return dispatched.answered({
        kind: 'whole',
        status: answer.status,
        contentType,
        body: Buffer.concat(chunks),
      });
    } catch (error) {
      if (!(error instanceof TargetCallError)) throw error;
      const reason = this._fail(attempt, error);
      if (!(await this._mayRetry(reason))) return toOutcome(dispatched, error);
      const next = await this._begin(dispatched);
      return next.kind === 'ended'
        ? toFailed(next.outcome, dispatched)
        : await this._finishWhole(next, permit);
    } finally {
      this._end(permit);
    }
  }

  /** Waits for the first event, so that what fails before it is still an answer of its own. */
  private async _startStream(
    begun: Extract<Begun, { kind: 'begun' }>,
    permit: Permit,
  ): Promise<Outcome<CompletionAnswer>> {
    const parts = this._stream(begun);
    const first = await parts.next();
    if (!first.done && first.value.kind === 'failed') {
      this._end(permit);
      return first.value.outcome;
    }
    const events = this._deliver(first, parts, permit);
    return begun.dispatched.answered({ kind: 'stream', events });
  }

  private async *_deliver(
    first: IteratorResult<StreamPart, void>,
    rest: AsyncGenerator<StreamPart, void>,
    permit: Permit,
  ): AsyncGenerator<StreamPart, void> {
    try {
      if (first.done) return;
      yield first.value;
      yield* rest;
    } finally {
      await rest.return();
      this._end(permit);
    }
  }

  private async *_stream(begun: Extract<Begun, { kind: 'begun' }>): AsyncGenerator<StreamPart, void> {
    let current = begun;
    for (;;) {
      let isSettled = false;
      try {
        yield* this._forward(current);
        this._succeed(current.attempt);
        isSettled = true;
        return;
      } catch (error) {
        if (!(error instanceof TargetCallError)) throw error;
        isSettled = true;
        const next = await this._resume(current, error);
        if (next.kind === 'ended') {
          yield { kind: 'failed', outcome: toFailed(next.outcome, current.dispatched) };
          return;
        }
        current = next;
      } finally {
        if (!isSettled) this._abandon(current.attempt);
      }
    }
  }

  private async *_forward(begun: Extract<Begun, { kind: 'begun' }>): AsyncGenerator<StreamPart, void> {
    for await (const event of readEvents(begun.answer)) {
      this._noteEvent(event, begun.attempt);
      yield { kind: 'event', data: event.data };
    }
  }

  private _noteEvent(event: EngineEvent, attempt: Attempt): void {
    const { context } = this._options;
    if (!this._hasDelivered) {
      context.counters.record('monsoonreach_first_token_ms', context.clock.monotonic() - attempt.startedAtMs);
    }
    this._hasDelivered = true;
    this._lastEventId = event.id ?? this._lastEventId;
  }

  /** After a stream broke: begin anew if nothing was delivered, go on elsewhere if the engine can, else end. */
  private async _resume(begun: Extract<Begun, { kind: 'begun' }>, error: TargetCallError): Promise<Begun> {
    const reason = this._fail(begun.attempt, error);
    const isResumable = !this._hasDelivered || (this._options.canResume && this._lastEventId !== undefined);
    if (!isResumable || !(await this._mayRetry(reason))) {
      return { kind: 'ended', outcome: toOutcome(begun.dispatched, error) };
    }
    this._options.context.counters.add('monsoonreach_resumes_total', { reason: reason ?? 'none' });
    return this._begin(begun.dispatched);
  }

  private async _chooseGroup(): Promise<RouteCandidate | undefined> {
    const { context, router, request, call } = this._options;
    const endsAtMs = context.clock.monotonic() + Math.min(GROUP_WAIT_MS, this._deadline.remainingMs());
    for (;;) {
      if (call.signal.aborted) return undefined;
      const chosen = this._route(context.directory.candidates(request.model), router);
      if (chosen || context.clock.monotonic() >= endsAtMs) return chosen;
      await pause(GROUP_POLL_MS, call.signal);
    }
  }

  private _route(candidates: readonly RouteCandidate[], router: Router): RouteCandidate | undefined {
    const { suspects, directory } = this._options.context;
    const isSuspect = suspects.standing(this.fingerprint) === 'suspect';
    if (isSuspect && suspects.isSuspectRunning()) return undefined;
    const affinityKey = this._affinityKey;
    const isHeld = directory.losses.isHeld(
      affinityKey,
      candidates.map(({ id }) => id),
    );
    if (isHeld) return undefined;
    const chosen = router.choose(candidates, { affinityKey, isSuspect, tried: this._tried });
    return chosen ?? this._forgetTried(candidates, router);
  }

  /** With no other group left, one that was tried and serves again is better than none. */
  private _forgetTried(candidates: readonly RouteCandidate[], router: Router): RouteCandidate | undefined {
    const hasUntried = candidates.some(({ id }) => !this._tried.has(id));
    return hasUntried
      ? undefined
      : router.choose(candidates, { affinityKey: this._affinityKey, tried: new Set() });
  }

  private _startAttempt(candidate: RouteCandidate): Attempt {
    const { context, call, inFlight } = this._options;
    this._attempts++;
    this._tried.add(candidate.id);
    context.counters.add('monsoonreach_dispatches_total', { kind: 'completion' });
    context.traces.note(call.requestId, `attempt ${this._attempts} at group ${candidate.id}`);
    context.directory.loads.begin(candidate.id);
    context.suspects.begin(this.fingerprint, candidate.id);
    const controller = new AbortController();
    inFlight.add(candidate.id, controller);
    return { candidate, controller, startedAtMs: context.clock.monotonic() };
  }

  private _call({ candidate, controller }: Attempt): Promise<TargetAnswer> {
    const { context, request, call, model, priority } = this._options;
    const group = context.directory.findGroup(candidate.id);
    const leader = group?.members[0]?.address;
    if (!group || leader === undefined || !context.directory.isServing(group)) {
      return Promise.reject(
        new TargetCallError('group-broken', true, `Group ${candidate.id} stopped serving.`),
      );
    }
    return context.targets.of(leader).call({
      method: 'POST',
      path: '/v1/chat/completions',
      headers: this._headersFor(group, priority),
      body: request.body,
      requestId: call.requestId,
      firstByteTimeoutMs: model['first-token-timeout'],
      idleTimeoutMs: model['token-timeout'],
      signal: AbortSignal.any([call.signal, controller.signal, this._deadline.signal]),
    });
  }

  private _headersFor(group: Group, priority: number): Readonly<Record<string, string>> {
    const headers: Record<string, string> = {
      'content-type': 'application/json',
      'x-group': group.id,
      'x-epoch': String(group.epoch),
      'x-priority': String(priority),
    };
    const lastEventId = this._lastEventId;
    if (lastEventId !== undefined) headers['last-event-id'] = lastEventId;
    return headers;
  }

  private _succeed(attempt: Attempt): void {
    const { context } = this._options;
    context.suspects.finish(this.fingerprint, attempt.candidate.id);
    context.directory.stragglers.record(
      attempt.candidate.id,
      context.clock.monotonic() - attempt.startedAtMs,
    );
    this._settle(attempt);
  }

  private _abandon(attempt: Attempt): void {
    this._options.context.suspects.leave(this.fingerprint, attempt.candidate.id);
    attempt.controller.abort();
    this._settle(attempt);
  }

  /** Ends a failed attempt and says why the request may be tried again. */
  private _fail(attempt: Attempt, error: TargetCallError): RetryReason | undefined {
    const { context, call } = this._options;
    const broken: unknown = attempt.controller.signal.reason;
    const cause = broken instanceof TargetCallError ? broken : error;
    context.traces.note(call.requestId, `attempt failed: ${cause.reason}`);
    context.counters.add('monsoonreach_attempt_failures_total', { reason: cause.reason });
    this._settle(attempt);
    if (call.signal.aborted) {
      context.suspects.leave(this.fingerprint, attempt.candidate.id);
      return undefined;
    }
    return this._blame(attempt, cause);
  }

  private _blame(attempt: Attempt, cause: TargetCallError): RetryReason | undefined {
    const { context } = this._options;
    const group = attempt.candidate.id;
    if (cause.isProvenUnsent) {
      context.suspects.leave(this.fingerprint, group);
      if (cause.reason === 'target-lost') context.directory.reportLost(group);
      return 'proven-unsent';
    }
    switch (cause.reason) {
      case 'target-lost':
      case 'truncated':
      case 'group-broken':
        context.directory.reportLost(group);
        return cause.reason;
      case 'target-timeout':
        context.directory.stragglers.record(group, context.clock.monotonic() - attempt.startedAtMs);
        context.suspects.leave(this.fingerprint, group);
        return cause.reason;
      case 'wrong-echo':
        context.suspects.leave(this.fingerprint, group);
        return cause.reason;
      case 'target-refused':
        context.suspects.leave(this.fingerprint, group);
        return 'target-lost';
      case 'retries-spent':
      case 'caller-gone':
        context.suspects.leave(this.fingerprint, group);
        return undefined;
    }
  }

  private async _mayRetry(reason: RetryReason | undefined): Promise<boolean> {
    const { context, call } = this._options;
    if (reason === undefined || this._attempts >= MAX_ATTEMPTS || this._deadline.isOver()) return false;
    if (context.suspects.standing(this.fingerprint) === 'quarantined') return false;
    if (!spendRetry(context, call.workspace, reason)) return false;
    await pause(retryDelayMs(this._attempts, context.random), call.signal);
    return !call.signal.aborted;
  }

  private _giveUp(standing: Undispatched | Dispatched): Outcome<never> {
    const { call, context, request } = this._options;
    if (!(standing instanceof Undispatched))
      return standing.failed('retries-spent', 'No other group can take the request now.');
    if (call.signal.aborted) return standing.refuse('caller-gone');
    const isAnyWhole = context.directory.candidates(request.model).length > 0;
    const reason = isAnyWhole ? 'queue-full' : 'no-whole-group';
    return standing.refuse(reason, { retryAfterMs: GROUP_WAIT_MS });
  }

  private _settle(attempt: Attempt): void {
    const { context, inFlight } = this._options;
    context.directory.loads.end(attempt.candidate.id);
    inFlight.remove(attempt.candidate.id, attempt.controller);
  }

  private _end(permit: Permit): void {
    this._deadline.dispose();
    permit.release();
  }
}

function isAccepted(answer: TargetAnswer): boolean {
  return answer.status < 500 && answer.status !== 409;
}

async function drain(answer: TargetAnswer): Promise<void> {
  try {
    for await (const chunk of answer.body) void chunk;
  } catch {
    // The status already says that the call failed.
  }
}

function toOutcome(standing: Undispatched | Dispatched, error: TargetCallError): Outcome<never> {
  if (standing instanceof Undispatched) return standing.refuse('no-whole-group', { detail: error.message });
  return standing.failed(error.reason, error.message);
}

/** Once something was sent, a refusal of a later attempt is a failure of the whole request. */
function toFailed(
  outcome: Outcome<never>,
  dispatched: Dispatched,
): Extract<Outcome<never>, { readonly kind: 'failed' }> {
  const failed = outcome.kind === 'failed' ? outcome : dispatched.failed('retries-spent', outcome.kind);
  return failed as Extract<Outcome<never>, { readonly kind: 'failed' }>;
}
