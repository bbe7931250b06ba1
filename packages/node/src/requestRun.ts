import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  type CallOutcomeReason,
  chooseService,
  chooseTarget,
  EventFramer,
  findAllowedDomains,
  type FinishEstimate,
  getIncarnationKey,
  type Homes,
  isAllowedTarget,
  classifySilence,
  isNextEvent,
  type NoTargetReason,
  predictBusyPauseMs,
  type RequestSize,
  type ServingRoute,
  type TargetCandidate,
  type TargetChoice,
  TriedTargets,
} from '@monsoonreach/core';
import {
  type CallerRequest,
  encodeDispatch,
  encodeRetryAfter,
  type ResponseHead,
} from '@monsoonreach/platform';
import type { BufferedAnswer } from './answerBuffers.js';
import { countColdSkip } from './coldTargets.js';
import { CrashWitness } from './crashWitness.js';
import type { PlacementCriteria } from './placement.js';
import type { ServingContext } from './servingContext.js';
import type { CallError, CallFailure, OpenCall } from './targetConnections.js';
import { listUnavailable, recordTargetStatements } from './targetStatements.js';

/** Largest answer that is buffered before it is forwarded, in bytes; the attempt fails if the answer is larger. */
const MAX_BUFFERED_BYTES = 1_048_576;
/** Largest event of a stream, with the comments before it, in bytes; the attempt fails if one is larger. */
const MAX_EVENT_BYTES = 262_144;
/** Interval at which another target is sought while an attempt is silent, in milliseconds. */
const MOVE_INTERVAL_MS = 200;
/** Targets that crashed under a request, from which on it is sent to no other in the same attempt of its caller. */
const MAX_RETRIED_CRASHES = 2;
/** Largest share of the remaining time that Retry-After may ask for; callers do not honour a longer wait. */
const MAX_RETRY_AFTER_SHARE = 1 / 3;

type ChosenTarget = Extract<TargetChoice, { readonly kind: 'chosen' }>;

/** Reason for refusing a request that was not run. */
export type RefusalReason = NoTargetReason | 'not-run-by-target' | 'quarantined';

/** Reason for the failure of a request that may have been run. */
export type FailureReason = RefusalReason | 'no-answer' | 'timeout' | 'stopping';

/** Why a request is not tried again. */
type RetryObstacle =
  | 'attempts-used'
  | 'timeout'
  | 'quarantined'
  | 'stopping'
  | 'not-repeatable'
  | 'budget-used'
  | NoTargetReason;

/** Why an attempt was given up; `overtaken`: another one went on first. */
type AttemptEnd = CallOutcomeReason | 'caller-gone' | 'overtaken' | 'stopping' | 'timeout';

interface Attempt {
  readonly candidate: TargetCandidate;
  readonly startedAtMs: number;
  readonly predictedMs: number;
  readonly load: { readonly endPrefill: () => void; readonly endRequest: () => void };
  readonly framer: EventFramer;
  /** What is kept of its answer, as the bound on all answers counts it. */
  readonly answer: BufferedAnswer;
  call: OpenCall | undefined;
  head: ResponseHead | undefined;
  headAtMs: number | undefined;
  firstEventAtMs: number | undefined;
  readonly buffered: Buffer[];
  bufferedBytes: number;
  progressAtMs: number;
  events: number;
  /** Whether nothing is read from the target because the caller does not read. */
  isPaused: boolean;
  /** Monotonic time before which no other target is asked for because of silence. */
  movableAtMs: number;
}

/** Dependencies and input of a {@link RequestRun}. */
export interface RequestRunOptions {
  readonly context: ServingContext;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly caller: CallerRequest;
  readonly route: ServingRoute;
  readonly workspace: string | undefined;
  /** Home regions of the workspace, which apply besides those of the route. */
  readonly workspaceHomes?: Homes;
  readonly urgency: number;
  readonly body: Buffer | undefined;
  readonly startedAtMs: number;
}

/** How far a request has come, for the log. */
export interface RunProgress {
  /** Attempts that count against the route's limit. */
  readonly attempts: number;
  /** Time since the request was given to its current target, in milliseconds; undefined without one. */
  readonly attemptMs: number | undefined;
  readonly trail: readonly string[];
  /** Events forwarded to the caller. */
  readonly events: number;
  /** Time since the last of them, in milliseconds. */
  readonly silentMs: number | undefined;
  /** What its last attempt was begun on, if the node was already stopping; times in milliseconds. */
  readonly limitMs: number | undefined;
  readonly predictedMs: number | undefined;
  readonly remainingMs: number | undefined;
}

/** Forwards one request of a caller to targets, until its answer is complete or no attempt is left. */
export class RequestRun {
  private readonly _deadlineMs: number;
  private readonly _timer: NodeJS.Timeout;
  /** By key; those that only broke off their answer get the request again if no other target is left. */
  private readonly _targets = new TriedTargets();
  private readonly _trail: string[] = [];
  private readonly _service: string | undefined;
  /** Failure domains in which the request may be run; undefined without home regions. */
  private readonly _allowedDomains: ReadonlySet<string> | undefined;
  private _attempt: Attempt | undefined;
  /** Attempt at another target while the current one is silent; whichever goes on first is kept. */
  private _successor: Attempt | undefined;
  /** Attempts that count against the route's limit; not those that were not sent, or not to the instance meant. */
  private _attempts = 0;
  /** Whether a target may have run the request. */
  private _mayHaveRun = false;
  private readonly _witness: CrashWitness;
  /** Why the last attempt was begun while the node was stopping. */
  private _estimate: FinishEstimate | undefined;
  private _lastEventId: string | undefined;
  private _forwardedEvents = 0;
  private _firstEventAtMs: number | undefined;
  private _lastEventAtMs: number | undefined;
  private _longestPauseMs = 0;
  /** Keys of targets that must not get the request, as their failure domains are evacuated; undefined if none was chosen. */
  private _excluded: ReadonlySet<string> | undefined;
  private _isFinished = false;
  /** Whether a connection broke, or brought the answer to another request, so that no other idle one is used. */
  private _isConnectionDoubted = false;
  /** Whether the target whose head was forwarded marks the end of its answer. */
  private _isFirstFramed = true;

