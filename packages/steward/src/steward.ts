import {
  type Candidate,
  type ClaimBody,
  type ClaimRejection,
  type Claims,
  type Clock,
  type ControlBody,
  type ControlRejection,
  CLAIM_SHARDS,
  claimsDefinition,
  type Group,
  parseStewardSettings,
  type StewardSettings,
  systemClock,
  toClaimsStream,
} from '@monsoonreach/core';
import { type Daemon, FleetNode, LeasePuller, LiveInstances } from '@monsoonreach/daemon';
import { OperatorsServer } from '@monsoonreach/operators';
import { LeaseService } from '@monsoonreach/peers';
import { HttpLiveList, LogWriter, StreamFollower } from '@monsoonreach/log';
import { type CheckpointedStream, CheckpointWriter } from './checkpointWriter.js';
import { GroupPlanner } from './groupPlanner.js';
import { type ObservationBasis, Prober } from './prober.js';
import { Watcher } from './watcher.js';

type ClaimsFollower = StreamFollower<ClaimBody, ClaimRejection, Claims>;

/** The steward daemon: watches groups, plans fabric domains and writes checkpoints. */
export class Steward implements Daemon {
  private readonly _clock: Clock = systemClock;
  private readonly _fleet: FleetNode;
  private readonly _live: LiveInstances;
  private readonly _prober: Prober;
  private readonly _watcher: Watcher;
  private readonly _planner: GroupPlanner;
  private readonly _checkpointWriter: CheckpointWriter;
  private readonly _puller: LeasePuller;
  private readonly _operators: OperatorsServer;
  private readonly _controlWriter: LogWriter<ControlBody, ControlRejection>;
  private readonly _claims: ReadonlyMap<string, ClaimsFollower>;
  /** When the latest lease that a steward reported for each group ends. */
  private readonly _wholeUntilMs = new Map<string, number>();
  private readonly _self: Candidate;

  constructor(private readonly _settings: StewardSettings) {
    const { node, platform } = _settings;
    this._self = { id: node['peers-address'], failureDomain: node['failure-domain'] };
    this._fleet = this._createFleet();
    this._live = new LiveInstances(new HttpLiveList(platform['live-list']), this._clock);
    this._prober = new Prober({
      clock: this._clock,
      probeIntervals: () => this._probeTargets(),
      findBasis: (address) => this._findBasis(address),
    });
    this._watcher = this._createWatcher();
    this._controlWriter = this._createControlWriter();
    this._planner = this._createPlanner();
    this._claims = this._createClaimFollowers();
    this._checkpointWriter = this._createCheckpointWriter();
    this._puller = this._createPuller();
    this._operators = new OperatorsServer({
      address: node['operators-address'],
      counters: this._fleet.counters,
      isReady: () => this._fleet.controlStream.isReady(),
      getStatus: () => this._status(),
      explain: (subject) => this._explain(subject),
    });
  }

  /** Creates a steward from the text of its settings file; throws a `DocumentError` if it is invalid. */
  static fromSettings(text: string): Steward {
    return new Steward(parseStewardSettings(text));
  }

  async start(): Promise<void> {
    await this._fleet.start();
    this._live.start();
    this._prober.start();
    for (const follower of this._claims.values()) follower.start();
    if (this._settings.planning.enabled) this._planner.start();
    this._checkpointWriter.start();
    this._puller.start();
    await this._operators.listen();
    this._fleet.stateLog.info('steward started', { address: this._self.id });
  }

  async drain(): Promise<number> {
    await this._fleet.announceLeaving();
    await Promise.all([this._planner.stop(), this._checkpointWriter.stop(), this._puller.stop()]);
    this._controlWriter.close();
    await Promise.all([...this._claims.values()].map((follower) => follower.stop()));
    await Promise.all([this._prober.stop(), this._live.stop(), this._operators.close()]);
    await this._fleet.stop();
    return 0;
  }

  abortRequests(): number {
    return 0;
  }

  logWarning(warning: Error): void {
    this._fleet.logWarning(warning);
  }

  private _groups() {
    return this._fleet.controlStream.state;
  }

  private _findBasis(address: string): ObservationBasis {
    const groups = this._groups();
    return {
      position: groups.findInstance(address)?.position ?? 0,
      openIntents: groups.intentsOf(address).map(({ position }) => position),
    };
  }

  private _stewards(): readonly Candidate[] {
    return this._fleet.membership.candidates('steward');
  }

  private _createFleet(): FleetNode {
    return new FleetNode({
      settings: this._settings,
      role: 'steward',
      clock: this._clock,
      describe: () => ({ demand: [], suspects: [] }),
      routes: (router) => {
        router.service(LeaseService, {
          leases: ({ unanswering }) => {
            this._watcher.recordUnresponsive(unanswering);
            const groups = this._watcher.report().map((watched) => ({
              ...watched,
              epoch: BigInt(watched.epoch),
              missing: [...watched.missing],
            }));
            return { steward: this._self.id, groups };
          },
        });
      },
    });
  }

  private _createWatcher(): Watcher {
    return new Watcher({
      clock: this._clock,
      self: this._self,
      stewards: () => this._stewards(),
      groups: () => this._groups(),
      findObservation: (address) => this._prober.findObservation(address),
      isLeaving: (address) => this._isLeaving(address),
      failureDomainOf: (address) => this._live.instances.get(address)?.failureDomain,
    });
  }

  private _isLeaving(address: string): boolean {
    const isReportedByEngine = this._prober.findObservation(address)?.status?.leaving === true;
    return isReportedByEngine || this._live.isLeaving(address) || this._groups().isDraining(address);
  }

