import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  type CallOutcomeReason,
  chooseService,
  chooseTarget,
  EventFramer,
  judgeSilence,
  type RequestSize,
  type ServingRoute,
  type TargetCandidate,
  type TargetChoice,
} from '@monsoonreach/core';
import {
  type CallerRequest,
  encodeDispatch,
  encodeRetryAfter,
  type TargetHead,
} from '@monsoonreach/platform';
import type { PlacementNeed } from './placement.js';
import type { ServingContext } from './servingContext.js';
import type { CallError, OpenCall } from './targetConnections.js';

/** Largest answer that is kept whole before it is passed on, in bytes; a larger one is passed on as it comes. */
const MAX_KEPT_BYTES = 1_048_576;
/** Share of the time that is left which a caller may be asked to wait before it comes back; callers honour no more. */
const MAX_RETRY_AFTER_SHARE = 1 / 3;

/** Why a request was refused without having been run. */
export type RefusalReason = Extract<TargetChoice, { readonly kind: 'none' }>['reason'] | 'not-run-by-target';

/** Why a request failed that may have been run. */
export type FailureReason = RefusalReason | 'no-answer' | 'timeout';

interface Attempt {
  readonly candidate: TargetCandidate;
  readonly startedAtMs: number;
  readonly predictedMs: number;
  readonly load: { readonly read: () => void; readonly end: () => void };
  readonly framer: EventFramer;
  call: OpenCall | undefined;
  head: TargetHead | undefined;
  readonly kept: Buffer[];
  keptBytes: number;
  progressAtMs: number;
  events: number;
}

/** What a run is made of. */
export interface RequestRunOptions {
  readonly context: ServingContext;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly caller: CallerRequest;
  readonly route: ServingRoute;
  readonly workspace: string | undefined;
  readonly urgency: number;
  readonly body: Buffer | undefined;
  readonly startedAtMs: number;
}

/** One request of a caller, from its dispatch to the end of its answer. */
export class RequestRun {
  private readonly _endsAtMs: number;
  private readonly _timer: NodeJS.Timeout;
  private readonly _tried = new Set<string>();
  private readonly _trail: string[] = [];
  private readonly _service: string | undefined;
  private _attempt: Attempt | undefined;
  private _sends = 0;
  /** A target may have run the request. */
  private _mayHaveRun = false;
  private _lastEventId: string | undefined;
  private _passedEvents = 0;
  private _firstEventAtMs: number | undefined;
  private _lastEventAtMs: number | undefined;
  private _longestPauseMs = 0;
  private _isOver = false;
  /** Whether the answer that has begun says itself where it ends. */
  private _isFramed = true;

  constructor(private readonly _options: RequestRunOptions) {
    const { context, caller, route, startedAtMs } = _options;
    this._endsAtMs = startedAtMs + Math.min(caller.patienceMs ?? Infinity, route.timeoutMs);
    this._lastEventId = caller.lastEventId;
    this._service = chooseService(route, context.random);
    this._timer = setTimeout(
      () => {
        this._timeOut();
      },
      Math.max(0, this._endsAtMs - context.clock.monotonic()),
    );
  }

  start(): void {
    const { context, response } = this._options;
    context.runs.add(this);
    response.on('close', () => {
      if (!this._isOver) this._leave();
    });
    if (this._service !== undefined) this._noteArrival(this._service);
    this._dispatch();
  }

  private _noteArrival(service: string): void {
    const { context, caller } = this._options;
    const nowMs = context.clock.monotonic();
    context.retries.noteRequest(service, nowMs);
    const engine = context.configuration()?.services.get(service)?.engine;
    const model = engine?.models.find(({ name }) => name === caller.model);
    if (engine && model) context.demand.note(engine, model, caller.size, nowMs);
  }

