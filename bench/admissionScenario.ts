import { Admission, type AdmissionOptions, createRandom } from '@monsoonreach/core';
import type { Row, Scenario } from './scenario.js';
import { exponential, Simulation } from './simulation.js';

const SLOTS = 40;
const SERVICE_MS = 1_000;
const SECONDS = 120;
const DEADLINE_MS = 6_000;

interface Tenant {
  readonly workspace: string;
  readonly weight: number;
  readonly requestsPerSecond: number;
}

/** Two large workspaces flood; eight small ones ask for less than their share. */
const TENANTS: readonly Tenant[] = [
  { workspace: 'large-1', weight: 4, requestsPerSecond: 60 },
  { workspace: 'large-2', weight: 4, requestsPerSecond: 60 },
  ...Array.from({ length: 8 }, (_, index) => ({
    workspace: `small-${index}`,
    weight: 1,
    requestsPerSecond: 2,
  })),
];

type Variant = Pick<AdmissionOptions, 'discipline' | 'shedsByDeadline'>;

async function runVariant(
  name: string,
  variant: Variant,
  tenants: readonly Tenant[],
  seed: number,
): Promise<Row> {
  const simulation = new Simulation();
  const { clock } = simulation;
  const random = createRandom(seed);
  const admission = new Admission({ clock, capacity: () => SLOTS, maxPerWorkspace: 2_000, ...variant });
  const inTime = new Map<string, number>();
  const offered = new Map<string, number>();
  let served = 0;
  let late = 0;

  const arrive = (tenant: Tenant) => {
    simulation.after(exponential(1_000 / tenant.requestsPerSecond, random), () => {
      arrive(tenant);
    });
    const { workspace, weight } = tenant;
    offered.set(workspace, (offered.get(workspace) ?? 0) + 1);
    const endsAtMs = clock.monotonic() + DEADLINE_MS;
    const request = { workspace, weight, priority: 0, workspaceLimit: SLOTS, endsAtMs };
    void admission.admit(request).then((admittance) => {
      if (admittance.kind === 'refused') return;
      simulation.after(SERVICE_MS * (0.5 + random.next()), () => {
        admittance.release();
        served++;
        if (clock.monotonic() <= endsAtMs) inTime.set(workspace, (inTime.get(workspace) ?? 0) + 1);
        else late++;
      });
    });
  };
  for (const tenant of tenants) arrive(tenant);
  await simulation.run(SECONDS * 1_000);
  const share = (workspace: string) =>
    (inTime.get(workspace) ?? 0) / Math.max(1, offered.get(workspace) ?? 0);
  const smalls = tenants
    .filter(({ workspace }) => workspace.startsWith('small'))
    .map(({ workspace }) => share(workspace));
  const total = [...inTime.values()].reduce((sum, count) => sum + count, 0);
  return {
    variant: name,
    figures: {
      'in time a second': total / SECONDS,
      'served late': late,
      served,
      'small: least share in time': smalls.length > 0 ? Math.min(...smalls) : 0,
      'small: mean share in time': smalls.reduce((sum, value) => sum + value, 0) / Math.max(1, smalls.length),
    },
  };
}

/** A few large workspaces must not starve the small. */
export const fairness: Scenario = {
  name: 'fairness',
  question:
    '2 large workspaces at 60 req/s each, 8 small at 2 req/s each, capacity about 40 req/s, deadline 6 s',
  run: (seed) =>
    Promise.all([
      runVariant('fifo, no shedding', { discipline: 'fifo', shedsByDeadline: false }, TENANTS, seed),
      runVariant('fifo, shedding', { discipline: 'fifo', shedsByDeadline: true }, TENANTS, seed),
      runVariant('fair, no shedding', { discipline: 'fair', shedsByDeadline: false }, TENANTS, seed),
      runVariant('fair, shedding', { discipline: 'fair', shedsByDeadline: true }, TENANTS, seed),
    ]),
};
