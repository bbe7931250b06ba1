import type {
  Clock,
  Counters,
  LoadTracker,
  Random,
  RecentTargets,
  RequestSize,
  ShardOwner,
  TargetCandidate,
  TargetChoice,
  TargetLimits,
  TargetLoad,
} from '@monsoonreach/core';
import { chooseOwner, isAllowedTarget, type OwnerOption } from '@monsoonreach/core';
import type { DecisionLog } from './decisionLog.js';
import type {
  AskMessage,
  GrantMessage,
  LimitRows,
  PeerMessage,
  ReportMessage,
  WithoutVersion,
} from './peerMessages.js';

/** Default time to wait for an owner's answer, in milliseconds; ten round trips. */
const ANSWER_TIMEOUT_MS = 40;
/** Consecutive missed answers after which an owner is suspected; one or two datagrams may be lost. */
const MAX_MISSED_ANSWERS = 3;
/** Time for which a suspected owner is not asked, in milliseconds; a restart takes about as long. */
const SUSPICION_MS = 500;
/** Owners that are asked for one request before it is refused. */
const MAX_ASKED_OWNERS = 2;
/** Targets with an idle connection that an ask names. */
const MAX_CONNECTED_TARGETS = 8;
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
  /** Failure domains in which the request may be run; any if undefined. */
  readonly allowedDomains?: ReadonlySet<string> | undefined;
  /** Objective for the first event, in milliseconds; undefined if the node that asks did not state it. */
  readonly firstEventObjectiveMs?: number | undefined;
}

/** Criteria for a choice among the targets that this node knows. */
export interface LocalPlacementCriteria extends PlacementCriteria {
  /** Failure domain of the node that holds the request. */
  readonly failureDomain: string;
  /** Keys of targets to which that node has an idle connection. */
  readonly connected: ReadonlySet<string>;
  /** Whether only targets of this node's shards are considered, whose load it knows; otherwise it guesses. */
  readonly isOwner: boolean;
  /** Whether this node holds the request itself. */
  readonly isOwnRequest: boolean;
}

/** The part of a report that does not concern requests in progress. */
export type Observations = Pick<ReportMessage, 'demand' | 'silent' | 'served' | 'heads'>;

/** Dependencies of {@link Placement}. */
export interface PlacementOptions {
  /** Id of this start of the node. */
  readonly id: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  readonly log: DecisionLog;
  readonly loads: LoadTracker;
  readonly limits: TargetLimits;
  /** Targets that answered that they do not serve what was sent to them; no request is placed there. */
  readonly misdirections: RecentTargets;
  /** Whether the node at the address assigns the requests for this incarnation of an instance. */
  readonly isOwnedBy: (incarnation: string, address: string) => boolean;
  /** Time to wait for an owner's answer before this node chooses locally, in milliseconds; 40 by default. */
  readonly answerTimeoutMs?: number;
  /** Owners of shards with targets for these criteria, and the number of those targets. */
  readonly findOwners: (criteria: PlacementCriteria) => readonly OwnerOption[];
  /** Owner of a target; undefined if the target or its owner is unknown. */
  readonly findOwner: (target: string) => ShardOwner | undefined;
  /** Addresses of all owners. */
  readonly owners: () => ReadonlySet<string>;
  readonly send: (address: string, message: WithoutVersion<PeerMessage>) => void;
  readonly chooseLocally: (criteria: LocalPlacementCriteria) => TargetChoice;
  /** Requests that the targets of this node's shards can still take. */
  readonly countFree: (criteria: PlacementCriteria & Pick<LocalPlacementCriteria, 'isOwnRequest'>) => number;
  readonly findCandidate: (criteria: PlacementCriteria, key: string) => TargetCandidate | undefined;
  /** Keys of the targets that this node suspects because they are silent, or that said that they take nothing from it. */
  readonly avoidedTargets: () => readonly string[];
  /** Keys of the targets to which this node has an idle connection, the latest used first. */
  readonly connectedTargets: () => readonly string[];
  readonly describe: () => Observations;
  readonly onReport: (report: ReportMessage) => void;
  /** Called when an owner has not answered several times. */
  readonly onSuspectedOwner: (address: string) => void;
}

