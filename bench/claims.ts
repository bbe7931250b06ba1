import { randomUUID } from 'node:crypto';
import type { AddressInfo } from 'node:net';
import {
  type ClaimBody,
  type ClaimRejection,
  type Claims,
  claimsDefinition,
  Counters,
  encodeEnvelope,
  RECORD_FORMAT,
  splitCheckpoint,
  StreamReducer,
  systemClock,
  toClaimsStream,
} from '@monsoonreach/core';
import { HttpLog, LogWriter, StreamFollower } from '@monsoonreach/log';
import { v7 as uuidv7 } from 'uuid';
import { LogStandin } from '../tests/standins/logStandin.js';
import { LocalFleet } from '../tests/support/localFleet.js';
import { printScenario, type ResultRow } from './scenario.js';
import { createHistogram } from './simulation.js';

const APPENDS_PER_SECOND = 300;
const DURATION_S = 4;
const CALLERS = 1_500;
const LIVE_CLAIMS = 100_000;
const STREAM = toClaimsStream(0);

interface Claimant {
  readonly log: HttpLog;
  readonly follower: StreamFollower<ClaimBody, ClaimRejection, Claims>;
  readonly writer: LogWriter<ClaimBody, ClaimRejection>;
}

function createClaimant(address: string, name: string, maxBatch: number | undefined): Claimant {
  const log = new HttpLog(address);
  const follower = new StreamFollower({
    stream: STREAM,
    log,
    clock: systemClock,
    definition: claimsDefinition,
  });
  const writer = new LogWriter<ClaimBody, ClaimRejection>({
    stream: STREAM,
    log,
    writer: { address: name, incarnation: randomUUID() },
    clock: systemClock,
    counters: new Counters(),
    subscribe: (listener) => follower.subscribe(listener),
    ...(maxBatch === undefined ? {} : { maxBatch }),
  });
  follower.start();
  return { log, follower, writer };
}

/** Measures claims per second when callers on `entries` entries claim as fast as the log confirms. */
async function measureClaimThroughput(entries: number, maxBatch: number | undefined): Promise<ResultRow> {
  const { server, standin } = await LogStandin.start({ appendsPerSecond: APPENDS_PER_SECOND });
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const claimants = Array.from({ length: entries }, (_, index) =>
    createClaimant(address, `e${index}`, maxBatch),
  );
  const histogram = createHistogram();
  const endsAtMs = performance.now() + DURATION_S * 1_000;
  let claimed = 0;
  const claimRepeatedly = async ({ writer }: Claimant) => {
    while (performance.now() < endsAtMs) {
      const startedMs = performance.now();
      const body = { kind: 'claim', workspace: 'w', key: uuidv7(), fingerprint: 'f' } as const;
      const written = await writer.write(body, { timeoutMs: 20_000 }).catch(() => undefined);
      if (written?.verdict.kind !== 'accepted' || performance.now() > endsAtMs) continue;
      claimed++;
      histogram.recordValue(performance.now() - startedMs);
    }
  };
  await Promise.all(
    claimants.flatMap((claimant) =>
      Array.from({ length: CALLERS / entries }, () => claimRepeatedly(claimant)),
    ),
  );
  const { appends } = standin.counts();
  for (const { writer, follower, log } of claimants) {
    writer.close();
    await follower.stop();
    await log.close();
  }
  server.closeAllConnections();
  server.close();
  return {
    variant: `${entries} entries, group commit ${maxBatch === 1 ? 'off' : 'on'}`,
    figures: {
      'claims/s': claimed / DURATION_S,
      'appends/s': appends / DURATION_S,
      'claims an append': claimed / Math.max(1, appends),
      'p50 ms': histogram.getValueAtPercentile(50),
      'p99 ms': histogram.getValueAtPercentile(99),
    },
  };
}

function encodeEntry(body: ClaimBody, writer: string, sequence: number): string {
  const envelope = {
    format: RECORD_FORMAT,
    writer: { address: writer, incarnation: '1' },
    sequence,
    writtenAtMs: 0,
    body,
  };
  return encodeEnvelope(envelope);
}

