import { controlDefinition } from '@monsoonreach/core';
import { StreamFollower } from '@monsoonreach/log';
import { type OperatorLog, writeOneRecord } from './oneRecord.js';

/**
 * Marks a target as leaving, or as staying again, for every node.
 * @throws an append error when the log does not confirm it.
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
