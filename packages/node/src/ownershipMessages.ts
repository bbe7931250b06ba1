import { hash32, listOwners, type Ownership, SHARD_COUNT } from '@monsoonreach/core';
import type { OwnershipMessage, WithoutVersion } from './peerMessages.js';

/** Owners by shard as compact rows; also the content of a record in the store. */
export type OwnershipRows = Pick<OwnershipMessage, 'owners' | 'shards'>;

export function encodeOwnership(ownership: Ownership): OwnershipRows {
  const owners = listOwners(ownership);
  const indexes = new Map(owners.map(({ id }, index) => [id, index]));
  return {
    owners: owners.map(({ id, address }) => [id, address]),
    shards: ownership.map((owner) => (owner ? [indexes.get(owner.id) ?? 0, owner.term] : null)),
  };
}

/** Rows that name no known owner leave their shard without one. */
export function decodeOwnership({ owners, shards }: OwnershipRows): Ownership {
  return Array.from({ length: SHARD_COUNT }, (_, shard) => {
    const row = shards[shard];
    const owner = row && owners[row[0]];
    return owner ? { id: owner[0], address: owner[1], term: row[1] } : undefined;
  });
}

/** Hash of the owners and terms of all shards. */
export function hashOwnership(ownership: Ownership): number {
  return hash32(JSON.stringify(encodeOwnership(ownership)));
}

export function createOwnershipMessage(ownership: Ownership): WithoutVersion<OwnershipMessage> {
  return { kind: 'ownership', ...encodeOwnership(ownership) };
}
