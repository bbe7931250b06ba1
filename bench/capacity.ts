import { readFileSync, writeFileSync } from 'node:fs';
import { cpus } from 'node:os';
import { measureIdleProcesses } from './processFigures.js';
import { at, measureSlopes, type Slope } from './slopes.js';
import { measureCallBytes, measureProbeBytes } from './wireFigures.js';

/** `npm run bench:slopes`: measures the slopes and writes the tables of docs/CAPACITY.md anew. */
const PAGE = 'docs/CAPACITY.md';
const BEGIN = '<!-- tables: begin -->';
const END = '<!-- tables: end -->';

/** Letter 1. */
const NODES = 410;
const GROUPS = 600;
const INSTANCES_PER_GROUP = 8;
const INSTANCES = GROUPS * INSTANCES_PER_GROUP;
const REQUESTS_PER_SECOND = 2_800;
const CHANGES_A_DAY = 510;
const FAILURES_A_DAY = 9;
const REPLACEMENTS_A_DAY = 220;
const BUDGET = { cpuShare: 0.036, memoryMiB: 128, bytesPerSecond: 8_192 } as const;

/** What the page supposes where the letter is silent. */
const INSTANCES_PER_FABRIC_DOMAIN = 64;
const NON_IDEMPOTENT_SHARE = 0.01;
const CLAIM_WINDOW_S = 900;
const APPENDS_PER_SECOND = 300;

/** Rates of the mechanisms, as in the modules that the page links to. */
const PROBES_PER_SECOND_A_MEMBER = 1;
const LEASE_QUERIES_PER_SECOND = 4;
const STEADY_PROBES_PER_SECOND = 1 / 4;
const PLANS_PER_SECOND = 2;
/** A placement lives ten seconds at most, and less when groups or stewards change. */
const PLACEMENTS_PER_SECOND = 0.1 + (220 + 9) / 86_400;
const CANDIDATES = 12;
const FAILURE_DOMAINS = 6;
const RELAYS_PER_DOMAIN = 2;
const SECONDS_A_DAY = 86_400;

const slopes = new Map(measureSlopes().map((slope) => [slope.name, slope]));
const probeBytes = await measureProbeBytes();
const callBytes = await measureCallBytes();
const idle = await measureIdleProcesses();

function slopeOf(name: string): Slope {
  const slope = slopes.get(name);
  if (!slope) throw new RangeError(`No slope is called "${name}".`);
  return slope;
}

interface Duty {
  readonly duty: string;
  readonly mechanism: string;
  readonly state: string;
  readonly messages: string;
  readonly bytesPerSecond: number;
  readonly cpuMsPerSecond: number;
  readonly memoryMiB: number;
}

