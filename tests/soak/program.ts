import { mkdtempSync, readFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { pathToFileURL } from 'node:url';
import { build, type BuildOptions } from 'esbuild';
import type { FaultName } from './faults.js';

/** A program with one guard removed, which the soak must detect. */
export interface Mutant {
  readonly name: string;
  /** Compiled module, relative to the repository's root. */
  readonly file: string;
  readonly find: string;
  readonly replace: string;
  /** Faults that the guard protects against. */
  readonly faults: readonly FaultName[];
  /** Time within which a soak must detect the mutant, in milliseconds. */
  readonly foundWithinMs: number;
}

/** Mutants, each without one guard. */
export const MUTANTS: readonly Mutant[] = [
  {
    name: 'orders are sent again',
    file: 'packages/node/lib/requestRun.js',
    find: "return kind === 'idempotent' || (kind === 'stream' && isResumable);",
    replace: 'return true;',
    faults: ['plain target resets'],
    foundWithinMs: 60_000,
  },
  {
    name: 'a failure is called not run',
    file: 'packages/node/lib/requestRun.js',
    find: 'if (mayHaveRun)\n            this._mayHaveRun = true;',
    replace: '',
    faults: ['plain target resets'],
    foundWithinMs: 60_000,
  },
  {
    name: 'a reset is an end',
    file: 'packages/node/lib/targetConnections.js',
    find: 'if (this._resets.isResetting) {',
    replace: 'if (false) {',
    faults: ['plain target resets an answer without length'],
    foundWithinMs: 60_000,
  },
  {
    name: 'the echo is not read',
    file: 'packages/node/lib/requestRun.js',
    find: 'head.requestId !== undefined && head.requestId !== this._options.caller.requestId',
    replace: 'false',
    faults: ['wrong echo'],
    foundWithinMs: 60_000,
  },
  {
    name: 'a resumed stream begins anew',
    file: 'packages/node/lib/requestRun.js',
    find: 'lastEventId: this._lastEventId,',
    replace: 'lastEventId: undefined,',
    faults: ['member crashes'],
    foundWithinMs: 60_000,
  },
  {
    name: 'keys are trusted for ever',
    file: 'packages/core/lib/serving/keyTrust.js',
    find: 'return this.ageMs() < this._boundMs * TRUST_SHARE;',
    replace: 'return true;',
    faults: ['store silent', 'key taken away'],
    foundWithinMs: 120_000,
  },
  {
    name: 'a stop ends at once',
    file: 'packages/node/lib/node.js',
    find: 'await pause(Math.min(BALANCER_DRAIN_MS, endsAtMs - startedAtMs));',
    replace: 'return 0;',
    faults: ['stop'],
    foundWithinMs: 60_000,
  },
  {
    name: 'members are used while their head serves',
    file: 'packages/core/lib/serving/formationPlanner.js',
    find: 'return isStandbyName(membership.group) && !isServingState(membership.state);',
    replace: 'return true;',
    faults: ['engines silent in waves'],
    foundWithinMs: 60_000,
  },
  {
    name: 'a head is free once a member has left',
    file: 'packages/core/lib/serving/formationPlanner.js',
    find: 'isFree(instance));',
    replace:
      '(isFree(instance) || this._roster.hasMemberLeft({ ...instance.membership, name: instance.membership.group }, view.instances)));',
    faults: ['engines silent in waves'],
    foundWithinMs: 60_000,
  },
  {
    name: 'leaving targets get work',
    file: 'packages/node/lib/targetDirectory.js',
    find: "instance.service === service.name && instance.state === 'ready'",
    replace: 'instance.service === service.name',
    faults: ['target leaves'],
    foundWithinMs: 90_000,
  },
  {
    name: 'a restored store goes unnoticed',
    file: 'platform/lib/storeClient.js',
    find: 'const era = decodeEra(headers[ERA_HEADER]);',
    replace: 'const era = 0;',
    faults: ['store restored', 'key taken away'],
    foundWithinMs: 120_000,
  },
  {
    name: 'unlisted members are not asked',
    file: 'packages/node/lib/planning.js',
    find: 'findUnlistedMembers: (group) => this._unlisted.list(group, nowMs),',
    replace: 'findUnlistedMembers: () => [],',
    faults: ['members leave unlisted beside stops'],
    foundWithinMs: 60_000,
  },
  {
    name: 'a broken connection is a silent target',
    file: 'packages/node/lib/requestRun.js',
    find: "if (isGroup && reason === 'unreachable') {",
    replace: 'if (isGroup) {',
    faults: ['connections reset beside stops'],
    foundWithinMs: 60_000,
  },
];

/** Bundles the program as deployed, or a mutant of it, into a new directory; returns the file's path. */
export async function buildProgram(mutant?: Mutant): Promise<string> {
  const root = process.cwd();
  const { bundleOptions } = (await import(pathToFileURL(join(root, 'scripts/bundle/options.js')).href)) as {
    readonly bundleOptions: BuildOptions;
  };
  const outfile = join(mkdtempSync(join(tmpdir(), 'monsoonreach-program-')), 'monsoonreach-node.mjs');
  await build({ ...bundleOptions, outfile, plugins: mutant ? [createMutantPlugin(mutant, root)] : [] });
  return outfile;
}

function createMutantPlugin(mutant: Mutant, root: string): NonNullable<BuildOptions['plugins']>[number] {
  return {
    name: 'mutant',
    setup(builder) {
      builder.onLoad({ filter: /\.js$/ }, ({ path }) => {
        if (path !== resolve(root, mutant.file)) return undefined;
        const text = readFileSync(path, 'utf8');
        if (!text.includes(mutant.find))
          throw new Error(
            `Mutant "${mutant.name}": ${path} does not contain its "find" code; update the mutant.`,
          );
        return { contents: text.replace(mutant.find, mutant.replace), loader: 'js' };
      });
    },
  };
}
