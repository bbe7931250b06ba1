import {
  chooseTarget,
  createRandom,
  type EngineProfile,
  LoadTracker,
  ManualClock,
  type ModelProfile,
  predictPrefillMs,
  predictStepMs,
  type PromptObjectives,
  type Random,
  TargetHealth,
} from '@monsoonreach/core';
import { createInstance, ENGINE_PROFILE } from './fixtures.js';

/** The cost model of docs/design/2026-12-hard-load.md. */
export const PROMPT_PROFILE: EngineProfile = {
  ...ENGINE_PROFILE,
  stepsPerPass: 5,
  stepMsPerRequest: 0.137,
  stepMsPerThousandTokens: 0.0041,
  usualPromptTokens: 674,
};
export const PROMPT_MODEL: ModelProfile = {
  name: 'prompts',
  groupSize: 6,
  demandShare: 1,
  timeFactor: 1,
  loadMs: 0,
  warmupMs: 0,
};

/** A kind of prompt and the objectives of its callers. */
export interface PromptKind {
  readonly name: string;
  readonly promptTokens: number;
  readonly answerTokens: number;
  readonly firstEventMs: number;
  readonly pauseMs: number;
}

/** A request of a load. */
export interface Arrival {
  readonly atMs: number;
  readonly kind: PromptKind;
}

/** What callers of one kind saw. */
export interface KindResult {
  readonly count: number;
  /** Share of the requests that met both objectives; refused ones did not. */
  readonly share: number;
  readonly late: number;
  readonly refused: number;
  readonly firstP50Ms: number;
  readonly firstP99Ms: number;
  readonly pauseP50Ms: number;
  readonly pauseP99Ms: number;
}

/** What a fleet did with a load. */
export interface FleetResult {
  readonly kinds: ReadonlyMap<string, KindResult>;
  /** Requests that each target got. */
  readonly requests: readonly number[];
}

interface Run {
  readonly kind: PromptKind;
  readonly arrivedAtMs: number;
  readonly load: { readonly endPrefill: () => void; readonly endRequest: () => void };
  readTokens: number;
  sentTokens: number;
  firstMs: number;
  lastEventAtMs: number;
  longestPauseMs: number;
}

/** A group that processes its requests in passes, in the order in which they arrived. */
class PassGroup {
  /** In order of arrival; the first `slots` of them are in the batch. */
  private _runs: Run[] = [];
  private _decoding: readonly Run[] = [];
  /** End of the current pass, in milliseconds; `Infinity` while idle. */
  passEndsAtMs = Infinity;
  requests = 0;

  constructor(private readonly _onEnd: (run: Run) => void) {}

  add(run: Run, nowMs: number): void {
    this.requests++;
    this._runs.push(run);
    if (this.passEndsAtMs === Infinity) this._startPass(nowMs);
  }

  endPass(): void {
    const nowMs = this.passEndsAtMs;
    for (const run of this._decoding) {
      if (run.sentTokens === 0) {
        run.firstMs = nowMs - run.arrivedAtMs;
        run.load.endPrefill();
      } else run.longestPauseMs = Math.max(run.longestPauseMs, nowMs - run.lastEventAtMs);
      run.lastEventAtMs = nowMs;
      run.sentTokens += PROMPT_PROFILE.stepsPerPass;
      if (run.sentTokens < run.kind.answerTokens) continue;
      run.load.endRequest();
      this._onEnd(run);
    }
    this._runs = this._runs.filter(({ sentTokens, kind }) => sentTokens < kind.answerTokens);
    if (this._runs.length === 0) this.passEndsAtMs = Infinity;
    else this._startPass(nowMs);
  }

  private _startPass(nowMs: number): void {
    const batch = this._runs.slice(0, PROMPT_PROFILE.slots);
    this._decoding = batch.filter(({ readTokens, kind }) => readTokens >= kind.promptTokens);
    const steps = this._decoding.length > 0 ? PROMPT_PROFILE.stepsPerPass : 1;
    const load = {
      requests: this._decoding.length,
      contextTokens: this._decoding.reduce(
        (sum, { kind, sentTokens }) => sum + kind.promptTokens + sentTokens,
        0,
      ),
      pendingPromptTokens: 0,
    };
    const stepMs = predictStepMs(PROMPT_PROFILE, PROMPT_MODEL, load);
    let durationMs = steps * stepMs;
    for (let step = 0; step < steps; step++) durationMs += this._readChunk(batch);
    this.passEndsAtMs = nowMs + durationMs;
  }

  private _readChunk(batch: readonly Run[]): number {
    let remaining = PROMPT_PROFILE.prefillChunk;
    let durationMs = 0;
    for (const run of batch) {
      const tokens = Math.min(remaining, run.kind.promptTokens - run.readTokens);
      durationMs +=
        predictPrefillMs(PROMPT_PROFILE, PROMPT_MODEL, run.readTokens + tokens) -
        predictPrefillMs(PROMPT_PROFILE, PROMPT_MODEL, run.readTokens);
      run.readTokens += tokens;
      remaining -= tokens;
      if (remaining === 0) break;
    }
    return durationMs;
  }
}

/** A fleet and how it chooses. */
export interface FleetOptions {
  readonly groups: number;
  readonly seed: number;
  /** Nodes that choose by their own loads, as without an owner; by default an owner that knows all loads chooses. */
  readonly nodes?: number;
  /** Given to the choice; undefined: the harm to others does not count. */
  readonly objectives: PromptObjectives | undefined;
}

