import { randomUUID } from 'node:crypto';
import {
  BackgroundLoop,
  type Candidate,
  encodeEnvelope,
  type Log,
  LogUnavailableError,
  placeByRendezvous,
  RECORD_FORMAT,
  type ReductionSnapshot,
  splitCheckpoint,
  type Counters,
  type Clock,
} from '@monsoonreach/core';

const TICK_MS = 1_000;
/** Writer address of checkpoint records, so that their sequence numbers belong to no node's writer. */
const CHECKPOINT_WRITER_ADDRESS = 'checkpoint';

/** A followed stream whose state can be written as a checkpoint. */
export interface CheckpointedStream {
  /** Offset of the next batch to read. */
  readonly nextOffset: number;
  isReady(): boolean;
  snapshot(): ReductionSnapshot;
}

export interface CheckpointWriterOptions {
  readonly clock: Clock;
  readonly counters: Counters;
  readonly log: Log;
  readonly self: Candidate;
  readonly stewards: () => readonly Candidate[];
  /** Streams by name. */
  readonly streams: ReadonlyMap<string, CheckpointedStream>;
  /** Batches between two checkpoints of a stream. */
  readonly batchesPerCheckpoint: number;
}

/**
 * Writes checkpoints of the streams that rendezvous hashing assigns to this steward. It is harmless if two stewards
 * write one at the same time.
 */
export class CheckpointWriter {
  private readonly _lastOffsets = new Map<string, number>();
  private readonly _loop = new BackgroundLoop({
    runOnce: () => this._writeAllDue(),
    intervalMs: () => TICK_MS,
  });

  constructor(private readonly _options: CheckpointWriterOptions) {}

  start(): void {
    this._loop.start();
  }

  stop(): Promise<void> {
    return this._loop.stop();
  }

  private async _writeAllDue(): Promise<void> {
    for (const [name, stream] of this._options.streams) await this._writeIfDue(name, stream);
  }

  private async _writeIfDue(name: string, stream: CheckpointedStream): Promise<void> {
    const { self, stewards, batchesPerCheckpoint } = this._options;
    const [assignedSteward] = placeByRendezvous(`checkpoint/${name}`, stewards(), { count: 1 });
    const lastOffset = this._lastOffsets.get(name) ?? 0;
    if (
      assignedSteward !== self.id ||
      !stream.isReady() ||
      stream.nextOffset - lastOffset < batchesPerCheckpoint
    )
      return;
    this._lastOffsets.set(name, stream.nextOffset);
    await this._write(name, stream);
  }

  private async _write(name: string, stream: CheckpointedStream): Promise<void> {
    const { log, clock, counters } = this._options;
    const id = randomUUID();
    const chunks = splitCheckpoint(stream.snapshot(), stream.nextOffset, id);
    try {
      for (const chunk of chunks) {
        const writer = { address: CHECKPOINT_WRITER_ADDRESS, incarnation: id };
        const body = { kind: 'checkpoint', chunk };
        const envelope = { format: RECORD_FORMAT, writer, sequence: chunk.index, writtenAtMs: 0, body };
        await log.append(name, [encodeEnvelope(envelope)], this._loop.signal);
      }
      counters.add('monsoonreach_checkpoints_total', { stream: name, result: 'written' });
      counters.set('monsoonreach_checkpoint_written_at_ms', clock.now(), { stream: name });
    } catch (error) {
      if (!(error instanceof LogUnavailableError)) throw error;
      counters.add('monsoonreach_checkpoints_total', { stream: name, result: 'unknown' });
    }
  }
}