  /** Moves on from a target at which nothing moves. */
  checkProgress(nowMs: number): void {
    const attempt = this._attempt;
    if (!attempt || !this._isRepeatable()) return;
    const { context, route } = this._options;
    const verdict = judgeSilence({
      silentMs: nowMs - Math.max(attempt.startedAtMs, attempt.progressAtMs),
      targetSilentMs:
        nowMs - Math.max(attempt.startedAtMs, context.health.progressAtMs(attempt.candidate.key)),
      hasBegun: attempt.events > 0,
      predictedMs: attempt.predictedMs,
      pauseObjectiveMs: route.pauseObjectiveMs ?? route.latencyObjectiveMs,
      isPlainCall: !this._isStream,
    });
    if (verdict === 'wait') return;
    if (verdict === 'target-silent' && context.health.noteSilence(attempt.candidate.key, nowMs)) {
      context.log.warn('target silent', {
        target: attempt.candidate.key,
        request: this._options.caller.requestId,
        silentMs: Math.round(nowMs - attempt.progressAtMs),
      });
      context.onSilentTarget(attempt.candidate);
    }
    if (this._canRetry()) this._retry(attempt, 'silent');
  }

  private _isRepeatable(): boolean {
    const { kind, isResumable } = this._options.route;
    return kind === 'idempotent' || (kind === 'stream' && isResumable);
  }

  private get _isStream(): boolean {
    return this._options.route.kind === 'stream';
  }

  private _dispatch(): void {
    const need = this._placementNeed();
    if (!need) {
      this._takeChoice(this._choose());
      return;
    }
    this._options.context.placement.place(need, (choice) => {
      if (!this._isOver) this._takeChoice(choice);
    });
  }

  private _takeChoice(choice: TargetChoice): void {
    switch (choice.kind) {
      case 'chosen':
        this._send(choice.candidate, choice.predictedMs, this._options.context.clock.monotonic());
        return;
      case 'none':
        this._trail.push(choice.reason);
        this._giveUp(choice.reason, NO_TARGET_WAIT_MS[choice.reason]);
    }
  }

  /** What an engine group is needed for; undefined for a call to a plain service. */
  private _placementNeed(): PlacementNeed | undefined {
    const { size, model } = this._options.caller;
    if (!this._isStream || model === undefined || this._service === undefined) return undefined;
    return {
      service: this._service,
      model,
      size,
      tried: this._tried,
      isContinuing: this._passedEvents > 0,
    };
  }

  /** The target that this node would choose by itself. */
  private _choose(): TargetChoice {
    const { context, caller } = this._options;
    const configuration = context.configuration();
    if (!configuration || this._service === undefined) return { kind: 'none', reason: 'no-target' };
    const model = this._isStream ? caller.model : undefined;
    return chooseTarget(context.directory.candidates(configuration, this._service, model), {
      nowMs: context.clock.monotonic(),
      random: context.random,
      health: context.health,
      failureDomain: context.failureDomain,
      size: caller.size,
      tried: this._tried,
      isContinuing: this._passedEvents > 0,
    });
  }

  private _send(candidate: TargetCandidate, predictedMs: number, nowMs: number): void {
    const { context, request, caller, workspace, urgency, body } = this._options;
    const size: RequestSize = caller.size;
    const attempt: Attempt = {
      candidate,
      startedAtMs: nowMs,
      predictedMs,
      load: context.loads.begin(candidate.key, size),
      framer: new EventFramer(),
      call: undefined,
      head: undefined,
      kept: [],
      keptBytes: 0,
      progressAtMs: -Infinity,
      events: 0,
    };
    this._attempt = attempt;
    this._sends++;
    this._tried.add(candidate.key);
    const ifCurrent = (take: () => void) => {
      if (this._attempt === attempt && !this._isOver) take();
    };
    const call = context.connections.open(
      {
        address: candidate.instance.address,
        method: request.method ?? 'GET',
        path: request.url ?? '/',
        headers: encodeDispatch({
          rawHeaders: request.rawHeaders,
          host: request.headers.host ?? '',
          remainingMs: this._endsAtMs - nowMs,
          instanceId: candidate.instance.id,
          workspace,
          lastEventId: this._lastEventId,
          urgency: this._isStream ? urgency : undefined,
        }),
        body,
        isFresh: !this._isRepeatable(),
      },
      {
        onHead: (head) => {
          ifCurrent(() => {
            this._takeHead(attempt, head);
          });
        },
        onData: (chunk) => {
          ifCurrent(() => {
            this._takeData(attempt, chunk);
          });
        },
        onEnd: () => {
          ifCurrent(() => {
            this._takeEnd(attempt);
          });
        },
        onError: (error) => {
          ifCurrent(() => {
            this._takeError(attempt, error);
          });
        },
      },
    );
    if (this._attempt === attempt) attempt.call = call;
  }

