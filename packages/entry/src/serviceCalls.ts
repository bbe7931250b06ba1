import {
  type Configuration,
  Deadline,
  Dispatched,
  type Outcome,
  pause,
  retryDelayMs,
  type RetryReason,
  type RouteConfiguration,
  TriedTargets,
  Undispatched,
} from '@monsoonreach/core';
import type { CallContext, ServiceAnswer, ServiceRequest } from '@monsoonreach/callers';
import { isUnsent, readWholeBody, TargetCallError } from '@monsoonreach/targets';
import type { AtMostOnce } from './atMostOnce.js';
import type { PreparedCall } from './preparedCall.js';
import { type EntryContext, refuseStopping, spendRetry } from './entryContext.js';
import type { ServiceTargets } from './serviceTargets.js';

const MAX_ATTEMPTS = 4;
const TARGET_WAIT_MS = 1_000;
const TARGET_POLL_MS = 20;

/** Calls plain services: idempotent routes with retries and hedging, the others at most once. */
export class ServiceCalls {
  constructor(
    private readonly _context: EntryContext,
    private readonly _targets: ServiceTargets,
    private readonly _atMostOnce: AtMostOnce,
  ) {}

  async call(request: ServiceRequest, call: CallContext): Promise<Outcome<ServiceAnswer>> {
    const configuration = this._context.configuration();
    if (!configuration) return call.undispatched.refuse('not-ready');
    const service = configuration.service[request.service];
    const route = findRoute(configuration, request);
    if (!service || !route)
      return call.undispatched.refuse('not-found', { detail: 'No route matches the call.' });
    if (!configuration.workspace[call.workspace]?.services.includes(request.service)) {
      return call.undispatched.refuse('forbidden');
    }
    const prepared = { request, call, service };
    if (!this._isTimeLeft(prepared)) return refuseStopping(call.undispatched);
    this._context.retryBudgets.earn(call.workspace);
    if (route.idempotent) return this._callWithRetries(prepared);
    return this._atMostOnce.run(prepared, (undispatched) => this.callOnce(prepared, undispatched));
  }

  /**
   * Sends the call once. It goes to another target only if it provably was not sent, as after a refused
   * connection. Once a byte may have left, there is no retry, and without an answer the outcome is in doubt.
   */
  async callOnce(prepared: PreparedCall, undispatched: Undispatched): Promise<Outcome<ServiceAnswer>> {
    const tried = new TriedTargets();
    let dispatchState = undispatched;
    for (;;) {
      const target = await this._chooseTarget(prepared, tried);
      if (target === undefined) return dispatchState.refuse('no-target', { retryAfterMs: TARGET_WAIT_MS });
      if (prepared.call.signal.aborted) return dispatchState.refuse('caller-gone');
      if (!this._isTimeLeft(prepared)) return refuseStopping(dispatchState);
      tried.add(target);
      const dispatched = dispatchState.dispatch();
      try {
        return dispatched.answered(await this._send(prepared, target));
      } catch (error) {
        if (!(error instanceof TargetCallError)) throw error;
        this._countFailure(error);
        if (!isUnsent(error)) return dispatched.inDoubt('target-silent', error.message);
        dispatchState = dispatched.provenUnsent(error);
      }
    }
  }

  private async _callWithRetries(prepared: PreparedCall): Promise<Outcome<ServiceAnswer>> {
    const { call, service } = prepared;
    const deadline = Deadline.after(
      service.timeout,
      `service ${prepared.request.service}`,
      this._context.clock,
    );
    const tried = new TriedTargets();
    let dispatchState: Undispatched | Dispatched = call.undispatched;
    for (let attempt = 1; ; attempt++) {
      const target = await this._chooseTarget(prepared, tried);
      if (target === undefined) return giveUp(dispatchState);
      if (dispatchState instanceof Undispatched && !this._isTimeLeft(prepared))
        return refuseStopping(dispatchState);
      tried.add(target);
      const wasUndispatched: boolean = dispatchState instanceof Undispatched;
      const dispatched: Dispatched =
        dispatchState instanceof Undispatched ? dispatchState.dispatch() : dispatchState;
      try {
        const answer = await this._sendHedged(prepared, target, tried);
        deadline.dispose();
        return dispatched.answered(answer);
      } catch (error) {
        if (!(error instanceof TargetCallError)) throw error;
        this._countFailure(error);
        dispatchState = wasUndispatched && isUnsent(error) ? dispatched.provenUnsent(error) : dispatched;
        const isRetryAllowed =
          attempt < MAX_ATTEMPTS && !deadline.isOver() && !call.signal.aborted && this._isTimeLeft(prepared);
        if (!isRetryAllowed || !spendRetry(this._context, call.workspace, toRetryReason(error))) {
          return dispatchState instanceof Undispatched
            ? giveUp(dispatchState)
            : dispatchState.failed(error.reason, error.message);
        }
        await pause(retryDelayMs(attempt, this._context.random), call.signal);
      }
    }
  }

