import { randomUUID } from 'node:crypto';
import { createServer } from 'node:http';
import {
  chooseTarget,
  type Clock,
  Counters,
  createRandom,
  DemandMeter,
  hash32,
  KeyTrust,
  LoadTracker,
  pause,
  type Random,
  RetryWindowBudget,
  RouteTable,
  type ServingConfiguration,
  splitAddress,
  type TargetCandidate,
  TargetHealth,
} from '@monsoonreach/core';
import {
  CONFIGURATION_KEY,
  decodeConfiguration,
  type KeyedRecord,
  READINESS_PATH,
  DecodeError,
  StoreClient,
  Topic,
} from '@monsoonreach/platform';
import { DecisionLog, describeError } from './decisionLog.js';
import { sendProblem, FrontServer } from './frontServer.js';
import { HeadMonitor } from './headMonitor.js';
import { InstanceList, MISSING_ENTRY_GRACE_MS } from './instanceList.js';
import { KeyedFollower } from './keyedFollower.js';
import { type Digest, type OwnState, PeerExchange } from './peerExchange.js';
import { Placement, type PlacementCriteria } from './placement.js';
import { Planning } from './planning.js';
import type { RequestRun } from './requestRun.js';
import type { ServingContext } from './servingContext.js';
import type { NodeSettings } from './settings.js';
import { TargetConnections } from './targetConnections.js';
import { TargetDirectory } from './targetDirectory.js';
import { TopicServer } from './topicServer.js';
import { TopicSources } from './topicSources.js';

/** Long-poll wait of a read of the configuration, in milliseconds; bounds the time between two confirmations of the keys. */
const CONFIGURATION_WAIT_MS = 1_300;
/** Pause between two reads of the instance list, in milliseconds; a target that leaves must get no work after two seconds. */
const LIST_INTERVAL_MS = 600;
/** Long-poll wait of a read of the list through a peer, in milliseconds; bounds how late a silent peer is detected. */
const PEER_LIST_WAIT_MS = 1_000;
/** Pause between two reads of the list while this node forms or closes groups, in milliseconds; a member joins in 200 ms. */
const BUSY_LIST_INTERVAL_MS = 150;
/** Interval of the checks for requests without progress, in milliseconds. */
const CHECK_INTERVAL_MS = 50;
/** Interval at which connection pools unused for that long, and the health of removed targets, are dropped, in milliseconds. */
const UNUSED_POOL_TIMEOUT_MS = 10_000;
/** Time after SIGTERM in which the balancer still connects, in milliseconds: two failed readiness checks, a second apart. */
const BALANCER_DRAIN_MS = 2_600;
/** Time before the kill at which the remaining requests are abandoned, in milliseconds. */
const EXIT_MARGIN_MS = 700;

/** A node: forwards callers' requests to targets, follows the store, and plans the groups while it is the planner. */
export class Node {
  private readonly _counters = new Counters();
  private readonly _random: Random;
  private readonly _log: DecisionLog;
  private readonly _store: StoreClient;
  private readonly _sources: TopicSources;
  private readonly _trust: KeyTrust;
  private readonly _list: InstanceList;
  private readonly _loads = new LoadTracker(() => {
    this._placement.scheduleReport();
  });
  private readonly _demand = new DemandMeter();
  private readonly _health = new TargetHealth();
  private readonly _connections: TargetConnections;
  private readonly _exchange: PeerExchange;
  private readonly _heads: HeadMonitor;
  private readonly _planning: Planning;
  private readonly _placement: Placement;
  private readonly _front: FrontServer;
  private readonly _directory: TargetDirectory;
  private readonly _context: ServingContext;
  private readonly _runs = new Set<RequestRun>();
  private readonly _configurationFollower: KeyedFollower;
  private readonly _listFollower: KeyedFollower;
  /** Keys of silent targets, with the monotonic time until which digests report them. */
  private readonly _silentTargets = new Map<string, number>();
  private _table: RouteTable | undefined;
  private _hasList = false;
  private _hasTraffic: boolean;

