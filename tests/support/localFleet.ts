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

/** The token of the workspace that every local fleet has. */
export const TOKENS = { fitters: 'fitters-token', members: 'members-token' } as const;

/** Options of a local fleet. */
export interface LocalFleetOptions {
  readonly entries?: number;
  readonly stewards?: number;
  readonly engines?: number;
  readonly services?: number;
  readonly instancesPerGroup?: number;
  readonly groups?: number;
  readonly checksFencing?: boolean;
  readonly engine?: Readonly<Record<string, unknown>>;
  readonly log?: Readonly<Record<string, unknown>>;
  readonly checkpointEvery?: number;
}

/** One process of the fleet. */
export interface FleetProcess {
  readonly name: string;
  readonly child: ChildProcess;
  /** The address that it serves at: callers' for entries, its own for stand-ins. */
  readonly address: string;
  readonly operators?: string;
  readonly start: () => FleetProcess;
}

/** Real processes on loopback with stand-ins of everything outside, for the demo and the history runs. */
export class LocalFleet {
  readonly directory = mkdtempSync(join(tmpdir(), 'monsoonreach-'));
  readonly journal = join(this.directory, 'journal.jsonl');
  readonly entries: FleetProcess[] = [];
  readonly stewards: FleetProcess[] = [];
  readonly engines: FleetProcess[] = [];
  readonly services: FleetProcess[] = [];
  log!: FleetProcess;
  liveList!: FleetProcess;
  private _areLogsKept = false;

  constructor(private readonly _options: LocalFleetOptions = {}) {}

  /** Starts everything, publishes a configuration, and waits until the groups serve. */
  async start(): Promise<void> {
    const { entries = 3, stewards = 2, engines = 6, services = 2 } = this._options;
    const count = 2 + engines + services + entries * 3 + stewards * 2;
    const ports = [...(await findFreePorts(count))];
    const take = () => ports.shift() ?? 0;
    this.log = this._startStandin('log', take(), this._options.log ?? {});
    this.liveList = this._startStandin('live-list', take(), {});
    for (let index = 0; index < engines; index++) this.engines.push(this._startEngine(index, take()));
    for (let index = 0; index < services; index++) {
      this.services.push(this._startStandin('service', take(), { journal: this.journal }));
    }
    const peers = Array.from({ length: entries + stewards }, () => `127.0.0.1:${take()}`);
    for (let index = 0; index < entries; index++)
      this.entries.push(this._startEntry(index, peers, take(), take()));
    for (let index = 0; index < stewards; index++)
      this.stewards.push(this._startSteward(index, peers, entries, take()));
    await this._waitForLog();
    await this.publish(this.configuration());
    await this.waitUntil('entries to be ready', async () => (await this.readyEntries()) === entries);
  }

  /** The configuration of this fleet. */
  configuration(version = '2026-12-1'): string {
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

  /** Publishes a configuration on top of the current one; returns its position. */
  async publish(text: string): Promise<number> {
    const log = new HttpLog(this.log.address);
    const publisher = new Publisher({ log, clock: systemClock, operator: 'local-operator' });
    const current = await publisher.readCurrent();
    const position = await publisher.publish(text, current?.position ?? 0);
    await log.close();
    return position;
  }

  async readyEntries(): Promise<number> {
    const answers = await Promise.all(this.entries.map(({ address }) => isOk(`http://${address}/readyz`)));
    return answers.filter((isReady) => isReady).length;
  }

  /** The status of a process as it tells its operators. */
  async status(process: FleetProcess): Promise<Readonly<Record<string, unknown>>> {
    const response = await fetch(`http://${process.operators}/status`, {
      signal: AbortSignal.timeout(2_000),
    });
    return (await response.json()) as Record<string, unknown>;
  }

  /** Groups that one entry may give work to. */
  async servingGroups(entry: FleetProcess): Promise<readonly string[]> {
    const status = await this.status(entry).catch(() => ({}));
    const serving = (status as { readonly servingGroups?: Record<string, readonly string[]> }).servingGroups;
    return serving?.['assistant'] ?? [];
  }

  async waitUntil(awaited: string, isDone: () => Promise<boolean>, timeoutMs = 30_000): Promise<void> {
    const endsAtMs = Date.now() + timeoutMs;
    while (Date.now() < endsAtMs) {
      if (await isDone().catch(() => false)) return;
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
    }
    this._areLogsKept = true;
    throw new Error(`Timed out waiting for ${awaited}; see the logs in ${this.directory}.`);
  }

  /** Sends a signal to one process. */
  signal(process: FleetProcess, signal: NodeJS.Signals): void {
    process.child.kill(signal);
  }

  /** Starts a process again in place of one that ended. */
  restart(list: FleetProcess[], process: FleetProcess): FleetProcess {
    const next = process.start();
    list[list.indexOf(process)] = next;
    return next;
  }

  /** What the stand-ins did. */
  readJournal(): readonly Readonly<Record<string, unknown>>[] {
    if (!existsSync(this.journal)) return [];
    const lines = readFileSync(this.journal, 'utf8').split('\n');
    return lines.filter((line) => line !== '').map((line) => JSON.parse(line) as Record<string, unknown>);
  }

  /** Ends every process that this fleet started. */
  async stop(): Promise<void> {
    const all = [
      ...this.entries,
      ...this.stewards,
      ...this.engines,
      ...this.services,
      this.log,
      this.liveList,
    ];
    await Promise.all(all.map(({ child }) => endProcess(child)));
    if (!this._areLogsKept) rmSync(this.directory, { recursive: true, force: true });
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
    callers: number,
    operators: number,
  ): FleetProcess {
    const settings = `${this._commonSettings(index, peers, operators)}
[callers]
address = 127.0.0.1:${callers}
balancer-delay = 300ms
drain-timeout = 30s
`;
    return this._startDaemon(`entry-${index}`, ENTRY, settings, `127.0.0.1:${callers}`, operators);
  }

  private _startSteward(
    index: number,
    peers: readonly string[],
    entries: number,
    operators: number,
  ): FleetProcess {
    const settings = `${this._commonSettings(entries + index, peers, operators)}
[planning]
checkpoint-every = ${this._options.checkpointEvery ?? 5000}
`;
    const peer = peers[entries + index] ?? '';
    return this._startDaemon(`steward-${index}`, STEWARD, settings, peer, operators);
  }

  private _commonSettings(index: number, peers: readonly string[], operators: number): string {
    return `[node]
peers-address = ${peers[index]}
operators-address = 127.0.0.1:${operators}
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
    operators: number,
  ): FleetProcess {
    const path = join(this.directory, `${name}.ini`);
    writeFileSync(path, settings);
    const start = (): FleetProcess => ({
      name,
      address,
      operators: `127.0.0.1:${operators}`,
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

function endProcess(child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) return Promise.resolve();
  return new Promise((resolve) => {
    child.once('exit', () => {
      resolve();
    });
    child.kill('SIGKILL');
  });
}