function listDuties(): readonly Duty[] {
  const leaseBytes = at(slopeOf('lease query and answer, bytes'), 3);
  const claimsPerSecond = REQUESTS_PER_SECOND * NON_IDEMPOTENT_SHARE;
  const liveClaims = claimsPerSecond * CLAIM_WINDOW_S;
  const watched = GROUPS / NODES;
  const domains = INSTANCES / INSTANCES_PER_FABRIC_DOMAIN;
  const planCpu = at(slopeOf('plan of one fabric domain, processor'), GROUPS) * PLANS_PER_SECOND;
  const probeMs = 0.6;
  const controlMemory = at(slopeOf('control state, memory'), GROUPS);
  const claimEntryBytes = 330;
  return [
    {
      duty: 'both: membership and demand',
      mechanism: '[membership](../packages/core/src/membership.ts)',
      state: `${NODES} digests`,
      messages: '1 exchange/s out, 1 in',
      bytesPerSecond: at(slopeOf('digest exchange, bytes'), NODES),
      cpuMsPerSecond: at(slopeOf('digest exchange, processor'), NODES) * 2,
      memoryMiB: 1,
    },
    {
      duty: 'entry: whole leases',
      mechanism:
        '[wholeLease](../packages/core/src/wholeLease.ts), [leasePuller](../packages/daemon/src/leasePuller.ts)',
      state: '4 stewards, about 6 groups',
      messages: `${LEASE_QUERIES_PER_SECOND} queries/s`,
      bytesPerSecond: LEASE_QUERIES_PER_SECOND * leaseBytes,
      cpuMsPerSecond: LEASE_QUERIES_PER_SECOND,
      memoryMiB: 1,
    },
    {
      duty: 'entry: routing',
      mechanism: '[router](../packages/core/src/router.ts), [admission](../packages/core/src/admission.ts)',
      state: `${CANDIDATES} groups`,
      messages: `${(REQUESTS_PER_SECOND / NODES).toFixed(1)} decisions/s`,
      bytesPerSecond: 0,
      cpuMsPerSecond:
        ((REQUESTS_PER_SECOND / NODES) * at(slopeOf('one routing decision, processor'), CANDIDATES)) / 1_000,
      memoryMiB: 1,
    },
    {
      duty: 'entry: claims read through a relay',
      mechanism:
        '[claims](../packages/core/src/claims.ts), [relayedLog](../packages/peers/src/relayedLog.ts)',
      state: `${Math.round(liveClaims)} live claims`,
      messages: `${(claimsPerSecond * 2).toFixed(0)} records/s`,
      bytesPerSecond: claimsPerSecond * 2 * claimEntryBytes,
      cpuMsPerSecond: claimsPerSecond * 2 * slopeOf('reading claims, processor').perUnit,
      memoryMiB: at(slopeOf('live claims, memory'), liveClaims),
    },
    {
      duty: 'entry as sequencer (4 of all)',
      mechanism: '[logRelay](../packages/peers/src/logRelay.ts)',
      state: 'one batch a shard',
      messages: `${((claimsPerSecond * 2) / 4).toFixed(0)} records/s taken, 1 append under way`,
      bytesPerSecond: ((claimsPerSecond * 2) / 4) * (claimEntryBytes + callBytes),
      cpuMsPerSecond: (claimsPerSecond * 2) / 4,
      memoryMiB: 1,
    },
    {
      duty: `entry as relay (${RELAYS_PER_DOMAIN} of each failure domain and stream)`,
      mechanism: '[logRelay](../packages/peers/src/logRelay.ts)',
      state: '512 batches a stream',
      messages: `${Math.round(NODES / FAILURE_DOMAINS / RELAYS_PER_DOMAIN)} readers`,
      bytesPerSecond:
        (NODES / FAILURE_DOMAINS / RELAYS_PER_DOMAIN) * claimsPerSecond * 2 * claimEntryBytes * (1 / 4),
      cpuMsPerSecond: (NODES / FAILURE_DOMAINS / RELAYS_PER_DOMAIN) * 0.5,
      memoryMiB: 4,
    },
    {
      duty: 'steward: watching groups',
      mechanism: '[watcher](../packages/steward/src/watcher.ts), [prober](../packages/steward/src/prober.ts)',
      state: `${watched.toFixed(1)} groups of ${INSTANCES_PER_GROUP}`,
      messages: `${(watched * INSTANCES_PER_GROUP).toFixed(1)} probes/s`,
      bytesPerSecond: watched * INSTANCES_PER_GROUP * PROBES_PER_SECOND_A_MEMBER * probeBytes,
      cpuMsPerSecond:
        watched * INSTANCES_PER_GROUP * probeMs +
        at(slopeOf('placing the watchers of all groups, processor'), GROUPS) * PLACEMENTS_PER_SECOND,
      memoryMiB: 1,
    },
    {
      duty: 'steward: answering lease queries',
      mechanism: '[steward](../packages/steward/src/steward.ts)',
      state: 'none',
      messages: `${LEASE_QUERIES_PER_SECOND} answers/s`,
      bytesPerSecond: LEASE_QUERIES_PER_SECOND * leaseBytes,
      cpuMsPerSecond: LEASE_QUERIES_PER_SECOND,
      memoryMiB: 0,
    },
    {
      duty: `steward: planning one fabric domain of ${INSTANCES_PER_FABRIC_DOMAIN} (${domains.toFixed(0)} of ${NODES})`,
      mechanism: '[planner](../packages/core/src/planner.ts), [repair](../packages/core/src/repair.ts)',
      state: `${GROUPS} groups, ${INSTANCES} instances`,
      messages: `${(INSTANCES_PER_FABRIC_DOMAIN * STEADY_PROBES_PER_SECOND).toFixed(0)} probes/s`,
      bytesPerSecond: INSTANCES_PER_FABRIC_DOMAIN * STEADY_PROBES_PER_SECOND * probeBytes,
      cpuMsPerSecond: planCpu + INSTANCES_PER_FABRIC_DOMAIN * STEADY_PROBES_PER_SECOND * probeMs,
      memoryMiB: controlMemory,
    },
    {
      duty: 'steward: checkpoints (one a stream)',
      mechanism: '[checkpoint](../packages/core/src/checkpoint.ts)',
      state: `${(at(slopeOf('control state, checkpoint'), GROUPS) / 1_024).toFixed(1)} MiB of control`,
      messages: 'one every 5,000 batches',
      bytesPerSecond: 0,
      cpuMsPerSecond: 0,
      memoryMiB: 3,
    },
  ];
}

function logAppends(): string {
  const assignmentRecords = INSTANCES_PER_GROUP + 2 + 1;
  const control = ((FAILURES_A_DAY + REPLACEMENTS_A_DAY) * assignmentRecords) / SECONDS_A_DAY;
  const config = CHANGES_A_DAY / SECONDS_A_DAY;
  const claims = REQUESTS_PER_SECOND * NON_IDEMPOTENT_SHARE * 2;
  const rows = [
    ['control', control.toFixed(3), control.toFixed(3)],
    ['config', config.toFixed(3), config.toFixed(3)],
    ['claims (4 shards)', claims.toFixed(0), Math.min(claims, 4 * 40).toFixed(0)],
  ];
  const lines = rows.map(([stream, records, appends]) => `| ${stream} | ${records} | at most ${appends} |`);
  return ['| stream | records a second | appends a second |', '| --- | --- | --- |', ...lines].join('\n');
}

