import { readdirSync, readFileSync } from 'node:fs';
import { connect, type Socket } from 'node:net';
import { fileURLToPath } from 'node:url';
import t from 'tap';
import { sleep } from '../standins/http.js';
import { NodeProcess, type NodePorts, takeNodePorts } from '../support/nodeProcess.js';
import { RawCaller, type RawRequest, RawTarget, writeEndlessly } from '../support/rawHttp.js';
import { createEntry } from './rawFleet.js';
import { StoreStandin } from './storeStandin.js';

/** Memory of the machine, in kilobytes: the smallest machine of the requirements, and the default of the settings. */
const MEMORY_KB = 250 * 1_024;
/** Descriptors that the system allows the process. */
const MAX_DESCRIPTORS = 400;
/** Largest body of the requirements, in bytes. */
const MAX_BODY_BYTES = 4_194_304;
/** Callers of one crowd. */
const CROWD = 60;
/** Time for which a crowd acts before the ordinary request, in milliseconds. */
const CROWD_MS = 6_000;

const PROGRAM = fileURLToPath(new URL('../../../packages/node/lib/main.js', import.meta.url));
/** Those of the deployment, in deploy/system.toml. */
const PROCESS_OPTIONS = [
  '--max-old-space-size=128',
  '--max-semi-space-size=1',
  '--liftoff-only',
  '--v8-pool-size=0',
];
const CHUNKED = 'Transfer-Encoding: chunked\r\n';

interface Crowd {
  readonly name: string;
  /** Callers of the crowd; {@link CROWD} by default. */
  readonly size?: number;
  /** Port that the crowd connects to; that of callers by default. */
  readonly port?: keyof NodePorts;
  readonly act: (socket: Socket) => void;
}

let requestCount = 0;

function createHead(prefix: string, headers: string): string {
  return (
    `POST ${prefix}1 HTTP/1.1\r\nHost: 127.0.0.1\r\nAttempt-Id: request-${++requestCount}\r\n` +
    `Deadline-Ms: 20000\r\nAuthorization: Bearer key-1\r\n${headers}\r\n`
  );
}

const toChunk = (bytes: number) => `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`;

function writeSlowly(socket: Socket, text: string, intervalMs = 50): void {
  const timer = setInterval(() => {
    if (socket.writable) socket.write(text);
    else clearInterval(timer);
  }, intervalMs);
}

const crowds: readonly Crowd[] = [
  {
    name: 'chunked bodies in large chunks that stop short of their end',
    act: (socket) => {
      socket.write(createHead('/order/', CHUNKED));
      for (let sent = 0; sent < MAX_BODY_BYTES - 65_536; sent += 65_536) socket.write(toChunk(65_536));
    },
  },
  {
    name: 'chunked bodies in chunks of one byte that stop short of their end',
    act: (socket) => {
      socket.write(createHead('/order/', CHUNKED));
      socket.write(toChunk(1).repeat(60_000));
    },
  },
  {
    name: 'requests sent ahead without the usual headers, with unread answers',
    act: (socket) => {
      socket.pause();
      socket.write('GET /status/1 HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n'.repeat(20_000));
    },
  },
  {
    name: 'bodies far over the limit, announced',
    act: (socket) => {
      socket.write(createHead('/order/', 'Content-Length: 99999999999\r\n'));
      writeEndlessly(socket, 'body');
    },
  },
  {
    name: 'bodies far over the limit, just sent',
    act: (socket) => {
      socket.write(createHead('/order/', CHUNKED));
      writeEndlessly(socket, toChunk(16_384));
    },
  },
  {
    name: 'heads that trickle',
    act: (socket) => {
      socket.write('GET /status/1 HTTP/1.1\r\n');
      writeSlowly(socket, 'X: 1\r\n');
    },
  },
  { name: 'idle connections', size: 600, act: () => undefined },
  { name: 'idle connections to the metrics port', size: 600, port: 'metrics', act: () => undefined },
  { name: 'idle connections to the readiness port', size: 600, port: 'readiness', act: () => undefined },
  {
    name: 'callers that never read a long stream',
    act: (socket) => {
      socket.pause();
      socket.write(createHead('/once/', 'Content-Length: 2\r\n') + '{}');
    },
  },
  {
    name: 'trailers without end',
    act: (socket) => {
      socket.write(`${createHead('/order/', CHUNKED)}4\r\nbody\r\n0\r\n`);
      writeEndlessly(socket, 'X-Filler: 0123456789\r\n');
    },
  },
  {
    name: 'chunk extensions without end',
    act: (socket) => {
      socket.write(`${createHead('/order/', CHUNKED)}4;`);
      writeEndlessly(socket, 'extension');
    },
  },
];

