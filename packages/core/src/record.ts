import * as z from 'zod';
import { UnsupportedFormatError, ValidationError } from './errors.js';

/** Newest record format that this program reads, and the format that it writes. */
export const RECORD_FORMAT = 1;

/** Maximum number of entries in a batch; a position is `offset * MAX_BATCH_ENTRIES + index + 1`. */
export const MAX_BATCH_ENTRIES = 4096;

/** Writer of a record: its address and the random incarnation of its process. */
export interface Writer {
  readonly address: string;
  readonly incarnation: string;
}

/** Metadata around each record body of a stream. */
export interface Envelope<Body> {
  readonly format: number;
  readonly writer: Writer;
  /** Grows by one with each record of the writer. */
  readonly sequence: number;
  /** The writer's wall clock in milliseconds; never trusted on its own. */
  readonly writtenAtMs: number;
  readonly body: Body;
}

/** Result of applying one record to a stream's state. */
export type Verdict<Rejection extends string> =
  | { readonly kind: 'accepted'; readonly position: number }
  | { readonly kind: 'rejected'; readonly reason: Rejection; readonly position: number }
  | { readonly kind: 'duplicate'; readonly position: number };

/** Position of an entry in its stream; positive and strictly increasing, so it serves as fencing token. */
export function toPosition(offset: number, index: number): number {
  return offset * MAX_BATCH_ENTRIES + index + 1;
}

/** Identifies one process run of a writer. */
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

/** Encodes an envelope as one entry of a batch. */
export function encodeEnvelope(envelope: Envelope<unknown>): string {
  return JSON.stringify(envelope);
}

/**
 * Decodes one entry of a batch.
 * @throws UnsupportedFormatError for a newer format, ValidationError for anything that is not an envelope.
 */
export function decodeEnvelope<Body>(text: string, bodySchema: z.ZodType<Body>): Envelope<Body> {
  const envelope = envelopeSchema.safeParse(parseJson(text));
  if (!envelope.success)
    throw new ValidationError(`Record envelope does not match the schema: ${envelope.error.message}`);
  if (envelope.data.format > RECORD_FORMAT) {
    throw new UnsupportedFormatError(
      `Record format ${envelope.data.format} is newer than the supported format ${RECORD_FORMAT}; upgrade this program.`,
    );
  }
  const body = bodySchema.safeParse(envelope.data.body);
  if (!body.success)
    throw new ValidationError(`Record body does not match the stream's schema: ${body.error.message}`);
  return { ...envelope.data, body: body.data };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch (error) {
    throw new ValidationError('Record is not valid JSON.', { cause: error });
  }
}
