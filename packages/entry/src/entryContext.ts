import {
  type Clock,
  type Configuration,
  type Counters,
  type CrashSuspects,
  type NotRun,
  type Random,
  type RetryBudgets,
  type RetryReason,
  toFleetShare,
  toLocalLimit,
  type Undispatched,
} from '@monsoonreach/core';
import type { FleetNode } from '@monsoonreach/daemon';
import type { TargetClients } from '@monsoonreach/targets';
import type { DrainWindow } from './drainWindow.js';
import type { GroupDirectory } from './groupDirectory.js';
import type { RequestTraces } from './requestTraces.js';

/** Time after which a caller that a stopping entry has refused reaches another one, in milliseconds. */
const STOPPING_RETRY_AFTER_MS = 1_000;

/** Dependencies that the parts of an entry share. */
export interface EntryContext {
  readonly clock: Clock;
  readonly counters: Counters;
  readonly random: Random;
  readonly traces: RequestTraces;
  readonly targets: TargetClients;
  readonly directory: GroupDirectory;
  readonly suspects: CrashSuspects;
  readonly retryBudgets: RetryBudgets;
  readonly fleet: FleetNode;
  readonly drainWindow: DrainWindow;
  readonly configuration: () => Configuration | undefined;
  /** Records that a group broke off a request, by the request's fingerprint. */
  readonly recordRequestLoss: (fingerprint: string, group: string) => void;
}

/** Refuses a request that may not be answered before the entry stops. */
export function refuseStopping(undispatched: Undispatched): NotRun {
  return undispatched.refuse('stopping', {
    detail: 'This entry stops before the request could be answered; send it again over a new connection.',
    retryAfterMs: STOPPING_RETRY_AFTER_MS,
  });
}

/** Takes one retry from the workspace's budget, if there is one; counts it as a retry or as a refused retry. */
export function spendRetry(context: EntryContext, workspace: string, reason: RetryReason): boolean {
  const isAllowed = context.retryBudgets.spend(workspace);
  const name = isAllowed ? 'monsoonreach_retries_total' : 'monsoonreach_retries_refused_total';
  context.counters.add(name, { reason });
  return isAllowed;
}

/** This entry's share of a workspace's fleet-wide concurrency; `ownDemand` counts requests in use and waiting. */
export function localWorkspaceLimit(context: EntryContext, workspace: string, ownDemand: number): number {
  const limit = context.configuration()?.workspace[workspace]?.concurrency ?? 1;
  const otherDemand = context.fleet.membership
    .members()
    .filter(({ role, isLeaving }) => role === 'entry' && !isLeaving)
    .map(({ demand }) => demand.find((use) => use.workspace === workspace) ?? { inUse: 0, waiting: 0 });
  return toLocalLimit(limit, toFleetShare({ inUse: ownDemand, waiting: 0 }, otherDemand));
}
