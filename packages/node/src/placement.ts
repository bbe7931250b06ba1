import type {
  Clock,
  Counters,
  LoadBook,
  RequestSize,
  TargetCandidate,
  TargetChoice,
} from '@monsoonreach/core';
import type { DecisionLog } from './decisionLog.js';
import type { PlacementAsk, PlacementGrant, PlacementMessage } from './placementMessages.js';

/** How long an answer is awaited by default, in milliseconds; ten times the way and back. */
const ANSWER_TIMEOUT_MS = 40;
/** Answers in a row that must be missed before a node is doubted; a datagram or two may be lost. */
const DOUBT_AFTER = 3;
/** How long a doubted node is not asked again, in milliseconds; a restart takes about as long. */
const DOUBT_MS = 500;
/** How long changes of this node's own figures are gathered before they are told, in milliseconds; a pass of a batch. */
const TELL_DELAY_MS = 50;
/** How often figures are told without a change, in milliseconds. */
const REPEAT_MS = 1_000;

/** What a request needs a target for. */
export interface PlacementNeed {
  readonly service: string;
  readonly model: string;
  readonly size: RequestSize;
  /** Targets that the request has been to. */
  readonly tried: ReadonlySet<string>;
  /** Whether it goes on with an answer that has begun. */
  readonly isContinuing: boolean;
}

/** How a choice among the targets that this node knows is made. */
export interface LocalChoice extends PlacementNeed {
  /** Where the request is. */
  readonly failureDomain: string;
  /** Whether this node knows what all nodes have in progress at this moment. */
  readonly isExact: boolean;
}

/** What a placement is made of. */
export interface PlacementOptions {
  readonly node: string;
  readonly address: string;
  readonly incarnation: string;
  readonly failureDomain: string;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly log: DecisionLog;
  readonly loads: LoadBook;
  /** How long an answer is awaited before this node chooses by itself, in milliseconds; 40 by default. */
  readonly answerTimeoutMs?: number;
  /** Address of the node that gives places; `self` where this node does. */
  readonly coordinator: () => 'self' | string | undefined;
  readonly send: (address: string, message: PlacementMessage) => void;
  readonly chooseLocally: (choice: LocalChoice) => TargetChoice;
  readonly findCandidate: (need: PlacementNeed, key: string) => TargetCandidate | undefined;
  /** Targets that this node finds silent. */
  readonly silentTargets: (need: PlacementNeed) => readonly string[];
}

interface OpenAsk {
  readonly need: PlacementNeed;
  readonly coordinator: string;
  readonly take: (choice: TargetChoice) => void;
  readonly timer: NodeJS.Timeout;
}

/**
 * Gives requests to engine groups their target. One node, the planner, knows what all have in progress and answers
 * the others; a node that gets no answer chooses by what its peers have spread.
 */
export class Placement {
  private readonly _open = new Map<number, OpenAsk>();
  private _lastAsk = 0;
  private _sequence = 0;
  private _misses = 0;
  private _doubted: { readonly address: string; readonly untilMs: number } | undefined;
  private _tellTimer: NodeJS.Timeout | undefined;
  private _toldAtMs = -Infinity;

  constructor(private readonly _options: PlacementOptions) {}

  /** Chooses a target and calls `take` once, at once or within the time that an answer is awaited. */
  place(need: PlacementNeed, take: (choice: TargetChoice) => void): void {
    const coordinator = this._coordinator();
    if (coordinator === undefined || coordinator === 'self') {
      take(this._chooseHere(need, coordinator === 'self'));
      return;
    }
    const ask = ++this._lastAsk;
    const timer = setTimeout(() => {
      this._giveUp(ask);
    }, this._options.answerTimeoutMs ?? ANSWER_TIMEOUT_MS);
    this._open.set(ask, { need, coordinator, take, timer });
    this._options.send(coordinator, {
      kind: 'ask',
      ...this._describe(),
      address: this._options.address,
      failureDomain: this._options.failureDomain,
      service: need.service,
      model: need.model,
      promptTokens: need.size.promptTokens,
      answerTokens: need.size.answerTokens,
      isContinuing: need.isContinuing,
      avoided: [...need.tried, ...this._options.silentTargets(need)],
    });
  }

  /** Takes a message of another node. */
  receive(message: PlacementMessage): void {
    switch (message.kind) {
      case 'load':
        this._learn(message);
        return;
      case 'ask':
        this._answer(message);
        return;
      case 'grant':
        this._takeGrant(message);
    }
  }