  constructor(
    private readonly _settings: NodeSettings,
    private readonly _clock: Clock,
  ) {
    const incarnation = randomUUID();
    this._hasTraffic = !_settings.node['first-start'];
    this._random = createRandom(hash32(incarnation));
    this._log = new DecisionLog('monsoonreach-node', _settings.node.log, _clock, this._counters);
    this._store = new StoreClient(_settings.store.address);
    this._sources = this._createSources();
    this._trust = new KeyTrust(_clock, _settings.bounds['key-trust']);
    this._connections = new TargetConnections(_clock);
    this._list = new InstanceList(
      _clock,
      this._log,
      this._counters,
      () => this._listFollower.reconnectedAtMs,
    );
    this._configurationFollower = this._createConfigurationFollower();
    this._listFollower = this._createListFollower();
    this._exchange = new PeerExchange({
      node: _settings.node.name,
      address: _settings.peers.address,
      incarnation,
      clock: _clock,
      random: this._random,
      counters: this._counters,
      log: this._log,
      ownTerm: () => this._planning.term,
      describeState: () => this._describeState(),
      onDigest: (digest, receivedAtMs) => {
        this._applyDigest(digest, receivedAtMs);
      },
      onPlacement: (message) => {
        this._placement.receive(message);
      },
    });
    this._directory = new TargetDirectory(this._list, this._loads, _clock);
    this._placement = this._createPlacement(incarnation);
    this._context = this._createContext();
    this._front = new FrontServer({
      address: _settings.callers.address,
      context: this._context,
      trust: this._trust,
      table: () => this._table,
    });
    this._heads = new HeadMonitor({
      list: this._list,
      clock: _clock,
      log: this._log,
      configuration: () => this._table?.configuration,
    });
    this._planning = this._createPlanning();
  }

  async start(): Promise<void> {
    this._log.info('started', { node: this._settings.node.name, store: this._settings.store.address });
    this._listen(this._settings.callers.readiness, (path) =>
      path.startsWith(READINESS_PATH) ? { status: this._isReady() ? 200 : 503, text: '' } : undefined,
    );
    this._listen(this._settings.peers.metrics, (path) =>
      path.startsWith('/metrics') ? { status: 200, text: this._counters.expose() } : undefined,
    );
    await this._exchange.start();
    await this._createTopicServer().start();
    await this._front.listen();
    void this._configurationFollower.run();
    void this._listFollower.run();
    void this._discoverPeers();
    void this._planning.run();
    setInterval(() => {
      this._runChecks();
    }, CHECK_INTERVAL_MS);
    setInterval(() => {
      this._dropUnused();
    }, UNUSED_POOL_TIMEOUT_MS);
  }

  /** Finishes the requests in progress, as far as `drain-timeout` allows; returns how many remain. */
  async drain(): Promise<number> {
    const endsAtMs = this._clock.monotonic() + this._settings.callers['drain-timeout'] - EXIT_MARGIN_MS;
    this._log.info('stopping', { requests: this._runs.size });
    this._front.drain();
    this._planning.stop();
    this._exchange.sendDigests();
    await pause(BALANCER_DRAIN_MS);
    this._front.close();
    while (this._runs.size > 0 && this._clock.monotonic() < endsAtMs) await pause(CHECK_INTERVAL_MS);
    this._log.info('stopped', { cut: this._runs.size });
    return this._runs.size;
  }

  /** Handles SIGHUP. Only logs, because settings are read only at startup. */
  reload(): void {
    this._log.info('SIGHUP ignored; settings are read only at startup', { node: this._settings.node.name });
  }

  /** Closes unused connection pools and drops the health of targets that no longer exist. */
  private _dropUnused(): void {
    this._connections.closeUnused(UNUSED_POOL_TIMEOUT_MS);
    if (this._table) this._health.retain(this._directory.listKeys(this._table.configuration));
  }