  constructor(private readonly _options: RequestRunOptions) {
    const { context, caller, request, route, startedAtMs, workspace, workspaceHomes, body } = _options;
    this._deadlineMs = startedAtMs + Math.min(caller.timeoutMs ?? Infinity, route.timeoutMs);
    this._lastEventId = caller.lastEventId;
    this._service = chooseService(route, context.random);
    this._allowedDomains = findAllowedDomains(context.regions, route.homes, workspaceHomes);
    this._witness = new CrashWitness(context, {
      caller,
      path: request.url ?? '/',
      workspace,
      body,
      isStream: this._isStream,
    });
    this._timer = setTimeout(
      () => {
        this._handleTimeout();
      },
      Math.max(0, this._deadlineMs - context.clock.monotonic()),
    );
  }

  start(): void {
    const { context, response } = this._options;
    const quarantineEndMs = this._witness.findQuarantineEndMs();
    if (quarantineEndMs !== undefined) {
      this._refuse('quarantined', quarantineEndMs - context.clock.monotonic());
      return;
    }
    context.runs.add(this);
    response.on('close', () => {
      if (!this._isFinished) this._handleCallerGone();
    });
    if (this._service !== undefined) this._recordArrival(this._service);
    this._dispatch();
  }

  private _recordArrival(service: string): void {
    const { context, caller } = this._options;
    const nowMs = context.clock.monotonic();
    context.retries.recordRequest(service, nowMs);
    const engine = context.configuration()?.services.get(service)?.engine;
    const model = engine?.models.find(({ name }) => name === caller.model);
    if (engine && model) context.demand.recordRequest(engine, model, caller.size, nowMs);
  }

  /** Sends a repeatable request to another target as well when its attempt makes no progress. */
  checkProgress(nowMs: number): void {
    const attempt = this._attempt;
    if (!attempt || attempt.isPaused || !this._isRepeatable()) return;
    if (this._successor && this._isSilent(this._successor, nowMs))
      this._giveUpSilentSuccessor(this._successor);
    if (!this._isSilent(attempt, nowMs) || this._successor) return;
    if (this._canRetry()) this._seekSuccessor(attempt, nowMs);
  }

  /** Whether an attempt makes no progress for too long; suspects its target if that makes none at all. */
  private _isSilent(attempt: Attempt, nowMs: number): boolean {
    const { context, route } = this._options;
    const silence = classifySilence({
      silentMs: nowMs - Math.max(attempt.startedAtMs, attempt.progressAtMs),
      targetSilentMs:
        nowMs - Math.max(attempt.startedAtMs, context.health.getProgressAtMs(attempt.candidate.key)),
      hasBegun: attempt.events > 0,
      predictedMs: attempt.predictedMs,
      pauseObjectiveMs: route.pauseObjectiveMs ?? route.latencyObjectiveMs,
      usualPauseMs: context.health.getUsualPauseMs(attempt.candidate.key),
      isPlainCall: !this._isStream,
    });
    if (silence === 'wait') return false;
    if (silence === 'target-silent' && context.health.recordSilence(attempt.candidate.key, nowMs)) {
      this._logSilence(attempt, {
        reason: 'no-progress',
        silentMs: Math.round(nowMs - Math.max(attempt.startedAtMs, attempt.progressAtMs)),
      });
      context.onSilentTarget(attempt.candidate);
    }
    return true;
  }

  /** Logs what made the target suspect. */
  private _logSilence({ candidate }: Attempt, evidence: Readonly<Record<string, unknown>>): void {
    const { context, caller } = this._options;
    context.log.warn('target silent', { target: candidate.key, request: caller.requestId, ...evidence });
  }

  /** Seeks another target for a silent attempt, which may go on all the same: a sound target may be silent for a second. */
  private _seekSuccessor(attempt: Attempt, nowMs: number): void {
    if (nowMs < attempt.movableAtMs) return;
    attempt.movableAtMs = nowMs + MOVE_INTERVAL_MS;
    const { progressAtMs } = attempt;
    const sendTo = (choice: TargetChoice) => {
      const isSilent = this._attempt === attempt && attempt.progressAtMs === progressAtMs;
      if (this._isFinished || !isSilent || this._successor || choice.kind === 'none') return;
      if (this._isExcluded(choice.candidate)) {
        this._recordExcluded(choice.candidate);
        return;
      }
      if (this._estimateFinish(choice)?.canFinish === false) return;
      if (!this._tryTakeRetry('silent')) return;
      this._mayHaveRun = true;
      this._send(choice.candidate, choice.predictedMs, { role: 'successor' });
    };
    this._place(sendTo);
  }

  /** Makes room for another successor, if there may be one; otherwise either of the silent attempts may still go on. */
  private _giveUpSilentSuccessor(successor: Attempt): void {
    if (this._canRetry()) this._dropSuccessor(successor, 'silent');
  }

