import type { RunRecord } from '../platform/instanceStandin.js';
import { EVENTS } from './soakFleet.js';

/** What a caller saw of one request. */
export interface CallRecord {
  readonly id: string;
  readonly node: string;
  readonly kind: 'order' | 'status' | 'stream';
  readonly key: string;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  readonly timeoutMs: number;
  readonly outcome: CallOutcome;
  /** Nothing harmed the node, its links or its target from a while before the request to its end. */
  readonly isCalm: boolean;
  /** The node was told to stop while the request was in progress. */
  readonly isStopping: boolean;
}

/** How a request ended for its caller. */
export type CallOutcome =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly body: string;
      readonly seal: string | undefined;
    }
  | { readonly kind: 'cut'; readonly body: string; readonly hasBegun: boolean };

/** A promise that was not kept. */
export interface Violation {
  readonly promise: PromiseName;
  readonly requestId: string | undefined;
  readonly detail: string;
}

/** The promises that a soak checks. */
export type PromiseName =
  | 'at most once'
  | 'not run is true'
  | 'the whole answer, to its own caller'
  | 'events in order'
  | 'whole groups, one group an instance'
  | 'a key ends'
  | 'a leaving target gets nothing new'
  | 'a stop cuts nothing'
  | 'a failure is answered in time'
  | 'service returns';

const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
/** Time after a key was taken away in which it may still be used, in milliseconds. */
const KEY_BOUND_MS = 5_000;
/** Time after a target said that it leaves in which it may get new work, in milliseconds. */
const LEAVING_BOUND_MS = 2_000;
/** Time by which the end of a request may pass its timeout, in milliseconds. */
const TIMEOUT_SLACK_MS = 500;
/** Time that this process may be late by itself, in milliseconds; it runs everything outside the nodes. */
const OWN_LAG_MS = 500;

/** All that callers and targets saw. */
export interface History {
  readonly calls: readonly CallRecord[];
  readonly runs: readonly RunRecord[];
  /** Faults that the engines saw themselves. */
  readonly engineFaults: readonly string[];
  /** When each key was taken away; wall-clock milliseconds. */
  readonly keysEndedAtMs: ReadonlyMap<string, number>;
  /** When each target said that it leaves; wall-clock milliseconds. */
  readonly leavingSinceMs: ReadonlyMap<string, number>;
}

/** Checks the promises; those with a time bound only where `isTimed`. */
export function checkPromises(history: History, isTimed: boolean): readonly Violation[] {
  const runs = groupRuns(history.runs);
  const violations = [
    ...history.engineFaults.map((detail): Violation => ({
      promise: 'whole groups, one group an instance',
      requestId: undefined,
      detail,
    })),
    ...history.calls.flatMap((call) => checkCall(call, runs.get(call.id) ?? [])),
  ];
  return isTimed ? [...violations, ...checkTimes(history, runs)] : violations;
}

function groupRuns(runs: readonly RunRecord[]): ReadonlyMap<string, readonly RunRecord[]> {
  const grouped = new Map<string, RunRecord[]>();
  for (const run of runs) {
    const known = grouped.get(run.requestId);
    if (known) known.push(run);
    else grouped.set(run.requestId, [run]);
  }
  return grouped;
}

function checkCall(call: CallRecord, runs: readonly RunRecord[]): readonly Violation[] {
  const found: Violation[] = [];
  const add = (promise: PromiseName, detail: string) => found.push({ promise, requestId: call.id, detail });
  if (call.kind === 'order' && runs.length > 1) {
    add('at most once', `ran at ${runs.map(({ instance }) => instance).join(' and ')}`);
  }
  const { outcome } = call;
  if (
    outcome.kind === 'answered' &&
    NOT_RUN_STATUSES.has(outcome.status) &&
    call.kind === 'order' &&
    runs.length > 0
  ) {
    add('not run is true', `answered ${outcome.status}, and ran at ${runs[0]?.instance ?? ''}`);
  }
  if (outcome.kind === 'answered' && outcome.status === 200)
    checkAnswer(call, outcome.body, outcome.seal, add);
  if (call.kind === 'stream') checkEvents(call, add);
  return found;
}

function checkAnswer(
  call: CallRecord,
  body: string,
  seal: string | undefined,
  add: (promise: PromiseName, detail: string) => void,
): void {
  if (seal === undefined) add('the whole answer, to its own caller', 'the answer bears no seal of a target');
  if (call.kind !== 'stream' && body !== `${call.id}:body-of-${call.id}` && body !== `${call.id}:`) {
    add('the whole answer, to its own caller', `the body is ${JSON.stringify(body.slice(0, 60))}`);
  }
}

function checkEvents(call: CallRecord, add: (promise: PromiseName, detail: string) => void): void {
  const { outcome } = call;
  if (outcome.kind === 'answered' && outcome.status !== 200) return;
  const ids = [...outcome.body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
  const firstWrong = ids.findIndex((id, index) => id !== index + 1);
  if (firstWrong >= 0) add('events in order', `event ${firstWrong + 1} bears id ${ids[firstWrong] ?? ''}`);
  if (outcome.kind === 'answered' && ids.length !== EVENTS) {
    add(
      'the whole answer, to its own caller',
      `${ids.length} of ${EVENTS} events, ended like a whole stream`,
    );
  }
}

function checkTimes(
  { calls, keysEndedAtMs, leavingSinceMs }: History,
  runs: ReadonlyMap<string, readonly RunRecord[]>,
): readonly Violation[] {
  const found: Violation[] = [];
  for (const call of calls) {
    if (call.isCalm && call.isStopping && call.outcome.kind === 'cut') {
      const detail = `${call.node} was told to stop; ${call.outcome.hasBegun ? 'the answer had begun' : 'no answer'}`;
      found.push({ promise: 'a stop cuts nothing', requestId: call.id, detail });
    }
    const own = runs.get(call.id) ?? [];
    const endedAtMs = keysEndedAtMs.get(call.key) ?? Infinity;
    if (own.length > 0 && call.sentAtMs > endedAtMs + KEY_BOUND_MS) {
      const detail = `sent ${call.sentAtMs - endedAtMs} ms after its key was taken away, and run`;
      found.push({ promise: 'a key ends', requestId: call.id, detail });
    }
    for (const { instance, atMs } of call.isCalm ? own : []) {
      const sinceMs = leavingSinceMs.get(instance) ?? Infinity;
      if (atMs <= sinceMs + LEAVING_BOUND_MS + OWN_LAG_MS) continue;
      const detail = `reached ${instance} ${atMs - sinceMs} ms after it began to leave`;
      found.push({ promise: 'a leaving target gets nothing new', requestId: call.id, detail });
    }
    const tookMs = call.endedAtMs - call.sentAtMs;
    if (call.isCalm && tookMs > call.timeoutMs + TIMEOUT_SLACK_MS + OWN_LAG_MS) {
      const detail = `ended after ${tookMs} ms; its timeout is ${call.timeoutMs} ms`;
      found.push({ promise: 'a failure is answered in time', requestId: call.id, detail });
    }
  }
  return found;
}