  private _isReady(): boolean {
    return this._table !== undefined && this._hasList && !this._front.isDraining && this._trust.isTrusted();
  }

  private _createSources(): TopicSources {
    const { node } = this._settings;
    return new TopicSources({
      node: node.name,
      failureDomain: node['failure-domain'],
      store: this._store,
      clock: this._clock,
      counters: this._counters,
      log: this._log,
      peers: () =>
        this._exchange.livePeers().map(({ digest, receivedAtMs }) => ({
          node: digest.node,
          address: digest.address,
          failureDomain: digest.failureDomain,
          storeAgeMs: digest.storeAgeMs + this._clock.monotonic() - receivedAtMs,
          isFirstHand: digest.isFirstHand,
        })),
      isStoreReader: () => this._planning.term !== undefined,
    });
  }

  private _createTopicServer(): TopicServer {
    const mirrors = new Map([
      [Topic.operator, this._configurationFollower.mirror],
      [Topic.instances, this._listFollower.mirror],
    ]);
    return new TopicServer(this._settings.peers.address, mirrors, this._counters);
  }

  private _createContext(): ServingContext {
    const { bounds, node } = this._settings;
    return {
      clock: this._clock,
      random: this._random,
      counters: this._counters,
      log: this._log,
      failureDomain: node['failure-domain'],
      health: this._health,
      loads: this._loads,
      demand: this._demand,
      retries: new RetryWindowBudget(
        { share: bounds['retry-share'], slack: bounds['retry-slack'], windowMs: bounds['retry-window'] },
        () => this._exchange.livePeers().length + 1,
      ),
      connections: this._connections,
      directory: this._directory,
      placement: this._placement,
      runs: this._runs,
      configuration: () => this._table?.configuration,
      connectionHeaders: () => this._front.connectionHeaders(),
      onSilentTarget: (candidate) => {
        this._reportSilentTarget(candidate);
      },
      sendProblem: (response, status, body, headers) => {
        sendProblem(this._front.connectionHeaders(), response, status, body, headers);
      },
    };
  }

  private _createPlacement(incarnation: string): Placement {
    const { node, peers } = this._settings;
    return new Placement({
      node: node.name,
      address: peers.address,
      incarnation,
      failureDomain: node['failure-domain'],
      clock: this._clock,
      counters: this._counters,
      log: this._log,
      loads: this._loads,
      coordinator: () => (this._planning.term === undefined ? this._exchange.planner()?.address : 'self'),
      send: (address, message) => {
        this._exchange.sendPlacement(address, message);
      },
      chooseLocally: (choice) =>
        chooseTarget(this._findCandidates(choice), {
          ...choice,
          nowMs: this._clock.monotonic(),
          random: this._random,
          health: this._health,
        }),
      findCandidate: (criteria, key) =>
        this._findCandidates(criteria).find((candidate) => candidate.key === key),
      silentTargets: (criteria) =>
        this._findCandidates(criteria)
          .filter(({ key }) => this._health.isSuspect(key, this._clock.monotonic()))
          .map(({ key }) => key),
    });
  }

  private _findCandidates({ service, model }: PlacementCriteria): readonly TargetCandidate[] {
    const configuration = this._table?.configuration;
    return configuration ? this._directory.findCandidates(configuration, service, model) : [];
  }

  private _createPlanning(): Planning {
    return new Planning({
      node: this._settings.node.name,
      store: this._store,
      list: this._list,
      exchange: this._exchange,
      clock: this._clock,
      random: this._random,
      counters: this._counters,
      log: this._log,
      configuration: () => (this._hasList ? this._table?.configuration : undefined),
      isListSettled: () => this._isListSettled(),
      demand: () => this._sumFleetDemand(),
      hasTraffic: () => this._hasFleetTraffic(),
      heads: this._heads,
    });
  }

