import { readFileSync } from 'node:fs';
import type { CallerLimit } from '@monsoonreach/callers/connections';
import type { Clock, Counters } from '@monsoonreach/core';
import type { DecisionLog } from './decisionLog.js';

/** Descriptors that are kept for files and listeners. */
const RESERVED_DESCRIPTORS = 200;
/** Share of the other descriptors that callers' connections may use; targets, peers and the store use the rest. */
const CALLERS_SHARE = 0.75;
/** Connections that are allowed however few descriptors there are. */
const MIN_CONNECTIONS = 16;
/** Interval at which a limit that is reached is logged, in milliseconds. */
const LOG_INTERVAL_MS = 1_000;

/** Returns the largest number of callers' connections for this number of descriptors. */
export function deriveMaxConnections(descriptors: number): number {
  return Math.max(MIN_CONNECTIONS, Math.floor((descriptors - RESERVED_DESCRIPTORS) * CALLERS_SHARE));
}

/** Descriptors that are assumed where the system names no limit; the fewest that the platform allows. */
const DEFAULT_DESCRIPTORS = 4_100;

/** Descriptors that the system allows this process, at most the default. */
export function readDescriptorLimit(): number {
  try {
    const limits = readFileSync('/proc/self/limits', 'utf8');
    return Math.min(DEFAULT_DESCRIPTORS, Number(/^Max open files\s+(\d+)/m.exec(limits)?.[1] ?? Infinity));
  } catch {
    return DEFAULT_DESCRIPTORS;
  }
}

/** Counts the connections that are ended because of a limit, and logs which limit it was. */
export class CallerLimitReports {
  private readonly _reports = new Map<CallerLimit, { readonly atMs: number; ended: number }>();

  constructor(
    private readonly _clock: Clock,
    private readonly _counters: Counters,
    private readonly _log: DecisionLog,
  ) {}

  report(limit: CallerLimit, fields: Readonly<Record<string, unknown>>): void {
    this._counters.add('monsoonreach_caller_limits_total', { limit });
    const nowMs = this._clock.monotonic();
    const last = this._reports.get(limit);
    if (last && nowMs - last.atMs < LOG_INTERVAL_MS) {
      last.ended++;
      return;
    }
    this._log.warn('limit of callers reached', {
      limit,
      endedSinceLastLine: (last?.ended ?? 0) + 1,
      ...fields,
    });
    this._reports.set(limit, { atMs: nowMs, ended: 0 });
  }
}