  private _dropSuccessor(successor: Attempt, reason: AttemptEnd): void {
    this._successor = undefined;
    if (reason === 'silent') this._recordSilentPause(successor);
    this._abandonAttempt(successor, reason);
  }

  /** Lets the successor take the place of the current attempt, which is given up. */
  private _promoteSuccessor(reason: AttemptEnd): void {
    const { _attempt: attempt, _successor: successor } = this;
    if (attempt && reason === 'silent') this._recordSilentPause(attempt);
    if (attempt) this._abandonAttempt(attempt, reason);
    this._successor = undefined;
    this._attempt = successor;
  }

  /** Keeps the attempt that has gone on, and gives up the other one. */
  private _keep(attempt: Attempt): void {
    if (attempt === this._successor) this._promoteSuccessor('silent');
    else if (this._successor) this._dropSuccessor(this._successor, 'overtaken');
  }

  private _recordSilentPause(attempt: Attempt): void {
    if (attempt.events > 0) this._recordPause(attempt, this._options.context.clock.monotonic(), 0);
  }

  /** Targets that have the request now. */
  listTargets(): readonly TargetCandidate[] {
    return [this._attempt, this._successor].flatMap((attempt) => (attempt ? [attempt.candidate] : []));
  }

  /** Ends all attempts. */
  private _abandonAttempts(reason: AttemptEnd): void {
    for (const attempt of [this._successor, this._attempt])
      if (attempt) this._abandonAttempt(attempt, reason);
    this._successor = undefined;
  }

  /** Whether this run answers with `response`. */
  isAnswering(response: ServerResponse): boolean {
    return this._options.response === response;
  }

  describeProgress(): RunProgress {
    const { _attempt: attempt, _estimate: estimate } = this;
    return {
      attempts: this._attempts,
      attemptMs: attempt && this._elapsedMs(attempt.startedAtMs),
      trail: [
        ...this._trail,
        ...[attempt, this._successor].flatMap((current) => current?.candidate.key ?? []),
      ],
      events: this._forwardedEvents,
      silentMs: this._lastEventAtMs === undefined ? undefined : this._elapsedMs(this._lastEventAtMs),
      limitMs: toLoggedMs(estimate?.limitMs),
      predictedMs: toLoggedMs(estimate?.predictedMs),
      remainingMs: toLoggedMs(estimate?.remainingMs),
    };
  }

  /** Ends the request because the process ends. */
  abandon(): void {
    if (this._isFinished) return;
    if (this._attempt) this._mayHaveRun = true;
    this._abandonAttempts('stopping');
    this._giveUp('stopping', 0);
  }

  private _isRepeatable(): boolean {
    const { kind, isResumable } = this._options.route;
    return kind === 'idempotent' || (kind === 'stream' && isResumable);
  }

  private get _isStream(): boolean {
    return this._options.route.kind === 'stream';
  }

  private _dispatch(): void {
    this._place((choice) => {
      if (!this._isFinished) this._handleChoice(choice);
    });
  }

  /** Chooses a target, asking the coordinator for an engine group. */
  private _place(onChoice: (choice: TargetChoice) => void): void {
    const { placement } = this._options.context;
    const criteria = this._createPlacementCriteria();
    if (!criteria) {
      const choice = this._choose();
      this._countColdSkip(choice);
      onChoice(choice);
      return;
    }
    placement.place(criteria, (choice) => {
      const isOver = choice.kind === 'chosen' || this._isFinished || !this._targets.hasBrokenOff;
      if (isOver) onChoice(choice);
      else placement.place({ ...criteria, tried: this._withExcluded(this._targets.unusable) }, onChoice);
    });
  }

  /** Counts a choice among the targets of a plain service for which cold ones were left out. */
  private _countColdSkip(choice: TargetChoice): void {
    const { counters, limits } = this._options.context;
    const exhausted = limits.listColdExhausted('node');
    if (exhausted.size > 0) countColdSkip(counters, choice, this._findCandidates() ?? [], exhausted);
  }

  private _handleChoice(choice: TargetChoice): void {
    switch (choice.kind) {
      case 'chosen':
        if (this._isExcluded(choice.candidate)) {
          this._replaceExcluded(choice.candidate);
          return;
        }
        this._estimate = this._estimateFinish(choice);
        if (this._estimate?.canFinish === false) {
          this._giveUp('stopping', 0);
          return;
        }
        this._send(choice.candidate, choice.predictedMs);
        return;
      case 'none': {
        const reason = this._explainNone(choice.reason);
        this._trail.push(reason);
        if (reason === 'no-target-in-homes') this._recordNoTargetInHomes();
        this._giveUp(reason, NO_TARGET_RETRY_AFTER_MS[reason]);
      }
    }
  }

  /** An owner does not tell that only targets in evacuated failure domains are left. */
  private _explainNone(reason: NoTargetReason): NoTargetReason {
    if (reason !== 'no-target' || this._options.context.evacuations.isEmpty) return reason;
    const choice = this._choose();
    return choice.kind === 'none' ? choice.reason : reason;
  }

  /** Whether the target must not get the request; the node that has chosen it may not have read the order yet. */
  private _isExcluded(candidate: TargetCandidate): boolean {
    return this._options.context.evacuations.findPhaseOf(candidate) === 'excluded';
  }

