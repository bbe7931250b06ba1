import {
  type Clock,
  type Counters,
  CrashEvidence,
  type CrashFactor,
  type FactorEvidence,
  isCrashFactorKind,
  isPartKind,
  type TargetCandidate,
  type TargetInstance,
  toFactorKey,
} from '@monsoonreach/core';
import type { DecisionLog } from './decisionLog.js';
import { LossWatch } from './lossWatch.js';
import type { CrashMessage, EvidenceRow, PeerMessage, WithoutVersion } from './peerMessages.js';

/** Factors that one message carries, so that it fits into a datagram. */
const MAX_FACTORS_PER_MESSAGE = 200;

/** Crashes from which on a part of a prompt is suspected; sound requests may share it. */
const MIN_PART_CRASHES = 2;

/** The loss of a connection to a target that held a request. */
export interface TargetLoss {
  readonly candidate: TargetCandidate;
  readonly requestId: string;
  readonly factors: readonly CrashFactor[];
  /** Monotonic time at which the request was sent to the target, in milliseconds. */
  readonly sentAtMs: number;
}

/** A loss of which it is not known yet whether the target crashed. */
interface OpenLoss extends TargetLoss {
  readonly lostAtMs: number;
}

/** Dependencies of {@link CrashMonitor}. */
export interface CrashMonitorOptions {
  /** Address to which peers send corrections. */
  readonly address: string;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly log: DecisionLog;
  /** Finds an instance in the list by its id. */
  readonly findListed: (id: string) => TargetInstance | undefined;
  readonly send: (address: string, message: WithoutVersion<PeerMessage>) => void;
  readonly broadcast: (message: WithoutVersion<PeerMessage>) => void;
}

/** Finds out which lost targets have crashed, and shares with all nodes what these had held. */
export class CrashMonitor {
  private readonly _evidence: CrashEvidence;
  /** Losses of targets that may still turn out to have crashed. */
  private readonly _watches = new Map<LossWatch, OpenLoss[]>();

  constructor(private readonly _options: CrashMonitorOptions) {
    this._evidence = new CrashEvidence(_options.clock);
  }

  /** Whether no crash is known, so that no request needs to be examined. */
  get isIdle(): boolean {
    return this._evidence.isEmpty;
  }

  /** Time until which requests with one of these factors are refused, monotonic; undefined if they may run. */
  findQuarantineEndMs(factors: readonly CrashFactor[]): number | undefined {
    return this._evidence.findQuarantineEndMs(factors);
  }

  /** Number of targets that crashed in succession under the request with these factors. */
  countRequestCrashes(factors: readonly CrashFactor[]): number {
    return this._evidence.countCrashes(factors.filter(({ kind }) => !isPartKind(kind)));
  }

  /** Whether targets have crashed under the request, or repeatedly under a part of its prompt. */
  isSuspected(factors: readonly CrashFactor[]): boolean {
    const parts = factors.filter(({ kind }) => isPartKind(kind));
    return this.countRequestCrashes(factors) > 0 || this._evidence.countCrashes(parts) >= MIN_PART_CRASHES;
  }

  /**
   * Finds out whether a lost target has crashed; if so, the request's factors are suspected from then on. Resolves when
   * the request may be sent to another target: once it is suspected, no other is risked before the outcome is known.
   */
  async examineLoss(loss: TargetLoss, { canRetry }: { readonly canRetry: boolean }): Promise<void> {
    const isSuspected = canRetry && this.isSuspected(loss.factors);
    const { first, last } = this._recordLoss(loss).probe();
    await (isSuspected ? last : first);
  }

  /** Records a loss that a following attempt at the same target examines. */
  recordUnexaminedLoss(loss: TargetLoss): void {
    this._recordLoss(loss);
  }

  /** Records that a target refuses connections. */
  recordRefusedConnection(target: string): void {
    for (const watch of this._watches.keys()) if (watch.target === target) watch.recordCrash();
  }

  /** Compares the lost targets with the instance list. */
  tick(): void {
    const nowMs = this._options.clock.monotonic();
    for (const watch of this._watches.keys()) {
      watch.checkList();
      if (watch.hasCrashed ? !watch.covers(nowMs) : watch.isOver(nowMs)) this._watches.delete(watch);
    }
  }

