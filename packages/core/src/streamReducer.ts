import type { z } from 'zod';
import { type Envelope, type Verdict, toWriterId } from './record.js';
import { byKey, isSweepDue, StreamClock, type StreamClockState, WRITER_RETENTION_MS } from './streamClock.js';

/** State that is determined by the records of one stream. */
export interface StreamState<Body, Rejection extends string> {
  /** Applies one record; returns why it is rejected, or undefined. */
  apply(record: AppliedRecord<Body>): Rejection | undefined;
  /** Removes expired state; called at each sweep of the stream's clock. */
  expire(nowMs: number): void;
  /** A plain value from which the state can be restored; equal states give equal values. */
  snapshot(): unknown;
}

/** A record with its position and the stream's time. */
export interface AppliedRecord<Body> {
  readonly position: number;
  readonly envelope: Envelope<Body>;
  readonly nowMs: number;
}

/** Schema of a stream's records, and how its state is created and restored. */
export interface StreamDefinition<
  Body,
  Rejection extends string,
  State extends StreamState<Body, Rejection>,
> {
  readonly bodySchema: z.ZodType<Body>;
  create(): State;
  restore(snapshot: unknown): State;
}

/** Complete state of a reader after a prefix of a stream. */
export interface ReductionSnapshot {
  readonly clock: StreamClockState;
  readonly writers: readonly (readonly [id: string, last: WriterProgress])[];
  readonly state: unknown;
}

interface WriterProgress {
  readonly sequence: number;
  /** The stream's time at the first sweep after the writer's last record; 0 before that sweep. */
  readonly idleSinceMs: number;
}

/** Checks that tests can switch off, to show that the model then violates its properties. */
export interface ReducerGuards {
  readonly dropsDuplicates: boolean;
}

const ALL_GUARDS: ReducerGuards = { dropsDuplicates: true };

/**
 * Reduces a prefix of a stream to state. Deterministic: it uses no clock but the stream's, so all readers
 * of the same prefix agree. A sequence number not above the writer's last is dropped as a duplicate, which
 * makes it safe to append again after a lost answer.
 */
export class StreamReducer<Body, Rejection extends string, State extends StreamState<Body, Rejection>> {
  readonly state: State;
  private readonly _clock: StreamClock;
  private readonly _writers: Map<string, WriterProgress>;

  constructor(
    definition: StreamDefinition<Body, Rejection, State>,
    snapshot?: ReductionSnapshot,
    private readonly _guards: ReducerGuards = ALL_GUARDS,
  ) {
    this.state = snapshot ? definition.restore(snapshot.state) : definition.create();
    this._clock = snapshot ? StreamClock.restore(snapshot.clock) : new StreamClock();
    this._writers = new Map(snapshot?.writers);
  }

  /** The stream's time in milliseconds. */
  now(): number {
    return this._clock.now();
  }

  /** Applies the record at `position`. */
  apply(position: number, envelope: Envelope<Body>): Verdict<Rejection> {
    const writerId = toWriterId(envelope.writer);
    const last = this._writers.get(writerId);
    if (this._guards.dropsDuplicates && last && envelope.sequence <= last.sequence) {
      return { kind: 'duplicate', position };
    }
    this._advanceClock(envelope);
    this._writers.set(writerId, { sequence: envelope.sequence, idleSinceMs: 0 });
    const reason = this.state.apply({ position, envelope, nowMs: this._clock.now() });
    return reason === undefined ? { kind: 'accepted', position } : { kind: 'rejected', reason, position };
  }

  snapshot(): ReductionSnapshot {
    return {
      clock: this._clock.snapshot(),
      writers: [...this._writers].sort(byKey),
      state: this.state.snapshot(),
    };
  }

  private _advanceClock(envelope: Envelope<Body>): void {
    const beforeMs = this._clock.now();
    this._clock.observe(envelope.writer.address, envelope.writtenAtMs);
    if (!isSweepDue(beforeMs, this._clock.now())) return;
    this.state.expire(this._clock.now());
    this._forgetWriters(this._clock.now());
  }

  /**
   * Stream time lags while few writers are active, and can then jump. So the retention of a writer counts
   * from the first sweep after its last record.
   */
  private _forgetWriters(nowMs: number): void {
    for (const [id, { sequence, idleSinceMs }] of this._writers) {
      if (idleSinceMs === 0) this._writers.set(id, { sequence, idleSinceMs: nowMs });
      else if (idleSinceMs + WRITER_RETENTION_MS < nowMs) this._writers.delete(id);
    }
  }
}
