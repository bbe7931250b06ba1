import { connect } from 'node:net';
import {
  type Clock,
  type Counters,
  CrashEvidence,
  type CrashFactor,
  type FactorEvidence,
  isCrashFactorKind,
  splitAddress,
  type TargetCandidate,
} from '@monsoonreach/core';
import type { DecisionLog } from './decisionLog.js';
import type { CrashMessage, EvidenceRow, PeerMessage, WithoutVersion } from './peerMessages.js';

/** Time within which a lost target accepts or refuses a connection, in milliseconds; many round trips. */
const PROBE_TIMEOUT_MS = 120;

/** The loss of a connection to a target that had just begun to answer. */
export interface TargetLoss {
  readonly candidate: TargetCandidate;
  readonly requestId: string;
  readonly factors: readonly CrashFactor[];
  /** Monotonic time at which the request was sent to the target, in milliseconds. */
  readonly sentAtMs: number;
}

/** Dependencies of {@link CrashMonitor}. */
export interface CrashMonitorOptions {
  /** Address to which peers send corrections. */
  readonly address: string;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly log: DecisionLog;
  readonly send: (address: string, message: WithoutVersion<PeerMessage>) => void;
  readonly broadcast: (message: WithoutVersion<PeerMessage>) => void;
}

/** Finds out which lost targets have crashed, and shares with all nodes what these had just begun to answer. */
export class CrashMonitor {
  private readonly _evidence: CrashEvidence;
  /** Probes in progress, by target. */
  private readonly _probes = new Map<string, Promise<boolean>>();

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

  /** Finds out whether a lost target has crashed; if so, the request's factors are suspected from then on. */
  async examineLoss({ candidate, requestId, factors, sentAtMs }: TargetLoss): Promise<void> {
    const { clock, counters, log } = this._options;
    const lostAtMs = clock.monotonic();
    // A target that still listens has closed one connection, for which there are many reasons.
    if (await this._isListening(candidate)) return;
    const changed = this._evidence.recordCrash(factors, { target: candidate.key, sentAtMs, lostAtMs });
    counters.add('monsoonreach_crashes_total');
    const quarantineEndMs = this.findQuarantineEndMs(factors);
    log.warn('target crashed under request', {
      target: candidate.key,
      instance: candidate.instance.id,
      request: requestId,
      factors: factors.map(({ kind, id }) => `${kind} ${id}`),
      quarantinedMs: quarantineEndMs === undefined ? undefined : Math.round(quarantineEndMs - lostAtMs),
    });
    this._options.broadcast(this._createMessage(changed));
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

  private _isListening({ key, instance }: TargetCandidate): Promise<boolean> {
    const current = this._probes.get(key);
    if (current) return current;
    const probe = isListening(instance.address).finally(() => this._probes.delete(key));
    this._probes.set(key, probe);
    return probe;
  }
}

/** Whether connections to the address are not refused; an instance that cannot be reached may still run. */
function isListening(address: string): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect({ ...splitAddress(address), timeout: PROBE_TIMEOUT_MS });
    const finish = (result: boolean) => {
      socket.destroy();
      resolve(result);
    };
    socket.once('connect', () => {
      finish(true);
    });
    socket.once('timeout', () => {
      finish(true);
    });
    socket.once('error', (error: NodeJS.ErrnoException) => {
      finish(error.code !== 'ECONNREFUSED');
    });
  });
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