  /** Records that a target has survived an answer that it began at `begunAtMs`. */
  recordSurvival(factors: readonly CrashFactor[], begunAtMs: number): void {
    const corrections = this._evidence.recordSurvival(factors, begunAtMs);
    if (corrections.length > 0) this._options.broadcast(this._createMessage(corrections));
  }

  /** The evidence that the node's digests carry. */
  describe(): readonly EvidenceRow[] {
    return this._toRows(this._evidence.listShared());
  }

  /** Adds a peer's evidence, and corrects the peer where this node knows of survivals. */
  receive({ address, evidence }: Pick<CrashMessage, 'address' | 'evidence'>): void {
    if (evidence.length === 0) return;
    const nowMs = this._options.clock.monotonic();
    const corrections = this._evidence.merge(evidence.flatMap((row) => toEvidence(row, nowMs)));
    if (corrections.length > 0) this._options.send(address, this._createMessage(corrections));
  }

  private _createMessage(evidence: readonly FactorEvidence[]): WithoutVersion<CrashMessage> {
    return { kind: 'crashes', address: this._options.address, evidence: [...this._toRows(evidence)] };
  }

  private _toRows(evidence: readonly FactorEvidence[]): readonly EvidenceRow[] {
    const nowMs = this._options.clock.monotonic();
    return evidence.map(({ factor, crashes, survivedAtMs }) => [
      factor.kind,
      factor.id,
      survivedAtMs === -Infinity ? null : Math.round(nowMs - survivedAtMs),
      crashes.map(({ target, sentAtMs, lostAtMs }) => [
        target,
        Math.round(nowMs - sentAtMs),
        Math.round(nowMs - lostAtMs),
      ]),
    ]);
  }

  private _recordLoss(loss: TargetLoss): LossWatch {
    const { clock, findListed } = this._options;
    const lostAtMs = clock.monotonic();
    const { candidate } = loss;
    let watch = [...this._watches.keys()].find(
      (other) => other.target === candidate.key && other.covers(lostAtMs),
    );
    const losses = (watch && this._watches.get(watch)) ?? [];
    losses.push({ ...loss, lostAtMs });
    if (!watch) {
      const onCrash = () => {
        this._recordCrash(losses);
      };
      watch = new LossWatch({ candidate, clock, findListed, onCrash });
      this._watches.set(watch, losses);
    } else if (watch.hasCrashed) this._recordCrash(losses.slice(-1));
    return watch;
  }

  /** Suspects all requests that a crashed target held. */
  private _recordCrash(losses: readonly OpenLoss[]): void {
    const changed = new Map<string, FactorEvidence>();
    for (const { candidate, factors, sentAtMs, lostAtMs } of losses) {
      for (const evidence of this._evidence.recordCrash(factors, {
        target: candidate.key,
        sentAtMs,
        lostAtMs,
      }))
        changed.set(toFactorKey(evidence.factor), evidence);
    }
    this._options.counters.add('monsoonreach_crashes_total');
    for (const loss of losses) this._logCrash(loss);
    const rows = [...changed.values()];
    for (let start = 0; start < rows.length; start += MAX_FACTORS_PER_MESSAGE)
      this._options.broadcast(this._createMessage(rows.slice(start, start + MAX_FACTORS_PER_MESSAGE)));
  }

  private _logCrash({ candidate, requestId, factors, lostAtMs }: OpenLoss): void {
    const { clock, log } = this._options;
    const nowMs = clock.monotonic();
    const quarantineEndMs = this.findQuarantineEndMs(factors);
    log.warn('target crashed under request', {
      target: candidate.key,
      instance: candidate.instance.id,
      request: requestId,
      factors: factors.map(({ kind, id }) => `${kind} ${id}`),
      knownAfterMs: Math.round(nowMs - lostAtMs),
      quarantinedMs: quarantineEndMs === undefined ? undefined : Math.round(quarantineEndMs - nowMs),
    });
  }
}

function toEvidence(
  [kind, id, survivedAgeMs, crashes]: EvidenceRow,
  nowMs: number,
): readonly FactorEvidence[] {
  if (!isCrashFactorKind(kind)) return [];
  return [
    {
      factor: { kind, id },
      survivedAtMs: survivedAgeMs === null ? -Infinity : nowMs - survivedAgeMs,
      crashes: crashes.map(([target, sentAgeMs, lostAgeMs]) => ({
        target,
        sentAtMs: nowMs - sentAgeMs,
        lostAtMs: nowMs - lostAgeMs,
      })),
    },
  ];
}