  /** Asks for another target, or chooses one itself if it was given an excluded one again. */
  private _replaceExcluded(candidate: TargetCandidate): void {
    const isFirst = this._excluded === undefined;
    this._recordExcluded(candidate);
    if (isFirst) this._dispatch();
    else this._handleChoice(this._choose());
  }

  private _recordExcluded(candidate: TargetCandidate): void {
    this._options.context.counters.add('monsoonreach_evacuation_moves_total');
    const excluded = (this._findCandidates() ?? []).filter((target) => this._isExcluded(target));
    this._excluded = new Set([candidate, ...excluded].map(({ key }) => key));
  }

  private _withExcluded(tried: ReadonlySet<string>): ReadonlySet<string> {
    return this._excluded && !this._options.context.evacuations.isEmpty
      ? new Set([...tried, ...this._excluded])
      : tried;
  }

  private _recordNoTargetInHomes(): void {
    const { context, caller, route, workspace, workspaceHomes } = this._options;
    context.counters.add('monsoonreach_no_target_in_homes_total', { route: route.name });
    context.log.warn('no target in the home regions', {
      request: caller.requestId,
      route: route.name,
      workspace,
      routeHomes: route.homes,
      workspaceHomes,
      allowedDomains: [...(this._allowedDomains ?? [])],
    });
  }

  /** Estimates whether an attempt that begins now ends before the process; undefined if it is to be made in any case. */
  private _estimateFinish(choice?: ChosenTarget): FinishEstimate | undefined {
    const { context, route, caller, startedAtMs } = this._options;
    if (!context.stop.isStopping || this._forwardedEvents > 0) return undefined;
    const request = { route, ...caller, startedAtMs };
    if (!choice) return context.stop.estimate(request);
    const nowMs = context.clock.monotonic();
    const pace = context.pace.getFactor(choice.candidate.key, nowMs, context.stop.paceMargin);
    return context.stop.estimate({ ...request, pace, firstEventMs: choice.predictedMs });
  }

  /** Criteria for an engine group; undefined for a request to a plain service. */
  private _createPlacementCriteria(): PlacementCriteria | undefined {
    const { size, model } = this._options.caller;
    if (!this._isStream || model === undefined || this._service === undefined) return undefined;
    return {
      service: this._service,
      model,
      size,
      tried: this._withExcluded(this._targets.tried),
      isContinuing: this._forwardedEvents > 0,
      allowedDomains: this._allowedDomains,
      firstEventObjectiveMs: this._options.route.latencyObjectiveMs,
    };
  }

  /** Chooses a target by the load that this node knows, without asking the coordinator. */
  private _choose(): TargetChoice {
    const choice = this._chooseUntried(this._targets.tried);
    return choice.kind === 'none' && this._targets.hasBrokenOff
      ? this._chooseUntried(this._targets.unusable)
      : choice;
  }

  /** Model whose groups may take the request; undefined for a request to a plain service. */
  private get _model(): string | undefined {
    return this._isStream ? this._options.caller.model : undefined;
  }

  /** Targets of the request's service, also those that may not take it; undefined if there is no such service. */
  private _findCandidates(): readonly TargetCandidate[] | undefined {
    const { directory, configuration } = this._options.context;
    const current = configuration();
    if (!current || this._service === undefined) return undefined;
    return directory.findCandidates(current, this._service, this._model);
  }

  private _chooseUntried(tried: ReadonlySet<string>): TargetChoice {
    const { context, caller } = this._options;
    const candidates = this._findCandidates();
    if (!candidates) return { kind: 'none', reason: 'no-target' };
    return chooseTarget(candidates, {
      nowMs: context.clock.monotonic(),
      random: context.random,
      health: context.health,
      failureDomain: context.failureDomain,
      size: caller.size,
      tried,
      // The owners of groups know how many requests these still take.
      unavailable:
        this._model === undefined ? listUnavailable(context) : context.availability.listUnavailable(),
      isContinuing: this._forwardedEvents > 0,
      cold: context.limits.listCold(),
      evacuations: context.evacuations,
      allowedDomains: this._allowedDomains,
    });
  }

  private _send(
    candidate: TargetCandidate,
    predictedMs: number,
    { role = 'current' }: { readonly role?: 'current' | 'successor' } = {},
  ): void {
    const { context, request, caller, workspace, urgency, body } = this._options;
    const nowMs = context.clock.monotonic();
    const size: RequestSize = caller.size;
    const attempt: Attempt = {
      candidate,
      startedAtMs: nowMs,
      predictedMs,
      load: context.loads.startRequest(candidate.key, size),
      framer: new EventFramer(),
      answer: {
        onOverflow: () => {
          this._handleFailure(attempt, 'answer-too-large', true);
        },
      },
      call: undefined,
      head: undefined,
      headAtMs: undefined,
      firstEventAtMs: undefined,
      buffered: [],
      bufferedBytes: 0,
      progressAtMs: -Infinity,
      events: 0,
      isPaused: false,
      movableAtMs: -Infinity,
    };
    if (role === 'current') this._attempt = attempt;
    else this._successor = attempt;
    this._attempts++;
    const isRepeated = this._targets.tried.has(candidate.key);
    this._targets.add(candidate.key);
    context.limits.recordRequest(getIncarnationKey(candidate.instance));
    const ifCurrent = (handle: () => void) => {
      if (this._isCurrent(attempt)) handle();
    };
    const call = context.connections.open(
      {
        address: candidate.instance.address,
        method: request.method ?? 'GET',
        path: request.url ?? '/',
        headers: encodeDispatch({
          rawHeaders: request.rawHeaders,
          host: request.headers.host ?? '',
          remainingMs: this._deadlineMs - nowMs,
          instanceId: candidate.instance.id,
          workspace,
          lastEventId: this._lastEventId,
          urgency: this._isStream ? urgency : undefined,
        }),
        body,
        isFresh: isRepeated || this._isConnectionDoubted || caller.requestId === '' || !this._isRepeatable(),
      },
      {
        onHead: (head) => {
          ifCurrent(() => {
            this._handleHead(attempt, head);
          });
        },
        onData: (chunk) => {
          ifCurrent(() => {
            this._handleData(attempt, chunk);
          });
        },
        onEnd: () => {
          ifCurrent(() => {
            this._handleEnd(attempt);
          });
        },
        onError: (error) => {
          ifCurrent(() => {
            this._handleError(attempt, error);
          });
        },
      },
    );
    if (this._isCurrent(attempt)) attempt.call = call;
  }

