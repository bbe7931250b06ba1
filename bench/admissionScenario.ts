import { Admission, type AdmissionOptions, createRandom } from '@monsoonreach/core';
import type { ResultRow, Scenario } from './scenario.js';
import { sampleExponential, Simulation } from './simulation.js';

const CAPACITY_SLOTS = 40;
const MEAN_SERVICE_TIME_MS = 1_000;
const DURATION_S = 120;
const DEADLINE_MS = 6_000;

interface WorkspaceLoad {
  readonly workspace: string;
  readonly weight: number;
  readonly requestsPerSecond: number;
}

/** Two large workspaces overload the pool; eight small ones stay below their fair share. */
const WORKSPACE_LOADS: readonly WorkspaceLoad[] = [
  { workspace: 'large-1', weight: 4, requestsPerSecond: 60 },
  { workspace: 'large-2', weight: 4, requestsPerSecond: 60 },
  ...Array.from({ length: 8 }, (_, index) => ({
    workspace: `small-${index}`,
    weight: 1,
    requestsPerSecond: 2,
  })),
];

type Variant = Pick<AdmissionOptions, 'discipline' | 'isDeadlineSheddingEnabled'>;

async function runVariant(
  name: string,
  variant: Variant,
  workspaceLoads: readonly WorkspaceLoad[],
  seed: number,
): Promise<ResultRow> {
  const simulation = new Simulation();
  const { clock } = simulation;
  const random = createRandom(seed);
  const admission = new Admission({
    clock,
    capacity: () => CAPACITY_SLOTS,
    maxPerWorkspace: 2_000,
    ...variant,
  });
  const servedInTime = new Map<string, number>();
  const offered = new Map<string, number>();
  let served = 0;
  let servedLate = 0;

  const arrive = (workspaceLoad: WorkspaceLoad) => {
    simulation.schedule(sampleExponential(1_000 / workspaceLoad.requestsPerSecond, random), () => {
      arrive(workspaceLoad);
    });
    const { workspace, weight } = workspaceLoad;
    offered.set(workspace, (offered.get(workspace) ?? 0) + 1);
    const endsAtMs = clock.monotonic() + DEADLINE_MS;
    const request = { workspace, weight, priority: 0, workspaceLimit: CAPACITY_SLOTS, endsAtMs };
    void admission.admit(request).then((admittance) => {
      if (admittance.kind === 'refused') return;
      simulation.schedule(MEAN_SERVICE_TIME_MS * (0.5 + random.next()), () => {
        admittance.release();
        served++;
        if (clock.monotonic() <= endsAtMs)
          servedInTime.set(workspace, (servedInTime.get(workspace) ?? 0) + 1);
        else servedLate++;
      });
    });
  };
  for (const tenant of workspaceLoads) arrive(tenant);
  await simulation.run(DURATION_S * 1_000);
  const shareInTime = (workspace: string) =>
    (servedInTime.get(workspace) ?? 0) / Math.max(1, offered.get(workspace) ?? 0);
  const smallShares = workspaceLoads
    .filter(({ workspace }) => workspace.startsWith('small'))
    .map(({ workspace }) => shareInTime(workspace));
  const total = [...servedInTime.values()].reduce((sum, count) => sum + count, 0);
  return {
    variant: name,
    figures: {
      'in time a second': total / DURATION_S,
      'served late': servedLate,
      served,
      'small: least share in time': smallShares.length > 0 ? Math.min(...smallShares) : 0,
      'small: mean share in time':
        smallShares.reduce((sum, value) => sum + value, 0) / Math.max(1, smallShares.length),
    },
  };
}

/** Measures whether a few large workspaces starve the small ones. */
export const fairnessScenario: Scenario = {
  name: 'fairness',
  question:
    '2 large workspaces at 60 req/s each, 8 small at 2 req/s each, capacity about 40 req/s, deadline 6 s',
  run: (seed) =>
    Promise.all([
      runVariant(
        'fifo, no shedding',
        { discipline: 'fifo', isDeadlineSheddingEnabled: false },
        WORKSPACE_LOADS,
        seed,
      ),
      runVariant(
        'fifo, shedding',
        { discipline: 'fifo', isDeadlineSheddingEnabled: true },
        WORKSPACE_LOADS,
        seed,
      ),
      runVariant(
        'fair, no shedding',
        { discipline: 'fair', isDeadlineSheddingEnabled: false },
        WORKSPACE_LOADS,
        seed,
      ),
      runVariant(
        'fair, shedding',
        { discipline: 'fair', isDeadlineSheddingEnabled: true },
        WORKSPACE_LOADS,
        seed,
      ),
    ]),
};
