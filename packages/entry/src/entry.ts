import {
  type Clock,
  type ControlBody,
  type ControlRejection,
  CrashSuspects,
  DEFAULT_RETRY_SHARE,
  type EntrySettings,
  isEqualInConstantTime,
  type Outcome,
  parseEntrySettings,
  pause,
  QUARANTINE_MS,
  RetryBudgets,
  sha256,
  systemClock,
} from '@monsoonreach/core';
import {
  type CallContext,
  type CallerHandler,
  CallerServer,
  type CompletionAnswer,
  type CompletionRequest,
  type ServiceAnswer,
  type ServiceRequest,
} from '@monsoonreach/callers';
import { type Daemon, FleetNode, LeasePuller, LiveInstances } from '@monsoonreach/daemon';
import { OperatorsServer } from '@monsoonreach/operators';
import { HttpLiveList, LogWriter } from '@monsoonreach/log';
import { TargetClients } from '@monsoonreach/targets';
import { AtMostOnce } from './atMostOnce.js';
import { Completions } from './completions.js';
import { DrainWindow } from './drainWindow.js';
import type { EntryContext } from './entryContext.js';
import { GroupDirectory } from './groupDirectory.js';
import { RequestTraces } from './requestTraces.js';
import { ServiceCalls } from './serviceCalls.js';
import { ServiceTargets } from './serviceTargets.js';

const DEFAULT_MAX_BODY_BYTES = 1_048_576;
const QUARANTINE_WRITE_TIMEOUT_MS = 60_000;
const DRAIN_POLL_MS = 50;

/** The entry daemon: authenticates callers, and sends their requests to groups and service targets. */
export class Entry implements Daemon, CallerHandler {
  private readonly _clock: Clock = systemClock;
  private readonly _fleet: FleetNode;
  private readonly _live: LiveInstances;
  private readonly _directory: GroupDirectory;
  private readonly _puller: LeasePuller;
  private readonly _suspects: CrashSuspects;
  private readonly _traces: RequestTraces;
  private readonly _drainWindow: DrainWindow;
  private readonly _targets = new TargetClients();
  private readonly _completions: Completions;
  private readonly _services: ServiceCalls;
  private readonly _atMostOnce: AtMostOnce;
  private readonly _callers: CallerServer;
  private readonly _operators: OperatorsServer;
  private readonly _controlWriter: LogWriter<ControlBody, ControlRejection>;

  constructor(private readonly _settings: EntrySettings) {
    const clock = this._clock;
    this._suspects = new CrashSuspects(clock);
    this._traces = new RequestTraces(clock);
    this._drainWindow = new DrainWindow(clock);
    this._fleet = new FleetNode({
      settings: _settings,
      role: 'entry',
      clock,
      describe: () => this._describe(),
      onLearned: () => {
        this._mergeSuspects();
      },
    });
    this._live = new LiveInstances(new HttpLiveList(_settings.platform['live-list']), clock);
    this._directory = this._createDirectory();
    this._puller = this._createPuller();
    const context = this._createContext();
    this._completions = new Completions(context, _settings.node.region);
    this._atMostOnce = new AtMostOnce(context);
    const targets = new ServiceTargets({
      clock,
      random: this._fleet.random,
      isLeaving: (address) => this._isLeaving(address),
    });
    this._services = new ServiceCalls(context, targets, this._atMostOnce);
    this._controlWriter = this._createControlWriter();
    this._callers = new CallerServer({
      address: _settings.callers.address,
      headerTimeoutMs: _settings.callers['header-timeout'],
      requestTimeoutMs: _settings.callers['request-timeout'],
      clock,
      handler: this,
    });
    this._operators = new OperatorsServer({
      address: _settings.node['operators-address'],
      counters: this._fleet.counters,
      isReady: () => this.isReady(),
      getStatus: () => this._status(),
      explain: (subject) => this._traces.explain(subject),
    });
  }

  /** Creates an entry from the text of its settings file; throws a `DocumentError` if it is invalid. */
  static fromSettings(text: string): Entry {
    return new Entry(parseEntrySettings(text));
  }

  async start(): Promise<void> {
    await this._fleet.start();
    this._live.start();
    this._atMostOnce.start();
    this._puller.start();
    await this._operators.listen();
    await this._callers.listen();
    this._fleet.stateLog.info('entry started', { address: this._settings.callers.address });
  }

