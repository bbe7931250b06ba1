import { gunzipSync, gzipSync } from 'node:zlib';
import type { KeyedRecord, StorePosition } from '@monsoonreach/platform';
import * as z from 'zod/mini';
import type { TopicSlice } from './topicMirror.js';

/** Header with the milliseconds since the sender's last contact with the store. */
const AGE_HEADER = 'slice-age-ms';
/** Header with the milliseconds since the sender reached the store again after an outage. */
const REGAINED_HEADER = 'slice-regained-ms';
/** Header with the era of the sender's copy of the store. */
const ERA_HEADER = 'slice-era';
/** Compression level of answers; higher levels save little and take longer. */
const COMPRESSION_LEVEL = 1;
/** Largest slice that is decompressed, in bytes. */
const MAX_SLICE_BYTES = 67_108_864;

/** Headers of a peer's answer. */
export type SliceHeaders = Readonly<Record<string, string | string[] | undefined>>;

const sliceSchema = z.object({
  /** Keys with the bytes of their values, one character each; null means that the key was removed. */
  records: z.array(z.tuple([z.string(), z.nullable(z.string())])),
  /** Offsets of the records, null where it is not known; absent from nodes of earlier versions. */
  offsets: z._default(z.array(z.nullable(z.number())), []),
  end: z.number(),
});

/** Encodes the records of a slice as compressed JSON, which many peers may get. */
export function encodeSlice({ records, end }: TopicSlice): Buffer {
  const text = JSON.stringify({
    records: records.map(({ key, value }) => [key, value ? Buffer.from(value).toString('latin1') : null]),
    offsets: records.map(({ offset }) => offset ?? null),
    end: end.offset,
  });
  return gzipSync(text, { level: COMPRESSION_LEVEL });
}

/** Encodes what else a slice tells, which depends on the time of the answer. */
export function encodeSliceHeaders({ end, ageMs, regainedMs }: TopicSlice): Readonly<Record<string, string>> {
  return {
    ...encodeSliceEra(end),
    [AGE_HEADER]: String(Math.ceil(ageMs)),
    ...(regainedMs === undefined ? {} : { [REGAINED_HEADER]: String(Math.floor(regainedMs)) }),
  };
}

/** Encodes the era that an answer belongs to. */
export function encodeSliceEra({ era }: StorePosition): Readonly<Record<string, string>> {
  return { [ERA_HEADER]: String(era) };
}

/** Returns the era that an answer belongs to; 0 for nodes of earlier versions, which tell none. */
export function decodeSliceEra(headers: SliceHeaders): number {
  const era = Number(headers[ERA_HEADER] ?? 0);
  if (!Number.isSafeInteger(era) || era < 0) throw new Error('The slice does not tell a valid era.');
  return era;
}

/** @throws Error when the answer is not a valid slice. */
export function decodeSlice(body: Uint8Array, headers: SliceHeaders): TopicSlice {
  const text = gunzipSync(body, { maxOutputLength: MAX_SLICE_BYTES }).toString('utf8');
  const { records, offsets, end } = z.parse(sliceSchema, JSON.parse(text));
  const ageMs = Number(headers[AGE_HEADER] ?? NaN);
  if (!Number.isFinite(ageMs)) throw new Error('The slice does not tell its age.');
  const regained = headers[REGAINED_HEADER];
  return {
    records: records.map((row, index) => toRecord(row, offsets[index] ?? undefined)),
    end: { era: decodeSliceEra(headers), offset: end },
    ageMs,
    regainedMs: regained === undefined ? undefined : Number(regained),
  };
}

function toRecord([key, value]: readonly [string, string | null], offset: number | undefined): KeyedRecord {
  return { key, value: value === null ? undefined : Buffer.from(value, 'latin1'), offset };
}
