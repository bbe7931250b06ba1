import type { Ownership } from '@monsoonreach/core';
import { DecodeError, decodeJson, type StorePosition, type StoreSlice } from '@monsoonreach/platform';
import * as z from 'zod/mini';
import { decodeOwnership, encodeOwnership } from './ownershipMessages.js';
import { addressSchema } from './peerMessages.js';

const recordSchema = z.object({
  owners: z.array(z.tuple([z.string(), addressSchema])),
  shards: z.array(z.nullable(z.tuple([z.number(), z.number()]))),
  /** Era and offset for which the record was written; absent from nodes of earlier versions. */
  position: z.optional(z.tuple([z.number(), z.number()])),
});

/** The owners that the log names, and the position after all its records. */
export interface LoggedOwnership {
  readonly end: StorePosition;
  /** Undefined if no record of this era names owners. */
  readonly ownership: Ownership | undefined;
}

/** Encodes a record that is to be appended at a position. */
export function encodeOwnershipRecord(ownership: Ownership, { era, offset }: StorePosition): Buffer {
  return Buffer.from(JSON.stringify({ ...encodeOwnership(ownership), position: [era, offset] }));
}

/**
 * Returns the owners that the last valid record names. A record is valid only at the position for which it was written:
 * a delayed append may be executed after the store was restored, and its owners may have been given the same terms as
 * those of a record that was lost.
 */
export function findLoggedOwnership({ records, end }: StoreSlice, from: number): LoggedOwnership {
  for (const [index, record] of [...records.entries()].reverse()) {
    const decoded = decodeRecord(record);
    if (!decoded) continue;
    const [era, offset] = decoded.position ?? [0, from + index];
    if (era === end.era && offset === from + index) return { end, ownership: decodeOwnership(decoded) };
  }
  return { end, ownership: undefined };
}

/** A record that cannot be read names no owners. */
function decodeRecord(record: Uint8Array): z.infer<typeof recordSchema> | undefined {
  try {
    return decodeJson(record, recordSchema, 'record of the owners');
  } catch (error) {
    if (!(error instanceof DecodeError)) throw error;
    return undefined;
  }
}
