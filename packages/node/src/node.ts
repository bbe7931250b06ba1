import { randomUUID } from 'node:crypto';
import { createServer } from 'node:http';
import {
  CallerConnections,
  type CallerLimit,
  CallerMemory,
  type OpenRequest,
} from '@monsoonreach/callers/connections';
import {
  chooseTarget,
  type Clock,
  computeUnreadBound,
  Counters,
  createErrorReport,
  createMemberId,
  createRandom,
  DemandMeter,
  type EvacuationEvent,
  type EvacuationRecord,
  Evacuations,
  findPromptObjectives,
  getIncarnationKey,
  hash32,
  insertByPreference,
  isAllowedTarget,
  KeyTrust,
  listFailureDomains,
  LoadTracker,
  MAX_SOUND_SILENCE_MS,
  type Member,
  pause,
  type PromptObjectives,
  type Random,
  RecentTargets,
  RetryWindowBudget,
  RouteTable,
  type ServingConfiguration,
  splitAddress,
  StreamPace,
  type TargetCandidate,
  TargetAvailability,
  type TargetChoice,
  TargetHealth,
  type TargetJudgement,
  TargetLimits,
} from '@monsoonreach/core';
import {
  CONFIGURATION_KEY,
  decodeConfiguration,
  DecodeError,
  parseEvacuationKey,
  type KeyedRecord,
  READINESS_PATH,
  StoreClient,
  Topic,
} from '@monsoonreach/platform';
import { AnswerBuffers } from './answerBuffers.js';
import { CallerLimitReports, deriveMaxConnections, readDescriptorLimit } from './callerLimits.js';
import { ColdTargets, countColdSkip, rankNode } from './coldTargets.js';
import { CrashMonitor } from './crashMonitor.js';
import { DecisionLog } from './decisionLog.js';
import { FleetReports } from './fleetReports.js';
import { sendProblem, FrontServer } from './frontServer.js';
import { HeadMonitor } from './headMonitor.js';
import { InstanceList, MISSING_ENTRY_GRACE_MS } from './instanceList.js';
import { KeyConfirmation } from './keyConfirmation.js';
import { KeyedFollower } from './keyedFollower.js';
import { PeerDiscovery } from './peerDiscovery.js';
import { estimateStoreAgeMs, type MembershipMessage, type OwnState, PeerExchange } from './peerExchange.js';
import { type Digest, type PeerMessage, type ReportMessage } from './peerMessages.js';
import { type LocalPlacementCriteria, Placement } from './placement.js';
import { Planning } from './planning.js';
import { RemovedInstances } from './removedInstances.js';
import type { RequestRun } from './requestRun.js';
import type { ServingContext } from './servingContext.js';
import type { NodeSettings } from './settings.js';
import { ShardOwnership } from './shardOwnership.js';
import { StartGate } from './startGate.js';
import { StopAdmission } from './stopAdmission.js';
import { StoreHistory } from './storeHistory.js';
import { TargetConnections } from './targetConnections.js';
import { TargetDirectory } from './targetDirectory.js';
import { TargetSuspicions } from './targetSuspicions.js';
import { TopicServer } from './topicServer.js';
import { TopicSources } from './topicSources.js';

/** Long-poll wait of a read of the configuration, in milliseconds; bounds the time between two confirmations of the keys. */
const CONFIGURATION_WAIT_MS = 1_100;
/** Time after the end of a hold of the keys at which a read ends that confirms them, in milliseconds. */
const HOLD_SLACK_MS = 50;
/** Pause between two reads of the instance list, in milliseconds; a target that leaves must get no work after two seconds. */
const LIST_INTERVAL_MS = 600;
/** Long-poll wait of a read of the list through a peer, in milliseconds; bounds how late a silent peer is detected. */
const PEER_LIST_WAIT_MS = 1_000;
/** Pause between two reads of the list through a peer, in milliseconds. */
const PEER_LIST_INTERVAL_MS = 300;
/** Pause between two reads of the list while this node forms or closes groups, in milliseconds; a member joins in 200 ms. */
const BUSY_LIST_INTERVAL_MS = 150;
/** Interval of the checks for requests without progress, in milliseconds. */
const CHECK_INTERVAL_MS = 50;
/** Interval at which the memory held for callers is checked, in milliseconds. */
const MEMORY_CHECK_INTERVAL_MS = 250;
/** Connections to a port for operators or the balancer, which connect one by one. */
const MAX_OPERATOR_CONNECTIONS = 32;
/** Time for the head of a request to such a port, in milliseconds. */
const OPERATOR_HEAD_TIMEOUT_MS = 3_000;
/** Largest header block of a request to such a port, in bytes. */
const MAX_OPERATOR_HEADER_BYTES = 8_192;
/** Interval at which connection pools unused for that long, and the health of removed targets, are dropped, in milliseconds. */
const UNUSED_POOL_TIMEOUT_MS = 10_000;
/** Time for which reports name a silent target, in milliseconds; a few reports, as one may be lost. */
const SILENCE_REPORT_MS = 600;
/**
 * Time for which a target that answered that it does not serve what was sent to it gets no request, in milliseconds. After
 * a start or the end of a group, the list names a head for a second that answers so; an entry that shows its new state is
 * written and read within this time.
 */
