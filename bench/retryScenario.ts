import {
  createRandom,
  DEFAULT_RETRY_SHARE,
  retryDelayMs,
  RetryBudgets,
  Stragglers,
} from '@monsoonreach/core';
import type { ResultRow, Scenario } from './scenario.js';
import { sampleExponential, Simulation } from './simulation.js';

const TARGET_COUNT = 6;
/** A load that the four remaining targets can just handle, and one that overloads them. */
const LOADS_PER_SECOND = [560, 700];
const SLOTS_PER_TARGET = 60;
const MEAN_SERVICE_TIME_MS = 400;
const TIMEOUT_MS = 1_500;
const DURATION_S = 90;
const SILENT_FROM_MS = 20_000;
const SILENT_UNTIL_MS = 50_000;
const MAX_ATTEMPTS = 6;

/** A target with a fixed number of slots. Requests without a slot queue, and stay queued after they time out. */
class SimulatedTarget {
  inUse = 0;
  isSilent = false;
  private readonly _waiting: (() => void)[] = [];

  acquireSlot(start: () => void): void {
    if (this.inUse < SLOTS_PER_TARGET) {
      this.inUse++;
      start();
    } else this._waiting.push(start);
  }

  releaseSlot(): void {
    this.inUse--;
    const next = this._waiting.shift();
    if (!next) return;
    this.inUse++;
    next();
  }
}

async function runVariant(
  name: string,
  requestsPerSecond: number,
  hasBudget: boolean,
  hasJitter: boolean,
  avoidsStragglers: boolean,
  seed: number,
): Promise<ResultRow> {
  const simulation = new Simulation();
  const random = createRandom(seed);
  const targets = Array.from({ length: TARGET_COUNT }, () => new SimulatedTarget());
  const budgets = new RetryBudgets({ share: () => DEFAULT_RETRY_SHARE });
  let offered = 0;
  let attempts = 0;
  let answered = 0;

  const stragglers = new Stragglers(simulation.clock);
  const chooseTarget = () => {
    const randomTarget = random.below(TARGET_COUNT);
    if (!avoidsStragglers || stragglers.acquireProbe(String(randomTarget))) return randomTarget;
    const healthy = targets.flatMap((_, index) => (stragglers.isOnProbation(String(index)) ? [] : [index]));
    return healthy[random.below(healthy.length)] ?? randomTarget;
  };

  const attempt = (attemptNumber: number, workspace: string) => {
    attempts++;
    const index = chooseTarget();
    const target = targets[index];
    const startedMs = simulation.clock.monotonic();
    if (!target) return;
    let isSettled = false;
    const fail = () => {
      if (isSettled) return;
      isSettled = true;
      stragglers.record(String(index), TIMEOUT_MS);
      const mayRetry = attemptNumber < MAX_ATTEMPTS && (!hasBudget || budgets.spend(workspace));
      const delayMs = hasJitter ? retryDelayMs(attemptNumber, random) : 0;
      if (mayRetry)
        simulation.schedule(delayMs, () => {
          attempt(attemptNumber + 1, workspace);
        });
    };
    simulation.schedule(TIMEOUT_MS, fail);
    target.acquireSlot(() => {
      // A silent target never responds; a request that timed out still occupies its slot.
      simulation.schedule(MEAN_SERVICE_TIME_MS * (0.5 + random.next()), () => {
        target.releaseSlot();
        if (target.isSilent || isSettled) return;
        isSettled = true;
        stragglers.record(String(index), simulation.clock.monotonic() - startedMs);
        answered++;
      });
    });
  };

  const arrive = () => {
    simulation.schedule(sampleExponential(1_000 / requestsPerSecond, random), arrive);
    offered++;
    const workspace = `w${random.below(10)}`;
    budgets.earn(workspace);
    attempt(1, workspace);
  };
  arrive();
  simulation.schedule(SILENT_FROM_MS, () => {
    for (const target of targets.slice(0, 2)) target.isSilent = true;
  });
  simulation.schedule(SILENT_UNTIL_MS, () => {
    for (const target of targets) target.isSilent = false;
  });
  await simulation.run(DURATION_S * 1_000);
  return {
    variant: `${requestsPerSecond} req/s: ${name}`,
    figures: { amplification: attempts / offered, 'answered share': answered / offered, attempts, offered },
  };
}

/** Two of six targets are silent for 30 s, under a load that the others can just handle and under an overload. */
export const retryScenario: Scenario = {
  name: 'retries',
  question: '2 of 6 targets silent from 20 s to 50 s, capacity 900 req/s while all respond, timeout 1.5 s',
  run: (seed) =>
    Promise.all(
      LOADS_PER_SECOND.flatMap((load) => [
        runVariant('unlimited, at once', load, false, false, false, seed),
        runVariant('unlimited, jitter', load, false, true, false, seed),
        runVariant('budget, jitter', load, true, true, false, seed),
        runVariant('budget, jitter, probation', load, true, true, true, seed),
      ]),
    ),
};
