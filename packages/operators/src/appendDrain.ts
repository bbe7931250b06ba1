import { controlDefinition } from '@monsoonreach/core';
import { StreamFollower } from '@monsoonreach/log';
import { type OperatorLogOptions, appendRecord } from './appendRecord.js';

/**
 * Appends a control record that marks a target as leaving, or as staying, on every node.
 * @throws AppendNotSentError or AppendUnknownError if the log does not confirm the record.
 */
export async function appendDrain(
  options: OperatorLogOptions,
  address: string,
  isLeaving: boolean,
): Promise<void> {
  const { log, clock } = options;
  const follower = new StreamFollower({ stream: 'control', log, clock, definition: controlDefinition });
  await appendRecord(options, 'control', follower, { kind: 'drain', address, isLeaving });
}
