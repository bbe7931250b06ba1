import { writeFileSync } from 'node:fs';
import { Cli, Command, Option } from 'clipanion';
import { build as buildHistogram } from 'hdr-histogram-js';
import { FAULT_NAMES, type FaultName } from './faults.js';
import { buildProgram, MUTANTS } from './program.js';
import { runSoak, type SoakReport } from './soak.js';

const DEFAULT_NODES = '6';

/** `npm run soak -- --seed 7 --minutes 2`: runs real nodes under randomly drawn faults. */
class SoakCommand extends Command {
  seed = Option.String('--seed', '1', { description: 'The first seed.' });
  seeds = Option.String('--seeds', '1', { description: 'Number of consecutive seeds to run.' });
  minutes = Option.String('--minutes', '1', { description: 'Minutes of fault injection for each seed.' });
  nodes = Option.String('--nodes', DEFAULT_NODES, { description: 'Number of node processes under test.' });
  faults = Option.String('--faults', { description: 'Inject only these faults, separated by commas.' });
  mutant = Option.String('--mutant', { description: 'Run the mutant of this name; "all" runs each.' });
  untimed = Option.Boolean('--untimed', false, { description: 'Skip the promises with a time bound.' });
  report = Option.String('--report', { description: 'File to which the report is written as JSON.' });

  async execute(): Promise<number> {
    return this.mutant === undefined ? this._runSeeds() : this._runMutants(this.mutant);
  }

  private async _runSeeds(): Promise<number> {
    const program = await buildProgram();
    const first = Number(this.seed);
    const reports: SoakReport[] = [];
    for (let seed = first; seed < first + Number(this.seeds); seed++) {
      const report = await this._run(program, seed, Number(this.minutes) * 60_000);
      reports.push(report);
      this._printReport(report);
    }
    if (this.report !== undefined) writeFileSync(this.report, JSON.stringify(reports, undefined, 2));
    const failed = reports.filter(({ violations }) => violations.length > 0);
    this.context.stdout.write(
      `${reports.length - failed.length} of ${reports.length} seeds kept every promise\n`,
    );
    return failed.length === 0 ? 0 : 1;
  }

  private async _runMutants(wanted: string): Promise<number> {
    let missed = 0;
    for (const mutant of MUTANTS.filter(({ name }) => wanted === 'all' || name === wanted)) {
      const program = await buildProgram(mutant);
      const { violations, violatedAfterMs } = await this._run(
        program,
        Number(this.seed),
        mutant.foundWithinMs,
        mutant.faults,
      );
      const [first] = violations;
      const isFound = first !== undefined;
      if (!isFound) missed++;
      const found = isFound
        ? `found after ${Math.round((violatedAfterMs ?? 0) / 1_000)} s: ${first.promise}: ${first.detail}`
        : `not found in ${mutant.foundWithinMs / 1_000} s`;
      this.context.stdout.write(`without "${mutant.name}": ${found}\n`);
    }
    return missed === 0 ? 0 : 1;
  }

  private _run(
    program: string,
    seed: number,
    faultMs: number,
    faults: readonly FaultName[] | undefined = this._wantedFaults(),
  ): Promise<SoakReport> {
    return runSoak({
      seed,
      faultMs,
      nodes: Number(this.nodes),
      program,
      isTimed: !this.untimed,
      ...(faults ? { faults } : {}),
      onProgress: (line) => {
        if (process.stderr.isTTY) process.stderr.write(`\r${line}   `);
      },
    });
  }

  private _wantedFaults(): readonly FaultName[] | undefined {
    const names = this.faults?.split(',');
    return names && FAULT_NAMES.filter((name) => names.includes(name));
  }

  private _printReport(report: SoakReport): void {
    const { stdout } = this.context;
    const histogram = buildHistogram();
    for (const { sentAtMs, endedAtMs } of report.calls)
      histogram.recordValue(Math.max(0, endedAtMs - sentAtMs));
    const outcomes = new Map<string, number>();
    for (const { kind, outcome } of report.calls) {
      const name = `${kind} ${outcome.kind === 'answered' ? outcome.status : 'cut'}`;
      outcomes.set(name, (outcomes.get(name) ?? 0) + 1);
    }
    const counts = [...outcomes].sort().map(([name, count]) => `${name}: ${count}`);
    stdout.write(`seed ${report.seed}: ${report.calls.length} requests, ${report.runs} runs, `);
    stdout.write(`${report.timeline.length} faults, ${report.violations.length} violations\n`);
    stdout.write(`  ${counts.join(', ')}\n`);
    const percentiles = [50, 95, 99].map(
      (percentile) => `p${percentile} ${histogram.getValueAtPercentile(percentile)}`,
    );
    stdout.write(`  milliseconds to the end of the answer: ${percentiles.join(', ')}\n`);
    const [first] = report.violations;
    if (!first) return;
    for (const { atMs, name, where, forMs } of report.timeline) {
      stdout.write(`  ${(atMs / 1_000).toFixed(1)} s ${name} ${where} for ${forMs} ms\n`);
    }
    stdout.write(`  first violation: ${first.promise}: ${first.requestId ?? ''} ${first.detail}\n`);
    for (const line of report.evidence) stdout.write(`    ${line}\n`);
    stdout.write(`  logs are in ${report.directory}\n`);
  }
}

const cli = new Cli({ binaryName: 'npm run soak --' });
cli.register(SoakCommand);
// esbuild's service process would keep this process alive.
process.exit(await cli.run(process.argv.slice(2), Cli.defaultContext));
