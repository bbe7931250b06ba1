import {
  type ConfigurationBody,
  configurationDefinition,
  MonsoonreachError,
  parseConfiguration,
  type PublishedConfiguration,
} from '@monsoonreach/core';
import { StreamFollower } from '@monsoonreach/log';
import { type OperatorLog, writeOneRecord } from './oneRecord.js';

/** Another operator's publication came first; nothing was changed. */
export class PublicationRaceError extends MonsoonreachError {
  readonly code = 'publication-race';

  constructor(readonly current: PublishedConfiguration | undefined) {
    super(
      `Another configuration was published first, by ${current?.publishedBy ?? 'nobody'}; compare and publish again.`,
    );
  }
}

/** Reads and publishes the configuration through the platform's log. */
export class Publisher {
  constructor(private readonly _options: OperatorLog) {}

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
    const follower = this._createFollower();
    await readToHead(follower);
    const body: ConfigurationBody = { kind: 'publish', basis, text };
    const { verdict } = await writeOneRecord(this._options, 'config', follower, body);
    if (verdict.kind === 'accepted') return verdict.position;
    throw new PublicationRaceError(follower.state.current());
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
