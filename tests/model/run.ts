import { EXPLORATIONS } from './catalogue.js';
import { explore } from './explore.js';

/** `npm run model [-- --short | <part of a name>]`: runs the explorations and prints their results. */
const filter = process.argv[2];
const MAX_TRACE_LINE_CHARS = 160;
let failures = 0;

for (const { name, length, mutant, model } of EXPLORATIONS) {
  if (filter === '--short' && length === 'long') continue;
  if (filter !== undefined && filter !== '--short' && !name.includes(filter)) continue;
  const explored = model();
  const startedMs = performance.now();
  const { states, transitions, depth, counterexample } = explore(explored);
  const seconds = ((performance.now() - startedMs) / 1_000).toFixed(1);
  const broken = counterexample?.invariant ?? 'none';
  const isExpected = mutant ? broken === mutant.breaks : counterexample === undefined;
  if (!isExpected) failures++;
  const kind = mutant ? `mutant without "${mutant.guard}"` : 'guards in place';
  process.stdout.write(`${isExpected ? 'ok' : 'NOT OK'}  ${name} (${kind})\n`);
  process.stdout.write(`    states ${states}, transitions ${transitions}, depth ${depth}, ${seconds} s\n`);
  process.stdout.write(`    bounds: ${explored.bounds}\n`);
  process.stdout.write(
    `    invariants: ${explored.invariants.map((invariant) => invariant.name).join('; ')}; broken: ${broken}\n`,
  );
  for (const step of counterexample?.trace ?? [])
    process.stdout.write(`      ${step.slice(0, MAX_TRACE_LINE_CHARS)}\n`);
}

process.stdout.write(`${failures === 0 ? 'all as expected' : `${failures} not as expected`}\n`);
process.exitCode = failures === 0 ? 0 : 1;