interface PendingRequest {
  readonly criteria: PlacementCriteria;
  readonly owner: string;
  readonly asked: ReadonlySet<string>;
  readonly onChoice: (choice: TargetChoice) => void;
  readonly timer: NodeJS.Timeout;
}

/** What this node knows of an owner from its answers. */
interface KnownOwner {
  missedAnswers: number;
  suspectedUntilMs: number;
  /** Requests that its targets could take, by service, model and failure domains allowed, and when it said so. */
  readonly free: Map<string, { readonly count: number; readonly atMs: number }>;
}

/**
 * Assigns requests for engine groups to targets. The owner of a shard knows the load of all nodes at its targets and
 * answers their requests. A node that gets no answer chooses locally.
 */
export class Placement {
  private readonly _pending = new Map<number, PendingRequest>();
  private readonly _knownOwners = new Map<string, KnownOwner>();
  private _lastRequestNumber = 0;
  private _sequence = 0;
  /** Owners to which a change has to be reported. */
  private readonly _dueReports = new Set<string>();
  private _reportTimer: NodeJS.Timeout | undefined;
  private _reportedAllAtMs = -Infinity;

  constructor(private readonly _options: PlacementOptions) {}

  /** Chooses a target and calls `onChoice` exactly once, synchronously or after at most two answer timeouts. */
  place(criteria: PlacementCriteria, onChoice: (choice: TargetChoice) => void): void {
    this._place(criteria, new Set(), onChoice);
  }

  /** Handles a message of another node. */
  receive(message: ReportMessage | AskMessage | GrantMessage): void {
    switch (message.kind) {
      case 'report':
        this._recordLoad(message);
        this._options.onReport(message);
        return;
      case 'ask':
        this._answerRequest(message);
        return;
      case 'grant':
        this._handleGrant(message);
    }
  }

  /** Schedules a report to the target's owner because this node's load of the target has changed. */
  scheduleReport(target: string): void {
    const owner = this._options.findOwner(target);
    if (!owner || owner.address === this._options.address) return;
    this._dueReports.add(owner.address);
    this._reportTimer ??= setTimeout(() => {
      this._sendDueReports();
    }, REPORT_DELAY_MS);
  }

  /** Records that a target does not serve what was sent to it, and tells its owner, which places the requests of all. */
  recordMisdirection(target: string): void {
    const { misdirections, findOwner, log } = this._options;
    if (!misdirections.record(target)) return;
    log.info('target does not serve what was sent to it', { target });
    const owner = findOwner(target);
    if (owner) this.reportNow(owner.address);
  }

  /** Reports to an owner without delay. */
  reportNow(owner: string): void {
    if (owner !== this._options.address) this._sendReports([owner]);
  }

  /** Repeats the reports to all owners when they are due; to be called periodically. */
  tick(nowMs: number): void {
    if (nowMs - this._reportedAllAtMs < REPORT_INTERVAL_MS) return;
    this._reportedAllAtMs = nowMs;
    this._options.loads.removeExpired(nowMs);
    const owners = this._options.owners();
    for (const address of this._knownOwners.keys()) {
      if (!owners.has(address)) this._knownOwners.delete(address);
    }
    this._sendReports([...owners].filter((owner) => owner !== this._options.address));
  }