const MISDIRECTION_TTL_MS = 2_000;
/** Time after SIGTERM in which the balancer still connects, in milliseconds: two failed readiness checks, a second apart. */
const BALANCER_DRAIN_MS = 2_600;
/** Time before the kill at which the remaining requests are abandoned, in milliseconds. */
const EXIT_MARGIN_MS = 500;
/** Time for the last answers to leave after that, in milliseconds. */
const FLUSH_TIMEOUT_MS = 200;

/** Largest sum of prompt tokens that is recorded; the largest value that the histogram holds. */
const MAX_RECORDED_TOKENS = 3_600_000;

/** A node: forwards callers' requests to targets, follows the store, and plans the groups of the shards that it owns. */
export class Node {
  private readonly _counters = new Counters();
  private readonly _self: Member;
  private readonly _random: Random;
  private readonly _log: DecisionLog;
  private readonly _history: StoreHistory;
  private readonly _store: StoreClient;
  private readonly _sources: TopicSources;
  private readonly _trust: KeyTrust;
  private readonly _keyConfirmation: KeyConfirmation;
  private readonly _list: InstanceList;
  private readonly _loads = new LoadTracker((target) => {
    this._placement.scheduleReport(target);
  });
  private readonly _limits: TargetLimits;
  private readonly _misdirections: RecentTargets;
  private readonly _cold: ColdTargets;
  private readonly _availability: TargetAvailability;
  private readonly _demand = new DemandMeter();
  private readonly _evacuations: Evacuations;
  private readonly _health = new TargetHealth();
  private readonly _pace = new StreamPace();
  private readonly _reports: FleetReports;
  private readonly _silentTargets: RecentTargets;
  private readonly _connections: TargetConnections;
  private readonly _exchange: PeerExchange;
  private readonly _ownership: ShardOwnership;
  private readonly _discovery: PeerDiscovery;
  private readonly _heads: HeadMonitor;
  private readonly _removed: RemovedInstances;
  private readonly _planning: Planning;
  private readonly _suspicions: TargetSuspicions;
  private readonly _placement: Placement;
  private readonly _crashes: CrashMonitor;
  private readonly _gate: StartGate;
  private readonly _callerMemory: CallerMemory;
  private readonly _callerLimits: CallerLimitReports;
  /** The connections of all ports for HTTP, whose memory is accounted together. */
  private readonly _callerConnections: CallerConnections[] = [];
  private readonly _front: FrontServer;
  private readonly _directory: TargetDirectory;
  private readonly _context: ServingContext;
  private readonly _runs = new Set<RequestRun>();
  private readonly _configurationFollower: KeyedFollower;
  private readonly _listFollower: KeyedFollower;
  private _table: RouteTable | undefined;
  /** Objectives by service, as the configuration in force states them; only those that were asked for. */
  private readonly _promptObjectives = new Map<string, PromptObjectives | undefined>();
  private _hasList = false;
  /** Monotonic time at which the list was first read, in milliseconds. */
  private _listReadAtMs = Infinity;
  /** Monotonic time at which peers were last asked for their contact with the store, in milliseconds. */
  private _contactAskedAtMs = -Infinity;
  private _hasTraffic: boolean;
  private _hasPeerTraffic = false;
  private _draining: Promise<number> | undefined;

  constructor(
    private readonly _settings: NodeSettings,
    private readonly _clock: Clock,
  ) {
    const { node, peers } = _settings;
    this._hasTraffic = !node['first-start'];
    const incarnation = randomUUID().slice(0, INCARNATION_LENGTH);
    this._self = {
      node: node.name,
      id: createMemberId(node.name, incarnation),
      address: peers.address,
      failureDomain: node['failure-domain'],
      capacity: node.cores * node['processor-share'],
    };
    this._random = createRandom(hash32(this._self.id));
    this._log = new DecisionLog('monsoonreach-node', node.log, _clock, this._counters);
    this._callerMemory = new CallerMemory(_clock, node.memory);
    this._callerLimits = new CallerLimitReports(_clock, this._counters, this._log);
    this._history = new StoreHistory({ clock: _clock, log: this._log });
    this._store = new StoreClient(_settings.store.address, {
      onEra: (era) => {
        this._history.observe(era);
      },
    });
    this._sources = this._createSources();
    this._trust = new KeyTrust(_clock, _settings.bounds['key-trust']);
    this._keyConfirmation = new KeyConfirmation({
      clock: _clock,
      trust: this._trust,
      history: this._history,
    });
    this._evacuations = new Evacuations(_clock, _settings.bounds.evacuation);
    this._connections = new TargetConnections(_clock);
    this._reports = new FleetReports(_clock);
    this._misdirections = new RecentTargets(_clock, MISDIRECTION_TTL_MS);
    this._limits = new TargetLimits(
      _clock,
      () => this._exchange.size + 1,
      (incarnation) => this._rankFor(incarnation),
    );
    this._availability = new TargetAvailability(_clock);
    this._silentTargets = new RecentTargets(_clock, SILENCE_REPORT_MS);
    this._list = this._createList();
    this._cold = new ColdTargets({
      bounds: _settings.bounds,
      list: this._list,
      limits: this._limits,
      counters: this._counters,
      log: this._log,
      configuration: () => this._table?.configuration,
    });
    this._configurationFollower = this._createConfigurationFollower();
    this._listFollower = this._createListFollower();
    this._exchange = this._createExchange();
    this._ownership = this._createOwnership();
    this._discovery = this._createDiscovery();
    this._directory = new TargetDirectory(this._list, this._loads, this._ownership, this._evacuations);
    this._placement = this._createPlacement();
    this._crashes = this._createCrashMonitor();
    this._context = this._createContext();
    this._gate = new StartGate(_clock);
    this._front = new FrontServer({
      address: _settings.callers.address,
      context: this._context,
      trust: this._trust,
      table: () => this._table,
      gate: this._gate,
      memory: this._callerMemory,
      maxConnections: deriveMaxConnections(node.descriptors ?? readDescriptorLimit()),
      onLimit: (limit) => {
        this._reportCallerLimit(limit);
      },
    });
    this._callerConnections.push(this._front.connections);
    this._heads = this._createHeadMonitor();
    this._removed = new RemovedInstances({
      list: this._list,
      clock: this._clock,
      configuration: () => this._table?.configuration,
    });
    this._planning = this._createPlanning();
    this._suspicions = new TargetSuspicions({
      clock: this._clock,
      health: this._health,
      isSilentForMost: (target) => this._planning.isSilentForMost(target),
    });
  }

