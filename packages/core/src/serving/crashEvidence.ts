import type { Clock } from '../clock.js';
import { type CrashFactor, isPartKind, toFactorKey } from './crashFactors.js';
import { groupBy } from './groupLayout.js';

/** Successive crashes after which a factor is quarantined; more where sound requests are suspected as well. */
const MAX_CRASHES: Readonly<Record<CrashFactor['kind'], number>> = {
  request: 2,
  part: 3,
  'pending-request': 3,
  'pending-part': 5,
};
/** Duration of a quarantine, in milliseconds; doubles with each further crash. */
const QUARANTINE_MS = 60_000;
const MAX_QUARANTINE_MS = 600_000;
/** Time for which a crash counts if no quarantine follows, in milliseconds. */
const CRASH_TTL_MS = 120_000;
/** Interval at which old evidence is looked for, in milliseconds. */
const EXPIRY_INTERVAL_MS = 1_000;
/** Factors of each kind that are remembered; the oldest that one crash concerns is forgotten first. */
const MAX_FACTORS = 1_024;
/** Crashes of one factor that are remembered. */
const MAX_REMEMBERED_CRASHES = 8;
/** Crashes of a factor from which on peers are told repeatedly, so that those who missed a message learn of it. */
const MIN_SHARED_CRASHES = 2;
/** Factors that peers are told of repeatedly. */
const MAX_SHARED_FACTORS = 16;

/** The crash of a target that held a request; times are monotonic, in milliseconds. */
export interface TargetCrash {
  readonly target: string;
  /** When the request was sent to the target. */
  readonly sentAtMs: number;
  readonly lostAtMs: number;
}

/** What is known of one factor. */
export interface FactorEvidence {
  readonly factor: CrashFactor;
  readonly crashes: readonly TargetCrash[];
  /** Latest time at which a target began an answer and survived, monotonic; -Infinity if none is known. */
  readonly survivedAtMs: number;
}

/**
 * Learns from crashes of targets which requests cause them.
 *
 * A target that crashes is evidence against everything that it had just begun to answer, and a target that survives is
 * evidence for it. Only successive crashes count, each of a request that was sent after the crash before: when many
 * targets are lost at once for another reason, what their requests have in common counts once. The verdict follows from
 * the evidence alone, so that nodes that know the same evidence agree.
 */
export class CrashEvidence {
  /** By factor, the oldest first. */
  private readonly _evidence = new Map<string, FactorEvidence>();
  private _expiredAtMs = -Infinity;

  constructor(private readonly _clock: Clock) {}

  /** Whether nothing is known, so that no request needs to be examined. */
  get isEmpty(): boolean {
    return this._evidence.size === 0;
  }

  /**
   * Records that a target crashed under a request.
   * @param factors of the request; a part of a prompt comes before those that continue it.
   * @returns the evidence that this changed.
   */
  recordCrash(factors: readonly CrashFactor[], crash: TargetCrash): readonly FactorEvidence[] {
    const blamed = factors.filter(
      (factor, index) =>
        !this._isExplained(
          factor,
          factors.slice(index + 1).filter(({ kind }) => kind === factor.kind),
        ),
    );
    const changed = blamed.map((factor) =>
      this._merge({ factor, crashes: [crash], survivedAtMs: -Infinity }),
    );
    this._removeExpired();
    return changed;
  }

  /**
   * Records that a target began an answer at `begunAtMs` and survived it. Factors of which no crash is known are ignored.
   * @returns what peers may count wrongly without this survival.
   */
  recordSurvival(factors: readonly CrashFactor[], begunAtMs: number): readonly FactorEvidence[] {
    return factors.flatMap((factor) => {
      const known = this._evidence.get(toFactorKey(factor));
      if (!known || known.survivedAtMs >= begunAtMs) return [];
      const isCleared = findSuccessive(known).length >= MIN_SHARED_CRASHES;
      const merged = this._merge({ factor, crashes: [], survivedAtMs: begunAtMs });
      return isCleared ? [merged] : [];
    });
  }

  /** Largest number of successive crashes of one of these factors. */
  countCrashes(factors: readonly CrashFactor[]): number {
    return Math.max(0, ...factors.map((factor) => this._countSuccessive(factor)));
  }

  /** Time until which requests with one of these factors are refused, monotonic; undefined if they may run. */
  findQuarantineEndMs(factors: readonly CrashFactor[]): number | undefined {
    if (this.isEmpty) return undefined;
    const endsAtMs = Math.max(
      ...factors.map((factor) => getQuarantineEndMs(this._evidence.get(toFactorKey(factor)))),
    );
    return endsAtMs > this._clock.monotonic() ? endsAtMs : undefined;
  }

  /**
   * Adds what a peer knows.
   * @returns what this node knows better: crashes that the peer counts although a target has survived since.
   */
  merge(evidence: readonly FactorEvidence[]): readonly FactorEvidence[] {
    const corrections = evidence.flatMap((theirs) => {
      const merged = this._merge(theirs);
      return findSuccessive(merged).length < findSuccessive(theirs).length ? [merged] : [];
    });
    this._removeExpired();
    return corrections;
  }

