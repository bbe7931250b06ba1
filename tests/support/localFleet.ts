import { type ChildProcess, spawn } from 'node:child_process';
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync, existsSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { sha256, systemClock } from '@monsoonreach/core';
import { Publisher } from '@monsoonreach/operators';
import { HttpLog } from '@monsoonreach/log';
import { findFreePorts } from './ports.js';

const ROOT = fileURLToPath(new URL('../../../', import.meta.url));
const STANDIN = join(ROOT, 'build/tests/standins/main.js');
const ENTRY = join(ROOT, 'packages/entry/lib/main.js');
const STEWARD = join(ROOT, 'packages/steward/lib/main.js');
const POLL_MS = 50;

/** Tokens of the two workspaces that every local fleet has. */
export const TOKENS = { fitters: 'fitters-token', members: 'members-token' } as const;

/** How many processes of each kind to start and how they behave. */
export interface LocalFleetOptions {
  readonly entries?: number;
  readonly stewards?: number;
  readonly engines?: number;
  readonly services?: number;
  readonly instancesPerGroup?: number;
  readonly groups?: number;
  readonly checksFencing?: boolean;
  /** Further options of the engine stand-ins. */
  readonly engine?: Readonly<Record<string, unknown>>;
  /** Further options of the service stand-ins. */
  readonly service?: Readonly<Record<string, unknown>>;
  /** Duration after which an entry cuts what is left in a stop, with its unit; 30s by default. */
  readonly drainTimeout?: string;
  /** Options of the log stand-in. */
  readonly log?: Readonly<Record<string, unknown>>;
  /** Records between two checkpoints of a steward; 5,000 by default. */
  readonly checkpointEvery?: number;
}

/** One process of the fleet. `start` spawns it again with the same arguments. */
export interface FleetProcess {
  readonly name: string;
  readonly child: ChildProcess;
  /** Where it listens: for callers (entries), for peers (stewards), or its only address (stand-ins). */
  readonly address: string;
  /** Where it listens for operators; undefined for stand-ins. */
  readonly operatorsAddress?: string;
  readonly start: () => FleetProcess;
}

/** Runs real processes on loopback, with stand-ins for all external services, for the demo, tests and benchmarks. */
export class LocalFleet {
  readonly directory = mkdtempSync(join(tmpdir(), 'monsoonreach-'));
  readonly journal = join(this.directory, 'journal.jsonl');
  readonly entries: FleetProcess[] = [];
  readonly stewards: FleetProcess[] = [];
  readonly engines: FleetProcess[] = [];
  readonly services: FleetProcess[] = [];
  log!: FleetProcess;
  liveList!: FleetProcess;
  private _isKeepingLogs = false;

  constructor(private readonly _options: LocalFleetOptions = {}) {}

  /** Starts all processes, publishes a configuration, and waits until every entry is ready. */
  async start(): Promise<void> {
    const { entries = 3, stewards = 2, engines = 6, services = 2 } = this._options;
    const count = 2 + engines + services + entries * 3 + stewards * 2;
    const ports = [...(await findFreePorts(count))];
    const takePort = () => ports.shift() ?? 0;
    this.log = this._startStandin('log', takePort(), this._options.log ?? {});
    this.liveList = this._startStandin('live-list', takePort(), {});
    for (let index = 0; index < engines; index++) this.engines.push(this._startEngine(index, takePort()));
    for (let index = 0; index < services; index++) {
      this.services.push(
        this._startStandin('service', takePort(), { journal: this.journal, ...this._options.service }),
      );
    }
    const peers = Array.from({ length: entries + stewards }, () => `127.0.0.1:${takePort()}`);
    for (let index = 0; index < entries; index++)
      this.entries.push(this._startEntry(index, peers, takePort(), takePort()));
    for (let index = 0; index < stewards; index++)
      this.stewards.push(this._startSteward(index, peers, entries, takePort()));
    await this._waitForLog();
    await this.publish(this.createConfiguration());
    await this.waitUntil('entries to be ready', async () => (await this.countReadyEntries()) === entries);
  }

