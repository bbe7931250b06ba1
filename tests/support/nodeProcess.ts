import { type ChildProcessByStdio, spawn } from 'node:child_process';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { connect } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { Readable } from 'node:stream';
import { formatSettings } from '../platform/platformFleet.js';
import { findFreePorts } from './ports.js';

/** Ports of a node. */
export interface NodePorts {
  readonly front: number;
  readonly readiness: number;
  readonly peers: number;
  readonly metrics: number;
}

/** How a process ended and what it wrote. */
export interface ProcessEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
  readonly stdout: string;
  readonly stderr: string;
}

/** Options of {@link NodeProcess}. */
export interface NodeProcessOptions {
  /** Path of the bundled program. */
  readonly program: string;
  readonly ports: NodePorts;
  /** Address of the store; nothing listens at the default one. */
  readonly store?: string;
  /** Whether standard output stays unread until the process has ended. */
  readonly isOutputStalled?: boolean;
  /** Environment variables beyond those of this process. */
  readonly environment?: Readonly<Record<string, string>>;
  /** Options of Node.js for the process. */
  readonly processOptions?: readonly string[];
  /** Largest number of descriptors that the system allows the process; that of this process by default. */
  readonly maxDescriptors?: number;
}

/** A real node process. */
export class NodeProcess {
  private readonly _child: ChildProcessByStdio<null, Readable, Readable>;
  private readonly _front: number;
  private _stdout = '';
  private _stderr = '';
  readonly end: Promise<ProcessEnd>;

  constructor(options: NodeProcessOptions) {
    const {
      program,
      ports,
      store = '127.0.0.1:9',
      isOutputStalled = false,
      environment,
      processOptions = [],
      maxDescriptors,
    } = options;
    this._front = ports.front;
    const settings = join(mkdtempSync(join(tmpdir(), 'monsoonreach-node-')), 'node.ini');
    writeFileSync(
      settings,
      formatSettings({ name: 'node-1', domain: 'zone-1', store, log: 'json', ...ports }),
    );
    const command =
      maxDescriptors === undefined ? [] : ['sh', '-c', `ulimit -n ${maxDescriptors}; exec "$0" "$@"`];
    const [file = '', ...args] = [...command, process.execPath, ...processOptions, program, settings];
    this._child = spawn(file, args, {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, ...environment },
    });
    const readStdout = () =>
      this._child.stdout.on('data', (chunk: Buffer) => (this._stdout += chunk.toString()));
    if (!isOutputStalled) readStdout();
    this._child.stderr.on('data', (chunk: Buffer) => (this._stderr += chunk.toString()));
    this.end = new Promise((resolve) => {
      this._child.once('exit', () => {
        if (isOutputStalled) readStdout();
      });
      this._child.once('close', (code, signal) => {
        resolve({ code, signal, stdout: this._stdout, stderr: this._stderr });
      });
    });
  }

  get stdout(): string {
    return this._stdout;
  }

  get pid(): number {
    return this._child.pid ?? 0;
  }

  get isRunning(): boolean {
    return this._child.exitCode === null && this._child.signalCode === null;
  }

  /** Waits until a line with this text was written. */
  async waitForLine(text: string, timeoutMs = 20_000): Promise<void> {
    const endsAtMs = Date.now() + timeoutMs;
    while (!this._stdout.includes(text)) {
      if (Date.now() > endsAtMs || !this.isRunning)
        throw new Error(`Timed out waiting for "${text}" in the output:\n${this._stdout}${this._stderr}`);
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
  }

  /** Waits until the node accepts connections of callers, for which it has opened all its ports. */
  async waitUntilServing(timeoutMs = 20_000): Promise<void> {
    const endsAtMs = Date.now() + timeoutMs;
    while (!(await canConnect(this._front))) {
      if (Date.now() > endsAtMs || !this.isRunning)
        throw new Error(`Timed out waiting for the callers' port:\n${this._stdout}${this._stderr}`);
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
  }

  /** Closes the reading end of standard output. */
  closeOutput(): void {
    this._child.stdout.destroy();
  }

  kill(): void {
    this._child.kill('SIGKILL');
  }
}

function canConnect(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1');
    socket.once('connect', () => {
      socket.destroy();
      resolve(true);
    });
    socket.once('error', () => {
      resolve(false);
    });
  });
}

/** Takes ports for a node. */
export async function takeNodePorts(): Promise<NodePorts> {
  const [front = 0, readiness = 0, peers = 0, metrics = 0] = await findFreePorts(4);
  return { front, readiness, peers, metrics };
}

/** Parses the lines of a process's output. */
export function parseLines(output: string): readonly Readonly<Record<string, unknown>>[] {
  return output
    .split('\n')
    .filter((line) => line !== '')
    .map((line) => JSON.parse(line) as Readonly<Record<string, unknown>>);
}