function answer({ socket, id, head }: RawRequest): void {
  const begin = `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Seal: s\r\n`;
  if (head.includes('/once/')) {
    socket.write(`${begin}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`);
    const event = `id: 1\ndata: ${'x'.repeat(8_192)}\n\n`;
    writeEndlessly(socket, `${event.length.toString(16)}\r\n${event}\r\n`);
  } else socket.write(`${begin}Content-Length: 2\r\n\r\nok`);
}

function createConfiguration(): unknown {
  const route = { host: '127.0.0.1', service: 'plain', priority: 1, targetLatencyMs: 400, maxAttempts: 2 };
  return {
    version: 1,
    routes: [
      { ...route, name: 'status', pathPrefix: '/status/', routeType: 'safe', timeoutMs: 20_000 },
      { ...route, name: 'order', pathPrefix: '/order/', routeType: 'unsafe', timeoutMs: 20_000 },
      {
        ...route,
        name: 'once',
        pathPrefix: '/once/',
        routeType: 'streaming',
        timeoutMs: 20_000,
        gapTargetMs: 250,
      },
    ],
    services: [{ name: 'plain', maxConnections: 200 }],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: MAX_BODY_BYTES,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{ name: 'workspace-1', apiKeys: ['key-1'], priority: 1 }],
  };
}

/** Largest resident memory of a process so far, in kilobytes. */
function readPeakMemoryKb(pid: number): number {
  return Number(/^VmHWM:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1]);
}

function openConnection(port: number): Socket {
  const socket = connect({ host: '127.0.0.1', port });
  socket.on('error', () => undefined);
  return socket;
}

/** Starts a node in its own process, with a store and one target in this process, and waits until it is ready. */
async function start() {
  const store = new StoreStandin();
  const storeAddress = await store.start();
  store.put('keyed.op', 'config', createConfiguration());
  const target = new RawTarget();
  target.handle = answer;
  await target.start();
  store.put('keyed.servers', 'plain-1', {
    ...(createEntry(target.address, 1) as Readonly<Record<string, unknown>>),
    slots: 200,
  });
  const ports = await takeNodePorts();
  const node = new NodeProcess({
    program: PROGRAM,
    ports,
    store: storeAddress,
    processOptions: PROCESS_OPTIONS,
    maxDescriptors: MAX_DESCRIPTORS,
  });
  await node.waitUntilServing();
  while ((await fetch(`http://127.0.0.1:${ports.readiness}/v1/readyz`)).status !== 200) await sleep(50);
  return { store, target, ports, node };
}

// Guards against callers that end a process by exhausting its memory or descriptors, or keep it from serving others.
for (const { name, size = CROWD, port = 'front', act } of crowds) {
  void t.test(name, { timeout: 60_000 }, async (t) => {
    const { store, target, ports, node } = await start();
    const sockets: Socket[] = [];
    t.teardown(() => {
      for (const socket of sockets) socket.destroy();
      node.kill();
      target.crash();
      store.stop();
    });
    for (let caller = 0; caller < size; caller++) {
      const socket = openConnection(ports[port]);
      sockets.push(socket);
      act(socket);
    }
    let mostDescriptors = 0;
    const endsAtMs = Date.now() + CROWD_MS;
    while (Date.now() < endsAtMs && node.isRunning) {
      mostDescriptors = Math.max(mostDescriptors, readdirSync(`/proc/${node.pid}/fd`).length);
      await sleep(100);
    }
    t.ok(node.isRunning, 'the process lives');
    if (!node.isRunning) return;
    const caller = new RawCaller(`127.0.0.1:${ports.front}`);
    const { status } = await caller.exchange(
      `${createHead('/order/', 'Content-Length: 2\r\nConnection: close\r\n')}{}`,
      20_000,
    );
    t.ok(node.isRunning, 'the process lives after the ordinary request');
    if (!node.isRunning) return;
    const peakKb = readPeakMemoryKb(node.pid);
    t.comment(`peak memory ${peakKb} kB, descriptors ${mostDescriptors}, status ${status}`);
    t.equal(status, 200, 'an ordinary request is answered');
    t.ok(peakKb < MEMORY_KB, `peak memory ${peakKb} kB`);
    t.ok(mostDescriptors < MAX_DESCRIPTORS, `${mostDescriptors} descriptors`);
  });
}
