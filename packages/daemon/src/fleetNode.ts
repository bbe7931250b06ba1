import { randomUUID } from 'node:crypto';
import {
  type Clock,
  type Configuration,
  type ConfigurationBody,
  type CurrentConfiguration,
  type ConfigurationRejection,
  configurationDefinition,
  type ControlBody,
  type ControlRejection,
  controlDefinition,
  Counters,
  createRandom,
  createErrorReport,
  createLogger,
  type EntrySettings,
  type Freshness,
  type Groups,
  hash32,
  checkFreshness,
  LOG_CONTACT_LIMIT_MS,
  Membership,
  type NodeRole,
  type OwnDigest,
  parseConfiguration,
  type Random,
  type ProcessLogger,
  type Writer,
} from '@monsoonreach/core';
import {
  DigestExchange,
  LogRelay,
  PeerClients,
  PeerServer,
  type PeerTls,
  RelayedLog,
} from '@monsoonreach/peers';
import { HttpLog, StreamFollower } from '@monsoonreach/log';
import type { ConnectRouter } from '@connectrpc/connect';

/** Settings that all daemons have in common. */
export type NodeSettings = Pick<EntrySettings, 'node' | 'platform' | 'peers'>;

export interface FleetNodeOptions {
  readonly settings: NodeSettings;
  readonly role: NodeRole;
  readonly clock: Clock;
  /** The parts of the node's digest that depend on its role. */
  readonly describe: () => Pick<OwnDigest, 'demand' | 'suspects'>;
  /** Called after digests of other nodes were merged. */
  readonly onLearned?: () => void;
  /** Registers further services that the daemon offers to its peers. */
  readonly routes?: (router: ConnectRouter) => void;
}

/** The configuration in force and its position in the configuration stream. */
export interface ConfigurationInForce {
  readonly position: number;
  readonly configuration: Configuration;
}

/** The parts that entries and stewards share: log access, digest exchange, and the configuration in force. */
export class FleetNode {
  readonly counters = new Counters();
  readonly random: Random;
  readonly stateLog: ProcessLogger;
  readonly writer: Writer;
  readonly membership: Membership;
  readonly exchange: DigestExchange;
  readonly clients: PeerClients;
  readonly log: RelayedLog;
  readonly configurationStream: StreamFollower<
    ConfigurationBody,
    ConfigurationRejection,
    CurrentConfiguration
  >;
  readonly controlStream: StreamFollower<ControlBody, ControlRejection, Groups>;
  private readonly _directLog: HttpLog;
  private readonly _peerServer: PeerServer;
  private _configurationInForce: ConfigurationInForce | undefined;
  private _isLeaving = false;

  constructor(private readonly _options: FleetNodeOptions) {
    const { settings, role, clock } = _options;
    const address = settings.node['peers-address'];
    const failureDomain = settings.node['failure-domain'];
    const incarnation = randomUUID();
    this.writer = { address, incarnation };
    this.random = createRandom(hash32(incarnation));
    this.stateLog = createLogger(`monsoonreach-${role}`, settings.node.log);
    const tls = toTls(settings);
    this.clients = new PeerClients({ secret: settings.peers.secret, tls });
    this.membership = new Membership({
      clock,
      random: this.random,
      self: { node: address, incarnation: clock.now(), role, failureDomain },
      seeds: settings.peers.seeds,
    });
    this.exchange = this._createExchange();
    this._directLog = new HttpLog(settings.platform.log);
    const relay = new LogRelay(this._directLog);
    this.log = this._createLog();
    this.configurationStream = new StreamFollower({
      stream: 'config',
      log: this.log,
      clock,
      definition: configurationDefinition,
      onRecord: () => {
        this._applyConfiguration();
      },
    });
    this.controlStream = new StreamFollower({
      stream: 'control',
      log: this.log,
      clock,
      definition: controlDefinition,
    });
    this._peerServer = new PeerServer({
      address,
      secret: settings.peers.secret,
      tls,
      routes: (router) => {
        this.exchange.register(router);
        relay.register(router);
        _options.routes?.(router);
      },
    });
  }