  /**
   * Reports not ready at once, but still takes requests for `balancer-delay`, until the load balancer has noticed.
   * Then finishes the requests in progress, and aborts those left after `drain-timeout`. A request that might be
   * aborted there is refused instead of sent to a target.
   */
  async drain(): Promise<number> {
    const { callers } = this._settings;
    this._fleet.stateLog.info('entry draining', { inProgress: this._callers.inProgress });
    this._drainWindow.start(callers['balancer-delay'] + callers['drain-timeout']);
    await this._fleet.announceLeaving();
    this._callers.startClosing();
    await pause(callers['balancer-delay']);
    const closed = this._callers.close().then(() => true);
    const isDone = await Promise.race([closed, pause(this._drainWindow.remainingMs()).then(() => false)]);
    const abortedRequests = isDone ? 0 : this._callers.abortRequests();
    await this._waitForOutcomes();
    await this._stop();
    return abortedRequests;
  }

  abortRequests(): number {
    return this._callers.abortRequests();
  }

  logWarning(warning: Error): void {
    this._fleet.logWarning(warning);
  }

  authenticate(token: string): string | undefined {
    if (token === '') return undefined;
    const digest = sha256(token);
    let matched: string | undefined;
    for (const [name, workspace] of Object.entries(this._configuration()?.workspace ?? {})) {
      if (isEqualInConstantTime(workspace['token-sha256'], digest)) matched = name;
    }
    return matched;
  }

  isReady(): boolean {
    return !this._fleet.isLeaving && this._isServing() && this._atMostOnce.isReady();
  }

  maxBodyBytes(): number {
    return this._configuration()?.limits['max-body'] ?? DEFAULT_MAX_BODY_BYTES;
  }

  listModels(workspace: string): readonly string[] {
    return this._configuration()?.workspace[workspace]?.models ?? [];
  }

  async complete(request: CompletionRequest, call: CallContext): Promise<Outcome<CompletionAnswer>> {
    if (!this._isServing()) return this._refuseNotReady(call);
    return this._completions.complete(request, call);
  }

  async callService(request: ServiceRequest, call: CallContext): Promise<Outcome<ServiceAnswer>> {
    if (!this._isServing()) return this._refuseNotReady(call);
    return this._services.call(request, call);
  }

  onEnded(end: {
    readonly requestId: string;
    readonly outcome: Outcome<unknown>;
    readonly durationMs: number;
  }): void {
    const { counters } = this._fleet;
    const { outcome } = end;
    counters.record('monsoonreach_request_ms', end.durationMs);
    counters.add('monsoonreach_requests_total', { outcome: outcome.kind });
    if (outcome.kind === 'answered') return;
    this._traces.addStep(end.requestId, `${outcome.kind}: ${outcome.reason}`);
    counters.add('monsoonreach_refusals_total', { run: outcome.kind, reason: outcome.reason });
  }

  private _configuration() {
    return this._fleet.configurationInForce?.configuration;
  }

  private _isServing(): boolean {
    return this._fleet.freshness().kind === 'fresh' && this._fleet.controlStream.isReady();
  }

  private _refuseNotReady(call: CallContext): Outcome<never> {
    const freshness = this._fleet.freshness();
    const detail = freshness.kind === 'stale' ? freshness.reason : 'The control stream is not read yet.';
    return call.undispatched.refuse('not-ready', { detail, retryAfterMs: 1_000 });
  }

  private _isLeaving(address: string): boolean {
    return this._live.isLeaving(address) || this._fleet.controlStream.state.isDraining(address);
  }

  private _createDirectory(): GroupDirectory {
    const directory = new GroupDirectory({
      clock: this._clock,
      groups: () => this._fleet.controlStream.state,
      configuration: () => this._configuration(),
      isLeaving: (address) => this._isLeaving(address),
      regionOf: () => this._settings.node.region,
    });
    directory.onLost((group) => {
      this._quarantine(this._suspects.recordGroupLoss(group));
    });
    directory.onWhole((group, seenAtMs) => {
      this._suspects.recordWholeGroup(group, seenAtMs);
    });
    return directory;
  }

  private _createPuller(): LeasePuller {
    const { node } = this._settings;
    return new LeasePuller({
      clients: this._fleet.clients,
      clock: this._clock,
      counters: this._fleet.counters,
      self: { id: node['peers-address'], failureDomain: node['failure-domain'] },
      stewards: () => this._fleet.membership.candidates('steward'),
      onAnswer: (querySentAtMs, leases) => {
        this._directory.renewLeases(querySentAtMs, leases);
        this._completions.admitWaiting();
      },
      onTick: () => {
        if (this._directory.tick()) this._fleet.counters.add('monsoonreach_pauses_total');
      },
    });
  }