  async start(): Promise<void> {
    this._log.info('started', { node: this._settings.node.name, store: this._settings.store.address });
    await this._listen(this._settings.callers.readiness, (path) =>
      path.startsWith(READINESS_PATH) ? { status: this._isReady() ? 200 : 503, text: '' } : undefined,
    );
    await this._listen(this._settings.peers.metrics, (path) =>
      path.startsWith('/metrics') ? { status: 200, text: this._counters.expose() } : undefined,
    );
    await this._exchange.start();
    await this._createTopicServer().start();
    await this._front.listen();
    void this._follow();
    void this._planning.run();
    setInterval(() => {
      this._runChecks();
    }, CHECK_INTERVAL_MS);
    setInterval(() => {
      this._checkCallers();
    }, MEMORY_CHECK_INTERVAL_MS);
    setInterval(() => {
      this._dropUnused();
    }, UNUSED_POOL_TIMEOUT_MS);
  }

  /**
   * Stops the node: finishes the requests in progress, as far as `drain-timeout` allows. A repeated call changes
   * nothing.
   * @returns the number of requests that were not finished.
   */
  drain(): Promise<number> {
    this._draining ??= this._drain();
    return this._draining;
  }

  private async _drain(): Promise<number> {
    const startedAtMs = this._clock.monotonic();
    const endsAtMs = startedAtMs + this._settings.callers['drain-timeout'] - EXIT_MARGIN_MS;
    this._log.info('stopping', { requests: this._runs.size });
    this._front.drain(endsAtMs);
    this._planning.stop();
    this._ownership.stop();
    this._exchange.broadcastDigest();
    await pause(Math.min(BALANCER_DRAIN_MS, endsAtMs - startedAtMs));
    this._front.close();
    await this._waitUntilClosed(endsAtMs);
    const { connections } = this._front;
    // An answer that has begun cannot be replaced by another one, so that it may use the time in which those leave.
    const unanswered = connections.listOpenRequests().filter(({ response }) => !response.headersSent);
    this._giveUp(unanswered, startedAtMs);
    await this._waitUntilClosed(endsAtMs + FLUSH_TIMEOUT_MS);
    const givenUp = new Set(unanswered.map(({ response }) => response));
    const begun = connections.listOpenRequests().filter(({ response }) => !givenUp.has(response));
    this._giveUp(begun, startedAtMs);
    const unfinished = unanswered.length + begun.length;
    this._log.info('stopped', {
      unfinished,
      connections: connections.size,
      ms: Math.round(this._clock.monotonic() - startedAtMs),
    });
    connections.resetUnfinished();
    return unfinished;
  }

  /** Waits until the last answer has left and all connections of callers are closed. */
  private async _waitUntilClosed(untilMs: number): Promise<void> {
    const { connections } = this._front;
    while (connections.size > 0 && this._clock.monotonic() < untilMs) await pause(CHECK_INTERVAL_MS);
  }

  /** Ends requests because the process ends: each is logged, and answered truthfully unless its answer has begun. */
  private _giveUp(requests: readonly OpenRequest[], stoppingSinceMs: number): void {
    const nowMs = this._clock.monotonic();
    for (const request of requests) {
      const run = [...this._runs].find((candidate) => candidate.isAnswering(request.response));
      this._log.warn('request unfinished at the end of the stop', {
        request: request.requestId,
        stage: request.stage,
        ms: Math.round(nowMs - request.startedAtMs),
        msAfterStop: Math.round(request.startedAtMs - stoppingSinceMs),
        connection: request.connection,
        connectionMs: Math.round(nowMs - request.connectionOpenedAtMs),
        position: request.position,
        ...run?.describeProgress(),
      });
      if (run) run.abandon();
      else this._front.refuseUnserved(request);
    }
  }

  /** Handles SIGHUP. Only logs, because settings are read only at startup. */
  reload(): void {
    this._log.info('SIGHUP ignored; settings are read only at startup', { node: this._settings.node.name });
  }

