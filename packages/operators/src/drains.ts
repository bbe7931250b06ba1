import { randomUUID } from 'node:crypto';
import {
  type Clock,
  type ControlBody,
  controlDefinition,
  type ControlRejection,
  Counters,
  type Log,
} from '@monsoonreach/core';
import { LogWriter, StreamFollower } from '@monsoonreach/platform';

const WRITE_TIMEOUT_MS = 10_000;

/** What a drain is written with. */
export interface DrainOptions {
  readonly log: Log;
  readonly clock: Clock;
  readonly operator: string;
}

/**
 * Marks a target as leaving, or as staying again, for every node.
 * @throws an append error when the log does not confirm it.
 */
export async function writeDrain(options: DrainOptions, address: string, isLeaving: boolean): Promise<void> {
  const { log, clock, operator } = options;
  const follower = new StreamFollower({ stream: 'control', log, clock, definition: controlDefinition });
  const writer = new LogWriter<ControlBody, ControlRejection>({
    stream: 'control',
    log,
    writer: { address: operator, incarnation: randomUUID() },
    clock,
    counters: new Counters(),
    listen: (listener) => follower.listen(listener),
  });
  follower.start();
  try {
    await writer.write({ kind: 'drain', address, isLeaving }, { timeoutMs: WRITE_TIMEOUT_MS });
  } finally {
    writer.close();
    await follower.stop();
  }
}
