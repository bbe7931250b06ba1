import { createRandom } from '@monsoonreach/core';
import { LocalFleet, type LocalFleetOptions } from '../support/localFleet.js';
import { requestCompletion, requestSlot, type CallRecord, type CallerOptions, sendOrder } from './callers.js';
import { checkHistories, type Violation } from './checker.js';
import { type Fault, type FaultContext, injectFault } from './faults.js';

/** Options of a history run. */
export interface HistoryOptions {
  readonly seed: number;
  readonly faults: readonly Fault[];
  readonly seconds: number;
  /** Number of concurrent callers; each sends one request after the other. */
  readonly callers?: number;
  readonly fleet?: LocalFleetOptions;
}

/** Request counts and violations of a run. */
export interface HistoryReport {
  readonly requests: number;
  readonly answered: number;
  readonly notRun: number;
  readonly inDoubt: number;
  readonly failed: number;
  /** Requests without a complete answer, as their connection was refused, cut or timed out. */
  readonly cut: number;
  readonly runs: number;
  readonly violations: readonly Violation[];
  readonly notes: readonly string[];
}

const THINK_TIME_MS = 40;
const SETTLE_MS = 1_500;

const sleep = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

/** Runs real processes under load, injects the faults at the same time, and checks the histories. */
export async function runHistory(options: HistoryOptions): Promise<HistoryReport> {
  const fleet = new LocalFleet({ entries: 3, stewards: 2, engines: 6, services: 2, ...options.fleet });
  const random = createRandom(options.seed);
  const history: CallRecord[] = [];
  const configurations = new Map<string, number[]>();
  const balancer = new Balancer(fleet);
  const entries = () => balancer.entries();
  const callers: CallerOptions = { entries, random, history };
  const context: FaultContext = {
    fleet,
    random,
    callers,
    leaving: [],
    kills: [],
    notes: [],
    stopCodes: [],
  };
  try {
    await fleet.start();
    const [first] = fleet.entries;
    if (first)
      await fleet.waitUntil(
        'groups to serve',
        async () => (await fleet.readServingGroups(first)).length >= 2,
      );
    const endsAtMs = Date.now() + options.seconds * 1_000;
    const isOver = () => Date.now() > endsAtMs;
    const balancing = balancer.run(isOver);
    const load = Array.from({ length: options.callers ?? 8 }, () => runCaller(callers, isOver));
    const watch = watchConfigurations(fleet, configurations, isOver);
    await sleep(SETTLE_MS);
    const injected = options.faults.map((fault) => injectFault(fault, context));
    await Promise.all([...load, ...injected, watch, balancing]);
    await sleep(SETTLE_MS);
    const journal = fleet.readJournal();
    const violations = [
      ...checkStops(context.stopCodes),
      ...checkHistories({
        callers: history,
        journal,
        leaving: context.leaving,
        configurations,
        kills: context.kills,
      }),
    ];
    return summarise(history, journal, violations, context.notes);
  } finally {
    await fleet.stop();
  }
}

/** Imitates the platform's load balancer: callers use only entries whose last readiness check passed. */
class Balancer {
  private _ready: readonly string[];

  constructor(private readonly _fleet: LocalFleet) {
    this._ready = [];
  }

  entries(): readonly string[] {
    return this._ready.length > 0 ? this._ready : this._fleet.entries.map(({ address }) => address);
  }

  async run(isOver: () => boolean): Promise<void> {
    while (!isOver()) {
      const checks = this._fleet.entries.map(async ({ address }) =>
        (await isReady(address)) ? [address] : [],
      );
      this._ready = (await Promise.all(checks)).flat();
      await sleep(100);
    }
  }
}

async function isReady(address: string): Promise<boolean> {
  try {
    return (await fetch(`http://${address}/readyz`, { signal: AbortSignal.timeout(500) })).ok;
  } catch {
    return false;
  }
}

function checkStops(codes: readonly (number | null)[]): readonly Violation[] {
  return codes
    .filter((code) => code !== 0)
    .map((code) => ({ promise: 'a planned stop cuts nothing', evidence: `exit code ${String(code)}` }));
}

async function runCaller(callers: CallerOptions, isOver: () => boolean): Promise<void> {
  while (!isOver()) {
    const draw = callers.random.next();
    if (draw < 0.4) await sendOrder(callers);
    else if (draw < 0.6) await requestSlot(callers);
    else await requestCompletion(callers);
    await sleep(THINK_TIME_MS);
  }
}

async function watchConfigurations(
  fleet: LocalFleet,
  configurations: Map<string, number[]>,
  isOver: () => boolean,
): Promise<void> {
  while (!isOver()) {
    for (const entry of fleet.entries) {
      const status = await fleet.readStatus(entry).catch(() => undefined);
      const position = Number(status?.['configuration'] ?? 0);
      // Keyed by process id: a restarted entry begins without a configuration and serves only once it has caught up.
      const id = `${entry.name}/${String(entry.child.pid)}`;
      if (position > 0) configurations.set(id, [...(configurations.get(id) ?? []), position]);
    }
    await sleep(300);
  }
}

function summarise(
  history: readonly CallRecord[],
  journal: readonly Readonly<Record<string, unknown>>[],
  violations: readonly Violation[],
  notes: readonly string[],
): HistoryReport {
  const count = (run: string) =>
    history.filter(({ result }) => result.kind === 'problem' && result.run === run).length;
  return {
    requests: history.length,
    answered: history.filter(({ result }) => result.kind === 'answered').length,
    notRun: count('not-run'),
    inDoubt: count('in-doubt'),
    failed: count('failed'),
    cut: history.filter(({ result }) => result.kind === 'cut').length,
    runs: journal.filter(({ event }) => event === 'order').length,
    violations,
    notes,
  };
}
