/** Results of one variant of a scenario: one row of its table. */
export interface ResultRow {
  readonly variant: string;
  readonly figures: Readonly<Record<string, number | string>>;
}

/** A benchmark that compares several variants under the same load. */
export interface Scenario {
  readonly name: string;
  readonly question: string;
  readonly run: (seed: number) => Promise<readonly ResultRow[]> | readonly ResultRow[];
}

/** Prints the results as one line of JSON, followed by a table. */
export function printScenario(
  name: string,
  question: string,
  seed: number,
  rows: readonly ResultRow[],
): void {
  process.stdout.write(`${JSON.stringify({ scenario: name, seed, rows })}\n`);
  process.stdout.write(`${name}: ${question} (seed ${seed})\n`);
  const columns = Object.keys(rows[0]?.figures ?? {});
  const cells = rows.map(({ variant, figures }) => [
    variant,
    ...columns.map((column) => formatCell(figures[column])),
  ]);
  const table = [['', ...columns], ...cells];
  const widths = table[0]?.map((_, index) => Math.max(...table.map((row) => row[index]?.length ?? 0))) ?? [];
  for (const row of table) {
    const line = row.map((cell, index) =>
      index === 0 ? cell.padEnd(widths[0] ?? 0) : cell.padStart(widths[index] ?? 0),
    );
    process.stdout.write(`  ${line.join('  ')}\n`);
  }
}

function formatCell(value: number | string | undefined): string {
  if (typeof value !== 'number') return value ?? '';
  return Number.isInteger(value) ? String(value) : value.toFixed(3);
}
