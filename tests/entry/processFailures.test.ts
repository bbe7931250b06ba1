import { spawn } from 'node:child_process';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import t from 'tap';
import { parseLines } from '../support/nodeProcess.js';
import { findFreePorts } from '../support/ports.js';

const ROOT = fileURLToPath(new URL('../../../', import.meta.url));

/** Time after which a daemon that hangs is killed, in milliseconds; a busy machine may need many seconds for a start. */
const MAX_START_MS = 60_000;

/** Runs a daemon until it ends; returns its exit code and output. */
async function run(script: string, settings: string) {
  const file = join(mkdtempSync(join(tmpdir(), 'monsoonreach-daemon-')), 'settings.ini');
  writeFileSync(file, settings);
  const child = spawn(process.execPath, [join(ROOT, script), file], { stdio: ['ignore', 'pipe', 'pipe'] });
  const killTimer = setTimeout(() => child.kill('SIGKILL'), MAX_START_MS);
  let stdout = '';
  child.stdout.on('data', (chunk: Buffer) => (stdout += chunk.toString()));
  child.stderr.resume();
  const code = await new Promise<number | null>((done) => child.once('close', done));
  clearTimeout(killTimer);
  return { code, lines: parseLines(stdout) };
}

const COMMON = (peers: number, operators: number) => `[node]
peers-address = 127.0.0.1:${peers}
operators-address = 127.0.0.1:${operators}
failure-domain = a
[platform]
log = 127.0.0.1:9
live-list = 127.0.0.1:9
[peers]
seeds =
secret = secret
`;

const starts = [
  { daemon: 'entry', inUse: 'callers' },
  { daemon: 'entry', inUse: 'operators' },
  { daemon: 'entry', inUse: 'peers' },
  { daemon: 'steward', inUse: 'operators' },
  { daemon: 'steward', inUse: 'peers' },
] as const;

// Guards against a daemon that ends with only a text about a line of its code when it cannot start.
for (const { daemon, inUse } of starts) {
  void t.test(
    `${daemon}: a start fails with a line when the address of its ${inUse} is in use`,
    async (t) => {
      const [peers = 0, operators = 0, callers = 0] = await findFreePorts(3);
      const server = createServer();
      const port = { peers, operators, callers }[inUse];
      await new Promise<void>((done) => server.listen(port, '127.0.0.1', done));
      const settings =
        COMMON(peers, operators) + (daemon === 'entry' ? `[callers]\naddress = 127.0.0.1:${callers}\n` : '');
      const { code, lines } = await run(`packages/${daemon}/lib/main.js`, settings);
      server.close();
      t.equal(code, 4);
      const fatal = lines.filter(({ level }) => level === 'FATAL');
      t.match(fatal, [{ message: 'start failed', error: { code: 'EADDRINUSE' }, exitCode: 4 }]);
    },
  );
}