  private _takeHead(attempt: Attempt, head: TargetHead): void {
    attempt.head = head;
    attempt.progressAtMs = this._options.context.clock.monotonic();
    if (head.requestId !== undefined && head.requestId !== this._options.caller.requestId) {
      this._fail(attempt, 'wrong-echo', true);
    } else if (head.isNotRun) {
      this._takeRefusal(attempt, head);
    } else if (!head.isSealed || head.isEncoded) {
      this._fail(attempt, 'not-an-answer', true);
    } else if (head.status >= 500 && this._isRepeatable() && this._canRetry()) {
      this._fail(attempt, 'failed-by-target', true);
    } else if (this._passedEvents > 0 && head.status !== 200) {
      this._fail(attempt, 'failed-by-target', true);
    }
  }

  /** The target says that it has not run the request. */
  private _takeRefusal(attempt: Attempt, head: TargetHead): void {
    const { context } = this._options;
    if (head.faultyInstance !== undefined) {
      context.health.noteSilence(attempt.candidate.key, context.clock.monotonic());
      context.onSilentTarget(attempt.candidate);
    }
    this._fail(attempt, head.status === 421 ? 'misdirected' : 'refused-by-target', false);
  }

  private _takeData(attempt: Attempt, chunk: Buffer): void {
    const { context } = this._options;
    const nowMs = context.clock.monotonic();
    attempt.progressAtMs = nowMs;
    context.health.noteProgress(attempt.candidate.key, nowMs);
    if (!this._isStream || attempt.head?.status !== 200) {
      attempt.kept.push(chunk);
      attempt.keptBytes += chunk.length;
      if (attempt.keptBytes > MAX_KEPT_BYTES) this._fail(attempt, 'answer-too-large', true);
      return;
    }
    const batch = attempt.framer.push(chunk);
    if (!batch) return;
    attempt.load.read();
    attempt.events += batch.events;
    this._notePassed(batch.events, nowMs);
    this._lastEventId = batch.lastId ?? this._lastEventId;
    this._beginStream(attempt.head);
    if (!this._options.response.write(batch.bytes)) {
      attempt.call?.pause();
      this._options.response.once('drain', () => {
        attempt.call?.resume();
      });
    }
  }

  private _notePassed(events: number, nowMs: number): void {
    this._passedEvents += events;
    this._firstEventAtMs ??= nowMs;
    if (this._lastEventAtMs !== undefined) {
      this._longestPauseMs = Math.max(this._longestPauseMs, nowMs - this._lastEventAtMs);
    }
    this._lastEventAtMs = nowMs;
  }

  private _beginStream(head: TargetHead): void {
    if (this._options.response.headersSent) return;
    this._isFramed = head.isFramed;
    this._writeHead(head, []);
  }

  /** Begins an answer with the target's own framing; `length` is sent only where the target tells where it ends. */
  private _writeHead(head: TargetHead, length: readonly string[]): void {
    const { response, context } = this._options;
    const headers = withoutLength(head.passedHeaders);
    if (!head.isFramed) endWithConnection(response);
    const framing = head.isFramed ? [...length, ...context.connectionHeaders()] : CLOSE;
    response.writeHead(head.status, [...headers, ...framing]);
  }