  /** Logs a warning of the runtime. */
  logWarning(warning: Error): void {
    this._log.warn('process warning', { warning: createErrorReport(warning) });
  }

  private _checkCallers(): void {
    for (const connections of this._callerConnections) connections.check();
    this._counters.set('monsoonreach_caller_memory_bytes', this._callerMemory.totalBytes);
    this._counters.set('monsoonreach_caller_connections', this._front.connections.size);
  }

  private _reportCallerLimit(limit: CallerLimit): void {
    this._callerLimits.report(limit, {
      bytes: this._callerMemory.totalBytes,
      maxBytes: this._callerMemory.maxBytes,
      connections: this._front.connections.size,
    });
  }

  /** Closes unused connection pools and drops what is known of targets that no longer exist. */
  private _dropUnused(): void {
    this._connections.closeUnused(UNUSED_POOL_TIMEOUT_MS);
    if (!this._table) return;
    const keys = this._directory.listKeys(this._table.configuration);
    this._health.retain(keys);
    this._pace.retain(keys);
  }

  private _isReady(): boolean {
    return this._table !== undefined && this._hasList && !this._front.isDraining && this._trust.isTrusted();
  }

  /** Finds the other nodes, then follows the store, if possible through one of them. */
  private async _follow(): Promise<void> {
    await Promise.race([
      this._discovery.run(),
      pause(this._settings.node['first-start'] ? MAX_FIRST_DISCOVERY_WAIT_MS : MAX_DISCOVERY_WAIT_MS),
    ]);
    void this._configurationFollower.run();
    void this._listFollower.run();
    void this._ownership.run();
  }

  private _createSources(): TopicSources {
    return new TopicSources({
      self: this._self,
      store: this._store,
      history: this._history,
      clock: this._clock,
      counters: this._counters,
      log: this._log,
      nodes: () => insertByPreference(this._exchange.listLive(), this._self),
      peers: () =>
        this._exchange.listPeers().map((peer) => ({
          ...peer.member,
          storeAgeMs: estimateStoreAgeMs(peer, this._clock.monotonic()),
          isFirstHand: peer.digest.isFirstHand,
        })),
      owners: () => this._ownership.listAddresses(),
    });
  }

  private _createTopicServer(): TopicServer {
    return new TopicServer({
      address: this._settings.peers.address,
      mirrors: new Map([
        [Topic.operator, this._configurationFollower.mirror],
        [Topic.instances, this._listFollower.mirror],
      ]),
      counters: this._counters,
      members: () => [this._self, ...this._exchange.listMembers()],
      onMembers: (members) => {
        this._exchange.addMembers(members);
      },
    });
  }

  private _createList(): InstanceList {
    const follower = () => this._listFollower;
    const reconnectedAtMs = () => this._listReconnectedAtMs;
    const { _history: history } = this;
    return new InstanceList(this._clock, this._log, this._counters, {
      get reconnectedAtMs() {
        return reconnectedAtMs();
      },
      get restoredAtMs() {
        return history.restoredAtMs;
      },
      get currentAtMs() {
        return follower().mirror.contactAtMs;
      },
    });
  }

  /** Monotonic time from which on entries that the store had lost may reappear. */
  private get _listReconnectedAtMs(): number {
    return Math.max(this._listFollower.reconnectedAtMs, this._history.restoredAtMs);
  }

  private _createExchange(): PeerExchange {
    return new PeerExchange({
      self: this._self,
      clock: this._clock,
      random: this._random,
      counters: this._counters,
      log: this._log,
      owners: () => this._ownership.listAddresses(),
      describeState: () => this._describeState(),
      onDigest: (digest, address, receivedAtMs) => {
        this._applyDigest(digest, address, receivedAtMs);
      },
      onContact: (contact) => {
        this._keyConfirmation.recordContact(contact);
      },
      onMessage: (message) => {
        this._handleMessage(message);
      },
    });
  }

  private _createOwnership(): ShardOwnership {
    return new ShardOwnership({
      self: this._self,
      store: this._store,
      history: this._history,
      exchange: this._exchange,
      clock: this._clock,
      random: this._random,
      counters: this._counters,
      log: this._log,
      countInstances: () => (this._isListSettled() ? this._list.instances.size : undefined),
      onOwner: () => {
        void this._discovery.register();
      },
    });
  }

  private _createDiscovery(): PeerDiscovery {
    return new PeerDiscovery({
      self: this._self,
      store: this._store,
      history: this._history,
      exchange: this._exchange,
      random: this._random,
      log: this._log,
      isFirstStart: this._settings.node['first-start'],
    });
  }

  private _createHeadMonitor(): HeadMonitor {
    return new HeadMonitor({
      node: this._self.node,
      list: this._list,
      clock: this._clock,
      log: this._log,
      configuration: () => this._table?.configuration,
      peers: () => this._exchange.listLive().map(({ node }) => node),
      isOwned: (fabricDomain) => this._ownership.findOwnTerm(fabricDomain) !== undefined,
      onFinding: ({ fabricDomain }) => {
        const owner = this._ownership.findOwner(fabricDomain);
        if (owner) this._placement.reportNow(owner.address);
      },
    });
  }