  private _place(
    criteria: PlacementCriteria,
    asked: ReadonlySet<string>,
    onChoice: (choice: TargetChoice) => void,
  ): void {
    const owner = this._chooseOwner(criteria, asked);
    if (owner === undefined) {
      onChoice(this._chooseLocally(criteria, false));
      return;
    }
    if (owner === this._options.address) {
      this._finishOrAskAnother(criteria, asked, owner, this._chooseLocally(criteria, true), onChoice);
      return;
    }
    const requestNumber = ++this._lastRequestNumber;
    const timer = setTimeout(() => {
      this._handleTimeout(requestNumber);
    }, this._options.answerTimeoutMs ?? ANSWER_TIMEOUT_MS);
    this._pending.set(requestNumber, { criteria, owner, asked, onChoice, timer });
    this._options.send(owner, {
      kind: 'ask',
      ...this._createLoadFields(owner, this._options.loads.getOwnLoads()),
      failureDomain: this._options.failureDomain,
      service: criteria.service,
      model: criteria.model,
      promptTokens: criteria.size.promptTokens,
      answerTokens: criteria.size.answerTokens,
      isContinuing: criteria.isContinuing,
      firstEventObjectiveMs: criteria.firstEventObjectiveMs,
      avoided: [...this._addMisdirected(criteria.tried), ...this._options.avoidedTargets()],
      connected: this._options.connectedTargets().slice(0, MAX_CONNECTED_TARGETS),
      ...(criteria.allowedDomains && { allowedDomains: [...criteria.allowedDomains] }),
    });
  }

  private _chooseOwner(criteria: PlacementCriteria, asked: ReadonlySet<string>): string | undefined {
    const nowMs = this._options.clock.monotonic();
    const others = this._options.findOwners(criteria).filter(({ address }) => !asked.has(address));
    const options = preferInService(others, asked.size >= MAX_ASKED_OWNERS)
      .filter(({ address }) => !this._isSuspected(address, nowMs))
      .map((option) => ({ ...option, free: this._findFree(option.address, criteria, nowMs) }));
    return chooseOwner(options, this._options.random);
  }

  private _findFree(owner: string, criteria: PlacementCriteria, nowMs: number) {
    if (owner === this._options.address)
      return { count: this._options.countFree({ ...criteria, isOwnRequest: true }), ageMs: 0 };
    const free = this._knownOwners.get(owner)?.free.get(toFreeKey(criteria));
    return free && { count: free.count, ageMs: nowMs - free.atMs };
  }

  private _isSuspected(owner: string, nowMs: number): boolean {
    return nowMs < (this._knownOwners.get(owner)?.suspectedUntilMs ?? 0);
  }

  /** Passes an owner's choice on, or asks another owner if all targets of this one are full. */
  private _finishOrAskAnother(
    criteria: PlacementCriteria,
    asked: ReadonlySet<string>,
    owner: string,
    choice: TargetChoice,
    onChoice: (choice: TargetChoice) => void,
  ): void {
    const askedNow = new Set([...asked, owner]);
    const isAnotherOwner = choice.kind === 'none' && this._hasAnotherOwner(criteria, askedNow);
    if (isAnotherOwner) this._place(criteria, askedNow, onChoice);
    else onChoice(choice);
  }

  /** Whether one more owner is to be asked; at the end one whose targets are all in evacuated failure domains. */
  private _hasAnotherOwner(criteria: PlacementCriteria, asked: ReadonlySet<string>): boolean {
    if (asked.size > MAX_ASKED_OWNERS) return false;
    const others = this._options.findOwners(criteria).filter(({ address }) => !asked.has(address));
    return asked.size < MAX_ASKED_OWNERS
      ? others.length > 0
      : others.some(({ isAvoided }) => isAvoided === true);
  }

  private _chooseLocally(criteria: PlacementCriteria, isOwner: boolean): TargetChoice {
    const { failureDomain, counters } = this._options;
    counters.add('monsoonreach_placements_total', { by: isOwner ? 'owner' : 'alone' });
    const connected = new Set(this._options.connectedTargets());
    return this._options.chooseLocally({
      ...criteria,
      tried: this._addMisdirected(criteria.tried),
      failureDomain,
      connected,
      isOwner,
      isOwnRequest: true,
    });
  }

  private _handleTimeout(requestNumber: number): void {
    const pending = this._pending.get(requestNumber);
    if (!pending) return;
    this._pending.delete(requestNumber);
    const { clock, counters, log } = this._options;
    counters.add('monsoonreach_placements_unanswered_total');
    const known = this._getKnownOwner(pending.owner);
    known.missedAnswers++;
    if (known.missedAnswers >= MAX_MISSED_ANSWERS) {
      known.missedAnswers = 0;
      known.suspectedUntilMs = clock.monotonic() + SUSPICION_MS;
      log.info('owner does not answer; others are asked, or targets are chosen locally', {
        owner: pending.owner,
        forMs: SUSPICION_MS,
      });
      this._options.onSuspectedOwner(pending.owner);
    }
    pending.onChoice(this._chooseLocally(pending.criteria, false));
  }

