import { parseArgs } from 'node:util';
import { fairnessScenario } from './admissionScenario.js';
import { crashScenario } from './crashScenario.js';
import { repairScenario, repairWeightsScenario } from './repairScenario.js';
import { retryScenario } from './retryScenario.js';
import { domainOutageScenario, routingScenario } from './routingScenario.js';
import { printScenario, type Scenario } from './scenario.js';

/** Scenarios of `npm run bench -- [--seed N] [--scenario NAME]`, in running order. */
const SCENARIOS: readonly Scenario[] = [
  routingScenario,
  domainOutageScenario,
  fairnessScenario,
  retryScenario,
  crashScenario,
  repairScenario,
  repairWeightsScenario,
];

const { values } = parseArgs({
  options: { seed: { type: 'string', default: '1' }, scenario: { type: 'string' } },
});
const seed = Number(values.seed);
for (const { name, question, run } of SCENARIOS) {
  if (values.scenario !== undefined && values.scenario !== name) continue;
  printScenario(name, question, seed, await run(seed));
}
