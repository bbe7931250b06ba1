import { readFileSync } from 'node:fs';
import { type FleetProcess, LocalFleet } from '../tests/support/localFleet.js';

const IDLE_SECONDS = 8;
const TICKS_PER_SECOND = 100;

/** What one kind of process uses with nothing to do but its control work. */
export interface ProcessFigures {
  readonly memoryMiB: number;
  readonly cpuShare: number;
}

/** Memory and processor share of idle entries and stewards, as the kernel counts them. */
export async function measureIdleProcesses(): Promise<{
  readonly entry: ProcessFigures;
  readonly steward: ProcessFigures;
}> {
  const fleet = new LocalFleet({ entries: 3, stewards: 3, engines: 6 });
  try {
    await fleet.start();
    await new Promise((resolve) => setTimeout(resolve, 3_000));
    const before = [...fleet.entries, ...fleet.stewards].map(readTicks);
    await new Promise((resolve) => setTimeout(resolve, IDLE_SECONDS * 1_000));
    const shares = [...fleet.entries, ...fleet.stewards].map(
      (process, index) => (readTicks(process) - (before[index] ?? 0)) / TICKS_PER_SECOND / IDLE_SECONDS,
    );
    const memory = [...fleet.entries, ...fleet.stewards].map(readMemory);
    return {
      entry: { memoryMiB: median(memory.slice(0, 3)), cpuShare: median(shares.slice(0, 3)) },
      steward: { memoryMiB: median(memory.slice(3)), cpuShare: median(shares.slice(3)) },
    };
  } finally {
    await fleet.stop();
  }
}

function readTicks({ child }: FleetProcess): number {
  const fields =
    readFileSync(`/proc/${child.pid ?? 0}/stat`, 'utf8')
      .split(') ')[1]
      ?.split(' ') ?? [];
  return Number(fields[11]) + Number(fields[12]);
}

function readMemory({ child }: FleetProcess): number {
  const match = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${child.pid ?? 0}/status`, 'utf8'));
  return Number(match?.[1] ?? 0) / 1_024;
}

function median(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;
}
