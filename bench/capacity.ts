import { readFileSync, writeFileSync } from 'node:fs';
import { cpus } from 'node:os';
import { measureIdleProcesses } from './processUsage.js';
import { evaluateSlope, measureSlopes, type Slope } from './slopes.js';
import { measureCallBytes, measureProbeBytes } from './wireBytes.js';

/** `npm run bench:slopes`: measures the slopes and regenerates the tables of docs/CAPACITY.md. */
const PAGE_PATH = 'docs/CAPACITY.md';
const TABLES_BEGIN = '<!-- tables: begin -->';
const TABLES_END = '<!-- tables: end -->';

/** Requirements from letter 1: fleet size, load, daily events and the resource budget of one node. */
const NODES = 410;
const GROUPS = 600;
const INSTANCES_PER_GROUP = 8;
const INSTANCES = GROUPS * INSTANCES_PER_GROUP;
const REQUESTS_PER_SECOND = 2_800;
const CONFIGURATION_CHANGES_PER_DAY = 510;
const FAILURES_PER_DAY = 9;
const REPLACEMENTS_PER_DAY = 220;
const BUDGET = { cpuShare: 0.036, memoryMiB: 128, bytesPerSecond: 8_192 } as const;

/** Assumptions where letter 1 gives no figure. */
const INSTANCES_PER_FABRIC_DOMAIN = 64;
const NON_IDEMPOTENT_SHARE = 0.01;
const CLAIM_WINDOW_S = 900;
const APPENDS_PER_SECOND = 300;

/** Rates configured in the modules that the page links to. */
const PROBES_PER_SECOND_PER_MEMBER = 1;
const LEASE_QUERIES_PER_SECOND = 4;
const PLANNING_PROBES_PER_SECOND = 1 / 4;
const PLANS_PER_SECOND = 2;
/** A placement is recomputed after 10 s at the latest, and earlier when groups or stewards change. */
const PLACEMENTS_PER_SECOND = 0.1 + (220 + 9) / 86_400;
const CANDIDATE_GROUPS = 12;
const FAILURE_DOMAINS = 6;
const RELAYS_PER_FAILURE_DOMAIN = 2;
const SECONDS_PER_DAY = 86_400;

const slopes = new Map(measureSlopes().map((slope) => [slope.name, slope]));
const probeBytes = await measureProbeBytes();
const callBytes = await measureCallBytes();
const idleUsage = await measureIdleProcesses();

