import type { Random } from '@monsoonreach/core';
import type { FleetProcess, LocalFleet } from '../support/localFleet.js';
import { CRASH_TEXT } from '../standins/engineStandin.js';
import { requestCompletion, type CallerOptions } from './callers.js';
import type { LeavingSpan } from './checker.js';

/** Faults that a run can inject, from those that the requirements list. */
export const FAULTS = [
  'kill-entry',
  'kill-steward',
  'kill-engine',
  'pause-entry',
  'pause-steward',
  'pause-engine',
  'log-outage',
  'lost-answers',
  'domain-dark',
  'operator-race',
  'straggler',
  'crashing-request',
  'leaving',
  'stop-entry',
  'silent-waves',
] as const;

/** Name of a fault. */
export type Fault = (typeof FAULTS)[number];

/** What fault injection works on, and where it records what it did. */
export interface FaultContext {
  readonly fleet: LocalFleet;
  readonly random: Random;
  readonly callers: CallerOptions;
  readonly leaving: LeavingSpan[];
  readonly kills: { address: string; atMs: number }[];
  readonly notes: string[];
  /** Exit codes of planned stops. */
  readonly stopCodes: (number | null)[];
}

const PAUSE_MS = 6_000;
const OUTAGE_MS = 5_000;
const RESTART_DELAY_MS = 2_500;
const WAVES_FOR_MS = 8_000;
const SILENT_SHARE = { min: 0.2, max: 0.5 } as const;
const SILENCE_MS = { min: 800, max: 1_800 } as const;
const WAVE_GAP_MS = { min: 300, max: 1_500 } as const;

const sleep = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

/** Injects one fault, undoes it, and resolves once it is undone. */
export async function injectFault(fault: Fault, context: FaultContext): Promise<void> {
  const { fleet } = context;
  switch (fault) {
    case 'kill-entry':
      return killAndRestart(fleet.entries, context);
    case 'kill-steward':
      return killAndRestart(fleet.stewards, context);
    case 'kill-engine':
      return killAndRestart(fleet.engines, context);
    case 'pause-entry':
      return pauseProcess(pick(fleet.entries, context), context);
    case 'pause-steward':
      return pauseProcess(pick(fleet.stewards, context), context);
    case 'pause-engine':
      return pauseProcess(pick(fleet.engines, context), context);
    case 'log-outage':
      return setLogFaults({ isDown: true }, OUTAGE_MS, context);
    case 'lost-answers':
      return setLogFaults({ lostAnswerShare: 0.5 }, OUTAGE_MS, context);
    case 'domain-dark':
      return pauseDomain(context);
    case 'silent-waves':
      return silenceInWaves(context);
    case 'operator-race':
      return publishConcurrently(context);
    case 'straggler':
      return slowDownEngine(context);
    case 'crashing-request':
      return sendCrashingRequests(context);
    case 'leaving':
      return listAsLeaving(context);
    case 'stop-entry':
      return stopEntry(context);
  }
}

function pick(list: readonly FleetProcess[], { random }: FaultContext): FleetProcess {
  const process = list[random.below(list.length)];
  if (!process) throw new RangeError('The fleet has no process of the kind that the fault needs.');
  return process;
}

async function killAndRestart(list: FleetProcess[], context: FaultContext): Promise<void> {
  const victim = pick(list, context);
  context.kills.push({ address: victim.address, atMs: Date.now() });
  context.fleet.sendSignal(victim, 'SIGKILL');
  await sleep(RESTART_DELAY_MS);
  context.fleet.restart(list, victim);
}

async function pauseProcess(victim: FleetProcess, context: FaultContext): Promise<void> {
  context.fleet.sendSignal(victim, 'SIGSTOP');
  await sleep(PAUSE_MS);
  context.fleet.sendSignal(victim, 'SIGCONT');
}

async function setLogFaults(faults: unknown, forMs: number, { fleet }: FaultContext): Promise<void> {
  const post = (body: unknown) =>
    fetch(`http://${fleet.log.address}/faults`, { method: 'POST', body: JSON.stringify(body) });
  await post(faults);
  await sleep(forMs);
  await post({});
}

async function pauseDomain(context: FaultContext): Promise<void> {
  const { fleet } = context;
  const victims = fleet.engines.slice(0, Math.ceil(fleet.engines.length / 2));
  for (const victim of victims) fleet.sendSignal(victim, 'SIGSTOP');
  await sleep(PAUSE_MS);
  for (const victim of victims) fleet.sendSignal(victim, 'SIGCONT');
}

