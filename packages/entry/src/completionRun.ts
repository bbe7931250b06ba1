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
  TriedTargets,
  Undispatched,
} from '@monsoonreach/core';
import type { CallContext, CompletionAnswer, CompletionRequest, StreamPart } from '@monsoonreach/callers';
import {
  type EngineEvent,
  isUnsent,
  readEvents,
  readWholeBody,
  type TargetAnswer,
  TargetCallError,
} from '@monsoonreach/targets';
import { type EntryContext, refuseStopping, spendRetry } from './entryContext.js';
import type { InFlightCalls } from './inFlightCalls.js';

/** How long a request waits for an available group. */
const GROUP_WAIT_MS = 2_000;
const GROUP_POLL_MS = 20;
/** Requests of a workspace with the same prefix prefer the same group, whose cached prefix they share. */
const AFFINITY_PREFIX_CHARS = 256;
const MAX_ATTEMPTS = 4;

export interface CompletionRunOptions {
  readonly context: EntryContext;
  readonly router: Router;
  readonly request: CompletionRequest;
  readonly call: CallContext;
  readonly model: ModelConfiguration;
  readonly canResume: boolean;
  readonly priority: number;
  /** Calls in flight at each group, aborted when the group breaks. */
  readonly inFlight: InFlightCalls;
}

/** One call to one group; aborting `controller` ends it. */
interface Attempt {
  readonly candidate: RouteCandidate;
  readonly controller: AbortController;
  readonly startedAtMs: number;
}

/** A group accepted the request, or no attempt is left. */
type StartResult =
  | {
      readonly kind: 'begun';
      readonly attempt: Attempt;
      readonly answer: TargetAnswer;
      readonly dispatched: Dispatched;
    }
  | { readonly kind: 'ended'; readonly outcome: Outcome<never> };

/** Runs one completion request, with retries at other groups within the retry budget and the deadline. */
export class CompletionRun {
  readonly fingerprint: string;
  private readonly _deadline: Deadline;
  private readonly _affinityKey: string;
  private readonly _groups = new TriedTargets();
  private _attempts = 0;
  private _lastEventId: string | undefined;
  private _hasDeliveredEvent = false;

  constructor(private readonly _options: CompletionRunOptions) {
    const { request, call, model, context } = _options;
    this.fingerprint = sha256(`${call.workspace}\u0000${request.body}`).slice(0, 32);
    this._affinityKey = `${call.workspace}\u0000${request.body.slice(0, AFFINITY_PREFIX_CHARS)}`;
    this._deadline = Deadline.after(model.deadline, 'the whole completion', context.clock);
  }

  /** Resolves with a whole answer, or after a stream's first event; the rest is forwarded as it is read. */
  async run(permit: Permit): Promise<Outcome<CompletionAnswer>> {
    const started = await this._callUntilAccepted(this._options.call.undispatched);
    if (started.kind === 'ended') {
      this._release(permit);
      return started.outcome;
    }
    const isStream = this._options.request.isStreaming && isSuccess(started.answer);
    return isStream ? this._startStream(started, permit) : this._readWholeAnswer(started, permit);
  }

  /** Tries groups until one accepts the request. */
  private async _callUntilAccepted(initial: Undispatched | Dispatched): Promise<StartResult> {
    let dispatchState = initial;
    for (;;) {
      const candidate = await this._chooseGroup();
      if (!candidate) return { kind: 'ended', outcome: this._giveUp(dispatchState) };
      if (dispatchState instanceof Undispatched && !this._isTimeLeft())
        return { kind: 'ended', outcome: refuseStopping(dispatchState) };
      const attempt = this._startAttempt(candidate);
      const wasUndispatched: boolean = dispatchState instanceof Undispatched;
      const dispatched: Dispatched =
        dispatchState instanceof Undispatched ? dispatchState.dispatch() : dispatchState;
      try {
        const answer = await this._call(attempt);
        if (isAccepted(answer)) return { kind: 'begun', attempt, answer, dispatched };
        await failRefused(answer);
      } catch (error) {
        if (!(error instanceof TargetCallError)) throw error;
        const reason = this._recordFailure(attempt, error);
        dispatchState = wasUndispatched && isUnsent(error) ? dispatched.provenUnsent(error) : dispatched;
        if (!(await this._prepareRetry(reason)))
          return { kind: 'ended', outcome: toOutcome(dispatchState, error) };
      }
    }
  }