  private _isCurrent(attempt: Attempt): boolean {
    return !this._isFinished && (this._attempt === attempt || this._successor === attempt);
  }

  private _handleHead(attempt: Attempt, head: ResponseHead): void {
    attempt.head = head;
    attempt.headAtMs = this._options.context.clock.monotonic();
    attempt.progressAtMs = attempt.headAtMs;
    if (!this._isOwnAnswer(attempt, head)) {
      this._isConnectionDoubted = true;
      this._handleFailure(attempt, 'wrong-echo', true);
      return;
    }
    recordTargetStatements(this._options.context, attempt.candidate, head);
    if (head.isNotRun) {
      this._handleRefusal(attempt, head);
    } else if (head.isUnconfirmedRefusal) {
      this._handleFailure(attempt, 'unconfirmed-refusal', true);
    } else if (!head.isSealed || head.isEncoded) {
      this._handleFailure(attempt, 'not-an-answer', true);
    } else if (head.status >= 500 && this._isRepeatable() && this._hasAlternative()) {
      this._handleFailure(attempt, 'failed-by-target', true);
    } else if (this._forwardedEvents > 0 && head.status !== 200) {
      this._handleFailure(attempt, 'failed-by-target', true);
    }
  }

  /** Whether the request may still be answered if an attempt is given up. */
  private _hasAlternative(): boolean {
    return this._successor !== undefined || this._canRetry();
  }

  /** Whether the head answers this request: the id identifies it, and on a new connection nothing else can come. */
  private _isOwnAnswer(attempt: Attempt, { requestId }: ResponseHead): boolean {
    if (requestId === undefined) return attempt.call?.isReused === false;
    return requestId === this._options.caller.requestId;
  }

  /** Handles an answer in which the target states that it has not run the request. */
  private _handleRefusal(attempt: Attempt, head: ResponseHead): void {
    const { context } = this._options;
    const { candidate } = attempt;
    if (head.faultyInstance !== undefined) {
      const isNew = context.health.recordRefusal(candidate.key, context.clock.monotonic());
      const { status, faultyInstance } = head;
      if (isNew) this._logSilence(attempt, { reason: 'refused', status, faultyInstance });
      // A head that is full, closing or no head any more names itself; its group need not be stalled.
      if (isOtherInstance(faultyInstance, candidate.instance)) context.onSilentTarget(candidate);
    }
    if (head.status === 421 && candidate.engine) context.placement.recordMisdirection(candidate.key);
    this._handleFailure(attempt, head.status === 421 ? 'misdirected' : 'refused-by-target', false);
  }

  private _handleData(attempt: Attempt, chunk: Buffer): void {
    const { context } = this._options;
    const nowMs = context.clock.monotonic();
    if (!this._isStream || attempt.head?.status !== 200) {
      this._recordProgress(attempt, nowMs);
      attempt.buffered.push(chunk);
      attempt.bufferedBytes += chunk.length;
      if (attempt.bufferedBytes > MAX_BUFFERED_BYTES) this._handleFailure(attempt, 'answer-too-large', true);
      else context.buffers.record(attempt.answer, attempt.bufferedBytes);
      return;
    }
    const batch = attempt.framer.push(chunk);
    if (!batch) {
      if (attempt.framer.pendingBytes > MAX_EVENT_BYTES)
        this._handleFailure(attempt, 'event-too-large', true);
      else context.buffers.record(attempt.answer, attempt.framer.pendingBytes);
      return;
    }
    context.buffers.release(attempt.answer);
    const isContinuation = this._forwardedEvents > 0 && attempt.events === 0;
    if (isContinuation && !isNextEvent(this._lastEventId, batch.firstId)) {
      this._handleFailure(attempt, 'failed-by-target', true);
      return;
    }
    this._keep(attempt);
    if (attempt.events > 0) this._recordPause(attempt, nowMs, batch.eventCount);
    this._recordProgress(attempt, nowMs);
    attempt.load.endPrefill();
    attempt.events += batch.eventCount;
    attempt.firstEventAtMs ??= nowMs;
    this._witness.recordEvent(attempt, nowMs);
    this._recordForwarded(batch.eventCount, nowMs);
    this._lastEventId = batch.lastId ?? this._lastEventId;
    this._startStream(attempt.head);
    if (!this._options.response.write(batch.bytes)) this._pauseUntilDrained(attempt);
  }

  private _pauseUntilDrained(attempt: Attempt): void {
    attempt.isPaused = true;
    attempt.call?.pause();
    this._options.response.once('drain', () => {
      attempt.isPaused = false;
      attempt.progressAtMs = this._options.context.clock.monotonic();
      attempt.call?.resume();
    });
  }