  /** This node's own figures have changed. */
  noteChange(): void {
    this._tellTimer ??= setTimeout(() => {
      this._tellTimer = undefined;
      this._tell();
    }, TELL_DELAY_MS);
  }

  /** Called now and then; repeats the figures. */
  turn(nowMs: number): void {
    if (nowMs - this._toldAtMs >= REPEAT_MS && this._options.loads.own().size > 0) this._tell();
  }

  private _coordinator(): string | undefined {
    const coordinator = this._options.coordinator();
    const isDoubted =
      coordinator !== undefined &&
      coordinator === this._doubted?.address &&
      this._options.clock.monotonic() < this._doubted.untilMs;
    return isDoubted ? undefined : coordinator;
  }

  private _chooseHere(need: PlacementNeed, isExact: boolean): TargetChoice {
    const { failureDomain, counters } = this._options;
    counters.add('monsoonreach_placements_total', { by: isExact ? 'coordinator' : 'alone' });
    return this._options.chooseLocally({ ...need, failureDomain, isExact });
  }

  private _giveUp(ask: number): void {
    const open = this._open.get(ask);
    if (!open) return;
    this._open.delete(ask);
    const { clock, counters, log } = this._options;
    counters.add('monsoonreach_placements_unanswered_total');
    this._misses++;
    if (this._misses >= DOUBT_AFTER) {
      this._misses = 0;
      this._doubted = { address: open.coordinator, untilMs: clock.monotonic() + DOUBT_MS };
      log.info('places are chosen alone', { coordinator: open.coordinator, forMs: DOUBT_MS });
    }
    open.take(this._chooseHere(open.need, false));
  }

  private _learn(message: Exclude<PlacementMessage, PlacementGrant>): void {
    const { node, incarnation, sequence, lastAsk, openAsks } = message;
    const loads = new Map(Object.entries(message.loads));
    const told = { incarnation, sequence, lastAsk, openAsks, loads };
    this._options.loads.learnTold(node, told, this._options.clock.monotonic());
  }

  private _answer(ask: PlacementAsk): void {
    const { loads, chooseLocally, counters, send } = this._options;
    this._learn(ask);
    if (this._options.coordinator() !== 'self') return;
    const { service, model, failureDomain, isContinuing } = ask;
    const size = { promptTokens: ask.promptTokens, answerTokens: ask.answerTokens };
    const tried = new Set(ask.avoided);
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
        loads.grant(ask.node, ask.lastAsk, target, size);
        send(ask.address, { kind: 'grant', ask: ask.lastAsk, target, predictedMs: choice.predictedMs });
        return;
      }
      case 'none':
        send(ask.address, { kind: 'grant', ask: ask.lastAsk, reason: choice.reason });
    }
  }

  private _takeGrant(grant: PlacementGrant): void {
    const open = this._open.get(grant.ask);
    if (!open) return;
    this._open.delete(grant.ask);
    clearTimeout(open.timer);
    this._misses = 0;
    this._options.counters.add('monsoonreach_placements_total', { by: 'answer' });
    open.take(this._toChoice(open.need, grant));
  }

  /** What is full is full for all; a target that is not known here yet, or a lack of any, may look different here. */
  private _toChoice(need: PlacementNeed, { target, predictedMs, reason }: PlacementGrant): TargetChoice {
    if (reason === 'all-full') return { kind: 'none', reason };
    const candidate = target === undefined ? undefined : this._options.findCandidate(need, target);
    if (!candidate) return this._chooseHere(need, false);
    return { kind: 'chosen', candidate, predictedMs: predictedMs ?? 0 };
  }

  private _tell(): void {
    const coordinator = this._coordinator();
    if (coordinator === undefined || coordinator === 'self') return;
    this._options.send(coordinator, { kind: 'load', ...this._describe() });
  }

  private _describe() {
    const { node, incarnation, loads, clock } = this._options;
    this._sequence++;
    this._toldAtMs = clock.monotonic();
    return {
      node,
      incarnation,
      sequence: this._sequence,
      lastAsk: this._lastAsk,
      openAsks: [...this._open.keys()],
      loads: Object.fromEntries(
        [...loads.own()].map(([key, load]) => [key, [...load] as [number, number, number]]),
      ),
    };
  }
}