/** Measures how long a new follower takes to load a checkpoint of live claims and the records after it. */
async function measureCatchUp(liveClaims: number): Promise<ResultRow> {
  const { server } = await LogStandin.start();
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const log = new HttpLog(address);
  const reducer = new StreamReducer(claimsDefinition);
  const fingerprint = 'f'.repeat(64);
  for (let index = 1; index <= liveClaims; index++) {
    const body: ClaimBody = { kind: 'claim', workspace: 'aarhus-fitters', key: uuidv7(), fingerprint };
    const writer = { address: 'e0', incarnation: '1' };
    reducer.apply(index, { format: 1, writer, sequence: index, writtenAtMs: Date.now(), body });
  }
  // Records before the checkpoint were truncated: the log begins at offset 1.
  await log.append(STREAM, [
    encodeEntry({ kind: 'abandon', workspace: 'w', key: 'gone', claimSequence: 0 }, 'x', 1),
  ]);
  const chunks = splitCheckpoint(reducer.snapshot(), 1, randomUUID());
  for (const chunk of chunks)
    await log.append(STREAM, [encodeEntry({ kind: 'checkpoint', chunk }, chunk.id, chunk.index + 1)]);
  await fetch(`http://${address}/faults`, {
    method: 'POST',
    body: JSON.stringify({ keptBatches: chunks.length + 1 }),
  });
  await log.append(STREAM, [
    encodeEntry({ kind: 'abandon', workspace: 'w', key: 'last', claimSequence: 0 }, 'y', 1),
  ]);
  globalThis.gc?.();
  const heapBytesBefore = process.memoryUsage().heapUsed;
  const startedMs = performance.now();
  const follower = new StreamFollower({
    stream: STREAM,
    log,
    clock: systemClock,
    definition: claimsDefinition,
  });
  while (follower.caughtUpAtMs === undefined) await follower.step(0);
  const elapsedMs = performance.now() - startedMs;
  globalThis.gc?.();
  const heapMiB = (process.memoryUsage().heapUsed - heapBytesBefore) / 1_048_576;
  const isComplete = follower.state.size === liveClaims;
  await log.close();
  server.closeAllConnections();
  server.close();
  const sizeBytes = chunks.reduce((sum, { data }) => sum + data.length, 0);
  return {
    variant: `${liveClaims} live claims`,
    figures: {
      'checkpoint MiB': sizeBytes / 1_048_576,
      chunks: chunks.length,
      'ready after ms': elapsedMs,
      'kept heap MiB': heapMiB,
      'state is whole': String(isComplete),
    },
  };
}

/** Measures the time from the acceptance of a configuration until every node reports that it has applied it. */
async function measurePropagation(): Promise<readonly ResultRow[]> {
  const fleet = new LocalFleet({ entries: 7, stewards: 7, engines: 4 });
  try {
    await fleet.start();
    const histogram = createHistogram();
    for (let change = 0; change < 10; change++) {
      const position = await fleet.publish(fleet.createConfiguration(`2026-12-${change + 2}`));
      const acceptedMs = performance.now();
      const nodes = [...fleet.entries, ...fleet.stewards];
      await fleet.waitUntil('every node to apply the configuration', async () => {
        const statuses = await Promise.all(nodes.map((node) => fleet.readStatus(node)));
        return statuses.every((status) => Number(status['configuration']) >= position);
      });
      histogram.recordValue(performance.now() - acceptedMs);
    }
    return [
      {
        variant: '7 entries and 7 stewards, 10 changes',
        figures: {
          'p50 ms': histogram.getValueAtPercentile(50),
          'most ms': histogram.maxValue,
          'bound ms': 7_000,
        },
      },
    ];
  } finally {
    await fleet.stop();
  }
}

/** `npm run bench:claims`: claim throughput, catch-up of a new follower, propagation of a configuration. */
const throughputRows: ResultRow[] = [];
for (const entries of [1, 3, 7]) {
  throughputRows.push(await measureClaimThroughput(entries, 1));
  throughputRows.push(await measureClaimThroughput(entries, undefined));
}
printScenario(
  'claims',
  `${CALLERS} callers, a log that takes ${APPENDS_PER_SECOND} appends per second`,
  0,
  throughputRows,
);
const catchUpRows: ResultRow[] = [];
for (const live of [12_500, 25_000, 50_000, LIVE_CLAIMS]) catchUpRows.push(await measureCatchUp(live));
printScenario(
  'catch-up',
  'a new follower loads a checkpoint and the records after it; target 5 s and 128 MB at 100,000 claims',
  0,
  catchUpRows,
);
printScenario(
  'propagation',
  'time until every node has applied a configuration',
  0,
  await measurePropagation(),
);
process.exit();
