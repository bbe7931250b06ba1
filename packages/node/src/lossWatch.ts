import { connect } from 'node:net';
import {
  type Clock,
  pause,
  splitAddress,
  type TargetCandidate,
  type TargetInstance,
} from '@monsoonreach/core';

/** Time within which a lost target accepts or refuses a connection, in milliseconds; many round trips. */
const PROBE_TIMEOUT_MS = 120;
/**
 * Times after a loss at which a connection to the target is tried, in milliseconds. Processes close their connections
 * and their port one after the other, and others may accept connections for one that has ended.
 */
const PROBE_DELAYS_MS = [0, 40, 160, 640] as const;
/**
 * Time for which the instance list may still show that a lost target has ended, in milliseconds: an entry expires
 * within four seconds, and is read a second later at most.
 */
const LIST_EVIDENCE_MS = 6_000;

/** Dependencies of {@link LossWatch}. */
export interface LossWatchOptions {
  readonly candidate: TargetCandidate;
  readonly clock: Clock;
  readonly findListed: (id: string) => TargetInstance | undefined;
  /** Called once when the target has turned out to have crashed. */
  readonly onCrash: () => void;
}

/** Finds out whether a target that closed a connection under a request has crashed. */
export class LossWatch {
  readonly startedAtMs: number;
  private _hasCrashed = false;
  private _isProbing = false;
  private readonly _wasListed: boolean;
  private _firstProbe: Promise<void> = Promise.resolve();
  private _lastProbe: Promise<void> = Promise.resolve();

  constructor(private readonly _options: LossWatchOptions) {
    this.startedAtMs = _options.clock.monotonic();
    // A target that leaves may be removed from the list before it ends.
    this._wasListed = this._findListed()?.state === 'ready';
  }

  get hasCrashed(): boolean {
    return this._hasCrashed;
  }

  get target(): string {
    return this._options.candidate.key;
  }

  /** Whether a loss at this time belongs to what is watched. */
  covers(atMs: number): boolean {
    return atMs - this.startedAtMs <= (PROBE_DELAYS_MS.at(-1) ?? 0);
  }

  /** Whether nothing more can be learned. */
  isOver(nowMs: number): boolean {
    return nowMs - this.startedAtMs > LIST_EVIDENCE_MS;
  }

  /**
   * Tries connections to the target until one is refused.
   * @returns promises of the first result, and of the last.
   */
  probe(): { readonly first: Promise<void>; readonly last: Promise<void> } {
    if (!this._isProbing) {
      this._isProbing = true;
      this._firstProbe = this._probeOnce(0);
      this._lastProbe = this._probeFurther();
    }
    return { first: this._firstProbe, last: this._lastProbe };
  }

  /** Looks for another start of the target in the instance list, or for its removal. */
  checkList(): void {
    if (!this._wasListed) return;
    const listed = this._findListed();
    if (listed?.startedAtMs !== this._options.candidate.instance.startedAtMs) this.recordCrash();
  }

  recordCrash(): void {
    if (this._hasCrashed) return;
    this._hasCrashed = true;
    this._options.onCrash();
  }

  private async _probeFurther(): Promise<void> {
    await this._firstProbe;
    for (const delayMs of PROBE_DELAYS_MS.slice(1)) await this._probeOnce(delayMs);
  }

  private async _probeOnce(delayMs: number): Promise<void> {
    const { clock, candidate } = this._options;
    const waitMs = this.startedAtMs + delayMs - clock.monotonic();
    if (!this._hasCrashed && waitMs > 0) await pause(waitMs);
    if (!this._hasCrashed && (await isRefusing(candidate.instance.address))) this.recordCrash();
  }

  private _findListed(): TargetInstance | undefined {
    return this._options.findListed(this._options.candidate.instance.id);
  }
}

/** Whether connections to the address are refused; an instance that cannot be reached may still run. */
function isRefusing(address: string): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect({ ...splitAddress(address), timeout: PROBE_TIMEOUT_MS });
    const finish = (result: boolean) => {
      socket.destroy();
      resolve(result);
    };
    socket.once('connect', () => {
      finish(false);
    });
    socket.once('timeout', () => {
      finish(false);
    });
    socket.once('error', (error: NodeJS.ErrnoException) => {
      finish(error.code === 'ECONNREFUSED');
    });
  });
}
