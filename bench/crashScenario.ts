import {
  CrashSuspects,
  createRandom,
  STRIKE_PROPAGATION_MS,
  type Random,
  rankByRendezvous,
  RecentLosses,
} from '@monsoonreach/core';
import type { ResultRow, Scenario } from './scenario.js';
import { Simulation } from './simulation.js';

const GROUPS = 65;
const ENTRIES = 7;
const SUBMISSIONS = 40;
const RUNS = 200;
const MAX_ATTEMPTS = 4;
/** Time until a strike recorded at one entry is known to the others. */
const PROPAGATION_MS = 50;
/** Interval at which a held request is checked again, and delay between attempts. */
const POLL_INTERVAL_MS = 10;

/** Policy and timing of one variant. */
interface Variant {
  readonly name: string;
  readonly hasStrikes: boolean;
  /** How long a request is held after its preferred group was lost, in milliseconds. */
  readonly holdMs: number;
  /** Time between two submissions, in milliseconds. */
  readonly intervalMs: number;
}

/** State of one entry. */
interface EntryView {
  readonly suspects: CrashSuspects;
  readonly knownLostGroups: Set<string>;
  readonly losses: RecentLosses;
}

/** Simulates entries that receive a request that breaks every group; strikes propagate with a delay. */
class CrashSimulation {
  brokenCount = 0;
  private readonly _simulation = new Simulation();
  private readonly _entries: readonly EntryView[];
  private readonly _groups = Array.from({ length: GROUPS }, (_, index) => `g${index}`);
  private readonly _lostGroups = new Set<string>();

  constructor(
    private readonly _variant: Variant,
    private readonly _fingerprint: string,
    private readonly _random: Random,
  ) {
    const { clock } = this._simulation;
    this._entries = Array.from({ length: ENTRIES }, () => ({
      suspects: new CrashSuspects(clock),
      knownLostGroups: new Set<string>(),
      losses: new RecentLosses(clock, _variant.holdMs),
    }));
  }

  async run(): Promise<number> {
    for (let submission = 0; submission < SUBMISSIONS; submission++) {
      const entry = this._random.below(ENTRIES);
      this._simulation.schedule(submission * this._variant.intervalMs, () => {
        this._attempt(entry, 1);
      });
    }
    await this._simulation.run(120_000);
    return this.brokenCount;
  }

  private _attempt(index: number, attempt: number): void {
    const entry = this._entries[index];
    if (!entry || attempt > MAX_ATTEMPTS) return;
    const { hasStrikes } = this._variant;
    if (hasStrikes && entry.suspects.statusOf(this._fingerprint) === 'quarantined') return;
    const candidates = this._groups.filter((group) => !entry.knownLostGroups.has(group));
    if (hasStrikes && entry.losses.isPreferredGroupLost(this._fingerprint, candidates)) {
      this._simulation.schedule(POLL_INTERVAL_MS, () => {
        this._attempt(index, attempt);
      });
      return;
    }
    const group = hasStrikes
      ? rankByRendezvous(this._fingerprint, candidates)[0]
      : candidates[this._random.below(candidates.length)];
    if (group === undefined) return;
    entry.knownLostGroups.add(group);
    entry.losses.recordLoss(group);
    if (!this._lostGroups.has(group)) this._breakGroup(index, group);
    this._simulation.schedule(POLL_INTERVAL_MS, () => {
      this._attempt(index, attempt + 1);
    });
  }

  private _breakGroup(index: number, group: string): void {
    const entry = this._entries[index];
    if (!entry) return;
    this._lostGroups.add(group);
    this.brokenCount++;
    entry.suspects.begin(this._fingerprint, group);
    entry.suspects.recordGroupLoss(group);
    const strikes = new Map(entry.suspects.strikes()).get(this._fingerprint) ?? 0;
    this._simulation.schedule(PROPAGATION_MS, () => {
      for (const { suspects } of this._entries) suspects.mergeStrikes(this._fingerprint, strikes);
    });
  }
}

async function runVariant(variant: Variant, seed: number): Promise<ResultRow> {
  const counts: number[] = [];
  for (let run = 0; run < RUNS; run++) {
    counts.push(await new CrashSimulation(variant, `crash-${seed + run}`, createRandom(seed + run)).run());
  }
  const mean = counts.reduce((sum, count) => sum + count, 0) / RUNS;
  return {
    variant: variant.name,
    figures: { 'groups broken, mean': mean, 'groups broken, most': Math.max(...counts) },
  };
}

const VARIANTS: readonly Variant[] = [
  { name: 'no policy, every 100 ms', hasStrikes: false, holdMs: 0, intervalMs: 100 },
  { name: 'strikes, no wait for news, every 100 ms', hasStrikes: true, holdMs: 0, intervalMs: 100 },
  { name: 'strikes, no wait for news, every 10 ms', hasStrikes: true, holdMs: 0, intervalMs: 10 },
  {
    name: 'strikes, wait for news, every 100 ms',
    hasStrikes: true,
    holdMs: STRIKE_PROPAGATION_MS,
    intervalMs: 100,
  },
  {
    name: 'strikes, wait for news, every 10 ms',
    hasStrikes: true,
    holdMs: STRIKE_PROPAGATION_MS,
    intervalMs: 10,
  },
  {
    name: 'strikes, wait for news, all at once',
    hasStrikes: true,
    holdMs: STRIKE_PROPAGATION_MS,
    intervalMs: 0,
  },
];

/** Counts the groups that break under repeated submissions of a request that breaks every group. */
export const crashScenario: Scenario = {
  name: 'crashing-request',
  question: `${SUBMISSIONS} submissions of one request through ${ENTRIES} entries, up to ${MAX_ATTEMPTS} attempts each, ${GROUPS} groups, ${RUNS} runs, strikes propagate in ${PROPAGATION_MS} ms`,
  run: async (seed) => {
    const rows: ResultRow[] = [];
    for (const variant of VARIANTS) rows.push(await runVariant(variant, seed));
    return rows;
  },
};
