import type { KeyedRecord } from '@monsoonreach/platform';
import { z } from 'zod';
import type { TopicSlice } from './topicMirror.js';

/** Longest age that is sent, in milliseconds; JSON cannot represent infinity. */
const MAX_AGE_MS = 1_000_000;

const sliceSchema = z.object({
  /** Keys with their values in base64; null means that the key was removed. */
  records: z.array(z.tuple([z.string(), z.string().nullable()])),
  end: z.number(),
  ageMs: z.number(),
  regainedMs: z.number().optional(),
});

/** Encodes a slice as the JSON text that peers exchange. */
export function encodeSlice({ records, end, ageMs, regainedMs }: TopicSlice): string {
  return JSON.stringify({
    records: records.map(({ key, value }) => [key, value ? Buffer.from(value).toString('base64') : null]),
    end,
    ageMs: Math.min(MAX_AGE_MS, ageMs),
    regainedMs,
  });
}

/** @throws Error when the text is not a valid slice. */
export function decodeSlice(text: string): TopicSlice {
  const { records, regainedMs, ...rest } = sliceSchema.parse(JSON.parse(text));
  return { ...rest, records: records.map(toRecord), regainedMs };
}

function toRecord([key, value]: readonly [string, string | null]): KeyedRecord {
  return { key, value: value === null ? undefined : Buffer.from(value, 'base64') };
}