  private _recordLoad(message: ReportMessage | AskMessage): void {
    const { sender, sequence, lastAsk, openAsks } = message;
    const loads = new Map(Object.entries(message.loads));
    const report = { sequence, lastAsk, openAsks, loads };
    const nowMs = this._options.clock.monotonic();
    this._options.loads.recordReport(sender, report, nowMs);
    for (const [incarnation, [requestsPerS, ageMs]] of Object.entries(message.limits)) {
      const limit = { requestsPerS: requestsPerS ?? undefined, namedAtMs: nowMs - ageMs };
      this._options.limits.record(incarnation, limit);
    }
    for (const [target, ageMs] of Object.entries(message.misdirected))
      this._options.misdirections.record(target, ageMs);
  }

  private _answerRequest(request: AskMessage): void {
    const { loads, chooseLocally, counters, send, countFree, owners, address } = this._options;
    if (!owners().has(address)) return;
    this._recordLoad(request);
    const { service, model, failureDomain, isContinuing, firstEventObjectiveMs } = request;
    const size = { promptTokens: request.promptTokens, answerTokens: request.answerTokens };
    const allowedDomains = request.allowedDomains && new Set(request.allowedDomains);
    const tried = new Set(request.avoided);
    const criteria = { service, model, size, tried, isContinuing, allowedDomains, firstEventObjectiveMs };
    const connected = new Set(request.connected);
    const choice = chooseLocally({
      ...criteria,
      tried: this._addMisdirected(criteria.tried),
      failureDomain,
      connected,
      isOwner: true,
      isOwnRequest: false,
    });
    counters.add('monsoonreach_placements_total', { by: 'peer' });
    const grant = { kind: 'grant' as const, ask: request.lastAsk };
    switch (choice.kind) {
      case 'chosen': {
        const target = choice.candidate.key;
        loads.recordGrant(request.sender, request.lastAsk, target, size);
        const predictedMs = Math.round(choice.predictedMs);
        const free = countFree({ ...criteria, isOwnRequest: false });
        send(request.address, { ...grant, target, predictedMs, free });
        return;
      }
      case 'none':
        // Peers of earlier versions know no other reason; each node finds out itself that it is the evacuation.
        send(request.address, {
          ...grant,
          reason: choice.reason === 'evacuated' ? 'no-target' : choice.reason,
          free: 0,
        });
    }
  }

  private _handleGrant(grant: GrantMessage): void {
    const pending = this._pending.get(grant.ask);
    if (!pending) return;
    this._pending.delete(grant.ask);
    clearTimeout(pending.timer);
    const { criteria, owner, asked, onChoice } = pending;
    const known = this._getKnownOwner(owner);
    known.missedAnswers = 0;
    known.free.set(toFreeKey(criteria), { count: grant.free, atMs: this._options.clock.monotonic() });
    this._options.counters.add('monsoonreach_placements_total', { by: 'answer' });
    if (this._isOutsideHomes(criteria, grant)) {
      this._replaceOutsideGrant(pending, grant);
      return;
    }
    this._finishOrAskAnother(criteria, asked, owner, this._toChoice(criteria, grant), onChoice);
  }

  /** Whether a grant is for a target outside of the failure domains allowed; its owner may be of an earlier version. */
  private _isOutsideHomes(criteria: PlacementCriteria, { target }: GrantMessage): boolean {
    if (criteria.allowedDomains === undefined || target === undefined) return false;
    const candidate = this._options.findCandidate(criteria, target);
    return candidate !== undefined && !isAllowedTarget(candidate, criteria.allowedDomains);
  }

