/** Starts the project's node program with the command and the settings template of the deploy file. */
import { spawn } from 'node:child_process';
import { createSocket } from 'node:dgram';
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { setTimeout as sleep } from 'node:timers/promises';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));

/** Bounds of the site icewatch-ne, as its sheet gives them. */
const BOUNDS = {
  graceS: 8,
  revokeMs: 5000,
  retryBudgetRatio: 0.2,
  retryWindowS: 10,
  retrySlack: 132,
};

/** Ports below those that the system gives to outgoing connections, which could take them at any moment. */
const FIRST_PORT = 18_000;
const PORT_COUNT = 12_000;

function canListen(port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

function canReceive(port) {
  return new Promise((resolve) => {
    const socket = createSocket('udp4');
    socket.once('error', () => {
      resolve(false);
    });
    socket.bind(port, '127.0.0.1', () => socket.close(() => resolve(true)));
  });
}

/** Returns ports that are free for TCP and UDP now. */
async function findFreePorts(count) {
  const ports = new Set();
  while (ports.size < count) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
    if (!ports.has(port) && (await canListen(port)) && (await canReceive(port))) ports.add(port);
  }
  return [...ports];
}

function fillTemplate(template, fields) {
  return template.replace(/\{\{([\w.]+)\}\}/g, (_, path) => {
    const value = path.split('.').reduce((part, name) => part?.[name], fields);
    return value === undefined ? '' : String(value);
  });
}

function readRole() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const run = /^run = "([^"]+)"/m.exec(text)[1];
  const template = /^template = "([^"]+)"/m.exec(text)[1];
  return { words: run.split(' '), template: readFileSync(join(ROOT, template), 'utf8') };
}

/** A small deployment: node processes in a temporary folder. */
export class Deployment {
  directory = mkdtempSync(join(tmpdir(), 'review-'));
  nodes = [];
  _role = readRole();

  constructor() {
    // Also when the case ends early, no process stays.
    process.once('exit', () => {
      for (const { child } of this.nodes) child?.kill('SIGKILL');
    });
    for (const signal of ['SIGINT', 'SIGTERM']) {
      process.once(signal, () => process.exit(2));
    }
  }

  /** Starts one node; `storeAddress` is where it reaches the platform's store. */
  async start({ name, zone, storeAddress, isFirstStart = true }) {
    const [front, ready, peers, metrics] = await findFreePorts(4);
    const fields = {
      nodeName: name,
      zone,
      ip: '127.0.0.1',
      bootstrap: isFirstStart,
      limits: { cpuCores: 1, cpuShare: 0.675 },
      listen: { front: `127.0.0.1:${front}`, ready: `127.0.0.1:${ready}` },
      internalPorts: [peers, metrics],
      platformConfig: { address: storeAddress },
      bounds: BOUNDS,
    };
    const settings = join(this.directory, `${name}.ini`);
    writeFileSync(settings, fillTemplate(this._role.template, fields));
    const node = { name, front, ready, settings, log: join(this.directory, `${name}.log`), child: undefined };
    this.nodes.push(node);
    this.launch(node);
    return node;
  }

  /** Starts the process of a node, at first or again. */
  launch(node) {
    const [command, ...args] = this._role.words;
    const output = openSync(node.log, 'a');
    node.child = spawn(command, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, MONSOONREACH_NODE_FILE: node.settings },
      stdio: ['ignore', output, output],
    });
  }

  /** Waits until a node answers the balancer's question with 200. */
  async waitUntilReady(node, timeoutMs = 20_000) {
    const endsAtMs = Date.now() + timeoutMs;
    while (Date.now() < endsAtMs) {
      if (await isReady(node)) return;
      await sleep(50);
    }
    throw new Error(`${node.name} is not ready after ${timeoutMs} ms`);
  }

  /** Ends all processes that were started here. */
  async stop() {
    for (const { child } of this.nodes) {
      if (!child || child.exitCode !== null || child.signalCode !== null) continue;
      const ended = new Promise((resolve) => child.once('exit', resolve));
      child.kill('SIGKILL');
      child.kill('SIGCONT');
      await ended;
    }
    if (!process.env.KEEP) rmSync(this.directory, { recursive: true, force: true });
  }
}

export async function isReady({ ready }) {
  try {
    const answer = await fetch(`http://127.0.0.1:${ready}/v1/readyz`, { signal: AbortSignal.timeout(900) });
    await answer.arrayBuffer();
    return answer.status === 200;
  } catch {
    return false;
  }
}
