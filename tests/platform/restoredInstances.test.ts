import { systemClock } from '@monsoonreach/core';
import t from 'tap';
import { sleep } from '../standins/http.js';
import { type RawHandler, readHeader } from '../support/rawHttp.js';
import { createEntry, RawFleet } from './rawFleet.js';

/** Interval between two requests, in milliseconds. */
const REQUEST_INTERVAL_MS = 50;
/** Time for which requests are sent after the restore, in milliseconds; entries are written again in two seconds. */
const OBSERVED_MS = 1_800;
/** Part of it at whose end a node has read the restored list, in milliseconds. */
const SETTLING_MS = 1_000;
/** Time in which a node reads a change, in milliseconds. */
const READ_MS = 1_200;

const answer: RawHandler = ({ socket, id, head }) => {
  socket.end(
    `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Seal: seal-${readHeader(head, 'tenant') ?? ''}\r\n` +
      'Content-Length: 2\r\nConnection: close\r\n\r\nok',
  );
};

const fleet = new RawFleet();

/** Sends requests one after the other; returns how many of them the first target received, in all and at the end. */
async function observeFirst(): Promise<{ readonly count: number; readonly lateCount: number }> {
  await fleet.setHandler(answer);
  const { requests } = fleet.targets[0];
  const startedAtMs = systemClock.monotonic();
  let settledCount: number | undefined;
  for (let elapsedMs = 0; elapsedMs < OBSERVED_MS; elapsedMs = systemClock.monotonic() - startedAtMs) {
    if (elapsedMs >= SETTLING_MS) settledCount ??= requests.length;
    await fleet.send('/status/');
    await sleep(REQUEST_INTERVAL_MS);
  }
  return { count: requests.length, lateCount: requests.length - (settledCount ?? 0) };
}

interface Case {
  readonly name: string;
  /** Entry of the first target before the copy is made, after it, and once the store is back; undefined if there is none. */
  readonly copied: unknown;
  readonly lost: unknown;
  readonly rewritten?: unknown;
  readonly isServing: boolean;
}

const createFirst = (changes: object): unknown => ({
  ...(createEntry(fleet.targets[0].address, 1) as object),
  ...changes,
});

const createCases = (): readonly Case[] => [
  {
    name: 'one that said that it leaves',
    copied: createFirst({ seqNo: 5 }),
    lost: createFirst({ seqNo: 9, state: 'draining' }),
    isServing: false,
  },
  {
    name: 'one whose entry was removed',
    copied: createFirst({ seqNo: 5 }),
    lost: undefined,
    isServing: false,
  },
  {
    name: 'one that started again before the restore',
    copied: createFirst({ seqNo: 30, state: 'draining' }),
    lost: createFirst({ seqNo: 1, born: 2 }),
    isServing: true,
  },
  {
    name: 'one that was added after the copy was made',
    copied: undefined,
    lost: createFirst({ seqNo: 1, born: 3 }),
    isServing: true,
  },
  {
    name: 'one that writes its entry again after its removal',
    copied: createFirst({ seqNo: 5, born: 4 }),
    lost: undefined,
    rewritten: createFirst({ seqNo: 6, born: 4 }),
    isServing: true,
  },
];

// Guards against requests to targets that had left, or to none of those that came, because the store shows an older list.
void t.test('a node knows better than a restored list of instances', async (t) => {
  await fleet.start();
  for (const { name, copied, lost, rewritten, isServing } of createCases()) {
    await t.test(name, async (t) => {
      fleet.store.put('keyed.servers', 'plain-1', copied);
      await sleep(READ_MS);
      const copy = fleet.store.copy();
      fleet.store.put('keyed.servers', 'plain-1', lost);
      await sleep(READ_MS);
      fleet.store.restore(copy);
      if (rewritten !== undefined) {
        await sleep(READ_MS);
        fleet.store.put('keyed.servers', 'plain-1', rewritten);
        await sleep(READ_MS);
      }
      const { count, lateCount } = await observeFirst();
      if (isServing) t.ok(lateCount > 0, 'it gets requests');
      else t.equal(count, 0, 'it gets no request');
      await sleep(READ_MS);
      fleet.store.put('keyed.servers', 'plain-1', undefined);
      await sleep(READ_MS);
    });
  }
  fleet.store.stop();
  setTimeout(() => process.exit(), 100);
});