function findSlope(name: string): Slope {
  const slope = slopes.get(name);
  if (!slope) throw new RangeError(`No slope is named "${name}"; use a name that measureSlopes returns.`);
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
  const leaseBytes = evaluateSlope(findSlope('lease query and answer, bytes'), 3);
  const claimsPerSecond = REQUESTS_PER_SECOND * NON_IDEMPOTENT_SHARE;
  const liveClaims = claimsPerSecond * CLAIM_WINDOW_S;
  const watchedGroupsPerNode = GROUPS / NODES;
  const fabricDomains = INSTANCES / INSTANCES_PER_FABRIC_DOMAIN;
  const planCpuMsPerSecond =
    evaluateSlope(findSlope('plan of one fabric domain, processor'), GROUPS) * PLANS_PER_SECOND;
  const probeCpuMs = 0.6;
  const controlMemoryMiB = evaluateSlope(findSlope('control state, memory'), GROUPS);
  const claimEntryBytes = 330;
  return [
    {
      duty: 'both: membership and demand',
      mechanism: '[membership](../packages/core/src/membership.ts)',
      state: `${NODES} digests`,
      messages: '1 exchange/s out, 1 in',
      bytesPerSecond: evaluateSlope(findSlope('digest exchange, bytes'), NODES),
      cpuMsPerSecond: evaluateSlope(findSlope('digest exchange, processor'), NODES) * 2,
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
      state: `${CANDIDATE_GROUPS} groups`,
      messages: `${(REQUESTS_PER_SECOND / NODES).toFixed(1)} decisions/s`,
      bytesPerSecond: 0,
      cpuMsPerSecond:
        ((REQUESTS_PER_SECOND / NODES) *
          evaluateSlope(findSlope('one routing decision, processor'), CANDIDATE_GROUPS)) /
        1_000,
      memoryMiB: 1,
    },
    {
      duty: 'entry: claims read through a relay',
      mechanism:
        '[claims](../packages/core/src/claims.ts), [relayedLog](../packages/peers/src/relayedLog.ts)',
      state: `${Math.round(liveClaims)} live claims`,
      messages: `${(claimsPerSecond * 2).toFixed(0)} records/s`,
      bytesPerSecond: claimsPerSecond * 2 * claimEntryBytes,
      cpuMsPerSecond: claimsPerSecond * 2 * findSlope('reading claims, processor').perUnit,
      memoryMiB: evaluateSlope(findSlope('live claims, memory'), liveClaims),
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
      duty: `entry as relay (${RELAYS_PER_FAILURE_DOMAIN} of each failure domain and stream)`,
      mechanism: '[logRelay](../packages/peers/src/logRelay.ts)',
      state: '512 batches a stream',
      messages: `${Math.round(NODES / FAILURE_DOMAINS / RELAYS_PER_FAILURE_DOMAIN)} readers`,
      bytesPerSecond:
        (NODES / FAILURE_DOMAINS / RELAYS_PER_FAILURE_DOMAIN) *
        claimsPerSecond *
        2 *
        claimEntryBytes *
        (1 / 4),
      cpuMsPerSecond: (NODES / FAILURE_DOMAINS / RELAYS_PER_FAILURE_DOMAIN) * 0.5,
      memoryMiB: 4,
    },
    {
      duty: 'steward: watching groups',
      mechanism: '[watcher](../packages/steward/src/watcher.ts), [prober](../packages/steward/src/prober.ts)',
      state: `${watchedGroupsPerNode.toFixed(1)} groups of ${INSTANCES_PER_GROUP}`,
      messages: `${(watchedGroupsPerNode * INSTANCES_PER_GROUP).toFixed(1)} probes/s`,
      bytesPerSecond: watchedGroupsPerNode * INSTANCES_PER_GROUP * PROBES_PER_SECOND_PER_MEMBER * probeBytes,
      cpuMsPerSecond:
        watchedGroupsPerNode * INSTANCES_PER_GROUP * probeCpuMs +
        evaluateSlope(findSlope('placing the watchers of all groups, processor'), GROUPS) *
          PLACEMENTS_PER_SECOND,
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
      duty: `steward: planning one fabric domain of ${INSTANCES_PER_FABRIC_DOMAIN} (${fabricDomains.toFixed(0)} of ${NODES})`,
      mechanism: '[planner](../packages/core/src/planner.ts), [repair](../packages/core/src/repair.ts)',
      state: `${GROUPS} groups, ${INSTANCES} instances`,
      messages: `${(INSTANCES_PER_FABRIC_DOMAIN * PLANNING_PROBES_PER_SECOND).toFixed(0)} probes/s`,
      bytesPerSecond: INSTANCES_PER_FABRIC_DOMAIN * PLANNING_PROBES_PER_SECOND * probeBytes,
      cpuMsPerSecond:
        planCpuMsPerSecond + INSTANCES_PER_FABRIC_DOMAIN * PLANNING_PROBES_PER_SECOND * probeCpuMs,
      memoryMiB: controlMemoryMiB,
    },
    {
      duty: 'steward: checkpoints (one a stream)',
      mechanism: '[checkpoint](../packages/core/src/checkpoint.ts)',
      state: `${(evaluateSlope(findSlope('control state, checkpoint'), GROUPS) / 1_024).toFixed(1)} MiB of control`,
      messages: 'one every 5,000 batches',
      bytesPerSecond: 0,
      cpuMsPerSecond: 0,
      memoryMiB: 3,
    },
  ];
}

function formatAppendTable(): string {
  const assignmentRecords = INSTANCES_PER_GROUP + 2 + 1;
  const control = ((FAILURES_PER_DAY + REPLACEMENTS_PER_DAY) * assignmentRecords) / SECONDS_PER_DAY;
  const config = CONFIGURATION_CHANGES_PER_DAY / SECONDS_PER_DAY;
  const claims = REQUESTS_PER_SECOND * NON_IDEMPOTENT_SHARE * 2;
  const rows = [
    ['control', control.toFixed(3), control.toFixed(3)],
    ['config', config.toFixed(3), config.toFixed(3)],
    ['claims (4 shards)', claims.toFixed(0), Math.min(claims, 4 * 40).toFixed(0)],
  ];
  const lines = rows.map(([stream, records, appends]) => `| ${stream} | ${records} | at most ${appends} |`);
  return ['| stream | records a second | appends a second |', '| --- | --- | --- |', ...lines].join('\n');
}

