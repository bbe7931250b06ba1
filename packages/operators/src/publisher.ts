import { randomUUID } from 'node:crypto';
import {
  type Clock,
  configurationDefinition,
  type ConfigurationBody,
  type ConfigurationRejection,
  Counters,
  type Log,
  MonsoonreachError,
  parseConfiguration,
  type PublishedConfiguration,
} from '@monsoonreach/core';
import { LogWriter, StreamFollower } from '@monsoonreach/platform';

const WRITE_TIMEOUT_MS = 10_000;

/** Another operator's publication came first; nothing was changed. */
export class PublicationRaceError extends MonsoonreachError {
  readonly code = 'publication-race';

  constructor(readonly current: PublishedConfiguration | undefined) {
    super(
      `Another configuration was published first, by ${current?.publishedBy ?? 'nobody'}; compare and publish again.`,
    );
  }
}

/** What a publisher is made of. */
export interface PublisherOptions {
  readonly log: Log;
  readonly clock: Clock;
  /** Whom the publication is by. */
  readonly operator: string;
}

/** Reads and publishes the configuration through the platform's log. */
export class Publisher {
  constructor(private readonly _options: PublisherOptions) {}

  /** The configuration that was accepted last. */
  async readCurrent(): Promise<PublishedConfiguration | undefined> {
    const follower = this._createFollower();
    await readToHead(follower);
    return follower.state.current();
  }

  /**
   * Publishes a checked text that is based on `basis`, the position that the operator saw (0 for none).
   * @returns the position of the accepted publication.
   * @throws DocumentError, PublicationRaceError, or an append error when the log does not confirm it.
   */
  async publish(text: string, basis: number): Promise<number> {
    parseConfiguration(text);
    const { log, clock, operator } = this._options;
    const follower = this._createFollower();
    await readToHead(follower);
    const writer = new LogWriter<ConfigurationBody, ConfigurationRejection>({
      stream: 'config',
      log,
      writer: { address: operator, incarnation: randomUUID() },
      clock,
      counters: new Counters(),
      listen: (listener) => follower.listen(listener),
    });
    follower.start();
    try {
      const { verdict } = await writer.write(
        { kind: 'publish', basis, text },
        { timeoutMs: WRITE_TIMEOUT_MS },
      );
      if (verdict.kind === 'accepted') return verdict.position;
      throw new PublicationRaceError(follower.state.current());
    } finally {
      writer.close();
      await follower.stop();
    }
  }

  private _createFollower() {
    const { log, clock } = this._options;
    return new StreamFollower({ stream: 'config', log, clock, definition: configurationDefinition });
  }
}

async function readToHead(follower: {
  readonly caughtUpAtMs: number | undefined;
  step(waitMs: number): Promise<void>;
}) {
  while (follower.caughtUpAtMs === undefined) await follower.step(0);
}