  /** What is known of these factors. */
  describe(factors: readonly CrashFactor[]): readonly FactorEvidence[] {
    return factors.flatMap((factor) => this._evidence.get(toFactorKey(factor)) ?? []);
  }

  /** The evidence that peers are told repeatedly, the latest first. */
  listShared(): readonly FactorEvidence[] {
    if (this.isEmpty) return [];
    this._removeExpired();
    return [...this._evidence.values()]
      .filter((evidence) => findSuccessive(evidence).length >= MIN_SHARED_CRASHES)
      .sort((a, b) => getLatestLossMs(b) - getLatestLossMs(a))
      .slice(0, MAX_SHARED_FACTORS);
  }

  /**
   * Whether a part that continues this one explains the crash as well. Many more requests share the earlier part, so that
   * it is blamed only if it crashes targets with different continuations.
   */
  private _isExplained(factor: CrashFactor, continuations: readonly CrashFactor[]): boolean {
    if (!isPartKind(factor.kind)) return false;
    const count = this._countSuccessive(factor);
    return continuations.some((later) => {
      const laterCount = this._countSuccessive(later);
      return laterCount > 0 && laterCount >= count;
    });
  }

  private _countSuccessive(factor: CrashFactor): number {
    const known = this._evidence.get(toFactorKey(factor));
    return known ? findSuccessive(known).length : 0;
  }

  private _merge({ factor, crashes, survivedAtMs }: FactorEvidence): FactorEvidence {
    const key = toFactorKey(factor);
    const known = this._evidence.get(key);
    const merged: FactorEvidence = {
      factor,
      crashes: joinCrashes([...(known?.crashes ?? []), ...crashes]).slice(-MAX_REMEMBERED_CRASHES),
      survivedAtMs: Math.max(survivedAtMs, known?.survivedAtMs ?? -Infinity),
    };
    this._evidence.set(key, merged);
    return merged;
  }

  /** Forgets the factors of each kind that exceed their bound, first those that one crash concerns. */
  private _removeExcess(): void {
    if (this._evidence.size <= MAX_FACTORS) return;
    for (const known of groupBy(this._evidence, ([, { factor }]) => factor.kind).values()) {
      const excess = known.length - MAX_FACTORS;
      if (excess <= 0) continue;
      const isSingle = ([, evidence]: (typeof known)[number]) =>
        findSuccessive(evidence).length < MIN_SHARED_CRASHES;
      const single = known.filter(isSingle);
      const repeated = known.filter((entry) => !isSingle(entry));
      for (const [key] of [...single, ...repeated].slice(0, excess)) this._evidence.delete(key);
    }
  }

  private _removeExpired(): void {
    const nowMs = this._clock.monotonic();
    this._removeExcess();
    if (nowMs - this._expiredAtMs < EXPIRY_INTERVAL_MS) return;
    this._expiredAtMs = nowMs;
    for (const [key, evidence] of this._evidence) {
      const untilMs = Math.max(getLatestLossMs(evidence), getQuarantineEndMs(evidence)) + CRASH_TTL_MS;
      if (untilMs <= nowMs) this._evidence.delete(key);
    }
  }
}

/**
 * Joins what several nodes saw of each crash: its first sign, and the latest of the requests that it ended. The result is
 * in the order of the losses, and the same in whatever order the crashes were reported. Times of peers shift by the time
 * that their messages take, so that the target alone identifies a crash.
 */
function joinCrashes(crashes: readonly TargetCrash[]): readonly TargetCrash[] {
  const byTarget = new Map<string, TargetCrash>();
  for (const crash of crashes) {
    const known = byTarget.get(crash.target) ?? crash;
    byTarget.set(crash.target, {
      target: crash.target,
      sentAtMs: Math.max(known.sentAtMs, crash.sentAtMs),
      lostAtMs: Math.min(known.lostAtMs, crash.lostAtMs),
    });
  }
  return [...byTarget.values()].sort((a, b) => a.lostAtMs - b.lostAtMs);
}

/** Crashes since the latest survival, each of a request that was sent after the crash before. */
function findSuccessive({ crashes, survivedAtMs }: FactorEvidence): readonly TargetCrash[] {
  const successive: TargetCrash[] = [];
  for (const crash of crashes) {
    if (crash.lostAtMs > survivedAtMs && crash.sentAtMs > (successive.at(-1)?.lostAtMs ?? -Infinity)) {
      successive.push(crash);
    }
  }
  return successive;
}

function getQuarantineEndMs(evidence: FactorEvidence | undefined): number {
  if (!evidence) return -Infinity;
  const successive = findSuccessive(evidence);
  const excess = successive.length - MAX_CRASHES[evidence.factor.kind];
  const latest = successive.at(-1);
  if (!latest || excess < 0) return -Infinity;
  return latest.lostAtMs + Math.min(MAX_QUARANTINE_MS, QUARANTINE_MS * 2 ** excess);
}

function getLatestLossMs({ crashes }: FactorEvidence): number {
  return crashes.at(-1)?.lostAtMs ?? -Infinity;
}