  /** Calls a second target if the first has not answered after `hedge-after`; the first answer wins. */
  private async _sendHedged(
    prepared: PreparedCall,
    target: string,
    tried: TriedTargets,
  ): Promise<ServiceAnswer> {
    const hedgeAfterMs = this._context.configuration()?.limits['hedge-after'];
    const first = this._sendTracked(prepared, target, tried);
    if (hedgeAfterMs === undefined) return first;
    const isSettled = await Promise.race([
      first.then(
        () => true,
        () => true,
      ),
      pause(hedgeAfterMs, prepared.call.signal).then(() => false),
    ]);
    const second = isSettled ? undefined : await this._chooseTarget(prepared, tried);
    if (second === undefined || !this._isTimeLeft(prepared)) return first;
    if (!this._context.retryBudgets.spend(prepared.call.workspace)) return first;
    tried.add(second);
    this._context.counters.add('monsoonreach_hedges_total');
    return Promise.any([first, this._sendTracked(prepared, second, tried)]).catch((error: unknown) => {
      throw error instanceof AggregateError ? findSentFailure(error.errors as readonly Error[]) : error;
    });
  }

  private async _sendTracked(
    prepared: PreparedCall,
    target: string,
    tried: TriedTargets,
  ): Promise<ServiceAnswer> {
    try {
      return await this._send(prepared, target);
    } catch (error) {
      if (error instanceof TargetCallError && isBrokenOff(error)) tried.recordBrokenOff(target);
      throw error;
    }
  }

  /** Whether a call that is sent now ends before this entry, if it stops. */
  private _isTimeLeft({ service }: PreparedCall): boolean {
    return this._context.drainWindow.isLongEnough(service.timeout);
  }

  private async _chooseTarget(prepared: PreparedCall, tried: TriedTargets): Promise<string | undefined> {
    const { service, call } = prepared;
    const { clock } = this._context;
    const endsAtMs = clock.monotonic() + TARGET_WAIT_MS;
    for (;;) {
      const { unusable } = tried;
      const chosen = this._chooseNow(prepared, tried.tried) ?? this._chooseNow(prepared, unusable);
      const isNoneLeft = service.targets.every((target) => unusable.has(target));
      if (chosen !== undefined || isNoneLeft || call.signal.aborted || clock.monotonic() >= endsAtMs)
        return chosen;
      await pause(TARGET_POLL_MS, call.signal);
    }
  }

  private _chooseNow({ service }: PreparedCall, excluded: ReadonlySet<string>): string | undefined {
    return this._targets.choose(service.targets, service['target-concurrency'], excluded);
  }

  private async _send(prepared: PreparedCall, target: string): Promise<ServiceAnswer> {
    const { request, call, service } = prepared;
    const context = this._context;
    const targets = this._targets;
    const startedAtMs = context.clock.monotonic();
    context.counters.add('monsoonreach_dispatches_total', { kind: 'service' });
    context.traces.addStep(call.requestId, `sent to target ${target}`);
    targets.loads.begin(target);
    try {
      const answer = await context.targets.get(target).call({
        method: request.method,
        path: request.path,
        headers: toHeaders(request),
        body: request.body.byteLength > 0 ? request.body : null,
        requestId: call.requestId,
        firstByteTimeoutMs: service.timeout,
        idleTimeoutMs: service.timeout,
        signal: AbortSignal.any([call.signal, AbortSignal.timeout(service.timeout)]),
      });
      const body = await readWholeBody(answer);
      targets.stragglers.record(target, context.clock.monotonic() - startedAtMs);
      const contentType = answer.headers['content-type'];
      return { status: answer.status, contentType, body, isReplayed: false };
    } catch (error) {
      if (error instanceof TargetCallError && error.reason === 'target-timeout') {
        targets.stragglers.record(target, service.timeout);
      }
      throw error;
    } finally {
      targets.loads.end(target);
    }
  }

  private _countFailure(error: TargetCallError): void {
    this._context.counters.add('monsoonreach_attempt_failures_total', { reason: error.reason });
  }
}

function findRoute(configuration: Configuration, request: ServiceRequest): RouteConfiguration | undefined {
  const path = request.path.split('?')[0] ?? '';
  return Object.values(configuration.route).find((route) => {
    if (route.service !== request.service || route.method.toUpperCase() !== request.method) return false;
    if (route.path.endsWith('*')) return path.startsWith(route.path.slice(0, -1));
    return path === route.path;
  });
}

function toHeaders(request: ServiceRequest): Readonly<Record<string, string>> {
  const headers: Record<string, string> = {};
  if (request.contentType !== undefined) headers['content-type'] = request.contentType;
  if (request.idempotencyKey !== undefined) headers['idempotency-key'] = request.idempotencyKey;
  return headers;
}

function toRetryReason(error: TargetCallError): RetryReason {
  if (error.isProvenUnsent) return 'proven-unsent';
  switch (error.reason) {
    case 'target-timeout':
    case 'wrong-echo':
    case 'truncated':
    case 'group-broken':
      return error.reason;
    case 'target-lost':
    case 'target-refused':
    case 'retries-spent':
    case 'caller-gone':
      return 'target-lost';
  }
}

/** Whether a connection broke under a call, which tells nothing of the target. */
function isBrokenOff(error: TargetCallError): boolean {
  return !error.isProvenUnsent && (error.reason === 'target-lost' || error.reason === 'truncated');
}

/** The failure of a call that may have run, if there is one: two hedged calls ran if either of them did. */
function findSentFailure(errors: readonly Error[]): Error | undefined {
  return errors.find((error) => !(error instanceof TargetCallError && isUnsent(error))) ?? errors[0];
}

function giveUp(dispatchState: Undispatched | Dispatched): Outcome<never> {
  if (dispatchState instanceof Dispatched)
    return dispatchState.failed('retries-spent', 'No other target can take the call now.');
  return dispatchState.refuse('no-target', { retryAfterMs: TARGET_WAIT_MS });
}
