import { createRandom } from '@monsoonreach/core';
import { sleep } from '../standins/http.js';
import { Callers } from './callers.js';
import { type FaultEvent, type FaultName, FaultInjector } from './faults.js';
import { type CallRecord, checkPromises, type Violation } from './promises.js';
import { SoakFleet } from './soakFleet.js';

/** Interval at which the promises are checked during the soak, in milliseconds. */
const CHECK_INTERVAL_MS = 1_000;
/** Calm period after the last fault, in milliseconds; keys and target lists recover well before its end. */
const SETTLE_MS = 9_000;
/** Time at the end of the calm period in which service must be restored, in milliseconds. */
const RECOVERED_MS = 3_000;
/** Share of requests that must then be answered with 200; a stopping node may fail the rest. */
const RECOVERED_SHARE = 0.9;

/** Options of a soak. */
export interface SoakOptions {
  readonly seed: number;
  readonly faultMs: number;
  readonly nodes: number;
  /** Path of the bundled program. */
  readonly program: string;
  /** Faults to draw from; all of them by default. */
  readonly faults?: readonly FaultName[];
  /** Whether promises with a time bound are checked; unset it where other load may delay this process. */
  readonly isTimed: boolean;
  readonly onProgress?: (line: string) => void;
}

/** Result of a soak. */
export interface SoakReport {
  readonly seed: number;
  readonly violations: readonly Violation[];
  /** Log lines that name the request of the first violation. */
  readonly evidence: readonly string[];
  readonly timeline: readonly FaultEvent[];
  readonly calls: readonly CallRecord[];
  readonly runs: number;
  /** Time from the first request to the first violation, in milliseconds. */
  readonly violatedAfterMs: number | undefined;
  readonly directory: string;
}

/** Runs nodes under randomly drawn faults and checks the promises meanwhile; ends at the first violation. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const fleet = new SoakFleet({ nodes: options.nodes, program: options.program });
  const random = createRandom(options.seed);
  const startedAtMs = Date.now();
  const callers = new Callers(fleet, createRandom(options.seed + 1));
  const faults = new FaultInjector(fleet, callers, random, startedAtMs, options.faults);
  const check = () =>
    checkPromises(
      {
        calls: callers.records,
        runs: fleet.instances.runs,
        engineFaults: fleet.instances.violations,
        keysRevokedAtMs: faults.keysRevokedAtMs,
        leavingSinceMs: faults.leavingSinceMs,
        prematureExits: faults.prematureExits,
      },
      options.isTimed,
    );
  try {
    await fleet.start();
    callers.start('key-1');
    const firstAtMs = Date.now();
    let isOver = false;
    const work = faults.run(options.faultMs).then(() => sleep(SETTLE_MS));
    void work.then(() => {
      isOver = true;
    });
    let violations: readonly Violation[] = [];
    while (!isOver && violations.length === 0) {
      await sleep(CHECK_INTERVAL_MS);
      violations = check();
      options.onProgress?.(
        `${Math.round((Date.now() - firstAtMs) / 1_000)} s: ${callers.records.length} requests, ${faults.timeline.length} faults`,
      );
    }
    const violatedAfterMs = violations.length > 0 ? Date.now() - firstAtMs : undefined;
    if (violations.length === 0) {
      callers.stop();
      await sleep(RECOVERED_MS);
      const sinceMs = Date.now() - 2 * RECOVERED_MS;
      violations = [...check(), ...(options.isTimed ? checkRecovery(callers.records, sinceMs) : [])];
    }
    callers.stop();
    const requestId = violations[0]?.requestId;
    return {
      seed: options.seed,
      violations,
      evidence: requestId === undefined ? [] : fleet.findLogLines(`"${requestId}"`),
      timeline: faults.timeline,
      calls: callers.records,
      runs: fleet.instances.runs.length,
      violatedAfterMs: violatedAfterMs ?? (violations.length > 0 ? Date.now() - firstAtMs : undefined),
      directory: fleet.directory,
    };
  } finally {
    await fleet.stop();
  }
}

function checkRecovery(calls: readonly CallRecord[], sinceMs: number): readonly Violation[] {
  const recent = calls.filter(({ sentAtMs }) => sentAtMs > sinceMs);
  const answered = recent.filter(
    ({ outcome }) => outcome.kind === 'answered' && outcome.status === 200,
  ).length;
  if (recent.length > 0 && answered >= recent.length * RECOVERED_SHARE) return [];
  const detail = `${answered} of ${recent.length} requests were answered with 200 after the last fault`;
  const requestId = recent.find(({ outcome }) => outcome.kind !== 'answered' || outcome.status !== 200)?.id;
  return [{ promise: 'service returns', requestId, detail }];
}
