import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { createServer as createHttpServer } from 'node:http';
import { type AddressInfo, connect, createServer, Server } from 'node:net';
import t from 'tap';
import { buildProgram } from '../soak/program.js';
import { NodeProcess, parseLines, takeNodePorts } from '../support/nodeProcess.js';

interface FatalLine {
  readonly time: string;
  readonly level: string;
  readonly message: string;
  readonly origin: string;
  readonly exitCode: number;
  readonly error: {
    readonly name: string;
    readonly message: string;
    readonly code?: string;
    readonly stack: readonly string[];
    readonly causes: readonly { readonly name: string; readonly message: string }[];
  };
}

const FLOOD = `for (let line = 0; line < 3000; line++) this._log.info('flood', { text: 'x'.repeat(200) });`;

/** What the program does on purpose shortly after its start, by name. */
const faults = {
  'throw in a timer': `throw new TypeError('thrown on purpose', { cause: new RangeError('its cause') });`,
  'reject without handler': `void (async () => { await pause(1); decodeConfiguration(Buffer.from('{')); })();`,
  'emit an error without listener': `this._store._pool.emit('error', new Error('emitted on purpose'));`,
  'throw a value': `throw { reason: 'none' };`,
  'throw its own cause': `const error = new Error('cyclic'); error.cause = error; throw error;`,
  'throw after many lines': `${FLOOD} throw new Error('after many lines');`,
  'throw while nobody reads': `${FLOOD} setTimeout(() => { throw new Error('nobody reads'); }, 50);`,
  warn: `const { signal } = new AbortController(); for (let i = 0; i < 11; i++) signal.addEventListener('abort', () => i);`,
} as const;

type Fault = keyof typeof faults;

/** The program with faults that an environment variable selects. */
const program = await buildProgram({
  name: 'fails on purpose',
  file: 'packages/node/lib/node.js',
  find: 'setInterval(() => {\n            this._runChecks();',
  replace: `setTimeout(() => { switch (process.env.TEST_FAULT) { ${Object.entries(faults)
    .map(([name, code]) => `case '${name}': { ${code} break; }`)
    .join('\n')} } }, 100); setInterval(() => {\n            this._runChecks();`,
  faults: [],
  foundWithinMs: 0,
});

async function start(fault: Fault, isOutputStalled = false): Promise<NodeProcess> {
  const environment = { TEST_FAULT: fault };
  return new NodeProcess({ program, ports: await takeNodePorts(), isOutputStalled, environment });
}

function findFatalLines(output: string): readonly FatalLine[] {
  return parseLines(output).filter(({ level }) => level === 'FATAL') as unknown as readonly FatalLine[];
}

const failures = [
  {
    name: 'an error thrown in a timer',
    fault: 'throw in a timer',
    origin: 'uncaughtException',
    error: { name: 'TypeError', message: 'thrown on purpose' },
    causes: [{ name: 'RangeError', message: 'its cause' }],
  },
  {
    name: 'a rejection without handler',
    fault: 'reject without handler',
    origin: 'unhandledRejection',
    error: { name: 'DecodeError', message: 'The configuration is not valid JSON.' },
    causes: [{ name: 'SyntaxError' }],
  },
  {
    name: 'an error event without listener',
    fault: 'emit an error without listener',
    origin: 'uncaughtException',
    error: { name: 'Error', message: 'emitted on purpose' },
    causes: [],
  },
  {
    name: 'a value that is not an error',
    fault: 'throw a value',
    origin: 'uncaughtException',
    error: { name: 'object', message: '[object Object]' },
    causes: [],
  },
  {
    name: 'an error that is its own cause',
    fault: 'throw its own cause',
    origin: 'uncaughtException',
    error: { name: 'Error', message: 'cyclic' },
    causes: [{}, {}, {}, {}, {}],
  },
] as const;