  private _createCrashMonitor(): CrashMonitor {
    return new CrashMonitor({
      address: this._self.address,
      clock: this._clock,
      counters: this._counters,
      log: this._log,
      findListed: (id) => this._list.get(id),
      send: (address, message) => {
        this._exchange.send(address, message);
      },
      broadcast: (message) => {
        this._exchange.broadcast(message);
      },
    });
  }

  private _createContext(): ServingContext {
    const { bounds, node, regions } = this._settings;
    return {
      clock: this._clock,
      random: this._random,
      counters: this._counters,
      log: this._log,
      failureDomain: node['failure-domain'],
      regions: new Map(Object.entries(regions)),
      health: this._health,
      pace: this._pace,
      loads: this._loads,
      limits: this._limits,
      availability: this._availability,
      evacuations: this._evacuations,
      demand: this._demand,
      retries: new RetryWindowBudget(
        { share: bounds['retry-share'], slack: bounds['retry-slack'], windowMs: bounds['retry-window'] },
        () => this._exchange.size + 1,
      ),
      connections: this._connections,
      buffers: new AnswerBuffers(MAX_TOTAL_BUFFERED_BYTES),
      crashes: this._crashes,
      directory: this._directory,
      placement: this._placement,
      stop: new StopAdmission({
        clock: this._clock,
        configuration: () => this._table?.configuration,
        hasAlternative: () => this._hasAlternative(),
      }),
      runs: this._runs,
      configuration: () => this._table?.configuration,
      connectionHeaders: (response) => this._front.connectionHeaders(response),
      onSilentTarget: (candidate) => {
        this._reportSilentTarget(candidate);
      },
      sendProblem: (response, status, body, headers) => {
        sendProblem(this._front.connectionHeaders(response), response, status, body, headers);
      },
    };
  }

  /** Whether the balancer has another node for this one's callers: it stays in their failure domain while it can. */
  private _hasAlternative(): boolean {
    const { failureDomain } = this._self;
    return this._exchange.listLive().some((member) => member.failureDomain === failureDomain);
  }

  private _createPlacement(): Placement {
    return new Placement({
      id: this._self.id,
      address: this._self.address,
      failureDomain: this._self.failureDomain,
      clock: this._clock,
      random: this._random,
      counters: this._counters,
      log: this._log,
      loads: this._loads,
      limits: this._limits,
      misdirections: this._misdirections,
      isOwnedBy: (incarnation, address) =>
        this._directory.findOwnerOfIncarnation(incarnation)?.address === address,
      findOwners: ({ service, model, allowedDomains }) => {
        const configuration = this._table?.configuration;
        return configuration ? this._directory.findOwners(configuration, service, model, allowedDomains) : [];
      },
      findOwner: (target) => this._directory.findOwner(target),
      owners: () => this._ownership.listAddresses(),
      send: (address, message) => {
        this._exchange.send(address, message);
      },
      chooseLocally: (criteria) => this._chooseTarget(criteria),
      countFree: (criteria) => this._countFreePlaces(criteria),
      findCandidate: (_criteria, key) =>
        this._table && this._directory.findCandidate(this._table.configuration, key),
      avoidedTargets: () => this._listAvoidedTargets(),
      connectedTargets: () => this._directory.findKeys(this._connections.listConnected()),
      describe: () => ({
        demand: Object.fromEntries(this._demand.getNeededGroups(this._clock.monotonic())),
        silent: [...this._silentTargets.list()],
        served: this._describeServed(),
        heads: Object.fromEntries(this._heads.findings()),
      }),
      onReport: (report) => {
        this._applyReport(report);
      },
      onSuspectedOwner: (address) => {
        this._ownership.checkOwner(address);
      },
    });
  }

  private _chooseTarget(criteria: LocalPlacementCriteria): TargetChoice {
    const candidates = this._findCandidates(criteria);
    const exhausted = this._limits.listColdExhausted(criteria.isOwner ? 'fleet' : 'node');
    const choice = chooseTarget(candidates, {
      ...criteria,
      cold: this._limits.listCold(),
      isExact: criteria.isOwner,
      nowMs: this._clock.monotonic(),
      random: this._random,
      health: this._judgeFor(criteria),
      unavailable: this._listUnavailable(criteria),
      evacuations: this._evacuations,
      promptObjectives: this._findPromptObjectives(criteria.service),
    });
    countColdSkip(this._counters, choice, candidates, exhausted);
    this._recordUnreadTokens(criteria, choice);
    if (criteria.isOwner && choice.kind === 'chosen') {
      this._limits.recordGrant(getIncarnationKey(choice.candidate.instance));
    }
    return choice;
  }

  /** This node's rank for a target among all nodes that it has known lately, also those that it cannot reach. */
  private _rankFor(incarnation: string): number {
    const others = this._exchange.listMembers().map(({ node }) => node);
    return rankNode(incarnation, this._self.node, others);
  }

  /** Objectives that the choice of a group has to protect; undefined if the settings do not ask for it. */
  private _findPromptObjectives(service: string): PromptObjectives | undefined {
    const configuration = this._table?.configuration;
    if (!this._settings.routing['prompt-harm'] || !configuration) return undefined;
    if (!this._promptObjectives.has(service))
      this._promptObjectives.set(service, findPromptObjectives(configuration, service));
    return this._promptObjectives.get(service);
  }