  private _createConfigurationFollower(): KeyedFollower {
    const apply = (records: readonly KeyedRecord[]) => {
      for (const record of records) this._applyConfiguration(record);
    };
    return new KeyedFollower({
      topic: Topic.operator,
      sources: this._sources,
      clock: this._clock,
      random: this._random,
      log: this._log,
      waitMs: CONFIGURATION_WAIT_MS,
      peerWaitMs: CONFIGURATION_WAIT_MS,
      intervalMs: () => 0,
      onSnapshot: apply,
      onChanges: apply,
      onContact: (atMs) => {
        this._trust.confirm(atMs);
      },
    });
  }

  private _createListFollower(): KeyedFollower {
    return new KeyedFollower({
      topic: Topic.instances,
      sources: this._sources,
      clock: this._clock,
      random: this._random,
      log: this._log,
      waitMs: 0,
      peerWaitMs: PEER_LIST_WAIT_MS,
      intervalMs: () => (this._planning.isBusy ? BUSY_LIST_INTERVAL_MS : LIST_INTERVAL_MS),
      onSnapshot: (records) => {
        this._list.replaceAll(records);
        this._hasList = true;
      },
      onChanges: (records) => {
        this._list.applyChanges(records);
      },
    });
  }

  private _applyConfiguration({ key, value }: KeyedRecord): void {
    if (key !== CONFIGURATION_KEY || !value) return;
    let configuration: ServingConfiguration;
    try {
      configuration = decodeConfiguration(value);
    } catch (error) {
      if (!(error instanceof DecodeError)) throw error;
      this._counters.add('monsoonreach_configuration_refusals_total');
      this._log.warn('configuration cannot be read; the previous one stays in force', {
        error: error.message,
      });
      return;
    }
    const current = this._table?.configuration.version ?? -Infinity;
    if (configuration.version <= current) return;
    this._table = new RouteTable(configuration);
    this._front.configure(configuration.limits);
    this._log.info('configuration in force', {
      version: configuration.version,
      before: current,
      routes: configuration.routes.length,
    });
  }

  /** Publishes this node's address in the store and reads the addresses of its peers; retries until that succeeds. */
  private async _discoverPeers(): Promise<void> {
    for (;;) {
      try {
        await this._store.appendKeyed(Topic.nodes, this._settings.node.name, this._settings.peers.address);
        const { records } = await this._store.readNewest(Topic.nodes);
        this._exchange.addAddresses(
          records.flatMap(({ value }) => (value ? [Buffer.from(value).toString('utf8')] : [])),
        );
        return;
      } catch (error) {
        this._log.warn('peer discovery failed; retrying', { error: describeError(error) });
        await pause(PEER_DISCOVERY_RETRY_MS);
      }
    }
  }

  private _describeState(): OwnState {
    const nowMs = this._clock.monotonic();
    const storeAgeMs = Math.min(MAX_STORE_AGE_MS, this._trust.ageMs());
    return {
      failureDomain: this._settings.node['failure-domain'],
      storeAgeMs,
      isFirstHand: this._configurationFollower.mirror.isFirstHand && this._listFollower.mirror.isFirstHand,
      version: this._table?.configuration.version ?? -1,
      isLeaving: this._front.isDraining,
      loads: Object.fromEntries([...this._loads.getOwnLoads()].map(([key, load]) => [key, [...load]])),
      silent: [...this._silentTargets].filter(([, untilMs]) => untilMs > nowMs).map(([key]) => key),
      heads: Object.fromEntries(this._heads.findings()),
      hasTraffic: this._hasTraffic,
      demand: Object.fromEntries(this._demand.getNeededGroups(nowMs)),
    };
  }

