import * as z from 'zod';
import { ValidationError } from './errors.js';
import { sha256 } from './hashing.js';
import type { ReductionSnapshot } from './streamReducer.js';

/** Maximum number of characters of state in one chunk. */
export const MAX_CHECKPOINT_CHUNK_CHARS = 262_144;

/** Part of a checkpoint. The state includes every batch at an offset below `through`, and none from it on. */
export interface CheckpointChunk {
  readonly id: string;
  readonly through: number;
  readonly index: number;
  readonly count: number;
  readonly hash: string;
  readonly data: string;
}

const chunkSchema: z.ZodType<CheckpointChunk> = z.object({
  id: z.string(),
  through: z.number().int().nonnegative(),
  index: z.number().int().nonnegative(),
  count: z.number().int().positive(),
  hash: z.string(),
  data: z.string(),
});

/** Splits the state before offset `through` into chunks for `CheckpointAssembler`. */
export function splitCheckpoint(
  snapshot: ReductionSnapshot,
  through: number,
  id: string,
): readonly CheckpointChunk[] {
  const text = JSON.stringify(snapshot);
  const hash = sha256(text);
  const count = Math.max(1, Math.ceil(text.length / MAX_CHECKPOINT_CHUNK_CHARS));
  return Array.from({ length: count }, (_, index) => ({
    id,
    through,
    index,
    count,
    hash,
    data: text.slice(index * MAX_CHECKPOINT_CHUNK_CHARS, (index + 1) * MAX_CHECKPOINT_CHUNK_CHARS),
  }));
}

/** A state assembled from its chunks. */
export interface LoadedCheckpoint {
  readonly through: number;
  readonly snapshot: ReductionSnapshot;
}

/** Collects chunks in any order and keeps the newest complete checkpoint whose hash matches. */
export class CheckpointAssembler {
  private readonly _partial = new Map<string, Map<number, CheckpointChunk>>();
  private _newest: LoadedCheckpoint | undefined;

  /** The newest complete checkpoint so far. */
  newest(): LoadedCheckpoint | undefined {
    return this._newest;
  }

  /** @throws ValidationError when the value is not a chunk. */
  add(value: unknown): void {
    const parsed = chunkSchema.safeParse(value);
    if (!parsed.success)
      throw new ValidationError(`Checkpoint chunk does not match the schema: ${parsed.error.message}`);
    const chunk = parsed.data;
    const chunks = this._partial.get(chunk.id) ?? new Map<number, CheckpointChunk>();
    chunks.set(chunk.index, chunk);
    this._partial.set(chunk.id, chunks);
    if (chunks.size < chunk.count) return;
    this._partial.delete(chunk.id);
    this._complete(chunk, chunks);
  }

  private _complete(chunk: CheckpointChunk, chunks: ReadonlyMap<number, CheckpointChunk>): void {
    const text = Array.from({ length: chunk.count }, (_, index) => chunks.get(index)?.data ?? '').join('');
    if (sha256(text) !== chunk.hash) return;
    if (this._newest && this._newest.through >= chunk.through) return;
    this._newest = { through: chunk.through, snapshot: JSON.parse(text) as ReductionSnapshot };
  }
}