  /** Records how many prompt tokens a chosen group had not read yet, and whether that is more than callers bear. */
  private _recordUnreadTokens({ service, isOwner }: LocalPlacementCriteria, choice: TargetChoice): void {
    if (choice.kind === 'none' || !choice.candidate.engine) return;
    const { load, engine } = choice.candidate;
    const unread = Math.min(MAX_RECORDED_TOKENS, load.pendingPromptTokens);
    this._counters.record('monsoonreach_unread_prompt_tokens', unread);
    const objectives = this._findPromptObjectives(service);
    if (!objectives || unread <= computeUnreadBound(engine.profile, engine.model, objectives)) return;
    this._counters.add('monsoonreach_unread_bound_exceeded_total', { by: isOwner ? 'owner' : 'alone' });
  }

  private _judgeFor({ isOwnRequest }: Pick<LocalPlacementCriteria, 'isOwnRequest'>): TargetJudgement {
    return isOwnRequest ? this._health : this._suspicions.judgeForPeers();
  }

  /** Incarnations of instances that take no request; what one said to this node does not concern its peers. */
  private _listUnavailable({ isOwner, isOwnRequest }: LocalPlacementCriteria): ReadonlySet<string> {
    const limited = this._limits.listExhausted(isOwner ? 'fleet' : 'node');
    return isOwnRequest ? new Set([...limited, ...this._availability.listUnavailable()]) : limited;
  }

  private _listAvoidedTargets(): readonly string[] {
    return [
      ...this._health.listSuspects(this._clock.monotonic()),
      ...this._directory.findKeysOfIncarnations(this._availability.listUnavailable()),
    ];
  }

  /** Number of places that responsive targets of this node's shards still have, as far as their limits allow. */
  private _countFreePlaces(
    criteria: Pick<LocalPlacementCriteria, 'service' | 'model' | 'isOwnRequest' | 'allowedDomains'>,
  ): number {
    const candidates = this._findCandidates({ ...criteria, isOwner: true });
    const judgement = this._judgeFor(criteria);
    const nowMs = this._clock.monotonic();
    const limited = this._limits.listExhausted('fleet');
    return candidates
      .filter(
        (candidate) =>
          isAllowedTarget(candidate, criteria.allowedDomains) &&
          !judgement.isSuspect(candidate.key, nowMs) &&
          !limited.has(getIncarnationKey(candidate.instance)) &&
          this._evacuations.findPhaseOf(candidate) === undefined,
      )
      .reduce((sum, { slots, load }) => sum + Math.max(0, slots - load.requests), 0);
  }

  private _findCandidates({
    service,
    model,
    isOwner,
  }: Pick<LocalPlacementCriteria, 'service' | 'model' | 'isOwner'>): readonly TargetCandidate[] {
    const configuration = this._table?.configuration;
    if (!configuration) return [];
    return isOwner
      ? this._directory.findOwnCandidates(configuration, service, model)
      : this._directory.findCandidates(configuration, service, model);
  }

  /** Age of the last bytes from each target that has served this node lately, in milliseconds. */
  private _describeServed(): Readonly<Record<string, number>> {
    const nowMs = this._clock.monotonic();
    const served = this._health.listProgress(nowMs - MAX_SOUND_SILENCE_MS);
    return Object.fromEntries([...served].map(([target, atMs]) => [target, Math.round(nowMs - atMs)]));
  }

  /** Nodes that have requests at a target. */
  private _listUsers(target: string): readonly string[] {
    const peers = this._loads.listPeersAt(target);
    return this._loads.hasOwnLoad(target) ? [...peers, this._self.id] : peers;
  }

  private _createPlanning(): Planning {
    return new Planning({
      node: this._self.id,
      list: this._list,
      ownership: this._ownership,
      clock: this._clock,
      counters: this._counters,
      log: this._log,
      configuration: () => (this._hasList ? this._table?.configuration : undefined),
      isListSettled: () => this._isListSettled() && this._isListKnown(),
      demand: () => this._reports.sumDemand(this._demand.getNeededGroups(this._clock.monotonic())),
      hasTraffic: () => this._hasFleetTraffic(),
      evacuations: this._evacuations,
      heads: this._heads,
      removed: this._removed,
      countNodes: () => this._exchange.size + 1,
      listUsers: (group) => this._listUsers(group),
      getServedAtMs: (group) =>
        Math.max(this._health.getProgressAtMs(group), this._reports.getServedAtMs(group)),
    });
  }

