import { BackgroundLoop, type Clock } from '@monsoonreach/core';
import { EngineCallError, EngineClient, type EngineStatus } from '@monsoonreach/targets';

const TICK_MS = 100;
const PROBE_TIMEOUT_MS = 700;

/** What the last probes of one instance have shown. */
export interface Observation {
  /** The last status read, if the instance ever answered. */
  readonly status: EngineStatus | undefined;
  /** Monotonic time at which the probe that read it was sent. */
  readonly askedAtMs: number;
  /** The instance's position in the log as known when that probe was sent; 0 for none. */
  readonly basis: number;
  /** Monotonic time since which it does not answer; undefined while it does. */
  readonly darkSinceMs: number | undefined;
  /** True when the last probe was answered by the address that nothing listens there. */
  readonly isGone: boolean;
  /** Monotonic time since which each probe has found it idle. */
  readonly idleSinceMs: number | undefined;
}

/** What a prober is made of. */
export interface ProberOptions {
  readonly clock: Clock;
  /** Addresses to probe and the interval for each, in milliseconds. */
  readonly targets: () => ReadonlyMap<string, number>;
  readonly basisOf: (address: string) => number;
  /** Called after each probe. */
  readonly onProbed?: (address: string, observation: Observation) => void;
}

/** Reads engines back at a steady pace. */
export class Prober {
  private readonly _observations = new Map<string, Observation>();
  private readonly _clients = new Map<string, EngineClient>();
  private readonly _probing = new Set<string>();
  private readonly _lastProbeMs = new Map<string, number>();
  private readonly _loop = new BackgroundLoop({ turn: () => this._turn(), intervalMs: () => TICK_MS });

  constructor(private readonly _options: ProberOptions) {}

  start(): void {
    this._loop.start();
  }

  async stop(): Promise<void> {
    await this._loop.stop();
    await Promise.all([...this._clients.values()].map((client) => client.close()));
  }

  observe(address: string): Observation | undefined {
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

  private async _turn(): Promise<void> {
    const targets = this._options.targets();
    this._probeDue(targets);
    await this._forget(targets);
  }

  private _probeDue(targets: ReadonlyMap<string, number>): void {
    const nowMs = this._options.clock.monotonic();
    for (const [address, intervalMs] of targets) {
      const lastMs = this._lastProbeMs.get(address) ?? -Infinity;
      if (nowMs - lastMs >= intervalMs && !this._probing.has(address)) void this._probe(address);
    }
  }

  private async _probe(address: string): Promise<void> {
    const { clock, basisOf, onProbed } = this._options;
    const askedAtMs = clock.monotonic();
    const basis = basisOf(address);
    this._probing.add(address);
    this._lastProbeMs.set(address, askedAtMs);
    const before = this._observations.get(address);
    const observation = await this._ask(address, askedAtMs, basis, before);
    this._probing.delete(address);
    this._observations.set(address, observation);
    onProbed?.(address, observation);
  }

  private async _ask(
    address: string,
    askedAtMs: number,
    basis: number,
    before: Observation | undefined,
  ): Promise<Observation> {
    try {
      const status = await this.clientOf(address).readStatus(PROBE_TIMEOUT_MS);
      const isIdle = status.phase === 'idle' && status.group === null;
      const sameBoot = before?.status?.boot === status.boot;
      const idleSinceMs = isIdle ? ((sameBoot ? before?.idleSinceMs : undefined) ?? askedAtMs) : undefined;
      return { status, askedAtMs, basis, darkSinceMs: undefined, isGone: false, idleSinceMs };
    } catch (error) {
      const isGone = error instanceof EngineCallError && error.fault === 'unreachable';
      return {
        status: before?.status,
        askedAtMs: before?.askedAtMs ?? -Infinity,
        basis: before?.basis ?? 0,
        darkSinceMs: before?.darkSinceMs ?? askedAtMs,
        isGone,
        idleSinceMs: undefined,
      };
    }
  }

  private async _forget(targets: ReadonlyMap<string, number>): Promise<void> {
    for (const [address, client] of this._clients) {
      if (targets.has(address) || this._probing.has(address)) continue;
      this._clients.delete(address);
      this._observations.delete(address);
      this._lastProbeMs.delete(address);
      await client.close();
    }
  }
}