  /** Logs a warning of the runtime. */
  logWarning(warning: Error): void {
    this.stateLog.warn('process warning', { warning: createErrorReport(warning) });
  }

  /** Undefined until a valid configuration was read. */
  get configurationInForce(): ConfigurationInForce | undefined {
    return this._configurationInForce;
  }

  get isLeaving(): boolean {
    return this._isLeaving;
  }

  /** Whether this node's configuration is fresh enough to serve; depends on contact with the log and the peers. */
  freshness(): Freshness {
    const { clock } = this._options;
    const caughtUpAtMs = this.configurationStream.caughtUpAtMs;
    return checkFreshness({
      ownConfiguration: this._configurationInForce?.position ?? 0,
      logContactAgeMs: caughtUpAtMs === undefined ? undefined : clock.monotonic() - caughtUpAtMs,
      peerConfigurations: this._peerConfigurations(),
      fleetSize: this._fleetSize(),
    });
  }

  async start(): Promise<void> {
    await this._peerServer.listen();
    this.exchange.start();
    this.configurationStream.start();
    this.controlStream.start();
  }

  /** Announces to the peers that this node is leaving. */
  announceLeaving(): Promise<void> {
    this._isLeaving = true;
    return this.exchange.exchangeUrgently();
  }

  async stop(): Promise<void> {
    await Promise.all([this.exchange.stop(), this.configurationStream.stop(), this.controlStream.stop()]);
    await this._peerServer.close();
    await this._directLog.close();
  }

  /** Configuration positions of the peers; empty without contact to a peer within `LOG_CONTACT_LIMIT_MS`. */
  private _peerConfigurations(): readonly number[] {
    const silentMs = this._options.clock.monotonic() - this.membership.lastContactAtMs;
    if (silentMs > LOG_CONTACT_LIMIT_MS) return [];
    return this.membership.members().map(({ configuration }) => configuration);
  }

  private _fleetSize(): number {
    const { settings } = this._options;
    const otherSeeds = settings.peers.seeds.filter((seed) => seed !== settings.node['peers-address']);
    const memberNodes = this.membership.members().map(({ node }) => node);
    return new Set([...otherSeeds, ...memberNodes]).size + 1;
  }

  private _createExchange(): DigestExchange {
    const { describe, onLearned } = this._options;
    return new DigestExchange({
      membership: this.membership,
      clients: this.clients,
      counters: this.counters,
      refresh: () => {
        const configuration = this._configurationInForce?.position ?? 0;
        this.membership.updateOwn({ ...describe(), isLeaving: this._isLeaving, configuration });
      },
      onLearned: () => onLearned?.(),
    });
  }

  private _createLog(): RelayedLog {
    const { settings, clock, role } = this._options;
    const failureDomain = settings.node['failure-domain'];
    return new RelayedLog({
      directLog: this._directLog,
      clients: this.clients,
      clock,
      counters: this.counters,
      self: { id: settings.node['peers-address'], failureDomain },
      candidates: () => this.membership.candidates(role),
      relays: settings.peers.relays,
    });
  }

  private _applyConfiguration(): void {
    const current = this.configurationStream.state.current();
    if (!current || current.position === this._configurationInForce?.position) return;
    try {
      this._configurationInForce = {
        position: current.position,
        configuration: parseConfiguration(current.text),
      };
      this.stateLog.info('configuration in force', { position: current.position });
    } catch (error) {
      this.counters.add('monsoonreach_configuration_refusals_total');
      this.stateLog.error('configuration cannot be read; the previous one stays in force', {
        position: current.position,
        message: error instanceof Error ? error.message : String(error),
      });
    }
  }
}

function toTls(settings: NodeSettings): PeerTls | undefined {
  const { certificate, key, ca } = settings.peers;
  return certificate !== undefined && key !== undefined && ca !== undefined
    ? { certificate, key, ca }
    : undefined;
}
