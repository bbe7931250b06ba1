import { type ChildProcess, spawn } from 'node:child_process';
import { createWriteStream, mkdtempSync, readdirSync, readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { InstanceFleet, type InstanceStandin } from '../platform/instanceStandin.js';
import { createConfiguration, formatSettings } from '../platform/platformFleet.js';
import { type StoreCopy, StoreStandin } from '../platform/storeStandin.js';
import { sleep } from '../standins/http.js';
import { findFreePorts } from '../support/ports.js';
import { FaultProxy } from './faultProxy.js';

/** Number of events in a complete stream. */
export const EVENTS_PER_STREAM = 30;
/** Time after which a stopping node is killed, in milliseconds. */
const STOP_GRACE_MS = 8_000;
const DOMAINS = ['zone-1', 'zone-2', 'zone-3'];
const ENGINES_PER_DOMAIN = 7;
const FABRIC_DOMAINS = 2;
const PLAIN_INSTANCES = 3;
/** Time in which all that the operator and the instances wrote is in a restored store again, in milliseconds. */
const REWRITE_MS = 1_900;

/** A node process under test: its ports, files and faults. */
export interface SoakNode {
  readonly name: string;
  readonly front: number;
  readonly readiness: number;
  readonly metrics: number;
  readonly settings: string;
  readonly log: string;
  /** Proxy between the node and the store. */
  readonly storeLink: FaultProxy;
  child: ChildProcess | undefined;
  /** Whether the process was told to stop and has not been started again. */
  isTerminating: boolean;
  /** Until when a fault affects the node or its link to the store; wall-clock milliseconds. */
  harmedUntilMs: number;
  /** When the node was last told to stop; wall-clock milliseconds. */
  stoppedAtMs: number;
}

/** Options of the fleet. */
export interface SoakFleetOptions {
  readonly nodes: number;
  /** Path of the bundled program. */
  readonly program: string;
}

/** Real node processes, stand-ins of the store and the instances, and a fault proxy on each link between them. */
export class SoakFleet {
  readonly directory = mkdtempSync(join(tmpdir(), 'monsoonreach-soak-'));
  readonly store = new StoreStandin();
  readonly instances = new InstanceFleet(this.store, EVENTS_PER_STREAM);
  readonly nodes: SoakNode[] = [];
  readonly instanceLinks = new Map<string, FaultProxy>();
  /** Version of the last published configuration. */
  version = 1;
  /** Whether all that happened was planned: nodes and targets that stop or leave, and changes. */
  isPlannedWorkOnly = true;
  /** Whether nothing happened but resets of connections, and planned work at the nodes; every target serves. */
  areTargetsSound = true;
  /** When connections to all targets were reset; wall-clock milliseconds. */
  readonly resetsAtMs: number[] = [];
  /** Until when a fault affects the store, a target or a link to a target; wall-clock milliseconds. */
  harmedUntilMs = 0;
  private _storeAddress = '';
  private _isStopping = false;

  constructor(private readonly _options: SoakFleetOptions) {}

  async start(): Promise<void> {
    this._storeAddress = await this.store.start();
    this.store.put('keyed.op', 'config', createConfiguration(this.version));
    for (let domain = 0; domain < FABRIC_DOMAINS; domain++) {
      for (let index = 0; index < ENGINES_PER_DOMAIN; index++) {
        await this.addInstance(`engine-${domain}-${index}`, 'engines', `fabric-${domain}`);
      }
    }
    for (let index = 0; index < PLAIN_INSTANCES; index++) {
      await this.addInstance(`plain-${index}`, 'plain', 'fabric-0');
    }
    for (let index = 0; index < this._options.nodes; index++) this.nodes.push(await this._createNode(index));
    for (const node of this.nodes) this.startNode(node);
    await this._waitUntilServing();
  }

  /** Adds an instance behind its own fault proxy. */
  async addInstance(id: string, service: string, fabricDomain: string): Promise<InstanceStandin> {
    const [port = 0] = await findFreePorts(1);
    const link = new FaultProxy(() => this.instances.instances.get(id)?.address ?? '');
    await link.listen(port);
    this.instanceLinks.set(id, link);
    return this.instances.add(id, service, fabricDomain, `127.0.0.1:${port}`);
  }

  /** Starts the node's process. */
  startNode(node: SoakNode): void {
    const preload = fileURLToPath(new URL('../../../tests/soak/clockStep.js', import.meta.url));
    const args = ['--max-old-space-size=128', '--import', preload, this._options.program, node.settings];
    const child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'pipe'] });
    node.child = child;
    node.isTerminating = false;
    const log = createWriteStream(node.log, { flags: 'a' });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
  }

  /** Stops the node's process with a signal and starts it again `downMs` after its exit. */
  async restartNode(node: SoakNode, signal: 'SIGKILL' | 'SIGTERM', downMs: number): Promise<void> {
    const { child } = node;
    if (!child || child.exitCode !== null || child.signalCode !== null) return;
    const exited = new Promise((resolve) => child.once('exit', resolve));
    if (signal === 'SIGTERM') {
      node.stoppedAtMs = Date.now();
      node.isTerminating = true;
    }
    child.kill(signal);
    child.kill('SIGCONT');
    const killTimer = setTimeout(() => child.kill('SIGKILL'), STOP_GRACE_MS);
    await exited;
    clearTimeout(killTimer);
    await sleep(downMs);
    // Two faults may have stopped the same process; one of them starts it again.
    if (!this._isStopping && node.child === child) this.startNode(node);
  }

  /** Publishes a new configuration version with these API keys. */
  publish(keys: readonly string[]): void {
    this.version++;
    this.store.put('keyed.op', 'config', createConfiguration(this.version, keys));
  }

  /**
   * Lets the store come back from a copy, and answer again. The operator and the instances then write again what they
   * wrote since; entries that were removed meanwhile are removed again.
   */
  async restoreStore(copy: StoreCopy, getKeys: () => readonly string[]): Promise<void> {
    const listed = new Set(this.store.listKeys('keyed.servers'));
    this.store.restore(copy);
    this.store.mode = 'well';
    const instances = [...this.instances.instances.values()];
    const pauseMs = REWRITE_MS / (instances.length + 1);
    for (const instance of instances) {
      await sleep(pauseMs);
      if (listed.has(instance.id)) instance.announce();
      else if (this.store.listKeys('keyed.servers').includes(instance.id))
        this.store.put('keyed.servers', instance.id, undefined);
    }
    await sleep(pauseMs);
    this.store.put('keyed.op', 'config', createConfiguration(this.version, getKeys()));
  }

  /** Records that a fault affects everything outside the nodes for `forMs` milliseconds. */
  harm(forMs: number): void {
    this.harmedUntilMs = Math.max(this.harmedUntilMs, Date.now() + forMs);
  }

  /** Finds the log lines of all nodes that contain a request id. */
  findLogLines(requestId: string): readonly string[] {
    return readdirSync(this.directory)
      .filter((file) => file.endsWith('.log'))
      .flatMap((file) =>
        readFileSync(join(this.directory, file), 'utf8')
          .split('\n')
          .filter((line) => line.includes(requestId))
          .map((line) => `${file}: ${line}`),
      );
  }

  async isReady(node: SoakNode): Promise<boolean> {
    try {
      const response = await fetch(`http://127.0.0.1:${node.readiness}/v1/readyz`, {
        signal: AbortSignal.timeout(900),
      });
      return response.status === 200;
    } catch {
      // For the balancer, a node that does not answer is not ready, whatever the cause.
      return false;
    }
  }

  async stop(): Promise<void> {
    this._isStopping = true;
    for (const { child } of this.nodes) {
      child?.kill('SIGKILL');
      child?.kill('SIGCONT');
    }
    for (const link of [...this.instanceLinks.values(), ...this.nodes.map(({ storeLink }) => storeLink)]) {
      link.close();
    }
    this.instances.stop();
    this.store.stop();
    await sleep(100);
  }

  private async _createNode(index: number): Promise<SoakNode> {
    const [front = 0, readiness = 0, peers = 0, metrics = 0, storePort = 0] = await findFreePorts(5);
    const storeLink = new FaultProxy(() => this._storeAddress);
    await storeLink.listen(storePort);
    const name = `node-${index}`;
    const settings = join(this.directory, `${name}.ini`);
    const store = `127.0.0.1:${storePort}`;
    const domain = DOMAINS[index % DOMAINS.length] ?? '';
    writeFileSync(
      settings,
      formatSettings({ name, domain, store, front, readiness, peers, metrics, log: 'json' }),
    );
    const log = join(this.directory, `${name}.log`);
    const times = { harmedUntilMs: 0, stoppedAtMs: 0, isTerminating: false };
    return { name, front, readiness, metrics, settings, log, storeLink, child: undefined, ...times };
  }

  private async _waitUntilServing(): Promise<void> {
    for (let attempts = 0; attempts < 600; attempts++) {
      const openInstances = [...this.instances.instances.values()].filter(
        ({ group }) => group?.state === 'open',
      );
      const ready = await Promise.all(this.nodes.map((node) => this.isReady(node)));
      if (openInstances.length >= FABRIC_DOMAINS && ready.every((isReady) => isReady)) return;
      await sleep(100);
    }
    throw new Error(
      `Timed out waiting for all nodes to be ready and for an open group in each fabric domain; see the logs in ${this.directory}.`,
    );
  }
}
