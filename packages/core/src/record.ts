import { z } from 'zod';
import { UnsupportedFormatError, ValidationError } from './errors.js';

/** The newest record format that this program reads and the one it writes. */
export const RECORD_FORMAT = 1;

/** Entries that one batch may hold; a position is `offset * MAX_BATCH_ENTRIES + index + 1`. */
export const MAX_BATCH_ENTRIES = 4096;

/** Who wrote a record: an address and the random incarnation of one process life. */
export interface Writer {
  readonly address: string;
  readonly incarnation: string;
}

/** What surrounds each body on a stream. */
export interface Envelope<Body> {
  readonly format: number;
  readonly writer: Writer;
  /** Grows by one with each record of the writer. */
  readonly sequence: number;
  /** The writer's wall clock in milliseconds; never trusted alone. */
  readonly writtenAtMs: number;
  readonly body: Body;
}

/** What a stream's reducer decided on one record. */
export type Verdict<Rejection extends string> =
  | { readonly kind: 'accepted'; readonly position: number }
  | { readonly kind: 'rejected'; readonly reason: Rejection; readonly position: number }
  | { readonly kind: 'duplicate'; readonly position: number };

/** The place of an entry in its stream; positive and strictly growing, so it serves as fencing number. */
export function toPosition(offset: number, index: number): number {
  return offset * MAX_BATCH_ENTRIES + index + 1;
}

/** Identifies a writer's process life. */
export function toWriterId(writer: Writer): string {
  return `${writer.address}#${writer.incarnation}`;
}

const envelopeSchema = z.object({
  format: z.number().int().positive(),
  writer: z.object({ address: z.string().min(1), incarnation: z.string().min(1) }),
  sequence: z.number().int().nonnegative(),
  writtenAtMs: z.number(),
  body: z.unknown(),
});

/** Writes an envelope as one entry of a batch. */
export function encodeEnvelope(envelope: Envelope<unknown>): string {
  return JSON.stringify(envelope);
}

/**
 * Reads an entry back.
 * @throws UnsupportedFormatError for a newer format, ValidationError for anything that is not an envelope.
 */
export function decodeEnvelope<Body>(text: string, bodySchema: z.ZodType<Body>): Envelope<Body> {
  const envelope = envelopeSchema.safeParse(parseJson(text));
  if (!envelope.success) throw new ValidationError(`Not a record envelope: ${envelope.error.message}`);
  if (envelope.data.format > RECORD_FORMAT) {
    throw new UnsupportedFormatError(
      `Record format ${envelope.data.format} is newer than ${RECORD_FORMAT}; upgrade this program.`,
    );
  }
  const body = bodySchema.safeParse(envelope.data.body);
  if (!body.success) throw new ValidationError(`Not a record of this stream: ${body.error.message}`);
  return { ...envelope.data, body: body.data };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch (error) {
    throw new ValidationError('Not JSON.', { cause: error });
  }
}
