import { getIncarnationKey, type TargetCandidate } from '@monsoonreach/core';
import type { ResponseHead } from '@monsoonreach/platform';
import type { ServingContext } from './servingContext.js';

/** Records what a target says of itself in an answer: its limit, that it leaves, and for how long it wants nothing. */
export function recordTargetStatements(
  { availability, clock, limits, log, placement }: ServingContext,
  { key: target, instance }: TargetCandidate,
  { isLeaving, pauseMs, requestsPerS }: ResponseHead,
): void {
  const incarnation = getIncarnationKey(instance);
  if (limits.record(incarnation, { requestsPerS, namedAtMs: clock.monotonic() })) {
    log.info('target limit changed', { target, instance: instance.id, requestsPerS });
    placement.scheduleReport(target);
  }
  if (isLeaving && availability.recordLeaving(incarnation)) {
    log.info('target says that it leaves', { target, instance: instance.id });
  }
  if (pauseMs !== undefined) availability.recordPause(incarnation, pauseMs);
}

/** Incarnations of the instances of a plain service that take no request from this node now. */
export function listUnavailable({ availability, limits }: ServingContext): ReadonlySet<string> {
  return new Set([...availability.listUnavailable(), ...limits.listExhausted('node')]);
}