function formatSlopeTable(): string {
  const rows = [...slopes.values()].map(
    ({ name, unit, sizeUnit, points, intercept, perUnit, maxRelativeResidual }) => {
      const shown = points.map(({ size, value }) => `${size}: ${value.toFixed(2)}`).join('; ');
      return `| ${name} | ${unit} | ${shown} | ${intercept.toFixed(2)} + ${perUnit.toPrecision(3)} a ${sizeUnit} | ${(maxRelativeResidual * 100).toFixed(0)} % |`;
    },
  );
  return [
    '| quantity | unit | measured at | line | spread |',
    '| --- | --- | --- | --- | --- |',
    ...rows,
  ].join('\n');
}

function formatDutyTable(duties: readonly Duty[]): string {
  const rows = duties.map(
    ({ duty, mechanism, state, messages, bytesPerSecond, cpuMsPerSecond, memoryMiB }) =>
      `| ${duty} | ${mechanism} | ${state} | ${messages} | ${Math.round(bytesPerSecond)} | ${(cpuMsPerSecond / 10).toFixed(2)} % | ${memoryMiB.toFixed(1)} |`,
  );
  const header = '| role and duty | mechanism | state | messages | B/s | of a core | MiB |';
  return [header, '| --- | --- | --- | --- | --- | --- | --- |', ...rows].join('\n');
}

function formatTotalTable(duties: readonly Duty[]): string {
  const commonDuties = duties.filter(({ duty }) =>
    /^(both|entry: |steward: (watching|answering))/.test(duty),
  );
  const plannerDuties = duties.filter(({ duty }) => duty.includes('planning'));
  const claimDuties = duties.filter(({ duty }) => duty.includes('claims read'));
  const idleTotal = {
    bytes: 0,
    cpu: (idleUsage.entry.cpuShare + idleUsage.steward.cpuShare) * 100,
    memory: idleUsage.entry.memoryMiB + idleUsage.steward.memoryMiB,
  };
  const sum = (list: readonly Duty[]) => ({
    bytes: list.reduce((total, { bytesPerSecond }) => total + bytesPerSecond, 0),
    cpu: list.reduce((total, { cpuMsPerSecond }) => total + cpuMsPerSecond / 10, 0),
    memory: list.reduce((total, { memoryMiB }) => total + memoryMiB, 0),
  });
  const commonTotal = sum(commonDuties);
  const totalWithPlanning = sum([...commonDuties, ...plannerDuties]);
  const claimBytes = sum(claimDuties).bytes;
  const row = (name: string, value: { bytes: number; cpu: number; memory: number }) =>
    `| ${name} | ${Math.round(value.bytes)} | ${value.cpu.toFixed(1)} % | ${Math.round(value.memory)} |`;
  return [
    '| a node | B/s in and out | of a core | MiB |',
    '| --- | --- | --- | --- |',
    row('both processes idle at the size of today, measured', idleTotal),
    row('all duties that every node has, by the slopes', commonTotal),
    row('of these, without reading claims', { ...commonTotal, bytes: commonTotal.bytes - claimBytes }),
    row('and planning one fabric domain', totalWithPlanning),
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
  `Idle entry: ${idleUsage.entry.memoryMiB.toFixed(0)} MiB, ${(idleUsage.entry.cpuShare * 100).toFixed(1)} % of a core. Idle steward: ${idleUsage.steward.memoryMiB.toFixed(0)} MiB, ${(idleUsage.steward.cpuShare * 100).toFixed(1)} % (3 entries, 3 stewards, 6 engines).`,
  '### Slopes',
  formatSlopeTable(),
  `### Duties at ${NODES} nodes, ${GROUPS} groups, ${INSTANCES} instances`,
  formatDutyTable(duties),
  '### A node against the budget',
  formatTotalTable(duties),
  `### The log (it takes several hundred appends a second; ${APPENDS_PER_SECOND} supposed)`,
  formatAppendTable(),
].join('\n\n');

const page = readFileSync(PAGE_PATH, 'utf8');
const [before = ''] = page.split(TABLES_BEGIN);
const [, after = ''] = page.split(TABLES_END);
writeFileSync(PAGE_PATH, `${before}${TABLES_BEGIN}\n\n${tables}\n\n${TABLES_END}${after}`);
process.stdout.write(`${tables}\n`);
process.exit();
