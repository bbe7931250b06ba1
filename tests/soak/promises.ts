import type { RunRecord } from '../platform/instanceStandin.js';
import { EVENTS_PER_STREAM } from './soakFleet.js';

/** One request as its caller saw it. */
export interface CallRecord {
  readonly id: string;
  readonly node: string;
  readonly kind: 'order' | 'status' | 'stream';
  readonly key: string;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  readonly timeoutMs: number;
  readonly outcome: CallOutcome;
  /** Whether no fault affected the node, its links or a target from a few seconds before the request to its end. */
  readonly isCalm: boolean;
  /** Whether the node was told to stop shortly before the request or while it was in progress. */
  readonly isStopping: boolean;
  /** Whether nothing but planned work happened until the request ended. */
  readonly isPlanned: boolean;
  /** Whether every target served until the request ended. */
  readonly areTargetsSound: boolean;
  /** When connections to all targets were reset while the request was in progress; wall-clock milliseconds. */
  readonly resetsAtMs: readonly number[];
  /** Whether the balancer had the node in rotation. */
  readonly isInRotation: boolean;
  /** Whether the same process, not told to stop, ran at the node from the request to its end. */
  readonly isNodeRunning: boolean;
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

/** A broken promise and the request that shows it. */
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
  | 'planned work cuts nothing'
  | 'one reset fails nothing that may be repeated'
  | 'a failure is answered in time'
  | 'service returns';

const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
/** Time for which a revoked key may still be accepted, in milliseconds. */
const KEY_BOUND_MS = 5_000;
/** Time for which a leaving target may still get new work, in milliseconds. */
const LEAVING_BOUND_MS = 2_000;
/** Time by which a request may exceed its timeout, in milliseconds. */
const TIMEOUT_SLACK_MS = 500;
/** Scheduling delay allowed to this process, in milliseconds; it runs all callers and stand-ins. */
const HARNESS_LAG_MS = 500;

/** What callers and targets recorded during a soak. */
export interface History {
  readonly calls: readonly CallRecord[];
  readonly runs: readonly RunRecord[];
  /** Group conflicts that the engine stand-ins detected. */
  readonly engineFaults: readonly string[];
  /** When each key was revoked; wall-clock milliseconds. */
  readonly keysRevokedAtMs: ReadonlyMap<string, number>;
  /** When each target announced that it leaves; wall-clock milliseconds. */
  readonly leavingSinceMs: ReadonlyMap<string, number>;
  /** Instances that left in planned work and exited while their group had requests, as it was not closed in time. */
  readonly prematureExits: readonly string[];
}

/** Checks the promises; those with a time bound only when `isTimed` is set. */
export function checkPromises(history: History, isTimed: boolean): readonly Violation[] {
  const runs = groupRuns(history.runs);
  const violations = [
    ...history.engineFaults.map((detail): Violation => ({
      promise: 'whole groups, one group an instance',
      requestId: undefined,
      detail,
    })),
    ...history.prematureExits.map((instance): Violation => ({
      promise: 'planned work cuts nothing',
      requestId: undefined,
      detail: `${instance} left, and its group was not closed until it exited`,
    })),
    ...history.calls.flatMap((call) => checkCall(call, runs.get(call.id) ?? [], isTimed)),
  ];
  return isTimed ? [...violations, ...checkTimeBounds(history, runs)] : violations;
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

function checkCall(call: CallRecord, runs: readonly RunRecord[], isTimed: boolean): readonly Violation[] {
  const violations: Violation[] = [];
  const add = (promise: PromiseName, detail: string) =>
    violations.push({ promise, requestId: call.id, detail });
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
  // A request that ran into its timeout is subject to the time bounds.
  const isInTime = call.endedAtMs - call.sentAtMs < call.timeoutMs;
  if (call.isPlanned && isInTime && outcome.kind === 'cut') {
    if (outcome.hasBegun) add('planned work cuts nothing', `${call.node}: the answer was cut`);
    else if (call.isNodeRunning) add('planned work cuts nothing', `${call.node}: no answer arrived`);
  }
  if (call.areTargetsSound && call.kind !== 'order' && isInTime && hasAttemptLeft(call, runs)) {
    const failure = describeFailure(call, isTimed);
    if (failure !== undefined)
      add('one reset fails nothing that may be repeated', `${call.node}: ${failure}`);
  }
  return violations;
}

/** Whether the request ran once at most when its only reset came; a second attempt may start beside a slow first one. */
function hasAttemptLeft({ resetsAtMs }: CallRecord, runs: readonly RunRecord[]): boolean {
  const [resetAtMs = Infinity] = resetsAtMs;
  return resetsAtMs.length <= 1 && runs.filter(({ atMs }) => atMs <= resetAtMs).length <= 1;
}

/** What a request got instead of the answer of a target. Targets that this process delays may seem silent. */
function describeFailure({ outcome, isNodeRunning }: CallRecord, isTimed: boolean): string | undefined {
  if (outcome.kind === 'cut') {
    if (outcome.hasBegun) return 'the answer was cut';
    return isNodeRunning ? 'no answer arrived' : undefined;
  }
  if (outcome.status === 502) return 'answered 502';
  const isRefusedAsSilent = outcome.status === 503 && outcome.body.includes('all-silent');
  return isTimed && isRefusedAsSilent ? 'refused as all targets are silent' : undefined;
}

function checkAnswer(
  call: CallRecord,
  body: string,
  seal: string | undefined,
  add: (promise: PromiseName, detail: string) => void,
): void {
  if (seal === undefined)
    add('the whole answer, to its own caller', 'the answer has no Server-Seal header of a target');
  if (call.kind !== 'stream' && body !== `${call.id}:body-of-${call.id}` && body !== `${call.id}:`) {
    add('the whole answer, to its own caller', `the body is ${JSON.stringify(body.slice(0, 60))}`);
  }
}

function checkEvents(call: CallRecord, add: (promise: PromiseName, detail: string) => void): void {
  const { outcome } = call;
  if (outcome.kind === 'answered' && outcome.status !== 200) return;
  const ids = [...outcome.body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
  const firstWrong = ids.findIndex((id, index) => id !== index + 1);
  if (firstWrong >= 0) add('events in order', `event ${firstWrong + 1} has id ${ids[firstWrong] ?? ''}`);
  if (outcome.kind === 'answered' && ids.length !== EVENTS_PER_STREAM) {
    add(
      'the whole answer, to its own caller',
      `${ids.length} of ${EVENTS_PER_STREAM} events, but the stream ended as if it were complete`,
    );
  }
}

function checkTimeBounds(
  { calls, keysRevokedAtMs: keysEndedAtMs, leavingSinceMs }: History,
  runs: ReadonlyMap<string, readonly RunRecord[]>,
): readonly Violation[] {
  const violations: Violation[] = [];
  for (const call of calls) {
    if (call.isCalm && call.isStopping && call.outcome.kind === 'cut') {
      const detail = `${call.node} was told to stop; ${call.outcome.hasBegun ? 'the answer was cut' : 'no answer arrived'}`;
      violations.push({ promise: 'a stop cuts nothing', requestId: call.id, detail });
    }
    if (call.isPlanned && call.isInRotation && call.outcome.kind === 'cut' && !call.outcome.hasBegun) {
      const detail = `${call.node} was in rotation, but no answer arrived`;
      violations.push({ promise: 'planned work cuts nothing', requestId: call.id, detail });
    }
    const ownRuns = runs.get(call.id) ?? [];
    const endedAtMs = keysEndedAtMs.get(call.key) ?? Infinity;
    if (ownRuns.length > 0 && call.sentAtMs > endedAtMs + KEY_BOUND_MS) {
      const detail = `sent ${call.sentAtMs - endedAtMs} ms after its key was revoked, but was run`;
      violations.push({ promise: 'a key ends', requestId: call.id, detail });
    }
    for (const { instance, atMs } of call.isCalm ? ownRuns : []) {
      const sinceMs = leavingSinceMs.get(instance) ?? Infinity;
      if (atMs <= sinceMs + LEAVING_BOUND_MS + HARNESS_LAG_MS) continue;
      const detail = `reached ${instance} ${atMs - sinceMs} ms after it announced that it leaves`;
      violations.push({ promise: 'a leaving target gets nothing new', requestId: call.id, detail });
    }
    const tookMs = call.endedAtMs - call.sentAtMs;
    if (call.isCalm && tookMs > call.timeoutMs + TIMEOUT_SLACK_MS + HARNESS_LAG_MS) {
      const detail = `ended after ${tookMs} ms; its timeout is ${call.timeoutMs} ms`;
      violations.push({ promise: 'a failure is answered in time', requestId: call.id, detail });
    }
  }
  return violations;
}
