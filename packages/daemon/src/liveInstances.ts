import { BackgroundLoop, type Clock } from '@monsoonreach/core';
import { type ListedInstance, type LiveList, LiveListUnavailableError } from '@monsoonreach/log';

/** Interval of reads. Together with the whole lease's duration it bounds how long a leaving target gets requests. */
const POLL_INTERVAL_MS = 800;

/** Polls the platform's live list, and keeps the last one read while the platform does not answer. */
export class LiveInstances {
  private _instances: ReadonlyMap<string, ListedInstance> = new Map();
  private _readAtMs: number | undefined;
  private readonly _loop = new BackgroundLoop({
    runOnce: () => this._read(),
    intervalMs: () => POLL_INTERVAL_MS,
  });

  constructor(
    private readonly _list: LiveList,
    private readonly _clock: Clock,
  ) {}

  /** Instances by address. */
  get instances(): ReadonlyMap<string, ListedInstance> {
    return this._instances;
  }

  /** Monotonic time of the last successful read; undefined before the first. */
  get readAtMs(): number | undefined {
    return this._readAtMs;
  }

  isLeaving(address: string): boolean {
    return this._instances.get(address)?.state === 'leaving';
  }

  start(): void {
    this._loop.start();
  }

  stop(): Promise<void> {
    return this._loop.stop();
  }

  private async _read(): Promise<void> {
    try {
      const listed = await this._list.read();
      this._instances = new Map(listed.map((instance) => [instance.address, instance]));
      this._readAtMs = this._clock.monotonic();
    } catch (error) {
      if (!(error instanceof LiveListUnavailableError)) throw error;
    }
  }
}