  private _takeEnd(attempt: Attempt): void {
    const { head } = attempt;
    if (!head) {
      this._fail(attempt, 'target-lost', true);
      return;
    }
    if (this._isStream && head.status === 200) {
      this._endStream(attempt, head);
      return;
    }
    const body = Buffer.concat(attempt.kept);
    if (head.length !== undefined && head.length !== body.length && this._options.request.method !== 'HEAD') {
      this._fail(attempt, 'truncated', true);
      return;
    }
    this._noteEnd(attempt, head.status >= 500);
    this._finish(`answered ${head.status}`);
    // What nobody can tell to be whole is not made to look so.
    this._writeHead(head, ['content-length', String(body.length)]);
    this._options.response.end(body);
  }

  private _endStream(attempt: Attempt, head: TargetHead): void {
    const isInDoubt = !head.isFramed && this._options.response.headersSent && this._isFramed;
    if (attempt.framer.pendingBytes > 0 || isInDoubt) {
      this._fail(attempt, 'truncated', true);
      return;
    }
    this._beginStream(head);
    this._noteEnd(attempt, false);
    this._finish('streamed');
    this._options.response.end();
  }

  private _takeError(attempt: Attempt, error: CallError): void {
    this._fail(attempt, error.isUnsent ? 'unsent' : 'target-lost', !error.isUnsent);
  }

  /** The attempt gave no answer to pass on. */
  private _fail(attempt: Attempt, reason: CallOutcomeReason, mayHaveRun: boolean): void {
    if (mayHaveRun) this._mayHaveRun = true;
    const { context } = this._options;
    if (reason === 'unsent') this._sends--;
    const isGroup = attempt.candidate.engine !== undefined;
    if (isGroup && (reason === 'unsent' || reason === 'target-lost')) {
      context.health.noteSilence(attempt.candidate.key, context.clock.monotonic());
    }
    if ((!mayHaveRun || this._isRepeatable()) && this._canRetry()) {
      this._retry(attempt, reason);
      return;
    }
    this._giveUpAfter(attempt, reason);
  }

  /** The last attempt is over, and there is no other. */
  private _giveUpAfter(attempt: Attempt, reason: CallOutcomeReason): void {
    this._endAttempt(attempt, reason);
    this._giveUp(this._mayHaveRun ? 'no-answer' : 'not-run-by-target', NOT_RUN_WAIT_MS);
  }

  private _canRetry(): boolean {
    const { context, route } = this._options;
    const nowMs = context.clock.monotonic();
    return this._sends < route.maxAttempts && nowMs < this._endsAtMs && this._choose().kind === 'chosen';
  }

  private _retry(attempt: Attempt, reason: CallOutcomeReason): void {
    const { context } = this._options;
    if (!context.retries.take(this._service ?? '', context.clock.monotonic())) {
      context.counters.add('monsoonreach_retries_denied_total', { reason });
      if (reason !== 'silent') this._giveUpAfter(attempt, reason);
      return;
    }
    context.counters.add('monsoonreach_retries_total', { reason });
    if (reason === 'silent') this._mayHaveRun = true;
    this._endAttempt(attempt, reason);
    this._dispatch();
  }

  /** Ends the attempt, whatever it still does at its target. */
  private _endAttempt(attempt: Attempt, reason: string): void {
    const { context } = this._options;
    const isFailure = reason !== 'caller-gone' && reason !== 'refused-by-target' && reason !== 'misdirected';
    this._trail.push(`${attempt.candidate.key} ${reason} ${this._elapsedMs(attempt.startedAtMs)}ms`);
    if (isFailure) context.health.noteOutcome(attempt.candidate.key, true, context.clock.monotonic());
    attempt.load.end();
    attempt.call?.cancel();
    if (this._attempt === attempt) this._attempt = undefined;
  }

