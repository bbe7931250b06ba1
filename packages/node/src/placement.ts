import type {
  Clock,
  Counters,
  LoadTracker,
  RequestSize,
  TargetCandidate,
  TargetChoice,
} from '@monsoonreach/core';
import type { DecisionLog } from './decisionLog.js';
import type { PlacementRequest, PlacementGrant, PlacementMessage } from './placementMessages.js';

/** Default time to wait for the coordinator's answer, in milliseconds; ten round trips. */
const ANSWER_TIMEOUT_MS = 40;
/** Consecutive missed answers after which the coordinator is suspected; one or two datagrams may be lost. */
const MAX_MISSED_ANSWERS = 3;
/** Time for which a suspected coordinator is not asked, in milliseconds; a restart takes about as long. */
const SUSPICION_MS = 500;
/** Time for which changes of this node's load are collected before they are reported, in milliseconds; one batch step. */
const REPORT_DELAY_MS = 50;
/** Interval at which an unchanged load is reported again, in milliseconds. */
const REPORT_INTERVAL_MS = 1_000;

/** What a target is needed for. */
export interface PlacementCriteria {
  readonly service: string;
  readonly model: string;
  readonly size: RequestSize;
  /** Keys of the targets to which the request was already sent. */
  readonly tried: ReadonlySet<string>;
  /** Whether the request resumes an answer that has already begun. */
  readonly isContinuing: boolean;
}

/** Criteria for a choice among the targets that this node knows. */
export interface LocalPlacementCriteria extends PlacementCriteria {
  /** Failure domain of the node that holds the request. */
  readonly failureDomain: string;
  /** Whether this node knows the current load of all nodes. */
  readonly isExact: boolean;
}

/** Dependencies of {@link Placement}. */
export interface PlacementOptions {
  readonly node: string;
  readonly address: string;
  readonly incarnation: string;
  readonly failureDomain: string;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly log: DecisionLog;
  readonly loads: LoadTracker;
  /** Time to wait for the coordinator's answer before this node chooses locally, in milliseconds; 40 by default. */
  readonly answerTimeoutMs?: number;
  /** Address of the node that assigns targets; `self` if that is this node, undefined if there is none. */
  readonly coordinator: () => 'self' | string | undefined;
  readonly send: (address: string, message: PlacementMessage) => void;
  readonly chooseLocally: (choice: LocalPlacementCriteria) => TargetChoice;
  readonly findCandidate: (criteria: PlacementCriteria, key: string) => TargetCandidate | undefined;
  /** Keys of the targets that this node suspects because they are silent. */
  readonly silentTargets: (criteria: PlacementCriteria) => readonly string[];
}

interface PendingRequest {
  readonly criteria: PlacementCriteria;
  readonly coordinator: string;
  readonly onChoice: (choice: TargetChoice) => void;
  readonly timer: NodeJS.Timeout;
}

/**
 * Assigns requests for engine groups to targets. One node, the planner, is the coordinator: it knows the load of all
 * nodes and answers their requests. A node that gets no answer chooses locally, by the load that its peers gossip.
 */
export class Placement {
  private readonly _pending = new Map<number, PendingRequest>();
  private _lastRequestNumber = 0;
  private _sequence = 0;
  private _missedAnswers = 0;
  private _suspected: { readonly address: string; readonly untilMs: number } | undefined;
  private _reportTimer: NodeJS.Timeout | undefined;
  private _reportedAtMs = -Infinity;

  constructor(private readonly _options: PlacementOptions) {}

  /** Chooses a target and calls `onChoice` exactly once, synchronously or at the latest after the answer timeout. */
  place(criteria: PlacementCriteria, onChoice: (choice: TargetChoice) => void): void {
    const coordinator = this._findCoordinator();
    if (coordinator === undefined || coordinator === 'self') {
      onChoice(this._chooseLocally(criteria, coordinator === 'self'));
      return;
    }
    const requestNumber = ++this._lastRequestNumber;
    const timer = setTimeout(() => {
      this._handleTimeout(requestNumber);
    }, this._options.answerTimeoutMs ?? ANSWER_TIMEOUT_MS);
    this._pending.set(requestNumber, { criteria, coordinator, onChoice, timer });
    this._options.send(coordinator, {
      kind: 'ask',
      ...this._createReport(),
      address: this._options.address,
      failureDomain: this._options.failureDomain,
      service: criteria.service,
      model: criteria.model,
      promptTokens: criteria.size.promptTokens,
      answerTokens: criteria.size.answerTokens,
      isContinuing: criteria.isContinuing,
      avoided: [...criteria.tried, ...this._options.silentTargets(criteria)],
    });
  }

  /** Handles a message of another node. */
  receive(message: PlacementMessage): void {
    switch (message.kind) {
      case 'load':
        this._recordLoad(message);
        return;
      case 'ask':
        this._answerRequest(message);
        return;
      case 'grant':
        this._handleGrant(message);
    }
  }