  /** Returns the configuration of this fleet; `version` is that of the model. */
  createConfiguration(version = '2026-12-1'): string {
    const { instancesPerGroup = 2, groups = 2, checksFencing = true } = this._options;
    return `[deployment]
name = local
return-grace = 1s
[limits]
queue-per-workspace = 200
[engine.standin]
resumes = yes
checks-fencing = ${checksFencing ? 'yes' : 'no'}
order-timeout = 1s
[model.assistant]
version = ${version}
engine = standin
groups = ${groups}
instances-per-group = ${instancesPerGroup}
group-concurrency = 32
first-token-timeout = 4s
token-timeout = 2s
deadline = 20s
[service.booking]
targets = ${this.services.map(({ address }) => address).join(',')}
timeout = 2s
[route.orders]
service = booking
method = POST
path = /orders
idempotent = no
[route.slots]
service = booking
path = /slots*
idempotent = yes
[workspace.fitters]
token-sha256 = ${sha256(TOKENS.fitters)}
weight = 4
models = assistant
services = booking
[workspace.members]
token-sha256 = ${sha256(TOKENS.members)}
models = assistant
services = booking
`;
  }

  /** Publishes a configuration based on the current one and returns its position. */
  async publish(text: string): Promise<number> {
    const log = new HttpLog(this.log.address);
    const publisher = new Publisher({ log, clock: systemClock, operator: 'local-operator' });
    const current = await publisher.readCurrent();
    const position = await publisher.publish(text, current?.position ?? 0);
    await log.close();
    return position;
  }

  async countReadyEntries(): Promise<number> {
    const answers = await Promise.all(this.entries.map(({ address }) => isOk(`http://${address}/readyz`)));
    return answers.filter((isReady) => isReady).length;
  }

  /** Reads the status that an entry or steward reports to operators. */
  async readStatus(process: FleetProcess): Promise<Readonly<Record<string, unknown>>> {
    const response = await fetch(`http://${process.operatorsAddress}/status`, {
      signal: AbortSignal.timeout(2_000),
    });
    return (await response.json()) as Record<string, unknown>;
  }

  /** Reads which groups of the model `assistant` an entry dispatches to; none if it does not answer. */
  async readServingGroups(entry: FleetProcess): Promise<readonly string[]> {
    const status = await this.readStatus(entry).catch(() => ({}));
    const serving = (status as { readonly servingGroups?: Record<string, readonly string[]> }).servingGroups;
    return serving?.['assistant'] ?? [];
  }

  /** Polls until `isDone` resolves to true. On a timeout it throws and keeps the logs of the processes. */
  async waitUntil(awaited: string, isDone: () => Promise<boolean>, timeoutMs = 30_000): Promise<void> {
    const endsAtMs = Date.now() + timeoutMs;
    while (Date.now() < endsAtMs) {
      if (await isDone().catch(() => false)) return;
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
    }
    this._isKeepingLogs = true;
    throw new Error(`Timed out waiting for ${awaited}; see the logs in ${this.directory}.`);
  }

  /** Sends a signal to one process. */
  sendSignal(process: FleetProcess, signal: NodeJS.Signals): void {
    process.child.kill(signal);
  }

  /** Starts a process that has exited again and replaces it in `list`. */
  restart(list: FleetProcess[], process: FleetProcess): FleetProcess {
    const restarted = process.start();
    list[list.indexOf(process)] = restarted;
    return restarted;
  }

  /** Reads the events that the stand-ins recorded. */
  readJournal(): readonly Readonly<Record<string, unknown>>[] {
    if (!existsSync(this.journal)) return [];
    const lines = readFileSync(this.journal, 'utf8').split('\n');
    return lines.filter((line) => line !== '').map((line) => JSON.parse(line) as Record<string, unknown>);
  }

