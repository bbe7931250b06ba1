import {
  Admission,
  type Configuration,
  engineOf,
  type Outcome,
  Router,
  toFleetShare,
} from '@monsoonreach/core';
import type { CallContext, CompletionAnswer, CompletionRequest } from '@monsoonreach/callers';
import { CompletionRun } from './completionRun.js';
import { type EntryContext, localWorkspaceLimit, refuseStopping } from './entryContext.js';
import { InFlightCalls } from './inFlightCalls.js';

/** Authorizes and admits chat completion requests, and runs them at groups of the model. */
export class Completions {
  private readonly _admissions = new Map<string, Admission>();
  private readonly _inFlight = new InFlightCalls();
  private readonly _router: Router;

  constructor(
    private readonly _context: EntryContext,
    region: string,
  ) {
    const { loads, stragglers } = _context.directory;
    this._router = new Router({ loads, stragglers, random: _context.random, region });
    _context.directory.onLost((group) => {
      this._inFlight.abortGroup(group);
    });
  }

  /** Requests in use and waiting for each workspace, over all models; sent to the peers in the digest. */
  usage(): ReadonlyMap<string, { readonly inUse: number; readonly waiting: number }> {
    const workspaces = Object.keys(this._context.configuration()?.workspace ?? {});
    const admissions = [...this._admissions.values()];
    return new Map(
      workspaces.map((workspace) => {
        const inUse = admissions.reduce((sum, admission) => sum + admission.inUseOf(workspace), 0);
        const waiting = admissions.reduce((sum, admission) => sum + admission.waitingOf(workspace), 0);
        return [workspace, { inUse, waiting }] as const;
      }),
    );
  }

  /** Admits waiting requests; call it when groups may have become available. */
  admitWaiting(): void {
    for (const admission of this._admissions.values()) admission.grantWaiting();
  }

  async complete(request: CompletionRequest, call: CallContext): Promise<Outcome<CompletionAnswer>> {
    const configuration = this._context.configuration();
    const model = configuration?.model[request.model];
    if (!configuration) return call.undispatched.refuse('not-ready');
    if (!model)
      return call.undispatched.refuse('not-found', { detail: `There is no model "${request.model}".` });
    const workspace = configuration.workspace[call.workspace];
    if (!workspace?.models.includes(request.model)) return call.undispatched.refuse('forbidden');
    const run = new CompletionRun({
      context: this._context,
      router: this._router,
      request,
      call,
      model,
      canResume: engineOf(configuration, model).resumes,
      priority: workspace.priority,
      inFlight: this._inFlight,
    });
    if (this._context.suspects.statusOf(run.fingerprint) === 'quarantined') {
      const detail = 'This request has broken the groups that ran it; change it before you send it again.';
      return call.undispatched.refuse('quarantined', { detail });
    }
    if (!this._context.drainWindow.isLongEnough(model.deadline)) return refuseStopping(call.undispatched);
    return this._admit(run, request, call, configuration);
  }

  private async _admit(
    run: CompletionRun,
    request: CompletionRequest,
    call: CallContext,
    configuration: Configuration,
  ): Promise<Outcome<CompletionAnswer>> {
    const admission = this._admissionOf(request.model, configuration);
    const workspace = configuration.workspace[call.workspace];
    const deadlineMs = configuration.model[request.model]?.deadline ?? 0;
    const ownDemand = admission.inUseOf(call.workspace) + admission.waitingOf(call.workspace);
    const admittance = await admission.admit(
      {
        workspace: call.workspace,
        weight: workspace?.weight ?? 1,
        priority: workspace?.priority ?? 0,
        workspaceLimit: localWorkspaceLimit(this._context, call.workspace, ownDemand),
        endsAtMs: this._context.clock.monotonic() + deadlineMs,
      },
      call.signal,
    );
    if (admittance.kind === 'refused') {
      return call.undispatched.refuse(admittance.reason, { retryAfterMs: admittance.retryAfterMs });
    }
    this._context.counters.record('monsoonreach_queue_ms', admittance.waitedMs);
    this._context.retryBudgets.earn(call.workspace);
    return run.run(admittance);
  }

  private _admissionOf(model: string, configuration: Configuration): Admission {
    let admission = this._admissions.get(model);
    if (!admission) {
      admission = new Admission({
        clock: this._context.clock,
        capacity: () => this._capacityOf(model),
        maxPerWorkspace: configuration.limits['queue-per-workspace'],
      });
      this._admissions.set(model, admission);
    }
    return admission;
  }

  /** This entry's share of the concurrency of the model's whole groups, at least 1. */
  private _capacityOf(model: string): number {
    const candidates = this._context.directory.candidates(model);
    const total = candidates.reduce((sum, { concurrency }) => sum + concurrency, 0);
    const admission = this._admissions.get(model);
    const ownDemand = { inUse: admission?.inUse ?? 0, waiting: admission?.waiting ?? 0 };
    const otherDemand = this._context.fleet.membership
      .members()
      .filter(({ role, isLeaving }) => role === 'entry' && !isLeaving)
      .map(({ demand }) => sumDemand(demand));
    return Math.max(1, Math.floor(total * toFleetShare(ownDemand, otherDemand)));
  }
}

function sumDemand(demand: readonly { readonly inUse: number; readonly waiting: number }[]) {
  return demand.reduce(
    (sum, { inUse, waiting }) => ({ inUse: sum.inUse + inUse, waiting: sum.waiting + waiting }),
    { inUse: 0, waiting: 0 },
  );
}