  private async _readWholeAnswer(
    started: Extract<StartResult, { kind: 'begun' }>,
    permit: Permit,
  ): Promise<Outcome<CompletionAnswer>> {
    const { attempt, answer, dispatched } = started;
    try {
      const body = await readWholeBody(answer);
      this._recordSuccess(attempt);
      const contentType = answer.headers['content-type'] ?? 'application/json';
      return dispatched.answered({
        kind: 'whole',
        status: answer.status,
        contentType,
        body,
      });
    } catch (error) {
      if (!(error instanceof TargetCallError)) throw error;
      const reason = this._recordFailure(attempt, error);
      if (!(await this._prepareRetry(reason))) return toOutcome(dispatched, error);
      const next = await this._callUntilAccepted(dispatched);
      return next.kind === 'ended'
        ? toFailed(next.outcome, dispatched)
        : await this._readWholeAnswer(next, permit);
    } finally {
      this._release(permit);
    }
  }

  /** Waits for the first event, so that an earlier failure still gets an error response of its own. */
  private async _startStream(
    started: Extract<StartResult, { kind: 'begun' }>,
    permit: Permit,
  ): Promise<Outcome<CompletionAnswer>> {
    const parts = this._forwardWithResume(started);
    const first = await parts.next();
    if (!first.done && first.value.kind === 'failed') {
      this._release(permit);
      return first.value.outcome;
    }
    const events = this._forwardAndRelease(first, parts, permit);
    return started.dispatched.answered({ kind: 'stream', events });
  }

