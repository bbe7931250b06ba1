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
import { type CheckpointedStream, Checkpointing } from './checkpointing.js';
import { Planning } from './planning.js';
import { Prober } from './prober.js';
import { Watcher } from './watcher.js';

type ClaimsFollower = StreamFollower<ClaimBody, ClaimRejection, Claims>;

/** How long another watcher's word that a group is whole is believed, in milliseconds. */
const SEEN_WHOLE_MS = 3_000;

/** Watches groups, plans fabric domains and writes checkpoints, as a process. */
export class Steward implements Daemon {
  private readonly _clock: Clock = systemClock;
  private readonly _fleet: FleetNode;
  private readonly _live: LiveInstances;
  private readonly _prober: Prober;
  private readonly _watcher: Watcher;
  private readonly _planning: Planning;
  private readonly _checkpointing: Checkpointing;
  private readonly _puller: LeasePuller;
  private readonly _operators: OperatorsServer;
  private readonly _controlWriter: LogWriter<ControlBody, ControlRejection>;
  private readonly _claims: ReadonlyMap<string, ClaimsFollower>;
  private readonly _seenWholeAtMs = new Map<string, number>();
  private readonly _self: Candidate;

  constructor(private readonly _settings: StewardSettings) {
    const { node, platform } = _settings;
    this._self = { id: node['peers-address'], failureDomain: node['failure-domain'] };
    this._fleet = this._createFleet();
    this._live = new LiveInstances(new HttpLiveList(platform['live-list']), this._clock);
    this._prober = new Prober({
      clock: this._clock,
      targets: () => this._probeTargets(),
      basisOf: (address) => this._groups().findInstance(address)?.position ?? 0,
    });
    this._watcher = this._createWatcher();
    this._controlWriter = this._createControlWriter();
    this._planning = this._createPlanning();
    this._claims = this._createClaimFollowers();
    this._checkpointing = this._createCheckpointing();
    this._puller = this._createPuller();
    this._operators = new OperatorsServer({
      address: node['operators-address'],
      counters: this._fleet.counters,
      isReady: () => this._fleet.controlStream.isReady(),
      status: () => this._status(),
      explain: (subject) => this._explain(subject),
    });
  }

  /** Makes a steward from the text of its settings file. */
  static fromSettings(text: string): Steward {
    return new Steward(parseStewardSettings(text));
  }

  async start(): Promise<void> {
    await this._fleet.start();
    this._live.start();
    this._prober.start();
    for (const follower of this._claims.values()) follower.start();
    if (this._settings.planning.enabled) this._planning.start();
    this._checkpointing.start();
    this._puller.start();
    await this._operators.listen();
    this._fleet.stateLog.info('steward started', { address: this._self.id });
  }

  async drain(): Promise<number> {
    await this._fleet.announceLeaving();
    await Promise.all([this._planning.stop(), this._checkpointing.stop(), this._puller.stop()]);
    this._controlWriter.close();
    await Promise.all([...this._claims.values()].map((follower) => follower.stop()));
    await Promise.all([this._prober.stop(), this._live.stop(), this._operators.close()]);
    await this._fleet.stop();
    return 0;
  }

  cut(): number {
    return 0;
  }

  private _groups() {
    return this._fleet.controlStream.state;
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
            this._watcher.noteUnanswering(unanswering);
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
      observe: (address) => this._prober.observe(address),
      isLeaving: (address) => this._isLeaving(address),
      failureDomainOf: (address) => this._live.instances.get(address)?.failureDomain,
    });
  }

  private _isLeaving(address: string): boolean {
    const isToldByEngine = this._prober.observe(address)?.status?.leaving === true;
    return isToldByEngine || this._live.isLeaving(address) || this._groups().isDraining(address);
  }

  private _createControlWriter(): LogWriter<ControlBody, ControlRejection> {
    const { log, writer, counters, controlStream } = this._fleet;
    const listen = controlStream.listen.bind(controlStream);
    return new LogWriter({ stream: 'control', log, writer, clock: this._clock, counters, listen });
  }

  private _createPlanning(): Planning {
    const fleet = this._fleet;
    return new Planning({
      clock: this._clock,
      counters: fleet.counters,
      stateLog: fleet.stateLog,
      writer: fleet.writer,
      self: this._self,
      stewards: () => this._stewards(),
      groups: () => this._groups(),
      isControlRead: () => fleet.controlStream.isReady(),
      controlNext: () => fleet.controlStream.next,
      configuration: () => fleet.inForce?.configuration,
      listed: () => this._live.instances,
      prober: this._prober,
      log: this._controlWriter,
      isSeenWhole: (group) => this._isSeenWhole(group),
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

  private _createCheckpointing(): Checkpointing {
    return new Checkpointing({
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
      every: this._settings.planning['checkpoint-every'],
    });
  }

  /** Asks the other stewards which groups are whole, for decisions that depend on other fabric domains. */
  private _createPuller(): LeasePuller {
    return new LeasePuller({
      clients: this._fleet.clients,
      clock: this._clock,
      counters: this._fleet.counters,
      self: this._self,
      stewards: () => (this._needsFleetHealth() ? this._stewards() : []),
      onAnswer: (_, leases) => {
        const nowMs = this._clock.monotonic();
        for (const { group, remainingMs } of leases)
          if (remainingMs > 0) this._seenWholeAtMs.set(group, nowMs);
      },
    });
  }

  /** Only removals of old versions and surplus groups depend on groups in other fabric domains. */
  private _needsFleetHealth(): boolean {
    const configuration = this._fleet.inForce?.configuration;
    const standing = this._groups()
      .groups()
      .filter(({ dissolvedAt }) => dissolvedAt === undefined);
    return Object.entries(configuration?.model ?? {}).some(([name, model]) => {
      const own = standing.filter((group) => group.model === name);
      return own.length > model.groups || own.some(({ version }) => version !== model.version);
    });
  }

  private _isSeenWhole(group: Group): boolean {
    return this._clock.monotonic() - (this._seenWholeAtMs.get(group.id) ?? -Infinity) < SEEN_WHOLE_MS;
  }

  private _probeTargets(): ReadonlyMap<string, number> {
    const targets = new Map(this._watcher.targets());
    for (const [address, intervalMs] of this._planning.targets()) {
      targets.set(address, Math.min(intervalMs, targets.get(address) ?? Infinity));
    }
    return targets;
  }

  private _explain(subject: string): readonly string[] {
    const group = this._groups().findGroup(subject);
    if (!group) return [];
    const members = group.members.map(({ address }) => {
      const observation = this._prober.observe(address);
      const dark = observation?.darkSinceMs;
      const state =
        dark === undefined ? (observation?.status?.phase ?? 'not probed here') : 'does not answer';
      return `member ${address}: ${state}`;
    });
    const standing = group.dissolvedAt === undefined ? 'stands' : `dissolved at ${group.dissolvedAt}`;
    return [
      `group ${group.id} of ${group.model} ${group.version}, epoch ${group.epoch}, ${standing}`,
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
      configuration: this._fleet.inForce?.position ?? 0,
      plans: this._planning.heldDomains(),
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
