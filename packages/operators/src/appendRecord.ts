import { randomUUID } from 'node:crypto';
import { type Clock, Counters, type Log, type StreamState } from '@monsoonreach/core';
import { LogWriter, type StreamFollower, type WrittenRecord } from '@monsoonreach/log';

const WRITE_TIMEOUT_MS = 10_000;

/** Log access of one operator. */
export interface OperatorLogOptions {
  readonly log: Log;
  readonly clock: Clock;
  /** Name of the operator, recorded as the writer. */
  readonly operator: string;
}

/**
 * Appends one record, waits until it is read back, and returns the verdict, which may be a rejection.
 * @throws AppendNotSentError or AppendUnknownError if the log does not confirm the record.
 */
export async function appendRecord<
  Body,
  Rejection extends string,
  State extends StreamState<Body, Rejection>,
>(
  { log, clock, operator }: OperatorLogOptions,
  stream: string,
  follower: StreamFollower<Body, Rejection, State>,
  body: Body,
): Promise<WrittenRecord<Rejection>> {
  const writer = new LogWriter<Body, Rejection>({
    stream,
    log,
    writer: { address: operator, incarnation: randomUUID() },
    clock,
    counters: new Counters(),
    subscribe: (listener) => follower.subscribe(listener),
  });
  follower.start();
  try {
    return await writer.write(body, { timeoutMs: WRITE_TIMEOUT_MS });
  } finally {
    writer.close();
    await follower.stop();
  }
}
