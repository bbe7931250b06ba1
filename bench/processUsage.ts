import { readFileSync } from 'node:fs';
import { type FleetProcess, LocalFleet } from '../tests/support/localFleet.js';

const MEASUREMENT_S = 8;
/** USER_HZ, the unit of the CPU times in /proc/PID/stat. */
const CLOCK_TICKS_PER_SECOND = 100;

/** Resource usage of an idle process, which only does control-plane work. */
export interface ProcessUsage {
  readonly memoryMiB: number;
  /** Share of one core. */
  readonly cpuShare: number;
}

/** Measures median resident memory and CPU share of idle entries and stewards, read from /proc. */
export async function measureIdleProcesses(): Promise<{
  readonly entry: ProcessUsage;
  readonly steward: ProcessUsage;
}> {
  const fleet = new LocalFleet({ entries: 3, stewards: 3, engines: 6 });
  try {
    await fleet.start();
    await new Promise((resolve) => setTimeout(resolve, 3_000));
    const before = [...fleet.entries, ...fleet.stewards].map(readCpuTicks);
    await new Promise((resolve) => setTimeout(resolve, MEASUREMENT_S * 1_000));
    const shares = [...fleet.entries, ...fleet.stewards].map(
      (process, index) =>
        (readCpuTicks(process) - (before[index] ?? 0)) / CLOCK_TICKS_PER_SECOND / MEASUREMENT_S,
    );
    const memory = [...fleet.entries, ...fleet.stewards].map(readMemoryMiB);
    return {
      entry: { memoryMiB: median(memory.slice(0, 3)), cpuShare: median(shares.slice(0, 3)) },
      steward: { memoryMiB: median(memory.slice(3)), cpuShare: median(shares.slice(3)) },
    };
  } finally {
    await fleet.stop();
  }
}

function readCpuTicks({ child }: FleetProcess): number {
  const fields =
    readFileSync(`/proc/${child.pid ?? 0}/stat`, 'utf8')
      .split(') ')[1]
      ?.split(' ') ?? [];
  return Number(fields[11]) + Number(fields[12]);
}

function readMemoryMiB({ child }: FleetProcess): number {
  const match = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${child.pid ?? 0}/status`, 'utf8'));
  return Number(match?.[1] ?? 0) / 1_024;
}

function median(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;
}