  /** Kills every process that this fleet started, and deletes their files unless a wait timed out. */
  async stop(): Promise<void> {
    const processes = [
      ...this.entries,
      ...this.stewards,
      ...this.engines,
      ...this.services,
      this.log,
      this.liveList,
    ];
    await Promise.all(processes.map(({ child }) => killProcess(child)));
    if (!this._isKeepingLogs) rmSync(this.directory, { recursive: true, force: true });
  }

  private _startEngine(index: number, port: number): FleetProcess {
    const domain = String.fromCharCode(97 + (index % 3));
    return this._startStandin('engine', port, {
      failureDomain: domain,
      fabricDomain: 'fabric-1',
      liveList: this.liveList.address,
      checksFencing: this._options.checksFencing ?? true,
      journal: this.journal,
      ...this._options.engine,
    });
  }

  private _startStandin(
    kind: string,
    port: number,
    options: Readonly<Record<string, unknown>>,
  ): FleetProcess {
    const start = (): FleetProcess => ({
      name: `${kind}-${port}`,
      address: `127.0.0.1:${port}`,
      child: this._spawn(`${kind}-${port}`, [STANDIN, kind, JSON.stringify({ ...options, port })]),
      start,
    });
    return start();
  }

  private _startEntry(
    index: number,
    peers: readonly string[],
    callersPort: number,
    operatorsPort: number,
  ): FleetProcess {
    const settings = `${this._formatCommonSettings(index, peers, operatorsPort)}
[callers]
address = 127.0.0.1:${callersPort}
balancer-delay = 300ms
drain-timeout = ${this._options.drainTimeout ?? '30s'}
`;
    return this._startDaemon(`entry-${index}`, ENTRY, settings, `127.0.0.1:${callersPort}`, operatorsPort);
  }

  private _startSteward(
    index: number,
    peers: readonly string[],
    entryCount: number,
    operatorsPort: number,
  ): FleetProcess {
    const settings = `${this._formatCommonSettings(entryCount + index, peers, operatorsPort)}
[planning]
checkpoint-every = ${this._options.checkpointEvery ?? 5000}
`;
    const peersAddress = peers[entryCount + index] ?? '';
    return this._startDaemon(`steward-${index}`, STEWARD, settings, peersAddress, operatorsPort);
  }

  private _formatCommonSettings(index: number, peers: readonly string[], operatorsPort: number): string {
    return `[node]
peers-address = ${peers[index]}
operators-address = 127.0.0.1:${operatorsPort}
failure-domain = ${String.fromCharCode(97 + (index % 3))}
[platform]
log = ${this.log.address}
live-list = ${this.liveList.address}
[peers]
seeds = ${peers.join(',')}
secret = local-secret`;
  }

  private _startDaemon(
    name: string,
    script: string,
    settings: string,
    address: string,
    operatorsPort: number,
  ): FleetProcess {
    const path = join(this.directory, `${name}.ini`);
    writeFileSync(path, settings);
    const start = (): FleetProcess => ({
      name,
      address,
      operatorsAddress: `127.0.0.1:${operatorsPort}`,
      child: this._spawn(name, [script, path]),
      start,
    });
    return start();
  }

  private _spawn(name: string, args: readonly string[]): ChildProcess {
    const child = spawn(process.execPath, args, {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, STANDIN_EXIT_ON_CRASH: 'yes' },
    });
    const output = createWriteStream(join(this.directory, `${name}.log`), { flags: 'a' });
    child.stdout.pipe(output);
    child.stderr.pipe(output);
    return child;
  }

  private async _waitForLog(): Promise<void> {
    await this.waitUntil('the log stand-in', () => isOk(`http://${this.log.address}/counts`));
  }
}

async function isOk(url: string): Promise<boolean> {
  try {
    return (await fetch(url, { signal: AbortSignal.timeout(1_000) })).ok;
  } catch {
    return false;
  }
}

function killProcess(child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) return Promise.resolve();
  return new Promise((resolve) => {
    child.once('exit', () => {
      resolve();
    });
    child.kill('SIGKILL');
  });
}