  private _recordProgress(attempt: Attempt, nowMs: number): void {
    attempt.progressAtMs = nowMs;
    this._options.context.health.recordProgress(attempt.candidate.key, nowMs);
  }

  /** Records the time since the attempt's last event, and how many events ended it. */
  private _recordPause({ candidate, progressAtMs }: Attempt, nowMs: number, eventCount: number): void {
    const { health, pace } = this._options.context;
    const durationMs = nowMs - progressAtMs;
    health.recordPause(candidate.key, durationMs);
    if (!candidate.engine) return;
    const pauseMs = predictBusyPauseMs(candidate.engine.profile, candidate.engine.model);
    pace.record(candidate.key, { durationMs, predictedMs: eventCount * pauseMs }, nowMs);
  }

  private _recordForwarded(events: number, nowMs: number): void {
    this._forwardedEvents += events;
    this._firstEventAtMs ??= nowMs;
    if (this._lastEventAtMs !== undefined) {
      this._longestPauseMs = Math.max(this._longestPauseMs, nowMs - this._lastEventAtMs);
    }
    this._lastEventAtMs = nowMs;
  }

  private _startStream(head: ResponseHead): void {
    if (this._options.response.headersSent) return;
    this._isFirstFramed = head.isFramed;
    this._writeHead(head, undefined);
  }

  /**
   * Writes the head. Whatever the target's framing, the answer has a length or is sent in chunks: the connection of a
   * process that is killed ends regularly, as does an answer without either.
   */
  private _writeHead(head: ResponseHead, length: number | undefined): void {
    const { response, context } = this._options;
    const headers = dropContentLength(head.forwardedHeaders);
    const framing = length === undefined ? [] : ['content-length', String(length)];
    response.writeHead(head.status, [...headers, ...framing, ...context.connectionHeaders(response)]);
  }

  private _handleEnd(attempt: Attempt): void {
    const { head } = attempt;
    if (!head) {
      this._handleFailure(attempt, 'target-lost', true);
      return;
    }
    if (this._isStream && head.status === 200) {
      this._finishStream(attempt, head);
      return;
    }
    const body = Buffer.concat(attempt.buffered);
    const hasBody = this._options.request.method !== 'HEAD' && !BODILESS_STATUSES.has(head.status);
    if (head.contentLength !== undefined && head.contentLength !== body.length && hasBody) {
      this._handleFailure(attempt, 'truncated', true);
      return;
    }
    this._keep(attempt);
    this._completeAttempt(attempt, head.status >= 500);
    this._finish(`answered ${head.status}`);
    this._writeHead(head, hasBody ? body.length : head.contentLength);
    this._options.response.end(body);
  }

  private _finishStream(attempt: Attempt, head: ResponseHead): void {
    const isInDoubt = !head.isFramed && this._options.response.headersSent && this._isFirstFramed;
    if (attempt.framer.isInsideEvent || isInDoubt) {
      this._handleFailure(attempt, 'truncated', true);
      return;
    }
    this._keep(attempt);
    this._startStream(head);
    this._completeAttempt(attempt, false);
    this._finish('streamed');
    this._options.response.end(attempt.framer.takePending());
  }

  private _handleError(attempt: Attempt, error: CallError): void {
    const { context } = this._options;
    if (isConnectionRefused(error)) context.crashes.recordRefusedConnection(attempt.candidate.key);
    const isAllowed =
      !this._witness.isSuspected &&
      !this._isExcluded(attempt.candidate) &&
      this._isStillAllowed(attempt.candidate);
    const canRepeat = error.failure === 'stale' && this._isRepeatable() && isAllowed;
    if (canRepeat && this._tryTakeRetry('stale')) {
      this._witness.recordRepeatedLoss(attempt, 'stale');
      // A request that arrives twice has to be counted twice where a bound on cold targets holds.
      if (context.limits.isBounded(getIncarnationKey(attempt.candidate.instance))) this._placeAgain(attempt);
      else this._sendAgain(attempt);
      return;
    }
    this._handleFailure(attempt, OUTCOMES[error.failure], !error.isUnsent);
  }

  /** Whether the target, of which more members may be known by now, is in the failure domains allowed. */
  private _isStillAllowed(candidate: TargetCandidate): boolean {
    if (this._allowedDomains === undefined) return true;
    const { directory, configuration } = this._options.context;
    const current = configuration();
    const known = current && directory.findCandidate(current, candidate.key);
    return isAllowedTarget(known ?? candidate, this._allowedDomains);
  }

  /** Sends the request to the same target on a new connection; the attempt on the closed one does not count. */
  private _sendAgain(attempt: Attempt): void {
    const { candidate, predictedMs } = attempt;
    this._withdrawStale(attempt);
    const role = attempt === this._successor ? 'successor' : 'current';
    this._send(candidate, predictedMs, { role });
  }

  /** Places the request again, at the same target only if there is no other; the attempt on the closed connection does not count. */
  private _placeAgain(attempt: Attempt): void {
    this._withdrawStale(attempt);
    this._targets.recordBrokenOff(attempt.candidate.key);
    this._isConnectionDoubted = true;
    const successor = attempt === this._successor ? undefined : this._successor;
    if (attempt === this._attempt) this._attempt = successor;
    this._successor = undefined;
    if (!this._attempt) this._dispatch();
  }

