import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';

/** Workspace packages that each package may import. Dependencies point inwards, to `core`. */
const ALLOWED_IMPORTS: Readonly<Record<string, readonly string[]>> = {
  core: [],
  callers: ['core'],
  targets: ['core'],
  log: ['core'],
  peers: ['core'],
  operators: ['core', 'log', 'peers', 'platform'],
  daemon: ['core', 'log', 'peers', 'operators'],
  entry: ['core', 'callers', 'targets', 'log', 'peers', 'operators', 'daemon'],
  steward: ['core', 'targets', 'log', 'peers', 'operators', 'daemon'],
  platform: ['core'],
  node: ['core', 'callers/connections', 'targets/resets', 'platform'],
};

/** I/O modules that `core` must not import. */
const FORBIDDEN_CORE_MODULES = ['node:http', 'node:net', 'node:fs', 'node:child_process', 'undici', 'h3'];

interface ImportStatement {
  readonly file: string;
  readonly specifier: string;
}

function listSources(directory: string): readonly string[] {
  return readdirSync(directory, { recursive: true, encoding: 'utf8' })
    .filter((file) => file.endsWith('.ts'))
    .map((file) => join(directory, file));
}

function readImports(file: string): readonly ImportStatement[] {
  const text = readFileSync(file, 'utf8');
  return [...text.matchAll(/from '([^']+)'/g)].map(([, specifier = '']) => ({ file, specifier }));
}

function getSourceDirectory(name: string): string {
  return name === 'platform' ? 'platform/src' : `packages/${name}/src`;
}

function findForbiddenImports(name: string, allowed: readonly string[]): readonly string[] {
  const imports = listSources(getSourceDirectory(name)).flatMap(readImports);
  return imports.flatMap(({ file, specifier }) => {
    const importedPackage = /^@monsoonreach\/(.+)$/.exec(specifier)?.[1];
    if (importedPackage !== undefined && !allowed.includes(importedPackage))
      return [`${file}: must not import ${specifier}`];
    if (specifier.includes('tests/')) return [`${file}: packages must not import from tests/`];
    if (name === 'core' && FORBIDDEN_CORE_MODULES.includes(specifier))
      return [`${file}: core must not import ${specifier}`];
    if (specifier === 'node:child_process') return [`${file}: packages must not start child processes`];
    return [];
  });
}

/**
 * Names of the platform's protocol. A package other than `platform` that contains one talks to the platform
 * directly instead of through that package.
 */
const PLATFORM_TERMS = [
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
const PLATFORM_PATTERN = new RegExp(PLATFORM_TERMS.map((word) => `(?<![\\w-])${word}`).join('|'), 'i');

/** Finds protocol names in packages other than `platform`, also in comments, which can use ordinary words. */
function findPlatformTerms(name: string): readonly string[] {
  if (name === 'platform') return [];
  return listSources(getSourceDirectory(name)).flatMap((file) =>
    readFileSync(file, 'utf8')
      .split('\n')
      .flatMap((line, index) => {
        const term = PLATFORM_PATTERN.exec(line)?.[0];
        return term === undefined ? [] : [`${file}:${index + 1}: "${term}" may only be used in platform/src`];
      }),
  );
}

const violations = Object.entries(ALLOWED_IMPORTS).flatMap(([name, allowed]) => [
  ...findForbiddenImports(name, allowed),
  ...findPlatformTerms(name),
]);
for (const fault of violations) process.stderr.write(`${fault}\n`);
process.stdout.write(`layers: ${violations.length} violations\n`);
process.exitCode = violations.length === 0 ? 0 : 1;
