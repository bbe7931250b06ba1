import t from 'tap';
import { type Fault } from './faults.js';
import { runHistory } from './runHistory.js';

/** A short fixed set for CI; `npm run history` runs every fault alone, and pairs with --pairs. */
const runs: readonly { readonly faults: readonly Fault[]; readonly seed: number }[] = [
  { faults: ['kill-engine'], seed: 1 },
  { faults: ['kill-entry', 'lost-answers'], seed: 2 },
];

for (const { faults, seed } of runs) {
  void t.test(`every promise is kept under ${faults.join(' and ')}`, async (t) => {
    const report = await runHistory({ seed, faults, seconds: 6, callers: 4 });
    t.same(report.violations, []);
    t.ok(report.answered > 0);
  });
}