function slopeTable(): string {
  const rows = [...slopes.values()].map(({ name, unit, sizeUnit, points, base, perUnit, spread }) => {
    const shown = points.map(({ size, value }) => `${size}: ${value.toFixed(2)}`).join('; ');
    return `| ${name} | ${unit} | ${shown} | ${base.toFixed(2)} + ${perUnit.toPrecision(3)} a ${sizeUnit} | ${(spread * 100).toFixed(0)} % |`;
  });
  return [
    '| quantity | unit | measured at | line | spread |',
    '| --- | --- | --- | --- | --- |',
    ...rows,
  ].join('\n');
}

function dutyTable(duties: readonly Duty[]): string {
  const rows = duties.map(
    ({ duty, mechanism, state, messages, bytesPerSecond, cpuMsPerSecond, memoryMiB }) =>
      `| ${duty} | ${mechanism} | ${state} | ${messages} | ${Math.round(bytesPerSecond)} | ${(cpuMsPerSecond / 10).toFixed(2)} % | ${memoryMiB.toFixed(1)} |`,
  );
  const head = '| role and duty | mechanism | state | messages | B/s | of a core | MiB |';
  return [head, '| --- | --- | --- | --- | --- | --- | --- |', ...rows].join('\n');
}

function totalTable(duties: readonly Duty[]): string {
  const everywhere = duties.filter(({ duty }) => /^(both|entry: |steward: (watching|answering))/.test(duty));
  const planner = duties.filter(({ duty }) => duty.includes('planning'));
  const claims = duties.filter(({ duty }) => duty.includes('claims read'));
  const base = {
    bytes: 0,
    cpu: (idle.entry.cpuShare + idle.steward.cpuShare) * 100,
    memory: idle.entry.memoryMiB + idle.steward.memoryMiB,
  };
  const sum = (list: readonly Duty[]) => ({
    bytes: list.reduce((total, { bytesPerSecond }) => total + bytesPerSecond, 0),
    cpu: list.reduce((total, { cpuMsPerSecond }) => total + cpuMsPerSecond / 10, 0),
    memory: list.reduce((total, { memoryMiB }) => total + memoryMiB, 0),
  });
  const common = sum(everywhere);
  const withPlan = sum([...everywhere, ...planner]);
  const claimBytes = sum(claims).bytes;
  const row = (name: string, value: { bytes: number; cpu: number; memory: number }) =>
    `| ${name} | ${Math.round(value.bytes)} | ${value.cpu.toFixed(1)} % | ${Math.round(value.memory)} |`;
  return [
    '| a node | B/s in and out | of a core | MiB |',
    '| --- | --- | --- | --- |',
    row('both processes idle at the size of today, measured', base),
    row('all duties that every node has, by the slopes', common),
    row('of these, without reading claims', { ...common, bytes: common.bytes - claimBytes }),
    row('and planning one fabric domain', withPlan),
    row('budget of letter 1', {
      bytes: BUDGET.bytesPerSecond,
      cpu: BUDGET.cpuShare * 100,
      memory: BUDGET.memoryMiB,
    }),
  ].join('\n');
}

const duties = listDuties();
const tables = [
  `Measured on ${cpus().length} cores of "${cpus()[0]?.model ?? 'unknown'}", Node ${process.version}, other work running.`,
  `One read-back of an engine: ${probeBytes.toFixed(0)} B on the wire. One call between peers: ${callBytes.toFixed(0)} B beside its messages.`,
  `Idle entry: ${idle.entry.memoryMiB.toFixed(0)} MiB, ${(idle.entry.cpuShare * 100).toFixed(1)} % of a core. Idle steward: ${idle.steward.memoryMiB.toFixed(0)} MiB, ${(idle.steward.cpuShare * 100).toFixed(1)} % (3 entries, 3 stewards, 6 engines).`,
  '### Slopes',
  slopeTable(),
  `### Duties at ${NODES} nodes, ${GROUPS} groups, ${INSTANCES} instances`,
  dutyTable(duties),
  '### A node against the budget',
  totalTable(duties),
  `### The log (it takes several hundred appends a second; ${APPENDS_PER_SECOND} supposed)`,
  logAppends(),
].join('\n\n');

const page = readFileSync(PAGE, 'utf8');
const [before = ''] = page.split(BEGIN);
const [, after = ''] = page.split(END);
writeFileSync(PAGE, `${before}${BEGIN}\n\n${tables}\n\n${END}${after}`);
process.stdout.write(`${tables}\n`);
process.exit();
