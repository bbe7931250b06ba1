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
    listen: (listener) => follower.listen(listener),
  });
}

const claim = (key: string): ClaimBody => ({ kind: 'claim', workspace: 'w', key, fingerprint: 'f' });

/** Reads until the writer's record is there. */
async function readBack(follower: ReturnType<typeof createFollower>, isDone: () => boolean): Promise<void> {
  for (let turn = 0; turn < 200 && !isDone(); turn++) {
    await follower.step(0).catch(() => undefined);
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

const lost: readonly { readonly name: string; readonly lostAnswers: number }[] = [
  { name: 'answered', lostAnswers: 0 },
  { name: 'one answer lost', lostAnswers: 1 },
  { name: 'two answers lost', lostAnswers: 2 },
];

for (const { name, lostAnswers } of lost) {
  void t.test(`a record is accepted once: ${name}`, async (t) => {
    const log = new MemoryLog();
    log.lostAnswers = lostAnswers;
    const follower = createFollower(log);
    const verdicts: string[] = [];
    follower.listen(({ verdict }) => verdicts.push(verdict.kind));
    const writer = createWriter(log, follower);
    let isDone = false;
    const written = writer.write(claim(uuidv7()), { timeoutMs: 60_000 }).finally(() => (isDone = true));
    await readBack(follower, () => isDone);
    t.equal((await written).verdict.kind, 'accepted');
    await follower.step(0);
    t.equal(verdicts.filter((kind) => kind === 'accepted').length, 1);
    writer.close();
  });
}

void t.test('a log that is down: never sent, or not known', async (t) => {
  const log = new MemoryLog();
  const follower = createFollower(log);
  const writer = createWriter(log, follower);
  log.isDown = true;
  await t.rejects(writer.write(claim(uuidv7()), { timeoutMs: 20 }), AppendUnknownError);
  writer.close();
  await t.rejects(writer.write(claim(uuidv7()), { timeoutMs: 20 }), AppendNotSentError);
});

void t.test('a reader that was away loads a checkpoint, or fails closed', async (t) => {
  const log = new MemoryLog();
  const first = createFollower(log);
  const keys = Array.from({ length: 20 }, () => uuidv7());
  for (const [index, key] of keys.entries()) await log.append(STREAM, [toEntry(claim(key), index + 1)]);
  await first.step(0);
  const away = createFollower(log);
  log.trim(STREAM, 1);
  await t.rejects(away.step(0), LogGapError, 'no checkpoint reaches the start of the log');
  for (const chunk of splitCheckpoint(first.snapshot(), first.next, 'c1')) {
    await log.append(STREAM, [toEntry({ kind: 'checkpoint', chunk }, 1, 'checkpointer')]);
  }
  await away.step(0);
  await away.step(0);
  t.equal(away.state.size, keys.length);
  t.same(away.state.snapshot(), first.state.snapshot());
});

void t.test(
  'a record of a newer format stops the reader; one that nobody can read is passed over',
  async (t) => {
    const log = new MemoryLog();
    const follower = createFollower(log);
    await log.append(STREAM, ['not a record', toEntry(claim(uuidv7()), 1)]);
    await follower.step(0);
    t.equal(follower.state.size, 1);
    await log.append(STREAM, [
      JSON.stringify({ ...JSON.parse(toEntry(claim(uuidv7()), 2)), format: RECORD_FORMAT + 1 }),
    ]);
    await t.rejects(follower.step(0), UnsupportedFormatError);
    t.equal(follower.state.size, 1);
  },
);

function toEntry(body: ClaimBody, sequence: number, address = 'a'): string {
  return encodeEnvelope({
    format: RECORD_FORMAT,
    writer: { address, incarnation: '1' },
    sequence,
    writtenAtMs: 0,
    body,
  });
}