  /** Ends an attempt on a closed connection, which does not count against the route's limit. */
  private _withdrawStale(attempt: Attempt): void {
    this._mayHaveRun = true;
    this._trail.push(`${attempt.candidate.key} stale ${this._elapsedMs(attempt.startedAtMs)}ms`);
    this._releaseAttempt(attempt);
    this._attempts--;
  }

  /** Handles an attempt without an answer that can be forwarded: retries, or ends the request. */
  private _handleFailure(attempt: Attempt, reason: CallOutcomeReason, mayHaveRun: boolean): void {
    if (mayHaveRun) this._mayHaveRun = true;
    const { context } = this._options;
    if (UNCOUNTED_ENDS.has(reason)) this._attempts--;
    if (LOSSES.has(reason)) {
      this._targets.recordBrokenOff(attempt.candidate.key);
      this._isConnectionDoubted = true;
    }
    const isGroup = attempt.candidate.engine !== undefined;
    if (isGroup && this._concernsTarget(attempt, reason)) {
      const { health, clock } = context;
      const { key } = attempt.candidate;
      const isNew =
        reason === 'unreachable'
          ? health.recordUnreachable(key, clock.monotonic())
          : health.recordSilence(key, clock.monotonic());
      if (isNew) {
        this._logSilence(attempt, { reason });
        context.onSilentTarget(attempt.candidate);
      }
    }
    const canRetry = (!mayHaveRun || this._isRepeatable()) && this._canRetry();
    const examined = LOSSES.has(reason)
      ? this._witness.examineLoss(attempt, { reason, canRetry })
      : undefined;
    if (attempt === this._successor) this._dropSuccessor(attempt, reason);
    else if (this._successor) this._promoteSuccessor(reason);
    else if (!examined) this._retryOrGiveUp(attempt, reason, mayHaveRun);
    else
      void examined.then(() => {
        if (!this._isCurrent(attempt)) return;
        if (this._successor) this._promoteSuccessor(reason);
        else this._retryOrGiveUp(attempt, reason, mayHaveRun);
      });
  }

  /** Whether a failure tells of the target rather than of one connection to it. */
  private _concernsTarget({ candidate, call, startedAtMs }: Attempt, reason: CallOutcomeReason): boolean {
    if (reason === 'unreachable') return true;
    if (reason !== 'target-lost' && reason !== 'malformed') return false;
    const { clock, health } = this._options.context;
    const isRepeated = health.recordLoss(candidate.key, startedAtMs, clock.monotonic());
    return isRepeated && call?.isReused === false;
  }

  private _retryOrGiveUp(attempt: Attempt, reason: CallOutcomeReason, mayHaveRun: boolean): void {
    const obstacle = mayHaveRun && !this._isRepeatable() ? 'not-repeatable' : this._findRetryObstacle();
    if (obstacle === undefined) this._retry(attempt, reason);
    else this._abandonAndGiveUp(attempt, reason, obstacle);
  }

  /** Ends the last attempt and the request with it. */
  private _abandonAndGiveUp(attempt: Attempt, reason: CallOutcomeReason, obstacle: RetryObstacle): void {
    this._abandonAttempt(attempt, reason);
    this._trail.push(`not retried: ${obstacle}`);
    if (this._mayHaveRun) this._giveUp('no-answer', 0);
    else if (this._estimateFinish()?.canFinish === false) this._giveUp('stopping', 0);
    else this._giveUp('not-run-by-target', NOT_RUN_RETRY_AFTER_MS);
  }

  private _canRetry(): boolean {
    return this._findRetryObstacle() === undefined;
  }

  private _findRetryObstacle(): RetryObstacle | undefined {
    const { context, route } = this._options;
    if (this._attempts >= route.maxAttempts) return 'attempts-used';
    if (context.clock.monotonic() >= this._deadlineMs) return 'timeout';
    const isQuarantined = this._witness.findQuarantineEndMs() !== undefined;
    if (isQuarantined || this._witness.crashCount >= MAX_RETRIED_CRASHES) return 'quarantined';
    if (this._estimateFinish()?.canFinish === false) return 'stopping';
    const choice = this._choose();
    return choice.kind === 'none' ? choice.reason : undefined;
  }

  /** Takes a retry from the budget that all nodes share. */
  private _tryTakeRetry(reason: string): boolean {
    const { context } = this._options;
    const isTaken = context.retries.tryTakeRetry(this._service ?? '', context.clock.monotonic());
    context.counters.add(isTaken ? 'monsoonreach_retries_total' : 'monsoonreach_retries_denied_total', {
      reason,
    });
    return isTaken;
  }

  private _retry(attempt: Attempt, reason: CallOutcomeReason): void {
    // An attempt that was not sent has cost its target nothing.
    if (!UNSENT_ENDS.has(reason) && !this._tryTakeRetry(reason)) {
      this._abandonAndGiveUp(attempt, reason, 'budget-used');
      return;
    }
    this._abandonAttempt(attempt, reason);
    this._dispatch();
  }

  /** Ends the attempt and cancels its call. */
  private _abandonAttempt(attempt: Attempt, reason: AttemptEnd): void {
    const { context } = this._options;
    const isFailure = !BLAMELESS_ENDS.has(reason);
    this._trail.push(`${attempt.candidate.key} ${reason} ${this._elapsedMs(attempt.startedAtMs)}ms`);
    if (isFailure) {
      context.counters.add('monsoonreach_attempt_failures_total', { reason });
      context.health.recordOutcome(attempt.candidate.key, true, context.clock.monotonic());
    }
    this._releaseAttempt(attempt);
    attempt.call?.cancel();
    if (this._attempt === attempt) this._attempt = undefined;
  }

