import {
  CrashSuspects,
  createRandom,
  NEWS_WAIT_MS,
  type Random,
  rankByRendezvous,
  RecentLosses,
} from '@monsoonreach/core';
import type { Row, Scenario } from './scenario.js';
import { Simulation } from './simulation.js';

const GROUPS = 65;
const ENTRIES = 7;
const SENDINGS = 40;
const RUNS = 200;
const ATTEMPTS = 4;
/** Urgent news from one entry to the others takes this long, in milliseconds. */
const SPREAD_MS = 50;
/** Time between two looks of a request that is held, in milliseconds. */
const POLL_MS = 10;

/** What a run turns on. */
interface Variant {
  readonly name: string;
  readonly hasStrikes: boolean;
  /** How long a request is held whose first choice was lost, in milliseconds. */
  readonly waitMs: number;
  readonly betweenMs: number;
}

/** What one entry knows. */
interface EntryView {
  readonly suspects: CrashSuspects;
  readonly knownLost: Set<string>;
  readonly losses: RecentLosses;
}

/** Entries that all meet the same request, groups that each break under it, and news that takes its time. */
class CrashRun {
  broken = 0;
  private readonly _simulation = new Simulation();
  private readonly _entries: readonly EntryView[];
  private readonly _groups = Array.from({ length: GROUPS }, (_, index) => `g${index}`);
  private readonly _lost = new Set<string>();

  constructor(
    private readonly _variant: Variant,
    private readonly _fingerprint: string,
    private readonly _random: Random,
  ) {
    const { clock } = this._simulation;
    this._entries = Array.from({ length: ENTRIES }, () => ({
      suspects: new CrashSuspects(clock),
      knownLost: new Set<string>(),
      losses: new RecentLosses(clock, _variant.waitMs),
    }));
  }

  async run(): Promise<number> {
    for (let sending = 0; sending < SENDINGS; sending++) {
      const entry = this._random.below(ENTRIES);
      this._simulation.after(sending * this._variant.betweenMs, () => {
        this._try(entry, 1);
      });
    }
    await this._simulation.run(120_000);
    return this.broken;
  }

  private _try(index: number, attempt: number): void {
    const entry = this._entries[index];
    if (!entry || attempt > ATTEMPTS) return;
    const { hasStrikes } = this._variant;
    if (hasStrikes && entry.suspects.standing(this._fingerprint) === 'quarantined') return;
    const open = this._groups.filter((group) => !entry.knownLost.has(group));
    if (hasStrikes && entry.losses.isHeld(this._fingerprint, open)) {
      this._simulation.after(POLL_MS, () => {
        this._try(index, attempt);
      });
      return;
    }
    const group = hasStrikes
      ? rankByRendezvous(this._fingerprint, open)[0]
      : open[this._random.below(open.length)];
    if (group === undefined) return;
    entry.knownLost.add(group);
    entry.losses.note(group);
    if (!this._lost.has(group)) this._break(index, group);
    this._simulation.after(POLL_MS, () => {
      this._try(index, attempt + 1);
    });
  }

  private _break(index: number, group: string): void {
    const entry = this._entries[index];
    if (!entry) return;
    this._lost.add(group);
    this.broken++;
    entry.suspects.begin(this._fingerprint, group);
    entry.suspects.loseGroup(group);
    const strikes = new Map(entry.suspects.strikes()).get(this._fingerprint) ?? 0;
    this._simulation.after(SPREAD_MS, () => {
      for (const { suspects } of this._entries) suspects.learn(this._fingerprint, strikes);
    });
  }
}

async function runVariant(variant: Variant, seed: number): Promise<Row> {
  const counts: number[] = [];
  for (let run = 0; run < RUNS; run++) {
    counts.push(await new CrashRun(variant, `crash-${seed + run}`, createRandom(seed + run)).run());
  }
  const mean = counts.reduce((sum, count) => sum + count, 0) / RUNS;
  return {
    variant: variant.name,
    figures: { 'groups broken, mean': mean, 'groups broken, most': Math.max(...counts) },
  };
}

const VARIANTS: readonly Variant[] = [
  { name: 'no policy, every 100 ms', hasStrikes: false, waitMs: 0, betweenMs: 100 },
  { name: 'strikes, no wait for news, every 100 ms', hasStrikes: true, waitMs: 0, betweenMs: 100 },
  { name: 'strikes, no wait for news, every 10 ms', hasStrikes: true, waitMs: 0, betweenMs: 10 },
  { name: 'strikes, wait for news, every 100 ms', hasStrikes: true, waitMs: NEWS_WAIT_MS, betweenMs: 100 },
  { name: 'strikes, wait for news, every 10 ms', hasStrikes: true, waitMs: NEWS_WAIT_MS, betweenMs: 10 },
  { name: 'strikes, wait for news, all at once', hasStrikes: true, waitMs: NEWS_WAIT_MS, betweenMs: 0 },
];

/** A request that breaks each group that runs it, sent forty times through seven entries. */
export const crashing: Scenario = {
  name: 'crashing-request',
  question: `${SENDINGS} sendings through ${ENTRIES} entries, up to ${ATTEMPTS} attempts each, ${GROUPS} groups, ${RUNS} runs, news takes ${SPREAD_MS} ms`,
  run: async (seed) => {
    const rows: Row[] = [];
    for (const variant of VARIANTS) rows.push(await runVariant(variant, seed));
    return rows;
  },
};