  private _createConfigurationFollower(): KeyedFollower {
    // At the end of a hold, the next answer has to come soon, as it confirms the keys.
    const waitMs = () => {
      const { heldForMs } = this._trust;
      return heldForMs > 0
        ? Math.min(CONFIGURATION_WAIT_MS, heldForMs + HOLD_SLACK_MS)
        : CONFIGURATION_WAIT_MS;
    };
    return new KeyedFollower({
      topic: Topic.operator,
      sources: this._sources,
      clock: this._clock,
      random: this._random,
      log: this._log,
      waitMs,
      peerWaitMs: waitMs,
      intervalMs: () => 0,
      onSnapshot: (records) => {
        // The configuration lets the requests that wait at the start gate pass.
        this._applyEvacuationSnapshot(records);
        for (const record of records) this._applyConfiguration(record, false);
      },
      onChanges: (records) => {
        for (const record of records) {
          this._applyConfiguration(record, true);
          this._applyEvacuationChange(record);
        }
      },
      onContact: (atMs, askedAtMs) => {
        this._keyConfirmation.confirm(atMs, askedAtMs);
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
      waitMs: () => 0,
      peerWaitMs: () => PEER_LIST_WAIT_MS,
      intervalMs: () => (this._planning.isBusy ? BUSY_LIST_INTERVAL_MS : LIST_INTERVAL_MS),
      peerIntervalMs: PEER_LIST_INTERVAL_MS,
      onSnapshot: (records) => {
        this._list.replaceAll(records);
        this._cold.update();
        this._hasList = true;
        this._listReadAtMs = Math.min(this._listReadAtMs, this._clock.monotonic());
        this._openGateIfReady();
      },
      onChanges: (records) => {
        this._list.applyChanges(records);
        this._cold.update();
      },
    });
  }

  private _applyConfiguration({ key, value, offset }: KeyedRecord, isChange: boolean): void {
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
    const { version } = configuration;
    this._keyConfirmation.recordRead({ version, offset, isChange });
    const current = this._table?.configuration.version ?? -Infinity;
    if (version <= current) return;
    this._table = new RouteTable(configuration);
    this._promptObjectives.clear();
    this._front.configure(configuration.limits);
    this._cold.update();
    this._openGateIfReady();
    this._log.info('configuration in force', {
      version,
      before: current,
      routes: configuration.routes.length,
    });
  }

  /** A snapshot holds all keys: an order that is not in it is no longer in force. */
  private _applyEvacuationSnapshot(records: readonly KeyedRecord[]): void {
    this._recordEvacuations(this._evacuations.applySnapshot(records.flatMap(toEvacuationOrders)));
  }

  private _applyEvacuationChange(record: KeyedRecord): void {
    const failureDomain = parseEvacuationKey(record.key);
    if (failureDomain === undefined) return;
    const order = { failureDomain, offset: record.offset };
    // The contact is that of the previous answer, in which this record was not yet.
    const previousAtMs = this._configurationFollower.mirror.contactAtMs;
    this._recordEvacuations(
      hasValue(record) ? this._evacuations.order(order, previousAtMs) : this._evacuations.revoke(order),
    );
  }

  private _recordEvacuations(events: readonly EvacuationEvent[]): void {
    if (events.length === 0) return;
    for (const { kind, failureDomain, offset, ...event } of events) {
      this._log.info(EVACUATION_MESSAGES[kind], { failureDomain, offset, ...event });
      if (kind === 'revoked') this._counters.set('monsoonreach_evacuated_requests', 0, { failureDomain });
    }
    this._counters.set('monsoonreach_evacuated_domains', this._evacuations.list().length);
  }

  /** Reports phases that have changed, and counts this node's requests that still run in evacuated failure domains. */
  private _checkEvacuations(): void {
    if (this._evacuations.isEmpty) return;
    this._recordEvacuations(this._evacuations.advance());
    const targets = [...this._runs].flatMap((run) => run.listTargets());
    for (const { failureDomain } of this._evacuations.list()) {
      const running = targets.filter((target) => listFailureDomains(target).includes(failureDomain));
      this._counters.set('monsoonreach_evacuated_requests', running.length, { failureDomain });
    }
  }

  private _openGateIfReady(): void {
    if (this._table && this._hasList) this._gate.open();
  }

  private _describeState(): OwnState {
    return {
      storeAgeMs: Math.min(MAX_STORE_AGE_MS, Math.ceil(this._trust.ageMs())),
      isFirstHand: this._configurationFollower.mirror.isFirstHand && this._listFollower.mirror.isFirstHand,
      configurationVersion: this._table?.configuration.version ?? -1,
      isLeaving: this._front.isDraining,
      hasTraffic: this._hasTraffic,
      ...this._ownership.describe(),
      crashes: [...this._crashes.describe()],
      removed: this._removed.describe(),
    };
  }

  private _applyDigest(digest: Digest, address: string, receivedAtMs: number): void {
    this._ownership.answerDigest(digest, address);
    this._crashes.receive({ address, evidence: digest.crashes });
    this._removed.recordPeer(digest.removed);
    if (digest.hasTraffic) this._hasPeerTraffic = true;
    // It confirms no keys: it may have waited for long, on its way or while this process stood still.
    this._keyConfirmation.recordPeer(digest.configurationVersion, receivedAtMs);
  }

  private _handleMessage(message: Exclude<PeerMessage, MembershipMessage>): void {
    switch (message.kind) {
      case 'ownership':
        this._ownership.receive(message);
        return;
      case 'report':
      case 'ask':
      case 'grant':
        this._placement.receive(message);
        return;
      case 'crashes':
        this._crashes.receive(message);
    }
  }

  private _applyReport(report: ReportMessage): void {
    this._reports.record(report);
    this._heads.recordPeer(report.sender, new Map(Object.entries(report.heads)));
    for (const key of report.silent) {
      this._planning.suspectGroup(key, report.sender);
      this._suspicions.applyReport(key);
    }
  }

  private _hasFleetTraffic(): boolean {
    return this._hasTraffic || this._hasPeerTraffic;
  }

  /** Whether the instance list is complete: after an outage entries reappear, and at the start they appear one by one. */
  private _isListSettled(): boolean {
    const nowMs = this._clock.monotonic();
    if (!this._hasList || this._listFollower.isFailing) return false;
    if (this._list.currentAtMs - this._listReconnectedAtMs < MISSING_ENTRY_GRACE_MS) return false;
    return this._hasFleetTraffic() || nowMs - this._list.lastAddedAtMs > START_SETTLE_MS;
  }

  /** Whether this node would have seen if the store had been restored lately: just started, it cannot tell. */
  private _isListKnown(): boolean {
    if (this._settings.node['first-start']) return true;
    return this._list.currentAtMs - this._listReadAtMs >= MISSING_ENTRY_GRACE_MS;
  }

  private _reportSilentTarget({ key }: TargetCandidate): void {
    this._counters.add('monsoonreach_silent_targets_total');
    this._silentTargets.record(key);
    this._planning.suspectGroup(key, this._self.id);
    const owner = this._directory.findOwner(key);
    if (owner) this._placement.reportNow(owner.address);
  }

  private _runChecks(): void {
    const nowMs = this._clock.monotonic();
    if (this._trust.detectClockJump()) this._log.warn('clock jump detected; keys are not trusted', {});
    if (this._runs.size > 0) this._hasTraffic = true;
    this._askContact(nowMs);
    this._checkEvacuations();
    for (const run of this._runs) run.checkProgress(nowMs);
    this._placement.tick(nowMs);
    this._crashes.tick();
    this._list.removeExpired();
    this._cold.update();
    if (!this._listFollower.isFailing) this._heads.tick();
  }

  /** Asks peers for their contact with the store when this node's own contact is not recent. */
  private _askContact(nowMs: number): void {
    const isDue = nowMs - this._contactAskedAtMs >= CONTACT_ASK_INTERVAL_MS;
    if (!isDue || this._trust.ageMs() < CONTACT_ASK_AGE_MS) return;
    this._contactAskedAtMs = nowMs;
    this._exchange.askContact();
  }

  private _listen(
    address: string,
    answer: (path: string) => { readonly status: number; readonly text: string } | undefined,
  ): Promise<void> {
    const { host, port } = splitAddress(address);
    const connections = new CallerConnections(this._clock, {
      memory: this._callerMemory,
      maxConnections: MAX_OPERATOR_CONNECTIONS,
      onLimit: (limit) => {
        this._reportCallerLimit(limit);
      },
    });
    const options = {
      maxHeaderSize: MAX_OPERATOR_HEADER_BYTES,
      headersTimeout: OPERATOR_HEAD_TIMEOUT_MS,
      requestTimeout: OPERATOR_HEAD_TIMEOUT_MS,
      connectionsCheckingInterval: 1_000,
    };
    const server = createServer(options, (request, response) => {
      if (!connections.startRequest(response)) return;
      const { status, text } = answer(request.url ?? '/') ?? { status: 404, text: '' };
      response.writeHead(status, { 'Content-Type': 'text/plain', 'Content-Length': Buffer.byteLength(text) });
      response.end(text);
    });
    connections.attach(server);
    this._callerConnections.push(connections);
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen({ host, port }, resolve);
    });
  }
}