  private _createControlWriter(): LogWriter<ControlBody, ControlRejection> {
    const { log, writer, counters, controlStream } = this._fleet;
    const listen = controlStream.subscribe.bind(controlStream);
    return new LogWriter({ stream: 'control', log, writer, clock: this._clock, counters, subscribe: listen });
  }

  private _createPlanner(): GroupPlanner {
    const fleet = this._fleet;
    return new GroupPlanner({
      clock: this._clock,
      counters: fleet.counters,
      stateLog: fleet.stateLog,
      writer: fleet.writer,
      self: this._self,
      stewards: () => this._stewards(),
      groups: () => this._groups(),
      isControlStreamReady: () => fleet.controlStream.isReady(),
      nextControlOffset: () => fleet.controlStream.nextOffset,
      configuration: () => fleet.configurationInForce?.configuration,
      listedInstances: () => this._live.instances,
      prober: this._prober,
      controlWriter: this._controlWriter,
      isReportedWhole: (group) => this._isReportedWhole(group),
    });
  }

  private _createClaimFollowers(): ReadonlyMap<string, ClaimsFollower> {
    const { log } = this._fleet;
    const shards = Array.from({ length: CLAIM_SHARDS }, (_, index) => toClaimsStream(index));
    return new Map(
      shards.map((stream) => {
        const follower = new StreamFollower({
          stream,
          log,
          clock: this._clock,
          definition: claimsDefinition,
        });
        return [stream, follower] as const;
      }),
    );
  }

  private _createCheckpointWriter(): CheckpointWriter {
    return new CheckpointWriter({
      clock: this._clock,
      counters: this._fleet.counters,
      log: this._fleet.log,
      self: this._self,
      stewards: () => this._stewards(),
      streams: new Map<string, CheckpointedStream>([
        ['config', this._fleet.configurationStream],
        ['control', this._fleet.controlStream],
        ...this._claims,
      ]),
      batchesPerCheckpoint: this._settings.planning['checkpoint-every'],
    });
  }

  /** Polls the stewards for whole groups, for decisions on other fabric domains and on silent members. */
  private _createPuller(): LeasePuller {
    return new LeasePuller({
      clients: this._fleet.clients,
      clock: this._clock,
      counters: this._fleet.counters,
      self: this._self,
      stewards: () => (this._needsReports() ? this._stewards() : []),
      onAnswer: (querySentAtMs, leases) => {
        for (const { group, remainingMs } of leases)
          if (remainingMs > 0) this._wholeUntilMs.set(group, querySentAtMs + remainingMs);
      },
    });
  }

  private _needsReports(): boolean {
    return this._planner.hasSilentMembers() || this._needsOtherDomains();
  }

  /** Only dissolving groups of old versions and surplus groups depends on groups in other fabric domains. */
  private _needsOtherDomains(): boolean {
    const configuration = this._fleet.configurationInForce?.configuration;
    const activeGroups = this._groups()
      .groups()
      .filter(({ dissolvedAt }) => dissolvedAt === undefined);
    return Object.entries(configuration?.model ?? {}).some(([name, model]) => {
      const groups = activeGroups.filter((group) => group.model === name);
      return groups.length > model.groups || groups.some(({ version }) => version !== model.version);
    });
  }

  private _isReportedWhole(group: Group): boolean {
    return this._clock.monotonic() < (this._wholeUntilMs.get(group.id) ?? -Infinity);
  }

  private _probeTargets(): ReadonlyMap<string, number> {
    const targets = new Map(this._watcher.probeIntervals());
    for (const [address, intervalMs] of this._planner.probeIntervals()) {
      targets.set(address, Math.min(intervalMs, targets.get(address) ?? Infinity));
    }
    return targets;
  }

  private _explain(subject: string): readonly string[] {
    const group = this._groups().findGroup(subject);
    if (!group) return [];
    const members = group.members.map(({ address }) => {
      const observation = this._prober.findObservation(address);
      const state =
        observation?.silence === undefined
          ? (observation?.status?.phase ?? 'not probed here')
          : 'does not answer';
      return `member ${address}: ${state}`;
    });
    const lifecycle = group.dissolvedAt === undefined ? 'stands' : `dissolved at ${group.dissolvedAt}`;
    return [
      `group ${group.id} of ${group.model} ${group.version}, epoch ${group.epoch}, ${lifecycle}`,
      ...members,
    ];
  }

  private _status() {
    const watched = this._watcher.report();
    const groups = this._groups();
    return {
      role: 'steward',
      node: this._self.id,
      failureDomain: this._self.failureDomain,
      isReady: this._fleet.controlStream.isReady(),
      configuration: this._fleet.configurationInForce?.position ?? 0,
      plans: this._planner.leasedDomains(),
      groups: groups.groups().map(({ id, model, version, fabricDomain, members, dissolvedAt }) => ({
        id,
        model,
        version,
        fabricDomain,
        members: members.map(({ address }) => address),
        isDissolved: dissolvedAt !== undefined,
      })),
      whole: watched.filter(({ remainingMs }) => remainingMs > 0).map(({ group }) => group),
      released: [...groups.instances()]
        .filter(([, { kind }]) => kind === 'released')
        .map(([address]) => address),
      instances: [...this._live.instances.values()],
      members: this._fleet.membership
        .members()
        .map(({ node, role, configuration }) => ({ node, role, configuration })),
      counters: Object.fromEntries(this._fleet.counters.counts()),
    };
  }
}