  /** Frees what an attempt that has ended held: its place at the target, and what was kept of its answer. */
  private _releaseAttempt({ load, answer }: Attempt): void {
    load.endRequest();
    this._options.context.buffers.release(answer);
  }

  private _completeAttempt(attempt: Attempt, isFailure: boolean): void {
    const { context } = this._options;
    if (!isFailure) this._witness.recordSurvival(attempt);
    this._trail.push(`${attempt.candidate.key} done ${this._elapsedMs(attempt.startedAtMs)}ms`);
    context.health.recordOutcome(attempt.candidate.key, isFailure, context.clock.monotonic());
    this._releaseAttempt(attempt);
    this._attempt = undefined;
  }

  /** Ends the request because no target is left, and reports to the caller whether it may have been run. */
  private _giveUp(reason: FailureReason, retryAfterMs: number): void {
    if (this._options.response.headersSent) this._breakOff(reason);
    else if (this._mayHaveRun) this._answerFailure(502, reason);
    else this._refuse(reason, retryAfterMs);
  }

  private _refuse(reason: FailureReason, retryAfterMs: number): void {
    const { context, response } = this._options;
    const leftMs = Math.max(0, this._deadlineMs - context.clock.monotonic());
    const waitMs = Math.min(retryAfterMs, leftMs * MAX_RETRY_AFTER_SHARE);
    context.counters.add('monsoonreach_refusals_total', { reason });
    this._finish(`refused ${reason}`);
    context.sendProblem(response, 503, { reason, run: 'not-run' }, encodeRetryAfter(waitMs));
  }

  private _answerFailure(status: 502 | 504, reason: FailureReason): void {
    const { context, response } = this._options;
    context.counters.add('monsoonreach_failures_total', { reason });
    this._finish(`failed ${status} ${reason}`);
    context.sendProblem(response, status, { reason, run: 'in-doubt' });
  }

  /** Closes the connection of an answer that has begun and cannot be completed. */
  private _breakOff(reason: string): void {
    this._options.context.counters.add('monsoonreach_cuts_total', { reason });
    this._finish(`cut ${reason}`);
    const { request, response } = this._options;
    // Callers of HTTP/1.0 read no chunks: the regular close of their connection would mark the answer as complete.
    if (!response.chunkedEncoding) request.socket.resetAndDestroy();
    response.destroy();
  }

  private _handleTimeout(): void {
    if (this._isFinished) return;
    if (this._attempt) this._mayHaveRun = true;
    this._abandonAttempts('timeout');
    if (this._options.response.headersSent) this._breakOff('timeout');
    else this._answerFailure(504, 'timeout');
  }

  private _handleCallerGone(): void {
    this._abandonAttempts('caller-gone');
    this._options.context.counters.add('monsoonreach_callers_gone_total');
    this._finish('caller gone');
  }

  private _finish(outcome: string): void {
    this._isFinished = true;
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
      events: this._forwardedEvents,
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

/** Retry-After for a request that its target has not run, in milliseconds; another target may then accept it. */
const NOT_RUN_RETRY_AFTER_MS = 150;
/** Retry-After by reason, in milliseconds: a group forms in about 2 s; a batch frees a slot in less than 200 ms. */
const NO_TARGET_RETRY_AFTER_MS = {
  'no-target': 1_500,
  'all-full': 200,
  'all-silent': 700,
  evacuated: 1_500,
  'no-target-in-homes': 1_500,
} as const;

/** Ends of an attempt of which no byte was sent. */
const UNSENT_ENDS: ReadonlySet<CallOutcomeReason> = new Set(['unreachable', 'unsent']);
/** Ends of an attempt that do not count against the route's limit: the instance meant got no request. */
const UNCOUNTED_ENDS: ReadonlySet<CallOutcomeReason> = new Set([...UNSENT_ENDS, 'misdirected']);

/** Whether a target's answer names another instance than the target. */
function isOtherInstance(named: string, { id, address }: TargetCandidate['instance']): boolean {
  return named !== address && named !== id;
}

/** Ends of an attempt that do not count against its target. */
const BLAMELESS_ENDS: ReadonlySet<AttemptEnd> = new Set([
  'caller-gone',
  'refused-by-target',
  'misdirected',
  'overtaken',
]);

/** Failures in which the target closed the connection before its answer was complete. */
const LOSSES: ReadonlySet<CallOutcomeReason> = new Set(['target-lost', 'truncated']);

function isConnectionRefused({ failure, cause }: CallError): boolean {
  return failure === 'unreachable' && (cause as NodeJS.ErrnoException | undefined)?.code === 'ECONNREFUSED';
}

/** Rounds a time for the log; JSON cannot represent infinity. */
function toLoggedMs(ms: number | undefined): number | undefined {
  return ms === undefined || !Number.isFinite(ms) ? undefined : Math.round(ms);
}

const OUTCOMES: Readonly<Record<CallFailure, CallOutcomeReason>> = {
  unreachable: 'unreachable',
  unsent: 'unsent',
  stale: 'target-lost',
  broken: 'target-lost',
  malformed: 'malformed',
};

/** Statuses of answers that have no body, whatever their length header says. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

function dropContentLength(headers: readonly string[]): readonly string[] {
  const remaining: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index] ?? '';
    if (name.toLowerCase() !== 'content-length') remaining.push(name, headers[index + 1] ?? '');
  }
  return remaining;
}
