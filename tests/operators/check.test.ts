import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { PassThrough } from 'node:stream';
import { CheckCommand, ExitCode } from '@monsoonreach/operators';
import { Cli } from 'clipanion';
import t from 'tap';
import { createConfiguration } from '../platform/rawFleet.js';

const IN_FORCE = createConfiguration(1, 'key-secret-1');
const SERVING = { ...createConfiguration(2, 'key-secret-1'), tenants: IN_FORCE.tenants };
const [firstRoute, ...otherRoutes] = SERVING.routes;

interface CheckCase {
  readonly name: string;
  readonly document: unknown;
  readonly inForce?: unknown;
  readonly exitCode: number;
  /** Names of the rules that found something. */
  readonly rules: readonly string[];
  /** Keys of the differences. */
  readonly differences?: readonly string[];
}

const cases: readonly CheckCase[] = [
  { name: 'a sound serving configuration', document: SERVING, exitCode: ExitCode.done, rules: [] },
  {
    name: 'a serving configuration with warnings only',
    document: { ...SERVING, services: [...SERVING.services, { name: 'spare', maxConnections: 1 }] },
    exitCode: ExitCode.warned,
    rules: ['unused-service'],
  },
  {
    name: 'a serving configuration with an error and a warning',
    document: { ...SERVING, routes: [{ ...firstRoute, maxAttempts: 0, timeoutMs: 100 }, ...otherRoutes] },
    exitCode: ExitCode.invalid,
    rules: ['no-attempt', 'timeout-below-objective'],
  },
  {
    name: 'a serving configuration that does not match its schema',
    document: { ...SERVING, routes: 7 },
    exitCode: ExitCode.invalid,
    rules: ['document'],
  },
  {
    name: 'a serving configuration that is cut off',
    document: '{"version": 1',
    exitCode: ExitCode.invalid,
    rules: ['document'],
  },
  {
    name: 'a change of a serving configuration, with its routes in another order',
    document: {
      ...SERVING,
      routes: [...otherRoutes, { ...firstRoute, allowedRegions: ['north'] }],
      tenants: [{ name: 'workspace-1', apiKeys: ['key-secret-2'], priority: 1 }],
    },
    inForce: IN_FORCE,
    exitCode: ExitCode.done,
    rules: [],
    differences: ['route./status/.homes', 'version', 'workspace.workspace-1.keys'],
  },
  {
    name: 'a serving configuration that nodes would ignore',
    document: IN_FORCE,
    inForce: SERVING,
    exitCode: ExitCode.invalid,
    rules: ['version-not-higher'],
    differences: ['version'],
  },
  {
    name: 'a configuration in force that cannot be read',
    document: SERVING,
    inForce: '{',
    exitCode: ExitCode.invalid,
    rules: ['document'],
  },
  { name: 'a deployment', document: '[deployment]\nname = d\n', exitCode: ExitCode.done, rules: [] },
  {
    name: 'a deployment with an unknown key',
    document: '[deployment]\nname = d\ncolour = red\n',
    inForce: '[deployment]\nname = c\n',
    exitCode: ExitCode.invalid,
    rules: ['document'],
    differences: ['deployment.colour', 'deployment.name'],
  },
];

async function run(args: readonly string[]) {
  const output: Buffer[] = [];
  const stream = new PassThrough().on('data', (chunk: Buffer) => output.push(chunk));
  const cli = Cli.from([CheckCommand]);
  const exitCode = await cli.run(['check', ...args], { stdout: stream, stderr: stream });
  return { exitCode, text: Buffer.concat(output).toString('utf8') };
}

const toText = (value: unknown) => (typeof value === 'string' ? value : JSON.stringify(value));

// Guards against scripts that send a configuration with errors, and against keys of callers in what they log.
for (const { name, document, inForce, exitCode, rules, differences } of cases) {
  void t.test(`check: ${name}`, async (t) => {
    const directory = t.testdir();
    const file = join(directory, 'new');
    const current = join(directory, 'current');
    writeFileSync(file, toText(document));
    writeFileSync(current, toText(inForce ?? ''));
    const args = inForce === undefined ? [file] : [file, '--in-force', current];
    const plain = await run(args);
    const json = await run([...args, '--json']);
    t.equal(plain.exitCode, exitCode);
    t.equal(json.exitCode, exitCode);
    const { findings, differences: found } = JSON.parse(json.text) as {
      readonly findings: readonly { readonly rule: string; readonly message: string }[];
      readonly differences?: readonly { readonly key: string }[];
    };
    t.same(
      findings.map(({ rule }) => rule),
      rules,
    );
    t.same(
      found?.map(({ key }) => key),
      differences,
    );
    for (const { message } of findings) t.ok(plain.text.includes(message), message);
    for (const key of differences ?? []) t.ok(plain.text.includes(key), key);
    if (rules.length === 0) t.match(plain.text, /: no errors$/m);
    t.notMatch(plain.text + json.text, /key-secret/);
  });
}

// Guards against a missing file that is reported as a fault of the program.
void t.test('check: a file that does not exist', async (t) => {
  const { exitCode, text } = await run([join(t.testdir(), 'missing.json')]);
  t.equal(exitCode, ExitCode.failed);
  t.match(text, /missing\.json cannot be read/);
});
