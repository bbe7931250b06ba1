import { BackgroundLoop, type Clock } from '@monsoonreach/core';
import { EngineCallError, EngineClient, type EngineStatus } from '@monsoonreach/targets';

const TICK_MS = 100;
const PROBE_TIMEOUT_MS = 700;
/** A longer gap between two unanswered probes breaks the series. */
const MAX_PROBE_GAP_MS = 2_000;

/** What the control stream tells about an instance. */
export interface ObservationBasis {
  /** Position of the record that set the instance's assignment; 0 for none. */
  readonly position: number;
  /** Positions of the instance's intents without an outcome. */
  readonly openIntents: readonly number[];
}

/** An unbroken series of unanswered probes. Times are monotonic, in milliseconds. */
export interface Silence {
  /** When the first of them was sent. */
  readonly sinceMs: number;
  /** When the last of them was given up. Nothing is known of the time after it. */
  readonly untilMs: number;
}

/** Result of the latest probes of one instance. Times are monotonic, in milliseconds. */
export interface Observation {
  /** Status in the last answer; undefined if the instance never answered. */
  readonly status: EngineStatus | undefined;
  /** When the probe that read `status` was sent; -Infinity if there was none. */
  readonly probedAtMs: number;
  /** What was known of the instance from the control stream when that probe was sent. */
  readonly basis: ObservationBasis;
  /** Undefined if the last probe was answered. */
  readonly silence: Silence | undefined;
  /** Whether the last probe's connection was refused, as when nothing listens at the address. */
  readonly hasConnectionFailed: boolean;
  /** When the first of an unbroken series of probes that found the same boot idle was sent. */
  readonly idleSinceMs: number | undefined;
}

export interface ProberOptions {
  readonly clock: Clock;
  /** Probe intervals in milliseconds by address. */
  readonly probeIntervals: () => ReadonlyMap<string, number>;
  readonly findBasis: (address: string) => ObservationBasis;
  /** Called after each probe. */
  readonly onProbed?: (address: string, observation: Observation) => void;
}

/** Reads the status of engines periodically, with at most one probe in flight to each. */
export class Prober {
  private readonly _observations = new Map<string, Observation>();
  private readonly _clients = new Map<string, EngineClient>();
  private readonly _probesInFlight = new Set<string>();
  private readonly _lastProbeMs = new Map<string, number>();
  private readonly _loop = new BackgroundLoop({ runOnce: () => this._runTick(), intervalMs: () => TICK_MS });

  constructor(private readonly _options: ProberOptions) {}

  start(): void {
    this._loop.start();
  }

  async stop(): Promise<void> {
    await this._loop.stop();
    await Promise.all([...this._clients.values()].map((client) => client.close()));
  }

  findObservation(address: string): Observation | undefined {
    return this._observations.get(address);
  }

  clientOf(address: string): EngineClient {
    let client = this._clients.get(address);
    if (!client) {
      client = new EngineClient(address);
      this._clients.set(address, client);
    }
    return client;
  }

  private async _runTick(): Promise<void> {
    const targets = this._options.probeIntervals();
    this._probeDue(targets);
    await this._removeUnlisted(targets);
  }

  private _probeDue(targets: ReadonlyMap<string, number>): void {
    const nowMs = this._options.clock.monotonic();
    for (const [address, intervalMs] of targets) {
      const lastMs = this._lastProbeMs.get(address) ?? -Infinity;
      if (nowMs - lastMs >= intervalMs && !this._probesInFlight.has(address)) void this._probe(address);
    }
  }

  private async _probe(address: string): Promise<void> {
    const { clock, findBasis, onProbed } = this._options;
    const probedAtMs = clock.monotonic();
    const basis = findBasis(address);
    this._probesInFlight.add(address);
    this._lastProbeMs.set(address, probedAtMs);
    const previous = this._observations.get(address);
    const observation = await this._readStatus(address, probedAtMs, basis, previous);
    this._probesInFlight.delete(address);
    this._observations.set(address, observation);
    onProbed?.(address, observation);
  }

  private async _readStatus(
    address: string,
    probedAtMs: number,
    basis: ObservationBasis,
    previous: Observation | undefined,
  ): Promise<Observation> {
    try {
      const status = await this._readWithRetry(address);
      const isIdle = status.phase === 'idle' && status.group === null;
      const isSameBoot = previous?.status?.boot === status.boot;
      const idleSinceMs = isIdle
        ? ((isSameBoot ? previous?.idleSinceMs : undefined) ?? probedAtMs)
        : undefined;
      return {
        status,
        probedAtMs,
        basis,
        silence: undefined,
        hasConnectionFailed: false,
        idleSinceMs,
      };
    } catch (error) {
      const hasConnectionFailed = error instanceof EngineCallError && error.reason === 'unreachable';
      return {
        status: previous?.status,
        probedAtMs: previous?.probedAtMs ?? -Infinity,
        basis: previous?.basis ?? basis,
        silence: this._extendSilence(previous?.silence, probedAtMs),
        hasConnectionFailed,
        idleSinceMs: undefined,
      };
    }
  }

  /**
   * Reads the status, and once more if the connection was reset: engines reset idle connections and those beyond their
   * limit. Only a refused connection shows that an engine has ended.
   */
  private async _readWithRetry(address: string): Promise<EngineStatus> {
    const client = this.clientOf(address);
    try {
      return await client.readStatus(PROBE_TIMEOUT_MS);
    } catch (error) {
      if (!(error instanceof EngineCallError) || error.reason !== 'reset') throw error;
      return client.readStatus(PROBE_TIMEOUT_MS);
    }
  }

  /** A late timer or a long gap means that this process was paused, which is no silence of the instance. */
  private _extendSilence(previous: Silence | undefined, probedAtMs: number): Silence {
    const untilMs = Math.min(this._options.clock.monotonic(), probedAtMs + PROBE_TIMEOUT_MS);
    const isUnbroken = previous !== undefined && probedAtMs - previous.untilMs <= MAX_PROBE_GAP_MS;
    return { sinceMs: isUnbroken ? previous.sinceMs : probedAtMs, untilMs };
  }

  private async _removeUnlisted(targets: ReadonlyMap<string, number>): Promise<void> {
    for (const [address, client] of this._clients) {
      if (targets.has(address) || this._probesInFlight.has(address)) continue;
      this._clients.delete(address);
      this._observations.delete(address);
      this._lastProbeMs.delete(address);
      await client.close();
    }
  }
}
