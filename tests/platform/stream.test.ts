import {
  AppendNotSentError,
  AppendUnknownError,
  type ClaimBody,
  type ClaimRejection,
  claimsDefinition,
  Counters,
  encodeEnvelope,
  LogGapError,
  ManualClock,
  RECORD_FORMAT,
  splitCheckpoint,
  UnsupportedFormatError,
} from '@monsoonreach/core';
import { LogWriter, StreamFollower } from '@monsoonreach/log';
import t from 'tap';
import { v7 as uuidv7 } from 'uuid';
import { MemoryLog } from '../support/memoryLog.js';

const STREAM = 'claims/0';

function createFollower(log: MemoryLog) {
  return new StreamFollower({ stream: STREAM, log, clock: new ManualClock(), definition: claimsDefinition });
}

function createWriter(log: MemoryLog, follower: ReturnType<typeof createFollower>, incarnation = '1') {
  return new LogWriter<ClaimBody, ClaimRejection>({
    stream: STREAM,
    log,
    writer: { address: 'a', incarnation },
    clock: new ManualClock(),
    counters: new Counters(),
    subscribe: (listener) => follower.subscribe(listener),
  });
}

const createClaim = (key: string): ClaimBody => ({ kind: 'claim', workspace: 'w', key, fingerprint: 'f' });

/** Steps the follower until `isDone`, at most 200 times. Failed reads are repeated. */
async function followUntil(
  follower: ReturnType<typeof createFollower>,
  isDone: () => boolean,
): Promise<void> {
  for (let attempt = 0; attempt < 200 && !isDone(); attempt++) {
    await follower.step(0).catch(() => undefined);
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

const lostAnswerCases: readonly { readonly name: string; readonly lostAnswers: number }[] = [
  { name: 'answered', lostAnswers: 0 },
  { name: 'one answer lost', lostAnswers: 1 },
  { name: 'two answers lost', lostAnswers: 2 },
];

for (const { name, lostAnswers } of lostAnswerCases) {
  void t.test(`a record is accepted exactly once: ${name}`, async (t) => {
    const log = new MemoryLog();
    log.lostAnswerCount = lostAnswers;
    const follower = createFollower(log);
    const verdicts: string[] = [];
    follower.subscribe(({ verdict }) => verdicts.push(verdict.kind));
    const writer = createWriter(log, follower);
    let isDone = false;
    const written = writer.write(createClaim(uuidv7()), { timeoutMs: 60_000 }).finally(() => (isDone = true));
    await followUntil(follower, () => isDone);
    t.equal((await written).verdict.kind, 'accepted');
    await follower.step(0);
    t.equal(verdicts.filter((kind) => kind === 'accepted').length, 1);
    writer.close();
  });
}

void t.test('a write to an unavailable log ends as unknown, and after closing as not sent', async (t) => {
  const log = new MemoryLog();
  const follower = createFollower(log);
  const writer = createWriter(log, follower);
  log.isDown = true;
  await t.rejects(writer.write(createClaim(uuidv7()), { timeoutMs: 20 }), AppendUnknownError);
  writer.close();
  await t.rejects(writer.write(createClaim(uuidv7()), { timeoutMs: 20 }), AppendNotSentError);
});

void t.test('a follower behind the retained records fails until a checkpoint covers the gap', async (t) => {
  const log = new MemoryLog();
  const first = createFollower(log);
  const keys = Array.from({ length: 20 }, () => uuidv7());
  for (const [index, key] of keys.entries())
    await log.append(STREAM, [encodeEntry(createClaim(key), index + 1)]);
  await first.step(0);
  const lateFollower = createFollower(log);
  log.trim(STREAM, 1);
  await t.rejects(lateFollower.step(0), LogGapError, 'no checkpoint covers the records that were dropped');
  for (const chunk of splitCheckpoint(first.snapshot(), first.nextOffset, 'c1')) {
    await log.append(STREAM, [encodeEntry({ kind: 'checkpoint', chunk }, 1, 'checkpointer')]);
  }
  await lateFollower.step(0);
  await lateFollower.step(0);
  t.equal(lateFollower.state.size, keys.length);
  t.same(lateFollower.state.snapshot(), first.state.snapshot());
});

void t.test('a record of a newer format stops the follower; an unreadable record is skipped', async (t) => {
  const log = new MemoryLog();
  const follower = createFollower(log);
  await log.append(STREAM, ['not a record', encodeEntry(createClaim(uuidv7()), 1)]);
  await follower.step(0);
  t.equal(follower.state.size, 1);
  await log.append(STREAM, [
    JSON.stringify({ ...JSON.parse(encodeEntry(createClaim(uuidv7()), 2)), format: RECORD_FORMAT + 1 }),
  ]);
  await t.rejects(follower.step(0), UnsupportedFormatError);
  t.equal(follower.state.size, 1);
});

function encodeEntry(body: ClaimBody, sequence: number, address = 'a'): string {
  return encodeEnvelope({
    format: RECORD_FORMAT,
    writer: { address, incarnation: '1' },
    sequence,
    writtenAtMs: 0,
    body,
  });
}