  /** Asks another owner instead of using the grant, or chooses locally if there is none. */
  private _replaceOutsideGrant(
    { criteria, owner, asked, onChoice }: PendingRequest,
    grant: GrantMessage,
  ): void {
    const { counters, log } = this._options;
    counters.add('monsoonreach_grants_outside_homes_total');
    log.warn('owner granted a target outside of the home regions; it is not used', {
      owner,
      target: grant.target,
      allowedDomains: [...(criteria.allowedDomains ?? [])],
    });
    const askedNow = new Set([...asked, owner]);
    if (askedNow.size < MAX_ASKED_OWNERS) this._place(criteria, askedNow, onChoice);
    else onChoice(this._chooseLocally(criteria, false));
  }

  /** Converts a grant to a choice; a target that this node does not know yet counts as none. */
  private _toChoice(
    criteria: PlacementCriteria,
    { target, predictedMs, reason }: GrantMessage,
  ): TargetChoice {
    if (target === undefined) return { kind: 'none', reason: reason ?? 'no-target' };
    const candidate = this._options.findCandidate(criteria, target);
    if (!candidate) return this._chooseLocally(criteria, false);
    return { kind: 'chosen', candidate, predictedMs: predictedMs ?? 0 };
  }

  private _sendDueReports(): void {
    this._reportTimer = undefined;
    const owners = [...this._dueReports];
    this._dueReports.clear();
    this._sendReports(owners);
  }

  private _sendReports(owners: readonly string[]): void {
    if (owners.length === 0) return;
    const loads = this._options.loads.getOwnLoads();
    const observations = this._options.describe();
    for (const owner of owners) {
      this._options.send(owner, {
        kind: 'report',
        ...this._createLoadFields(owner, loads),
        ...observations,
      });
    }
  }

  private _createLoadFields(owner: string, loads: ReadonlyMap<string, TargetLoad>) {
    const { id, address, findOwner } = this._options;
    this._sequence++;
    return {
      sender: id,
      address,
      sequence: this._sequence,
      lastAsk: this._lastRequestNumber,
      openAsks: [...this._pending].flatMap(([number, pending]) => (pending.owner === owner ? [number] : [])),
      loads: Object.fromEntries(
        [...loads].flatMap(([target, load]) =>
          findOwner(target)?.address === owner ? [[target, [...load] as [number, number, number]]] : [],
        ),
      ),
      limits: this._describeLimits(owner),
      misdirected: this._describeMisdirections(owner),
    };
  }

  private _addMisdirected(tried: ReadonlySet<string>): ReadonlySet<string> {
    const misdirected = this._options.misdirections.list();
    return misdirected.size === 0 ? tried : new Set([...tried, ...misdirected]);
  }

  private _describeMisdirections(owner: string): Readonly<Record<string, number>> {
    const { misdirections, findOwner } = this._options;
    return Object.fromEntries(
      [...misdirections.describe()].filter(([target]) => findOwner(target)?.address === owner),
    );
  }

  private _describeLimits(owner: string): LimitRows {
    const { limits, clock, isOwnedBy } = this._options;
    const nowMs = clock.monotonic();
    return Object.fromEntries(
      [...limits.list()]
        .filter(([incarnation]) => isOwnedBy(incarnation, owner))
        .map(([incarnation, { requestsPerS, namedAtMs }]) => [
          incarnation,
          [requestsPerS ?? null, Math.round(nowMs - namedAtMs)],
        ]),
    );
  }

  private _getKnownOwner(address: string): KnownOwner {
    let known = this._knownOwners.get(address);
    if (!known) {
      known = { missedAnswers: 0, suspectedUntilMs: 0, free: new Map() };
      this._knownOwners.set(address, known);
    }
    return known;
  }
}

/** Returns the owners that have targets outside of evacuated failure domains; the others as a last resort, or without any. */
function preferInService(owners: readonly OwnerOption[], isLast: boolean): readonly OwnerOption[] {
  if (isLast) return owners.filter(({ isAvoided }) => isAvoided === true);
  const inService = owners.filter(({ isAvoided }) => isAvoided !== true);
  return inService.length > 0 ? inService : owners;
}

function toFreeKey({ service, model, allowedDomains }: PlacementCriteria): string {
  return allowedDomains === undefined ? `${service}/${model}` : [service, model, ...allowedDomains].join('/');
}