  private async *_forwardAndRelease(
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
      this._release(permit);
    }
  }

  private async *_forwardWithResume(
    started: Extract<StartResult, { kind: 'begun' }>,
  ): AsyncGenerator<StreamPart, void> {
    let current = started;
    for (;;) {
      let isAttemptEnded = false;
      try {
        yield* this._forward(current);
        this._recordSuccess(current.attempt);
        isAttemptEnded = true;
        return;
      } catch (error) {
        if (!(error instanceof TargetCallError)) throw error;
        isAttemptEnded = true;
        const next = await this._resume(current, error);
        if (next.kind === 'ended') {
          yield { kind: 'failed', outcome: toFailed(next.outcome, current.dispatched) };
          return;
        }
        current = next;
      } finally {
        if (!isAttemptEnded) this._abandonAttempt(current.attempt);
      }
    }
  }

  private async *_forward(
    started: Extract<StartResult, { kind: 'begun' }>,
  ): AsyncGenerator<StreamPart, void> {
    if (!isSuccess(started.answer)) await failRefused(started.answer);
    for await (const event of readEvents(started.answer)) {
      this._recordEvent(event, started.attempt);
      yield { kind: 'event', data: event.data };
    }
  }

  private _recordEvent(event: EngineEvent, attempt: Attempt): void {
    const { context } = this._options;
    if (!this._hasDeliveredEvent) {
      context.counters.record('monsoonreach_first_token_ms', context.clock.monotonic() - attempt.startedAtMs);
    }
    this._hasDeliveredEvent = true;
    this._lastEventId = event.id ?? this._lastEventId;
  }

  /** After a stream broke: starts over if no event was delivered, else resumes if the engine can, else fails. */
  private async _resume(
    started: Extract<StartResult, { kind: 'begun' }>,
    error: TargetCallError,
  ): Promise<StartResult> {
    const reason = this._recordFailure(started.attempt, error);
    const isResumable =
      !this._hasDeliveredEvent || (this._options.canResume && this._lastEventId !== undefined);
    if (!isResumable || !(await this._prepareRetry(reason))) {
      return { kind: 'ended', outcome: toOutcome(started.dispatched, error) };
    }
    this._options.context.counters.add('monsoonreach_resumes_total', { reason: reason ?? 'none' });
    return this._callUntilAccepted(started.dispatched);
  }

  /** Whether the request ends before this entry, if it stops. */
  private _isTimeLeft(): boolean {
    return this._options.context.drainWindow.isLongEnough(this._deadline.remainingMs());
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
    const isSuspect = suspects.statusOf(this.fingerprint) === 'suspect';
    if (isSuspect && suspects.isSuspectRunning()) return undefined;
    const affinityKey = this._affinityKey;
    const isHeld = directory.recentLosses.isPreferredGroupLost(
      affinityKey,
      candidates.map(({ id }) => id),
    );
    if (isHeld) return undefined;
    const chosen = router.choose(candidates, { affinityKey, isSuspect, tried: this._groups.tried });
    return chosen ?? this._chooseTriedGroup(candidates, router);
  }

  /** Allows a second attempt at a group that broke a connection, and at any group once every candidate was tried. */
  private _chooseTriedGroup(
    candidates: readonly RouteCandidate[],
    router: Router,
  ): RouteCandidate | undefined {
    const hasUntried = candidates.some(({ id }) => !this._groups.tried.has(id));
    const usable = hasUntried ? candidates.filter(({ id }) => this._groups.isBrokenOff(id)) : candidates;
    return router.choose(usable, { affinityKey: this._affinityKey, tried: new Set() });
  }

  private _startAttempt(candidate: RouteCandidate): Attempt {
    const { context, call, inFlight } = this._options;
    this._attempts++;
    this._groups.add(candidate.id);
    context.counters.add('monsoonreach_dispatches_total', { kind: 'completion' });
    context.traces.addStep(call.requestId, `attempt ${this._attempts} at group ${candidate.id}`);
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
    return context.targets.get(leader).call({
      method: 'POST',
      path: '/v1/chat/completions',
      headers: this._createHeaders(group, priority),
      body: request.body,
      requestId: call.requestId,
      firstByteTimeoutMs: model['first-token-timeout'],
      idleTimeoutMs: model['token-timeout'],
      signal: AbortSignal.any([call.signal, controller.signal, this._deadline.signal]),
    });
  }

  private _createHeaders(group: Group, priority: number): Readonly<Record<string, string>> {
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

  private _recordSuccess(attempt: Attempt): void {
    const { context } = this._options;
    context.suspects.finish(this.fingerprint, attempt.candidate.id);
    context.directory.stragglers.record(
      attempt.candidate.id,
      context.clock.monotonic() - attempt.startedAtMs,
    );
    this._endAttempt(attempt);
  }

  private _abandonAttempt(attempt: Attempt): void {
    this._options.context.suspects.endUnanswered(this.fingerprint, attempt.candidate.id);
    attempt.controller.abort();
    this._endAttempt(attempt);
  }

  /** Ends a failed attempt; returns the retry reason, or undefined if the request must not be retried. */
  private _recordFailure(attempt: Attempt, error: TargetCallError): RetryReason | undefined {
    const { context, call } = this._options;
    const abortReason: unknown = attempt.controller.signal.reason;
    const cause = abortReason instanceof TargetCallError ? abortReason : error;
    context.traces.addStep(call.requestId, `attempt failed: ${cause.reason}`);
    context.counters.add('monsoonreach_attempt_failures_total', { reason: cause.reason });
    this._endAttempt(attempt);
    if (call.signal.aborted) {
      context.suspects.endUnanswered(this.fingerprint, attempt.candidate.id);
      return undefined;
    }
    return this._attributeFailure(attempt, cause);
  }

  /** Updates the crash suspects and the group directory by the cause; returns the retry reason, if any. */
  private _attributeFailure(attempt: Attempt, cause: TargetCallError): RetryReason | undefined {
    const { context } = this._options;
    const group = attempt.candidate.id;
    if (cause.isProvenUnsent) {
      context.suspects.endUnanswered(this.fingerprint, group);
      if (cause.reason === 'target-lost') context.directory.markLost(group);
      return 'proven-unsent';
    }
    switch (cause.reason) {
      case 'target-lost':
      case 'truncated':
        this._recordBrokenConnection(group);
        return cause.reason;
      case 'group-broken':
        context.directory.markLost(group);
        return cause.reason;
      case 'target-timeout':
        context.directory.stragglers.record(group, context.clock.monotonic() - attempt.startedAtMs);
        context.suspects.endUnanswered(this.fingerprint, group);
        return cause.reason;
      case 'wrong-echo':
        context.suspects.endUnanswered(this.fingerprint, group);
        return cause.reason;
      case 'target-refused':
        context.suspects.endUnanswered(this.fingerprint, group);
        return 'target-lost';
      case 'retries-spent':
      case 'caller-gone':
        context.suspects.endUnanswered(this.fingerprint, group);
        return undefined;
    }
  }

  /**
   * A broken connection shows neither that the group ended nor that it did not. The group keeps its lease, but copies
   * of the request wait for its strike to spread. A group that is being ended may break off what it runs; that tells
   * nothing of the request.
   */
  private _recordBrokenConnection(group: string): void {
    const { context } = this._options;
    if (context.directory.isEnding(group)) context.suspects.endUnanswered(this.fingerprint, group);
    else context.recordRequestLoss(this.fingerprint, group);
    context.directory.recentLosses.recordLoss(group);
    this._groups.recordBrokenOff(group);
  }

  /** Spends a retry of the workspace's budget and waits for the backoff; false if no retry is allowed. */
  private async _prepareRetry(reason: RetryReason | undefined): Promise<boolean> {
    const { context, call } = this._options;
    if (reason === undefined || this._attempts >= MAX_ATTEMPTS || this._deadline.isOver()) return false;
    if (context.suspects.statusOf(this.fingerprint) === 'quarantined') return false;
    if (!spendRetry(context, call.workspace, reason)) return false;
    await pause(retryDelayMs(this._attempts, context.random), call.signal);
    return !call.signal.aborted;
  }

  private _giveUp(dispatchState: Undispatched | Dispatched): Outcome<never> {
    const { call, context, request } = this._options;
    if (!(dispatchState instanceof Undispatched))
      return dispatchState.failed('retries-spent', 'No other group can take the request now.');
    if (call.signal.aborted) return dispatchState.refuse('caller-gone');
    const hasWholeGroup = context.directory.candidates(request.model).length > 0;
    const reason = hasWholeGroup ? 'queue-full' : 'no-whole-group';
    return dispatchState.refuse(reason, { retryAfterMs: GROUP_WAIT_MS });
  }

  private _endAttempt(attempt: Attempt): void {
    const { context, inFlight } = this._options;
    context.directory.loads.end(attempt.candidate.id);
    inFlight.remove(attempt.candidate.id, attempt.controller);
  }

  private _release(permit: Permit): void {
    this._deadline.dispose();
    permit.release();
  }
}

function isAccepted(answer: TargetAnswer): boolean {
  return answer.status < 500 && answer.status !== 409;
}

function isSuccess({ status }: TargetAnswer): boolean {
  return status < 300;
}

async function failRefused(answer: TargetAnswer): Promise<never> {
  try {
    await readWholeBody(answer);
  } catch {
    // The status already says that the call failed.
  }
  throw new TargetCallError('target-refused', false, `The group answered ${answer.status}.`);
}

function toOutcome(dispatchState: Undispatched | Dispatched, error: TargetCallError): Outcome<never> {
  if (dispatchState instanceof Undispatched)
    return dispatchState.refuse('no-whole-group', { detail: error.message });
  return dispatchState.failed(error.reason, error.message);
}

/** Once a request was dispatched, a refusal in a later attempt counts as its failure, not as "not run". */
function toFailed(
  outcome: Outcome<never>,
  dispatched: Dispatched,
): Extract<Outcome<never>, { readonly kind: 'failed' }> {
  const failed = outcome.kind === 'failed' ? outcome : dispatched.failed('retries-spent', outcome.kind);
  return failed as Extract<Outcome<never>, { readonly kind: 'failed' }>;
}
