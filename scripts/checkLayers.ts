import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';

/** The packages that each package may import; everything points inwards to `core`. */
const ALLOWED: Readonly<Record<string, readonly string[]>> = {
  core: [],
  callers: ['core'],
  targets: ['core'],
  log: ['core'],
  peers: ['core'],
  operators: ['core', 'log', 'peers'],
  daemon: ['core', 'log', 'peers', 'operators'],
  entry: ['core', 'callers', 'targets', 'log', 'peers', 'operators', 'daemon'],
  steward: ['core', 'targets', 'log', 'peers', 'operators', 'daemon'],
  platform: ['core'],
  node: ['core', 'platform'],
};

/** Modules of input and output that `core` must not reach for. */
const FORBIDDEN_IN_CORE = ['node:http', 'node:net', 'node:fs', 'node:child_process', 'undici', 'h3'];

interface Import {
  readonly file: string;
  readonly from: string;
}

function listSources(directory: string): readonly string[] {
  return readdirSync(directory, { recursive: true, encoding: 'utf8' })
    .filter((file) => file.endsWith('.ts'))
    .map((file) => join(directory, file));
}

function readImports(file: string): readonly Import[] {
  const text = readFileSync(file, 'utf8');
  return [...text.matchAll(/from '([^']+)'/g)].map(([, from = '']) => ({ file, from }));
}

function sourcesOf(name: string): string {
  return name === 'platform' ? 'platform/src' : `packages/${name}/src`;
}

function findFaults(name: string, allowed: readonly string[]): readonly string[] {
  const imports = listSources(sourcesOf(name)).flatMap(readImports);
  return imports.flatMap(({ file, from }) => {
    const peer = /^@monsoonreach\/(.+)$/.exec(from)?.[1];
    if (peer !== undefined && !allowed.includes(peer)) return [`${file}: may not import ${from}`];
    if (from.includes('tests/')) return [`${file}: a shipped package may not import tests`];
    if (name === 'core' && FORBIDDEN_IN_CORE.includes(from)) return [`${file}: core may not import ${from}`];
    if (from === 'node:child_process') return [`${file}: a process of the product starts no process`];
    return [];
  });
}

/** Names that only the platform uses; whoever knows one outside the folder speaks to the platform himself. */
const PLATFORM_WORDS = [
  'Attempt-Id',
  'Deadline-Ms',
  'Expect-Instance',
  'Server-Seal',
  'Not-Executed',
  'Token-Count',
  'Prompt-Prefix',
  'Request-Urgency',
  'Weight-Versions',
  'At-Server',
  'Replica-Id',
  'seqNo',
  'closeMode',
  'cutover',
  'trafficSplit',
  'routeType',
  'targetLatencyMs',
  'streamResume',
  'authExempt',
  'apiKeys',
  'gapTargetMs',
  'kvUsed',
  'read_per_s',
  'keyed\\.',
  '/v1/log-',
  '/v1/order(?!s)',
  '/v1/report',
  '/v1/readyz',
];
const PLATFORM_PATTERN = new RegExp(PLATFORM_WORDS.map((word) => `(?<![\\w-])${word}`).join('|'), 'i');

/** Finds the platform's own names in packages outside its folder; doc comments may use ordinary words. */
function findWords(name: string): readonly string[] {
  if (name === 'platform') return [];
  return listSources(sourcesOf(name)).flatMap((file) =>
    readFileSync(file, 'utf8')
      .split('\n')
      .flatMap((line, index) => {
        const word = PLATFORM_PATTERN.exec(line)?.[0];
        return word === undefined ? [] : [`${file}:${index + 1}: "${word}" belongs to the platform's folder`];
      }),
  );
}

const faults = Object.entries(ALLOWED).flatMap(([name, allowed]) => [
  ...findFaults(name, allowed),
  ...findWords(name),
]);
for (const fault of faults) process.stderr.write(`${fault}\n`);
process.stdout.write(`layers: ${faults.length} faults\n`);
process.exitCode = faults.length === 0 ? 0 : 1;