  /** Schedules a report because this node's own load has changed. */
  scheduleReport(): void {
    this._reportTimer ??= setTimeout(() => {
      this._reportTimer = undefined;
      this._sendReport();
    }, REPORT_DELAY_MS);
  }

  /** Repeats the load report when it is due; to be called periodically. */
  tick(nowMs: number): void {
    if (nowMs - this._reportedAtMs >= REPORT_INTERVAL_MS && this._options.loads.getOwnLoads().size > 0)
      this._sendReport();
  }

  private _findCoordinator(): string | undefined {
    const coordinator = this._options.coordinator();
    const isSuspect =
      coordinator !== undefined &&
      coordinator === this._suspected?.address &&
      this._options.clock.monotonic() < this._suspected.untilMs;
    return isSuspect ? undefined : coordinator;
  }

  private _chooseLocally(criteria: PlacementCriteria, isExact: boolean): TargetChoice {
    const { failureDomain, counters } = this._options;
    counters.add('monsoonreach_placements_total', { by: isExact ? 'coordinator' : 'alone' });
    return this._options.chooseLocally({ ...criteria, failureDomain, isExact });
  }

  private _handleTimeout(requestNumber: number): void {
    const pending = this._pending.get(requestNumber);
    if (!pending) return;
    this._pending.delete(requestNumber);
    const { clock, counters, log } = this._options;
    counters.add('monsoonreach_placements_unanswered_total');
    this._missedAnswers++;
    if (this._missedAnswers >= MAX_MISSED_ANSWERS) {
      this._missedAnswers = 0;
      this._suspected = { address: pending.coordinator, untilMs: clock.monotonic() + SUSPICION_MS };
      log.info('coordinator does not answer; targets are chosen locally', {
        coordinator: pending.coordinator,
        forMs: SUSPICION_MS,
      });
    }
    pending.onChoice(this._chooseLocally(pending.criteria, false));
  }

  private _recordLoad(message: Exclude<PlacementMessage, PlacementGrant>): void {
    const { node, incarnation, sequence, lastAsk, openAsks } = message;
    const loads = new Map(Object.entries(message.loads));
    const reported = { incarnation, sequence, lastAsk, openAsks, loads };
    this._options.loads.recordDirectReport(node, reported, this._options.clock.monotonic());
  }

  private _answerRequest(request: PlacementRequest): void {
    const { loads, chooseLocally, counters, send } = this._options;
    this._recordLoad(request);
    if (this._options.coordinator() !== 'self') return;
    const { service, model, failureDomain, isContinuing } = request;
    const size = { promptTokens: request.promptTokens, answerTokens: request.answerTokens };
    const tried = new Set(request.avoided);
    const choice = chooseLocally({
      service,
      model,
      size,
      tried,
      isContinuing,
      failureDomain,
      isExact: true,
    });
    counters.add('monsoonreach_placements_total', { by: 'peer' });
    switch (choice.kind) {
      case 'chosen': {
        const target = choice.candidate.key;
        loads.recordGrant(request.node, request.lastAsk, target, size);
        send(request.address, {
          kind: 'grant',
          ask: request.lastAsk,
          target,
          predictedMs: choice.predictedMs,
        });
        return;
      }
      case 'none':
        send(request.address, { kind: 'grant', ask: request.lastAsk, reason: choice.reason });
    }
  }

  private _handleGrant(grant: PlacementGrant): void {
    const pending = this._pending.get(grant.ask);
    if (!pending) return;
    this._pending.delete(grant.ask);
    clearTimeout(pending.timer);
    this._missedAnswers = 0;
    this._options.counters.add('monsoonreach_placements_total', { by: 'answer' });
    pending.onChoice(this._toChoice(pending.criteria, grant));
  }

  /**
   * Converts a grant to a choice. `all-full` holds for every node; for any other grant without a target, and for a
   * target that this node does not know yet, a local choice may still find one.
   */
  private _toChoice(
    criteria: PlacementCriteria,
    { target, predictedMs, reason }: PlacementGrant,
  ): TargetChoice {
    if (reason === 'all-full') return { kind: 'none', reason };
    const candidate = target === undefined ? undefined : this._options.findCandidate(criteria, target);
    if (!candidate) return this._chooseLocally(criteria, false);
    return { kind: 'chosen', candidate, predictedMs: predictedMs ?? 0 };
  }

  private _sendReport(): void {
    const coordinator = this._findCoordinator();
    if (coordinator === undefined || coordinator === 'self') return;
    this._options.send(coordinator, { kind: 'load', ...this._createReport() });
  }

  private _createReport() {
    const { node, incarnation, loads, clock } = this._options;
    this._sequence++;
    this._reportedAtMs = clock.monotonic();
    return {
      node,
      incarnation,
      sequence: this._sequence,
      lastAsk: this._lastRequestNumber,
      openAsks: [...this._pending.keys()],
      loads: Object.fromEntries(
        [...loads.getOwnLoads()].map(([key, load]) => [key, [...load] as [number, number, number]]),
      ),
    };
  }
}