/** Pauses a share of the engines for a second or so, in waves that may overlap: each goes on as it was. */
async function silenceInWaves(context: FaultContext): Promise<void> {
  const { fleet, random, notes } = context;
  const between = ({ min, max }: { readonly min: number; readonly max: number }) =>
    min + random.next() * (max - min);
  const silent = new Set<FleetProcess>();
  const pauses: Promise<void>[] = [];
  const pauseFor = async (victim: FleetProcess, durationMs: number) => {
    silent.add(victim);
    fleet.sendSignal(victim, 'SIGSTOP');
    await sleep(durationMs);
    fleet.sendSignal(victim, 'SIGCONT');
    silent.delete(victim);
  };
  const endsAtMs = Date.now() + WAVES_FOR_MS;
  let waves = 0;
  for (; Date.now() < endsAtMs; waves++) {
    const count = Math.max(1, Math.round(between(SILENT_SHARE) * fleet.engines.length));
    const durationMs = between(SILENCE_MS);
    const choices = fleet.engines.filter((engine) => !silent.has(engine));
    for (let chosen = 0; chosen < count && choices.length > 0; chosen++) {
      const [victim] = choices.splice(random.below(choices.length), 1);
      if (victim) pauses.push(pauseFor(victim, durationMs));
    }
    await sleep(between(WAVE_GAP_MS));
  }
  await Promise.all(pauses);
  notes.push(`silent engines: ${pauses.length} pauses in ${waves} waves`);
}

async function publishConcurrently({ fleet, notes }: FaultContext): Promise<void> {
  const publish = () =>
    fleet.publish(fleet.createConfiguration('2026-12-1')).then(
      () => 'accepted',
      () => 'rejected',
    );
  const results = await Promise.all([publish(), publish(), publish()]);
  notes.push(`concurrent publications: ${results.join(', ')}`);
}

async function slowDownEngine(context: FaultContext): Promise<void> {
  const victim = pick(context.fleet.engines, context);
  await fetch(`http://${victim.address}/slow?factor=6`);
  await sleep(PAUSE_MS);
  await fetch(`http://${victim.address}/slow?factor=1`).catch(() => undefined);
}

/** Sends the same engine-crashing request 8 times, and notes how many groups it broke. */
async function sendCrashingRequests(context: FaultContext): Promise<void> {
  const { fleet, callers, notes } = context;
  const text = `${CRASH_TEXT}-${context.random.below(1_000_000)}`;
  const before = countCrashes(fleet);
  for (let attempt = 0; attempt < 8; attempt++) await requestCompletion(callers, text);
  await sleep(500);
  notes.push(`crashing request: ${countCrashes(fleet) - before} groups broken by 8 requests`);
  for (const engine of [...fleet.engines]) {
    if (engine.child.exitCode === null && engine.child.signalCode === null) continue;
    fleet.restart(fleet.engines, engine);
  }
}

function countCrashes(fleet: LocalFleet): number {
  return fleet.readJournal().filter(({ event }) => event === 'crashed').length;
}

async function listAsLeaving(context: FaultContext): Promise<void> {
  const { fleet } = context;
  const victim = pick(fleet.engines, context);
  await fetch(`http://${fleet.liveList.address}/leaving?address=${victim.address}`, { method: 'POST' });
  const fromMs = Date.now();
  await sleep(PAUSE_MS);
  context.leaving.push({ address: victim.address, fromMs, toMs: Date.now() });
  await fetch(`http://${fleet.liveList.address}/leaving?address=${victim.address}`, { method: 'DELETE' });
}

/** Stops an entry as planned: it must cut no request and exit with code 0. */
async function stopEntry(context: FaultContext): Promise<void> {
  const { fleet, notes } = context;
  const victim = pick(fleet.entries, context);
  const ended = new Promise<number | null>((resolve) => {
    victim.child.once('exit', (code) => {
      resolve(code);
    });
  });
  fleet.sendSignal(victim, 'SIGTERM');
  const code = await Promise.race([ended, sleep(40_000).then(() => -1)]);
  notes.push(`planned stop of ${victim.name}: exit ${String(code)}`);
  context.stopCodes.push(code);
  fleet.restart(fleet.entries, victim);
}
