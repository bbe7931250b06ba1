// Starts the program of the deploy file as the platform does: its command, with its settings template filled in.
import { spawn } from 'node:child_process';
import { createSocket } from 'node:dgram';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';

export const ROOT = resolve(import.meta.dirname, '../..');

/** Bounds of the site skorsten-drift. */
export const BOUNDS = {
  stableWindowMs: 3_000,
  drainMs: 2_000,
  graceS: 8,
  lossSlackMs: 200,
  configApplyMs: 2_000,
  revokeMs: 5_000,
  retryBudgetRatio: 0.2,
  retryWindowS: 10,
  retrySlack: 130,
};

/** Ports below those that the system gives to outgoing connections, which could take them at any moment. */
const FIRST_PORT = 12_000;
const PORT_COUNT = 18_000;

function canListen(port) {
  return new Promise((done) => {
    const server = createServer();
    server.once('error', () => done(false));
    server.listen(port, '127.0.0.1', () => server.close(() => done(true)));
  });
}

function canReceive(port) {
  return new Promise((done) => {
    const socket = createSocket('udp4');
    socket.once('error', () => done(false));
    socket.bind(port, '127.0.0.1', () => socket.close(() => done(true)));
  });
}

/** Returns ports that are free for TCP and UDP now. */
export async function findFreePorts(count) {
  const ports = new Set();
  while (ports.size < count) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
    if (!ports.has(port) && (await canListen(port)) && (await canReceive(port))) ports.add(port);
  }
  return [...ports];
}

/** Settings of one machine, as the platform hands them to a template; `machine` overrides any of them. */
export async function createSettings(name, storeAddress, machine = {}) {
  const [front, ready, peers, metrics] = await findFreePorts(4);
  return {
    nodeName: name,
    ip: '127.0.0.1',
    zone: 'zone-1',
    zones: { 'zone-1': 'region-1' },
    listen: { front: `127.0.0.1:${front}`, ready: `127.0.0.1:${ready}` },
    internalPorts: [peers, metrics],
    bootstrap: true,
    limits: { cpuShare: 0.675, cpuCores: 1, memoryMb: 350, maxFds: 4_200 },
    bounds: BOUNDS,
    platformConfig: { address: storeAddress },
    ...machine,
  };
}

const SECTION = /\{\{([#^])([\w.]+)\}\}\n?([\s\S]*?)\{\{\/\2\}\}\n?/g;

/** Fills in a template: sections, then values. */
export function render(template, fields) {
  return template
    .replace(SECTION, (_, kind, path, body) => {
      const value = find(fields, path);
      const isPresent = value !== undefined && value !== null && value !== false;
      if (kind === '^') return isPresent ? '' : render(body, fields);
      if (!isPresent) return '';
      if (typeof value !== 'object') return render(body, fields);
      return Object.entries(value)
        .map(([key, entry]) =>
          body.replaceAll('{{@}}', key).replaceAll('{{.}}', typeof entry === 'object' ? '' : String(entry)),
        )
        .join('');
    })
    .replace(/\{\{([\w.]+)\}\}/g, (_, path) => String(find(fields, path) ?? ''));
}

function find(fields, path) {
  return path.split('.').reduce((value, key) => value?.[key], fields);
}

/** A process of the deploy file. */
export class Program {
  static running = new Set();

  constructor(settings) {
    this.settings = settings;
    this.front = settings.listen.front;
    this.name = settings.nodeName;
    this.output = '';
    this.starts = 0;
  }

  start() {
    const deploy = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
    const [file, ...words] = /^run = "(.*)"$/m.exec(deploy)[1].split(' ');
    const template = readFileSync(join(ROOT, /^template = "(.*)"$/m.exec(deploy)[1]), 'utf8');
    this.folder ??= mkdtempSync(join(tmpdir(), 'monsoonreach-case-'));
    const path = join(this.folder, 'settings');
    writeFileSync(path, render(template, this.settings));
    this.child = spawn(file, words, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: this.folder, MONSOONREACH_NODE_FILE: path },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.starts++;
    Program.running.add(this);
    for (const stream of [this.child.stdout, this.child.stderr])
      stream.on('data', (chunk) => (this.output = (this.output + chunk).slice(-2_000_000)));
    this.ended = new Promise((done) =>
      this.child.once('exit', (code, signal) => {
        Program.running.delete(this);
        this.exit = { code, signal, atMs: Date.now() };
        done(this.exit);
      }),
    );
    return this;
  }

  kill(signal) {
    this.child.kill(signal);
  }

  /** Memory of the process that is not shared with other processes, in bytes; undefined once it has ended. */
  readMemory() {
    try {
      const status = readFileSync(`/proc/${this.child.pid}/status`, 'utf8');
      const kilobytes = /^RssAnon:\s+(\d+)/m.exec(status)?.[1];
      return kilobytes === undefined ? undefined : Number(kilobytes) * 1_024;
    } catch {
      return undefined;
    }
  }

  async waitUntilReady(timeoutMs = 15_000) {
    const endsAtMs = Date.now() + timeoutMs;
    while (Date.now() < endsAtMs) {
      if (await isReady(this.settings.listen.ready)) return true;
      await new Promise((done) => setTimeout(done, 50));
    }
    return false;
  }

  static async stopAll() {
    const programs = [...Program.running];
    for (const program of programs) program.kill('SIGKILL');
    await Promise.all(programs.map(({ ended }) => ended));
    for (const { folder } of programs) rmSync(folder, { recursive: true, force: true });
  }
}

export async function isReady(address) {
  try {
    const response = await fetch(`http://${address}/v1/readyz`, { signal: AbortSignal.timeout(500) });
    await response.arrayBuffer();
    return response.status === 200;
  } catch {
    return false;
  }
}
