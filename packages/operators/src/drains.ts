import { controlDefinition } from '@monsoonreach/core';
import { StreamFollower } from '@monsoonreach/log';
import { type OperatorLog, writeOneRecord } from './oneRecord.js';

/**
 * Appends a control record that marks a target as leaving, or as staying, on every node.
 * @throws AppendNotSentError or AppendUnknownError if the log does not confirm the record.
 */
export async function writeDrain(
  operatorLog: OperatorLog,
  address: string,
  isLeaving: boolean,
): Promise<void> {
  const { log, clock } = operatorLog;
  const follower = new StreamFollower({ stream: 'control', log, clock, definition: controlDefinition });
  await writeOneRecord(operatorLog, 'control', follower, { kind: 'drain', address, isLeaving });
}
