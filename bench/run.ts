import { parseArgs } from 'node:util';
import { fairness } from './admissionScenario.js';
import { crashing } from './crashScenario.js';
import { repair, repairWeights } from './repairScenario.js';
import { retries } from './retryScenario.js';
import { darkDomain, routing } from './routingScenario.js';
import { printScenario, type Scenario } from './scenario.js';

/** Scenarios of `npm run bench -- [--seed N] [--scenario NAME]`, in running order. */
const SCENARIOS: readonly Scenario[] = [
  routing,
  darkDomain,
  fairness,
  retries,
  crashing,
  repair,
  repairWeights,
];

const { values } = parseArgs({
  options: { seed: { type: 'string', default: '1' }, scenario: { type: 'string' } },
});
const seed = Number(values.seed);
for (const { name, question, run } of SCENARIOS) {
  if (values.scenario !== undefined && values.scenario !== name) continue;
  printScenario(name, question, seed, await run(seed));
}
