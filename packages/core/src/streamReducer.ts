import type { z } from 'zod';
import { type Envelope, type Verdict, toWriterId } from './record.js';
import { byKey, isSweepDue, StreamClock, type StreamClockState, WRITER_RETENTION_MS } from './streamClock.js';

/** The part of a stream's state that its own records decide. */
export interface StreamState<Body, Rejection extends string> {
  /** Takes one record; returns why it is rejected, or nothing. */
  apply(record: AppliedRecord<Body>): Rejection | undefined;
  /** Called now and then as the stream's clock moves. */
  expire(nowMs: number): void;
  /** A plain value from which the state can be restored; equal states give equal values. */
  snapshot(): unknown;
}

/** One record with its place and the stream's time. */
export interface AppliedRecord<Body> {
  readonly position: number;
  readonly envelope: Envelope<Body>;
  readonly nowMs: number;
}

/** How a stream's state is made and read. */
export interface StreamDefinition<
  Body,
  Rejection extends string,
  State extends StreamState<Body, Rejection>,
> {
  readonly bodySchema: z.ZodType<Body>;
  create(): State;
  restore(snapshot: unknown): State;
}

/** Everything a reader knows after a prefix of a stream. */
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

/** Removes guards for tests that show a proof fails without them. */
export interface ReducerGuards {
  readonly dropsDuplicates: boolean;
}

const ALL_GUARDS: ReducerGuards = { dropsDuplicates: true };

/**
 * Turns a prefix of a stream into state. Deterministic: it reads no clock but the stream's, so all readers of
 * the same prefix agree. A writer's repeated or overtaken sequence is dropped, which makes it safe to append
 * again after a lost answer.
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

  /** Decides on the record at `position`. */
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
   * The stream's time can jump, since it lags while few write. So a writer is forgotten only after the
   * retention has passed from a sweep that came after its last record.
   */
  private _forgetWriters(nowMs: number): void {
    for (const [id, { sequence, idleSinceMs }] of this._writers) {
      if (idleSinceMs === 0) this._writers.set(id, { sequence, idleSinceMs: nowMs });
      else if (idleSinceMs + WRITER_RETENTION_MS < nowMs) this._writers.delete(id);
    }
  }
}