// Guards against a process that ends with exit code 1 and prints only pieces of its minified bundle.
void t.test('a process ends with one line that tells which error reached no handler', async (t) => {
  for (const { name, fault, origin, error, causes } of failures) {
    await t.test(name, async (t) => {
      const { end: ended } = await start(fault);
      const end = await ended;
      const [line, ...others] = findFatalLines(end.stdout);
      t.match(line, { message: 'process failed', origin, exitCode: 70, error });
      t.match(line?.error.causes, causes);
      t.equal(line?.error.causes.length, causes.length);
      t.same(others, []);
      t.equal(end.code, 70);
      t.equal(end.stderr, '');
    });
  }
});

// Guards against a stack that names positions in the minified bundle only.
void t.test('the stack names our source files', async (t) => {
  const { end: ended } = await start('reject without handler');
  const end = await ended;
  const [line] = findFatalLines(end.stdout);
  t.match(line?.error.stack[0], /^decodeJson \(.*platform\/src\/decoding\.ts:\d+:\d+\)$/);
  t.match(line?.error.stack[1], /^decodeConfiguration \(.*platform\/src\/configurationCodec\.ts:\d+:\d+\)$/);
  t.match(line?.error.stack[2], /^.+ \(.*packages\/node\/(src|lib)\/node\.(ts|js):\d+:\d+\)$/);
});

// Guards against a last line that is dropped because too many lines were written before it.
void t.test('the line is not subject to the limit of lines', async (t) => {
  const { end: ended } = await start('throw after many lines');
  const end = await ended;
  t.equal(findFatalLines(end.stdout).length, 1);
  t.equal(end.code, 70);
});

// Guards against a last line that is lost, or a process that hangs, because nobody reads its output.
void t.test('the line goes to standard error when standard output is full', async (t) => {
  const { end: ended } = await start('throw while nobody reads', true);
  const end = await ended;
  t.equal(findFatalLines(end.stderr).length, 1);
  t.equal(end.code, 70);
});

/** Listens at a loopback port; returns how to stop. */
async function occupy(port: number, protocol: 'tcp' | 'udp'): Promise<() => void> {
  const server = protocol === 'tcp' ? createServer() : createSocket('udp4');
  await new Promise<void>((resolve) => {
    if (server instanceof Server) server.listen(port, '127.0.0.1', resolve);
    else server.bind(port, '127.0.0.1', resolve);
  });
  return () => {
    server.close();
  };
}

const addresses = [
  { name: 'of callers', port: 'front', protocol: 'tcp' },
  { name: 'of peers that read topics', port: 'peers', protocol: 'tcp' },
  { name: 'of messages of peers', port: 'peers', protocol: 'udp' },
  { name: 'of the readiness check', port: 'readiness', protocol: 'tcp' },
  { name: 'of metrics', port: 'metrics', protocol: 'tcp' },
] as const;

// Guards against a failed start that leaves only a text about a line of the bundle, or a process that never starts to
// serve: it waited for ever for the address of its peers' messages.
void t.test('a process whose address is in use ends with a line', async (t) => {
  for (const { name, port, protocol } of addresses) {
    await t.test(name, async (t) => {
      const ports = await takeNodePorts();
      const release = await occupy(ports[port], protocol);
      const node = new NodeProcess({ program, ports });
      const killTimer = setTimeout(() => {
        node.kill();
      }, 60_000);
      const end = await node.end;
      clearTimeout(killTimer);
      release();
      const [line] = findFatalLines(end.stdout);
      t.match(line, { message: 'start failed', origin: 'start', exitCode: 4 });
      t.equal(line?.error.code, 'EADDRINUSE');
      t.equal(end.code, 4);
    });
  }
});

/** Writes bytes to a port and waits a moment. */
async function send(port: number, protocol: 'tcp' | 'udp', text: string): Promise<void> {
  if (protocol === 'tcp') {
    const socket = connect(port, '127.0.0.1');
    await once(socket, 'connect');
    socket.on('error', () => undefined).end(text);
    await new Promise((resolve) => socket.once('close', resolve).resume());
  } else {
    const socket = createSocket('udp4');
    await new Promise((resolve) => {
      socket.send(text, port, '127.0.0.1', resolve);
    });
    socket.close();
  }
}

