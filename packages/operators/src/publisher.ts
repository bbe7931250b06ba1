import {
  type ConfigurationBody,
  configurationDefinition,
  MonsoonreachError,
  parseConfiguration,
  type PublishedConfiguration,
} from '@monsoonreach/core';
import { StreamFollower } from '@monsoonreach/log';
import { type OperatorLogOptions, appendRecord } from './appendRecord.js';

/** Another configuration was published after the given basis; the log's configuration is unchanged. */
export class PublicationRaceError extends MonsoonreachError {
  readonly code = 'publication-race';

  constructor(readonly current: PublishedConfiguration | undefined) {
    super(
      `Another configuration was published first, by ${current?.publishedBy ?? 'nobody'}; review it with "monsoonreach diff" and publish again.`,
    );
  }
}

/** Reads and publishes configurations through the platform's log. */
export class Publisher {
  constructor(private readonly _options: OperatorLogOptions) {}

  /** Reads the configuration accepted last; undefined if there is none. */
  async readCurrent(): Promise<PublishedConfiguration | undefined> {
    const follower = this._createFollower();
    await readToHead(follower);
    return follower.state.current();
  }

  /**
   * Validates and publishes a text based on the configuration at position `basis` (0 for none).
   * @returns the position of the accepted publication.
   * @throws DocumentError, PublicationRaceError, or an append error if the log does not confirm the record.
   */
  async publish(text: string, basis: number): Promise<number> {
    parseConfiguration(text);
    const follower = this._createFollower();
    await readToHead(follower);
    const body: ConfigurationBody = { kind: 'publish', basis, text };
    const { verdict } = await appendRecord(this._options, 'config', follower, body);
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