  private _applyDigest(digest: Digest, receivedAtMs: number): void {
    this._loads.recordGossip(digest.node, new Map(Object.entries(digest.loads)), receivedAtMs);
    this._loads.gossipTtlMs = this._exchange.peerTimeoutMs;
    for (const key of digest.silent) this._applySilenceReport(key, receivedAtMs);
    if (digest.version === this._table?.configuration.version) {
      this._trust.confirm(receivedAtMs - digest.storeAgeMs - MAX_DATAGRAM_DELAY_MS);
    }
  }

  private _hasFleetTraffic(): boolean {
    return this._hasTraffic || this._exchange.livePeers().some(({ digest }) => digest.hasTraffic);
  }

  /** Whether the instance list is complete: after an outage entries reappear, and at the start they appear one by one. */
  private _isListSettled(): boolean {
    const nowMs = this._clock.monotonic();
    if (this._listFollower.isFailing || nowMs - this._listFollower.reconnectedAtMs < MISSING_ENTRY_GRACE_MS)
      return false;
    return this._hasFleetTraffic() || nowMs - this._list.lastAddedAtMs > START_SETTLE_MS;
  }

  /** Number of groups that the requests of all nodes need, by model. */
  private _sumFleetDemand(): ReadonlyMap<string, number> {
    const demand = new Map(this._demand.getNeededGroups(this._clock.monotonic()));
    for (const { digest } of this._exchange.livePeers()) {
      for (const [model, groups] of Object.entries(digest.demand)) {
        demand.set(model, (demand.get(model) ?? 0) + groups);
      }
    }
    return demand;
  }

  private _reportSilentTarget({ key }: TargetCandidate): void {
    this._counters.add('monsoonreach_silent_targets_total');
    this._silentTargets.set(key, this._clock.monotonic() + SILENCE_REPORT_MS);
    this._planning.suspectGroup(key);
    this._exchange.sendDigestToPlanner();
  }

  /** Applies a peer's report that a target is silent, unless this node has just received bytes from the target. */
  private _applySilenceReport(key: string, nowMs: number): void {
    this._planning.suspectGroup(key);
    if (nowMs - this._health.getProgressAtMs(key) > RECENT_PROGRESS_MS)
      this._health.recordSilence(key, nowMs);
  }

  private _runChecks(): void {
    const nowMs = this._clock.monotonic();
    if (this._trust.detectClockJump()) this._log.warn('clock jump detected; keys are not trusted', {});
    if (this._runs.size > 0) this._hasTraffic = true;
    for (const run of this._runs) run.checkProgress(nowMs);
    this._placement.tick(nowMs);
    this._list.removeExpired();
    if (!this._listFollower.isFailing) this._heads.tick();
  }

  private _listen(
    address: string,
    answer: (path: string) => { readonly status: number; readonly text: string } | undefined,
  ): void {
    const { host, port } = splitAddress(address);
    const server = createServer((request, response) => {
      const { status, text } = answer(request.url ?? '/') ?? { status: 404, text: '' };
      response.writeHead(status, { 'Content-Type': 'text/plain', 'Content-Length': Buffer.byteLength(text) });
      response.end(text);
    });
    server.listen({ host, port });
  }
}

/** Longest age that is sent, in milliseconds; JSON cannot represent infinity. */
const MAX_STORE_AGE_MS = 1_000_000;
/** Time without a new instance after which the first groups may be planned, in milliseconds; two reads of the list. */
const START_SETTLE_MS = 1_000;
/** Time for which digests report a silent target, in milliseconds; a few gossip intervals. */
const SILENCE_REPORT_MS = 600;
/** Age of a target's last bytes up to which a peer's report of silence is ignored, in milliseconds; two steps of a full batch. */
const RECENT_PROGRESS_MS = 200;
/** Longest assumed transit time of a datagram, in milliseconds; far above the latency between failure domains. */
const MAX_DATAGRAM_DELAY_MS = 300;
/** Pause before peer discovery is retried, in milliseconds. */
const PEER_DISCOVERY_RETRY_MS = 700;