const EVACUATION_MESSAGES: Readonly<Record<EvacuationEvent['kind'], string>> = {
  ordered: 'evacuation ordered',
  phase: 'evacuation phase changed',
  revoked: 'evacuation revoked',
};

/** Whether a record orders what its key names; one without a value revokes it. */
function hasValue({ value }: KeyedRecord): boolean {
  return value !== undefined && value.length > 0;
}

function toEvacuationOrders(record: KeyedRecord): readonly EvacuationRecord[] {
  const failureDomain = parseEvacuationKey(record.key);
  return failureDomain === undefined || !hasValue(record) ? [] : [{ failureDomain, offset: record.offset }];
}

/** Characters that distinguish the starts of a node. */
const INCARNATION_LENGTH = 8;
/** Longest time for which a node looks for others before it reads the store itself, in milliseconds. */
const MAX_DISCOVERY_WAIT_MS = 300;
/** The same at the first start of the system, before there is traffic. */
const MAX_FIRST_DISCOVERY_WAIT_MS = 1_500;
/** Longest age that is sent, in milliseconds; JSON cannot represent infinity. */
const MAX_STORE_AGE_MS = 1_000_000;
/** Age of the contact with the store from which on peers are asked for theirs, in milliseconds; above that of usual reads. */
const CONTACT_ASK_AGE_MS = 1_500;
/** Interval of these questions, in milliseconds. */
const CONTACT_ASK_INTERVAL_MS = 200;
/** Largest size of all incomplete answers that are kept together, in bytes. */
const MAX_TOTAL_BUFFERED_BYTES = 16_777_216;
/** Time without a new instance after which the first groups may be planned, in milliseconds; two reads of the list. */
const START_SETTLE_MS = 1_000;
