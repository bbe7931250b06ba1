import {
  claimsDefinition,
  type Log,
  type LogReadOptions,
  type LogSlice,
  LogUnavailableError,
  systemClock,
} from '@monsoonreach/core';
import { StreamFollower } from '@monsoonreach/log';
import t from 'tap';

/** An empty log. A read without a wait is answered at once; one with a wait hangs until it is aborted. */
class EmptyLog implements Log {
  readonly waitsMs: number[] = [];
  /** Number of next reads that fail. */
  failures = 0;

  append(): Promise<number> {
    return Promise.reject(new LogUnavailableError('This log is read-only.'));
  }

  read(_stream: string, _from: number, options: LogReadOptions = {}): Promise<LogSlice> {
    this.waitsMs.push(options.waitMs ?? 0);
    if (this.failures > 0) {
      this.failures--;
      return Promise.reject(new LogUnavailableError('The log is down.'));
    }
    if ((options.waitMs ?? 0) === 0) {
      return Promise.resolve({ batches: [], first: 0, head: 0, isCurrent: true });
    }
    return new Promise((_resolve, reject) => {
      options.signal?.addEventListener('abort', () => {
        reject(new LogUnavailableError('The read was aborted.'));
      });
    });
  }
}

const cases = [
  { name: 'an empty stream', failures: 0 },
  { name: 'an empty stream after failed reads', failures: 2 },
];

for (const { name, failures } of cases) {
  void t.test(`a follower is ready at the head without waiting for new records: ${name}`, async (t) => {
    const log = new EmptyLog();
    log.failures = failures;
    const follower = new StreamFollower({
      stream: 'claims/0',
      log,
      clock: systemClock,
      definition: claimsDefinition,
    });
    t.equal(follower.isReady(), false);
    follower.start();
    while (log.waitsMs.length < failures + 2) await new Promise((resolve) => setTimeout(resolve, 5));
    t.equal(follower.isReady(), true);
    t.same(
      log.waitsMs.map((waitMs) => waitMs > 0),
      [...Array.from({ length: failures + 1 }, () => false), true],
      'only a follower that has reached the head waits for new records',
    );
    await follower.stop();
  });
}