  private _createContext(): EntryContext {
    return {
      clock: this._clock,
      counters: this._fleet.counters,
      random: this._fleet.random,
      traces: this._traces,
      targets: this._targets,
      directory: this._directory,
      suspects: this._suspects,
      retryBudgets: new RetryBudgets({
        share: () => this._configuration()?.limits['retry-share'] ?? DEFAULT_RETRY_SHARE,
      }),
      fleet: this._fleet,
      drainWindow: this._drainWindow,
      configuration: () => this._configuration(),
      recordRequestLoss: (fingerprint, group) => {
        this._quarantine(this._suspects.recordRequestLoss(fingerprint, group));
      },
    };
  }

  private _createControlWriter(): LogWriter<ControlBody, ControlRejection> {
    const { log, writer, counters, controlStream } = this._fleet;
    const listen = controlStream.subscribe.bind(controlStream);
    return new LogWriter({ stream: 'control', log, writer, clock: this._clock, counters, subscribe: listen });
  }

  private _quarantine(fingerprints: readonly string[]): void {
    if (fingerprints.length === 0) return;
    this._fleet.counters.add('monsoonreach_quarantines_total', {}, fingerprints.length);
    void this._fleet.exchange.exchangeUrgently();
    for (const fingerprint of fingerprints) this._publishQuarantine(fingerprint);
  }

  private _publishQuarantine(fingerprint: string): void {
    const untilMs = this._clock.now() + QUARANTINE_MS;
    const body: ControlBody = { kind: 'quarantine', fingerprint, untilMs };
    void this._controlWriter.write(body, { timeoutMs: QUARANTINE_WRITE_TIMEOUT_MS }).catch(() => {
      this._fleet.counters.add('monsoonreach_quarantine_writes_lost_total');
    });
  }

  private _mergeSuspects(): void {
    for (const { suspects } of this._fleet.membership.members()) {
      for (const suspect of suspects) {
        const [fingerprint = '', strikes = '0'] = suspect.split(':');
        this._suspects.mergeStrikes(fingerprint, Number(strikes));
      }
    }
    for (const [fingerprint, untilMs] of this._fleet.controlStream.state.quarantined()) {
      this._suspects.quarantine(fingerprint, untilMs);
    }
  }

  private _describe() {
    const demand = [...this._completions.usage()]
      .filter(([, { inUse, waiting }]) => inUse + waiting > 0)
      .map(([workspace, use]) => ({ workspace, ...use }));
    const suspects = this._suspects
      .reportableStrikes()
      .map(([fingerprint, strikes]) => `${fingerprint}:${strikes}`);
    return { demand, suspects };
  }

  private _status() {
    const fleet = this._fleet;
    const settings = this._settings;
    const models = Object.keys(this._configuration()?.model ?? {});
    return {
      role: 'entry',
      node: settings.node['peers-address'],
      failureDomain: settings.node['failure-domain'],
      isReady: this.isReady(),
      freshness: fleet.freshness(),
      configuration: fleet.configurationInForce?.position ?? 0,
      inProgress: this._callers.inProgress,
      claimsWaiting: this._atMostOnce.backlog,
      members: fleet.membership
        .members()
        .map(({ node, role, configuration }) => ({ node, role, configuration })),
      servingGroups: Object.fromEntries(
        models.map((model) => [model, this._directory.candidates(model).map(({ id }) => id)]),
      ),
      counters: Object.fromEntries(fleet.counters.counts()),
    };
  }

  /** Waits up to `balancer-delay` for claim outcomes that the log has not confirmed yet. */
  private async _waitForOutcomes(): Promise<void> {
    const endsAtMs = this._clock.monotonic() + this._settings.callers['balancer-delay'];
    while (this._atMostOnce.backlog > 0 && this._clock.monotonic() < endsAtMs) await pause(DRAIN_POLL_MS);
  }

  private async _stop(): Promise<void> {
    await Promise.all([this._puller.stop(), this._live.stop(), this._atMostOnce.stop()]);
    this._controlWriter.close();
    await this._operators.close();
    await this._fleet.stop();
    await this._targets.close();
  }
}
