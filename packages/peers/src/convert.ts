import type { LogSlice, NodeDigest, NodeRole, VersionVector } from '@monsoonreach/core';
import { ValidationError } from '@monsoonreach/core';
import type { MessageInitShape } from '@bufbuild/protobuf';
import type {
  Digest,
  DigestSchema,
  Known,
  KnownSchema,
  ReadResponse,
  ReadResponseSchema,
} from './generated/monsoonreach/v1/peers_pb.js';

/** Converts a digest to its protobuf message. */
export function toDigestMessage(digest: NodeDigest): MessageInitShape<typeof DigestSchema> {
  return {
    node: digest.node,
    incarnation: BigInt(digest.incarnation),
    version: BigInt(digest.version),
    role: digest.role,
    failureDomain: digest.failureDomain,
    leaving: digest.isLeaving,
    silent: digest.isSilent,
    configuration: BigInt(digest.configuration),
    demand: [...digest.demand],
    suspects: [...digest.suspects],
  };
}

/**
 * Converts a protobuf message to a digest.
 * @throws ValidationError when the role is unknown.
 */
export function fromDigestMessage(message: Digest): NodeDigest {
  return {
    node: message.node,
    incarnation: Number(message.incarnation),
    version: Number(message.version),
    role: toRole(message.role),
    failureDomain: message.failureDomain,
    isLeaving: message.leaving,
    isSilent: message.silent,
    configuration: Number(message.configuration),
    demand: message.demand,
    suspects: message.suspects,
  };
}

function toRole(role: string): NodeRole {
  if (role === 'entry' || role === 'steward') return role;
  throw new ValidationError(`Unknown role "${role}" in a digest; expected "entry" or "steward".`);
}

/** Converts the digest versions that this node knows to protobuf messages. */
export function toKnownMessages(versions: VersionVector): MessageInitShape<typeof KnownSchema>[] {
  return [...versions].map(([node, [incarnation, version]]) => ({
    node,
    incarnation: BigInt(incarnation),
    version: BigInt(version),
  }));
}

/** Converts protobuf messages to the digest versions that a peer knows. */
export function fromKnownMessages(messages: readonly Known[]): VersionVector {
  return new Map(
    messages.map(({ node, incarnation, version }) => [node, [Number(incarnation), Number(version)] as const]),
  );
}

/** Converts a slice of the log to a read response. */
export function toReadResponse(slice: LogSlice): MessageInitShape<typeof ReadResponseSchema> {
  return {
    batches: slice.batches.map(({ offset, entries }) => ({ offset: BigInt(offset), entries: [...entries] })),
    first: BigInt(slice.first),
    head: BigInt(slice.head),
    current: slice.isCurrent,
  };
}

/** Converts a read response to a slice of the log. */
export function fromReadResponse(message: ReadResponse): LogSlice {
  return {
    batches: message.batches.map(({ offset, entries }) => ({ offset: Number(offset), entries })),
    first: Number(message.first),
    head: Number(message.head),
    isCurrent: message.current,
  };
}
