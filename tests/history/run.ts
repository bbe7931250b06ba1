import { parseArgs } from 'node:util';
import { type Fault, FAULTS } from './faults.js';
import { runHistory } from './runHistory.js';

/** `npm run history -- [--seed N] [--seconds N] [--fault NAME[,NAME]] [--pairs] [--ignores]`. */
const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    seconds: { type: 'string', default: '12' },
    fault: { type: 'string' },
    pairs: { type: 'boolean', default: false },
    /** Runs engines that ignore fencing tokens. */
    ignores: { type: 'boolean', default: false },
  },
});

const seed = Number(values.seed);
const seconds = Number(values.seconds);
const singles: readonly (readonly Fault[])[] = FAULTS.map((fault) => [fault]);
const pairs: readonly (readonly Fault[])[] = [
  ['kill-entry', 'lost-answers'],
  ['pause-entry', 'log-outage'],
  ['kill-steward', 'kill-engine'],
  ['pause-steward', 'kill-engine'],
  ['log-outage', 'kill-engine'],
  ['operator-race', 'lost-answers'],
  ['domain-dark', 'kill-entry'],
  ['leaving', 'kill-steward'],
];
const chosen = values.fault === undefined ? undefined : (values.fault.split(',') as Fault[]);
const runs = chosen ? [chosen] : values.pairs ? pairs : singles;
let violations = 0;

for (const [index, faults] of runs.entries()) {
  const report = await runHistory({
    seed: seed + index,
    faults,
    seconds,
    fleet: { checksFencing: !values.ignores },
  });
  violations += report.violations.length;
  const { requests, answered, notRun, inDoubt, failed, cut, runs: executed } = report;
  process.stdout.write(
    `${faults.join('+').padEnd(28)} seed ${seed + index}: requests ${requests}, answered ${answered}, not-run ${notRun}, in-doubt ${inDoubt}, failed ${failed}, cut ${cut}, orders run ${executed}, violations ${report.violations.length}\n`,
  );
  for (const note of report.notes) process.stdout.write(`    ${note}\n`);
  for (const { promise, evidence } of report.violations)
    process.stdout.write(`    VIOLATION ${promise}: ${evidence}\n`);
}

process.stdout.write(`runs ${runs.length}, violations ${violations}\n`);
process.exitCode = violations === 0 ? 0 : 1;