const FOREIGN_MEMBER = ['node-2', 'boot', 'nowhere', 'zone-1', 1];
const DIGEST = {
  kind: 'digest',
  member: ['node-2', 'boot', '127.0.0.1:9', 'zone-1', 1],
  sequence: 1,
  storeAgeMs: 0,
  isFirstHand: false,
  configurationVersion: 1,
  isLeaving: false,
  hasTraffic: false,
  ownershipStamp: 0,
  heard: [],
  members: [],
};

const encodeMessage = (message: object) => JSON.stringify({ version: 2, ...message });

const foreignMessages = [
  {
    name: 'a request whose path is no URL',
    port: 'peers',
    protocol: 'tcp',
    text: 'GET // HTTP/1.1\r\nHost: a\r\n\r\n',
  },
  {
    name: 'a ping from no address',
    port: 'peers',
    protocol: 'udp',
    text: encodeMessage({ kind: 'ping', address: 'nowhere' }),
  },
  {
    name: 'a digest of a node without an address',
    port: 'peers',
    protocol: 'udp',
    text: encodeMessage({ ...DIGEST, member: FOREIGN_MEMBER }),
  },
  {
    name: 'a digest that names a node without an address',
    port: 'peers',
    protocol: 'udp',
    text: encodeMessage({ ...DIGEST, members: [FOREIGN_MEMBER] }),
  },
  {
    name: 'owners without an address',
    port: 'peers',
    protocol: 'udp',
    text: encodeMessage({ kind: 'ownership', owners: [['node-2#boot', 'nowhere']], shards: [[0, 1]] }),
  },
] as const;

// Guards against foreign bytes that end the process and every request in it.
void t.test('a process goes on after a message that it cannot use', async (t) => {
  const ends = foreignMessages.map(async ({ name, port, protocol, text }) => {
    const ports = await takeNodePorts();
    const node = new NodeProcess({ program, ports });
    await node.waitUntilServing();
    await send(ports[port], protocol, text);
    // Reports and digests are sent to the nodes that a message names.
    await new Promise((resolve) => setTimeout(resolve, 1_200));
    t.ok(node.isRunning, name);
    node.kill();
    t.same(findFatalLines((await node.end).stdout), [], name);
  });
  await Promise.all(ends);
});

// Guards against a store whose answers end every process that reads them.
void t.test('a process goes on while the store gives answers that cannot be decoded', async (t) => {
  const store = createHttpServer((request, response) => {
    request.resume();
    response.end('It works!');
  });
  await new Promise<void>((resolve) => store.listen(0, '127.0.0.1', resolve));
  const address = `127.0.0.1:${(store.address() as AddressInfo).port}`;
  const node = new NodeProcess({ program, ports: await takeNodePorts(), store: address });
  await node.waitForLine('store read failed');
  await new Promise((resolve) => setTimeout(resolve, 1_000));
  t.ok(node.isRunning);
  node.kill();
  const { stdout } = await node.end;
  t.same(findFatalLines(stdout), []);
  const failed = parseLines(stdout).filter(({ message }) => message === 'store read failed');
  t.ok(failed.length <= 2, `${failed.length} lines about two topics`);
  store.close();
  store.closeAllConnections();
});

// Guards against a reader of the log whose end ends the process and every request in it.
void t.test('a process goes on when nobody reads its output any more', async (t) => {
  const node = new NodeProcess({ program, ports: await takeNodePorts() });
  await node.waitUntilServing();
  node.closeOutput();
  // The node tries to read the store meanwhile and logs each failure.
  await new Promise((resolve) => setTimeout(resolve, 2_000));
  t.ok(node.isRunning);
  node.kill();
  t.equal((await node.end).stderr, '');
});

// Guards against warnings of the runtime that appear as text between the structured lines.
void t.test('a warning of the runtime is a structured line', async (t) => {
  const node = await start('warn');
  await node.waitForLine('process warning');
  node.kill();
  const { stdout, stderr } = await node.end;
  const line = parseLines(stdout).find(({ message }) => message === 'process warning');
  t.match(line, {
    level: 'WARN',
    warning: { name: 'MaxListenersExceededWarning', message: /abort listeners/ },
  });
  t.equal(stderr, '');
});
