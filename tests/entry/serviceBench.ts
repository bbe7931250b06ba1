import {
  type Configuration,
  Counters,
  CrashSuspects,
  createRandom,
  RetryBudgets,
  systemClock,
  Undispatched,
} from '@monsoonreach/core';
import {
  type AtMostOnce,
  DrainWindow,
  type EntryContext,
  RequestTraces,
  ServiceCalls,
  ServiceTargets,
} from '@monsoonreach/entry';
import type { TargetClients } from '@monsoonreach/targets';

/** Options of {@link createServiceCalls}. */
export interface ServiceCallsOptions {
  readonly configuration: Configuration;
  readonly targets: TargetClients;
}

/** Creates an entry's calls to plain services; those that may run only once are sent without a claim. */
export function createServiceCalls({ configuration, targets }: ServiceCallsOptions): ServiceCalls {
  const clock = systemClock;
  const random = createRandom(1);
  const context = {
    clock,
    counters: new Counters(),
    random,
    traces: new RequestTraces(clock),
    targets,
    suspects: new CrashSuspects(clock),
    retryBudgets: new RetryBudgets({ share: () => 0 }),
    drainWindow: new DrainWindow(clock),
    configuration: () => configuration,
  } as unknown as EntryContext;
  const once = { run: (prepared, send) => send(prepared.call.undispatched) } as Pick<AtMostOnce, 'run'>;
  const chosen = new ServiceTargets({ clock, random, isLeaving: () => false });
  return new ServiceCalls(context, chosen, once as AtMostOnce);
}

/** Sends one call to service `s`. */
export function callService(calls: ServiceCalls): ReturnType<ServiceCalls['call']> {
  return calls.call(
    {
      service: 's',
      method: 'GET',
      path: '/a',
      contentType: undefined,
      idempotencyKey: undefined,
      body: Buffer.of(),
    },
    {
      requestId: 'id',
      workspace: 'w',
      signal: new AbortController().signal,
      undispatched: new Undispatched(),
    },
  );
}