/** Serves a load with an owner that knows all loads, until the last answer is complete. */
export function runPromptFleet(
  arrivals: readonly Arrival[],
  { groups: groupCount, seed, nodes = 1, objectives }: FleetOptions,
): FleetResult {
  const clock = new ManualClock();
  const trackers = Array.from({ length: nodes }, () => new LoadTracker());
  const health = new TargetHealth();
  const random = createRandom(seed);
  const ended: Run[] = [];
  const refused: PromptKind[] = [];
  const groups = Array.from({ length: groupCount }, () => new PassGroup((run) => ended.push(run)));
  const instances = groups.map((_, index) => createInstance(`group-${index}`));
  const engine = { profile: PROMPT_PROFILE, model: PROMPT_MODEL };
  const startedAtMs = clock.monotonic();

  let arrivalCount = 0;
  const serve = ({ kind, atMs }: Arrival) => {
    const loads = trackers[arrivalCount++ % nodes] ?? new LoadTracker();
    const choice = chooseTarget(
      instances.map((instance) => ({
        key: instance.id,
        instance,
        slots: PROMPT_PROFILE.slots,
        engine,
        load: loads.getLoad(instance.id),
      })),
      {
        nowMs: clock.monotonic(),
        random,
        health,
        failureDomain: 'zone-1',
        size: kind,
        tried: new Set(),
        isExact: nodes === 1,
        promptObjectives: objectives,
        firstEventObjectiveMs: kind.firstEventMs,
      },
    );
    if (choice.kind === 'none') {
      refused.push(kind);
      return;
    }
    const { key } = choice.candidate;
    const load = loads.startRequest(key, kind);
    const run: Run = {
      kind,
      load,
      arrivedAtMs: atMs,
      readTokens: 0,
      sentTokens: 0,
      firstMs: Infinity,
      lastEventAtMs: atMs,
      longestPauseMs: 0,
    };
    groups[instances.findIndex(({ id }) => id === key)]?.add(run, atMs);
  };

  const waiting = [...arrivals];
  for (;;) {
    const next = groups.reduce((first, group) => (group.passEndsAtMs < first.passEndsAtMs ? group : first));
    const arrival = waiting[0];
    const atMs = Math.min(next.passEndsAtMs, arrival?.atMs ?? Infinity);
    if (atMs === Infinity) break;
    clock.advance(startedAtMs + atMs - clock.monotonic());
    if (arrival && arrival.atMs <= next.passEndsAtMs) {
      waiting.shift();
      serve(arrival);
    } else next.endPass();
  }
  return { kinds: summarize(ended, refused), requests: groups.map(({ requests }) => requests) };
}

function summarize(ended: readonly Run[], refused: readonly PromptKind[]): ReadonlyMap<string, KindResult> {
  const names = new Set([...ended.map(({ kind }) => kind.name), ...refused.map(({ name }) => name)]);
  return new Map(
    [...names].sort().map((name) => {
      const runs = ended.filter(({ kind }) => kind.name === name);
      const refusals = refused.filter((kind) => kind.name === name).length;
      const inTime = runs.filter(
        ({ kind, firstMs, longestPauseMs }) => firstMs <= kind.firstEventMs && longestPauseMs <= kind.pauseMs,
      );
      const count = runs.length + refusals;
      const first = runs.map(({ firstMs }) => firstMs);
      const pauses = runs.map(({ longestPauseMs }) => longestPauseMs);
      const result: KindResult = {
        count,
        share: inTime.length / count,
        late: count - inTime.length,
        refused: refusals,
        firstP50Ms: findPercentile(first, 0.5),
        firstP99Ms: findPercentile(first, 0.99),
        pauseP50Ms: findPercentile(pauses, 0.5),
        pauseP99Ms: findPercentile(pauses, 0.99),
      };
      return [name, result];
    }),
  );
}

function findPercentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

/** A kind and the share of a load's requests that are of it. */
export interface KindShare {
  readonly kind: PromptKind;
  readonly share: number;
}

/** Requests per second that the groups can serve of a mix, by the cost model. */
export function computeCapacityPerS(groups: number, mix: readonly KindShare[]): number {
  const { slots } = PROMPT_PROFILE;
  const costMs = mix.reduce((sum, { kind, share }) => {
    const contextTokens = slots * (kind.promptTokens + kind.answerTokens / 2);
    const stepMs = predictStepMs(PROMPT_PROFILE, PROMPT_MODEL, {
      requests: slots,
      contextTokens,
      pendingPromptTokens: 0,
    });
    const prefillMs = predictPrefillMs(PROMPT_PROFILE, PROMPT_MODEL, kind.promptTokens);
    return sum + share * (prefillMs + (kind.answerTokens * stepMs) / slots);
  }, 0);
  return (groups * 1_000) / costMs;
}

/** Requests at random times, at a constant mean rate. */
export function createPoissonLoad(
  random: Random,
  mix: readonly KindShare[],
  perS: number,
  durationMs: number,
): readonly Arrival[] {
  const arrivals: Arrival[] = [];
  let atMs = 0;
  for (;;) {
    atMs += (-Math.log(1 - random.next()) * 1_000) / perS;
    if (atMs >= durationMs) return arrivals;
    let rest = random.next();
    const chosen = mix.find(({ share }) => (rest -= share) < 0) ?? mix.at(-1);
    if (chosen) arrivals.push({ atMs, kind: chosen.kind });
  }
}

/** A number of requests at once, at regular times. */
export function createBursts(
  kind: PromptKind,
  count: number,
  intervalMs: number,
  durationMs: number,
): readonly Arrival[] {
  return Array.from({ length: Math.floor(durationMs / intervalMs) }, (_, burst) =>
    Array.from({ length: count }, () => ({ atMs: (burst + 0.5) * intervalMs, kind })),
  ).flat();
}

/** Joins loads. */
export function mergeLoads(...loads: readonly (readonly Arrival[])[]): readonly Arrival[] {
  return loads.flat().sort((a, b) => a.atMs - b.atMs);
}
