import { type ChildProcess, spawn } from 'node:child_process';
import { createWriteStream, mkdtempSync, readdirSync, readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { InstanceFleet, type InstanceStandin } from '../platform/instanceStandin.js';
import { describeConfiguration, settingsText } from '../platform/platformFleet.js';
import { StoreStandin } from '../platform/storeStandin.js';
import { sleep } from '../standins/http.js';
import { findFreePorts } from '../support/ports.js';
import { FaultProxy } from './faultProxy.js';

/** Events of a whole stream. */
export const EVENTS = 30;
/** Time that a stopping node has before it is killed, in milliseconds. */
const GRACE_MS = 8_000;
const DOMAINS = ['zone-1', 'zone-2', 'zone-3'];
const ENGINES_PER_DOMAIN = 7;
const FABRIC_DOMAINS = 2;
const PLAIN_INSTANCES = 3;

/** One process under test. */
export interface SoakNode {
  readonly name: string;
  readonly front: number;
  readonly readiness: number;
  readonly metrics: number;
  readonly settings: string;
  readonly log: string;
  /** Between the node and the store. */
  readonly storeLink: FaultProxy;
  child: ChildProcess | undefined;
  /** Until when the node itself, its links or its store are harmed, and a while longer; wall-clock milliseconds. */
  harmedUntilMs: number;
  /** When it was last told to stop; wall-clock milliseconds. */
  stoppedAtMs: number;
}

/** What a soak runs. */
export interface SoakFleetOptions {
  readonly nodes: number;
  /** The bundled program. */
  readonly program: string;
}

/** Real node processes with stand-ins of everything outside and a proxy on every link that can be harmed. */
export class SoakFleet {
  readonly directory = mkdtempSync(join(tmpdir(), 'monsoonreach-soak-'));
  readonly store = new StoreStandin();
  readonly instances = new InstanceFleet(this.store, EVENTS);
  readonly nodes: SoakNode[] = [];
  readonly instanceLinks = new Map<string, FaultProxy>();
  /** The configuration that the operator has written last. */
  version = 1;
  /** Until when the store, a target or a link to one is harmed; wall-clock milliseconds. */
  harmedUntilMs = 0;
  private _storeAddress = '';
  private _isStopping = false;

  constructor(private readonly _options: SoakFleetOptions) {}

  async start(): Promise<void> {
    this._storeAddress = await this.store.start();
    this.store.put('keyed.op', 'config', describeConfiguration(this.version));
    for (let domain = 0; domain < FABRIC_DOMAINS; domain++) {
      for (let index = 0; index < ENGINES_PER_DOMAIN; index++) {
        await this.addInstance(`engine-${domain}-${index}`, 'engines', `fabric-${domain}`);
      }
    }
    for (let index = 0; index < PLAIN_INSTANCES; index++) {
      await this.addInstance(`plain-${index}`, 'plain', 'fabric-0');
    }
    for (let index = 0; index < this._options.nodes; index++) this.nodes.push(await this._createNode(index));
    for (const node of this.nodes) this.run(node);
    await this._untilServing();
  }

  /** Adds an instance behind a proxy of its own. */
  async addInstance(id: string, service: string, fabricDomain: string): Promise<InstanceStandin> {
    const [port = 0] = await findFreePorts(1);
    const link = new FaultProxy(() => this.instances.instances.get(id)?.address ?? '');
    await link.listen(port);
    this.instanceLinks.set(id, link);
    return this.instances.add(id, service, fabricDomain, `127.0.0.1:${port}`);
  }

  /** Starts the node's program; it is started again whenever it ends. */
  run(node: SoakNode): void {
    const preload = fileURLToPath(new URL('../../../tests/soak/clockStep.js', import.meta.url));
    const args = ['--max-old-space-size=128', '--import', preload, this._options.program, node.settings];
    const child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'pipe'] });
    node.child = child;
    const log = createWriteStream(node.log, { flags: 'a' });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
  }

  /** Ends the process by a signal and starts it again after a while. */
  async restart(node: SoakNode, signal: 'SIGKILL' | 'SIGTERM', downMs: number): Promise<void> {
    const { child } = node;
    if (!child || child.exitCode !== null || child.signalCode !== null) return;
    const exited = new Promise((resolve) => child.once('exit', resolve));
    if (signal === 'SIGTERM') node.stoppedAtMs = Date.now();
    child.kill(signal);
    child.kill('SIGCONT');
    const killer = setTimeout(() => child.kill('SIGKILL'), GRACE_MS);
    await exited;
    clearTimeout(killer);
    await sleep(downMs);
    if (!this._isStopping) this.run(node);
  }

  /** The operator writes a configuration. */
  publish(keys: readonly string[]): void {
    this.version++;
    this.store.put('keyed.op', 'config', describeConfiguration(this.version, keys));
  }

  /** Notes that everything outside the nodes is harmed for that long. */
  harm(forMs: number): void {
    this.harmedUntilMs = Math.max(this.harmedUntilMs, Date.now() + forMs);
  }

  /** Log lines of all nodes that name a request. */
  linesOf(requestId: string): readonly string[] {
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
      // A node that does not answer is not ready; the balancer does not care why.
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
      settingsText({ name, domain, store, front, readiness, peers, metrics, log: 'json' }),
    );
    const log = join(this.directory, `${name}.log`);
    const times = { harmedUntilMs: 0, stoppedAtMs: 0 };
    return { name, front, readiness, metrics, settings, log, storeLink, child: undefined, ...times };
  }

  private async _untilServing(): Promise<void> {
    for (let tries = 0; tries < 600; tries++) {
      const heads = [...this.instances.instances.values()].filter(({ group }) => group?.state === 'open');
      const ready = await Promise.all(this.nodes.map((node) => this.isReady(node)));
      if (heads.length >= FABRIC_DOMAINS && ready.every((isReady) => isReady)) return;
      await sleep(100);
    }
    throw new Error(`Timed out waiting for nodes and groups; see the logs in ${this.directory}.`);
  }
}