  private _noteEnd(attempt: Attempt, isFailure: boolean): void {
    const { context } = this._options;
    this._trail.push(`${attempt.candidate.key} done ${this._elapsedMs(attempt.startedAtMs)}ms`);
    context.health.noteOutcome(attempt.candidate.key, isFailure, context.clock.monotonic());
    attempt.load.end();
    this._attempt = undefined;
  }

  /** No target is left: says so truthfully, at once. */
  private _giveUp(reason: FailureReason, retryAfterMs: number): void {
    if (this._options.response.headersSent) this._cut(reason);
    else if (this._mayHaveRun) this._answerFailure(502, reason);
    else this._refuse(reason, retryAfterMs);
  }

  private _refuse(reason: FailureReason, retryAfterMs: number): void {
    const { context, response } = this._options;
    const leftMs = Math.max(0, this._endsAtMs - context.clock.monotonic());
    const waitMs = Math.min(retryAfterMs, leftMs * MAX_RETRY_AFTER_SHARE);
    context.counters.add('monsoonreach_refusals_total', { reason });
    this._finish(`refused ${reason}`);
    context.answerPlainly(response, 503, { reason, run: 'not-run' }, encodeRetryAfter(waitMs));
  }

  private _answerFailure(status: 502 | 504, reason: FailureReason): void {
    const { context, response } = this._options;
    context.counters.add('monsoonreach_failures_total', { reason });
    this._finish(`failed ${status} ${reason}`);
    context.answerPlainly(response, status, { reason, run: 'in-doubt' });
  }

  /** Breaks off an answer that has begun and cannot be completed. */
  private _cut(reason: string): void {
    this._options.context.counters.add('monsoonreach_cuts_total', { reason });
    this._finish(`cut ${reason}`);
    this._options.response.destroy();
  }

  private _timeOut(): void {
    if (this._isOver) return;
    const attempt = this._attempt;
    if (attempt) {
      this._mayHaveRun = true;
      this._endAttempt(attempt, 'timeout');
    }
    if (this._options.response.headersSent) this._cut('timeout');
    else this._answerFailure(504, 'timeout');
  }

  private _leave(): void {
    if (this._attempt) this._endAttempt(this._attempt, 'caller-gone');
    this._options.context.counters.add('monsoonreach_callers_gone_total');
    this._finish('caller gone');
  }

  private _finish(outcome: string): void {
    this._isOver = true;
    clearTimeout(this._timer);
    const { context, caller, route, startedAtMs, workspace } = this._options;
    context.runs.delete(this);
    const ms = this._elapsedMs(startedAtMs);
    context.counters.record('monsoonreach_request_ms', ms);
    context.log.info('request ended', {
      request: caller.requestId,
      route: route.name,
      workspace,
      version: context.configuration()?.version,
      outcome,
      events: this._passedEvents,
      firstMs:
        this._firstEventAtMs === undefined ? undefined : Math.round(this._firstEventAtMs - startedAtMs),
      pauseMs: Math.round(this._longestPauseMs),
      trail: this._trail,
      ms,
    });
  }

  private _elapsedMs(sinceMs: number): number {
    return Math.round(this._options.context.clock.monotonic() - sinceMs);
  }
}

/** Time after which another target may take a request that its target turned away, in milliseconds. */
const NOT_RUN_WAIT_MS = 150;
/** Time after which a place is likely, in milliseconds: a group forms in about 2 s; a batch frees a place in less than 200 ms. */
const NO_TARGET_WAIT_MS = { 'no-target': 1_500, 'all-full': 200, 'all-silent': 700 } as const;

/** Headers of an answer that ends with its connection. */
const CLOSE = ['Connection', 'close'] as const;

/** Makes the end of the connection the only end of the answer. */
function endWithConnection(response: ServerResponse): void {
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
}

function withoutLength(headers: readonly string[]): readonly string[] {
  const kept: string[] = [];
  for (let at = 0; at + 1 < headers.length; at += 2) {
    const name = headers[at] ?? '';
    if (name.toLowerCase() !== 'content-length') kept.push(name, headers[at + 1] ?? '');
  }
  return kept;
}
