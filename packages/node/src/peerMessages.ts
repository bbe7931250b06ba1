import {
  createMemberId,
  getIncarnation,
  isAddress,
  type Member,
  MonsoonreachError,
} from '@monsoonreach/core';
import * as z from 'zod/mini';

/** Version of the messages between nodes; messages of another version are dropped. */
const MESSAGE_VERSION = 2;
/** Largest message that is sent or read, in bytes; fits into a datagram on every link. */
const MAX_MESSAGE_BYTES = 60_000;

const version = { version: z.literal(MESSAGE_VERSION) };
const count = z.number().check(z.minimum(0));
/** Address to which messages are sent. */
export const addressSchema = z.string().check(z.refine(isAddress));

/** Address, incarnation, and age of the last sign of life, in milliseconds. */
const heardSchema = z.tuple([z.string(), z.string(), z.number()]);
/** Node, incarnation, address, failure domain and capacity. */
export const memberRowSchema = z.tuple([z.string(), z.string(), addressSchema, z.string(), z.number()]);
/** Requests, context tokens and prompt tokens that await prefill. */
const loadSchema = z.tuple([z.number(), z.number(), z.number()]);

/** Target, and the ages at which the request was sent to it and it crashed, in milliseconds. */
const crashSchema = z.tuple([z.string(), count, count]);
/**
 * Kind and id of a factor, age of its latest survival in milliseconds, and crashes. A later version may have more kinds,
 * which must not make its digests unreadable.
 */
const evidenceSchema = z.tuple([z.string(), z.string(), z.nullable(count), z.array(crashSchema)]);

/** An instance that was removed from the list, as its last entry showed it. */
const removedSchema = z.object({
  id: z.string(),
  address: addressSchema,
  service: z.string(),
  fabricDomain: z.string(),
  startedAtMs: z.number(),
  state: z.enum(['ready', 'leaving']),
  membership: z.object({ group: z.string(), epoch: z.number(), rank: count }),
  /** Absent from nodes of earlier versions. */
  failureDomain: z.optional(z.string()),
  /** Time since it was removed, in milliseconds. */
  ageMs: count,
});

/** Requests per second, null if an instance names no limit any more, and the age of that statement in milliseconds. */
const limitSchema = z.tuple([z.nullable(count), count]);

const digestSchema = z.object({
  ...version,
  kind: z.literal('digest'),
  member: memberRowSchema,
  sequence: count,
  /** Milliseconds since the sender's last contact with the store. */
  storeAgeMs: count,
  /** Whether the sender reads the store directly, so that peers may read through it. */
  isFirstHand: z.boolean(),
  configurationVersion: z.number(),
  isLeaving: z.boolean(),
  /** Whether the sender has served requests, so that a new node knows that the fleet has traffic. */
  hasTraffic: z.boolean(),
  /** Sum of the terms of the shard owners that the sender knows. */
  ownershipStamp: count,
  /** Hash of these owners, which tells views with the same sum apart; absent from nodes of earlier versions. */
  ownershipHash: z.optional(count),
  heard: z.array(heardSchema),
  /** Some of the nodes that the sender knows. */
  members: z.array(memberRowSchema),
  /** What crashes targets, as far as the sender knows; absent from nodes of earlier versions. */
  crashes: z._default(z.array(evidenceSchema), []),
  /** Members of serving groups that were removed from the list; absent from nodes of earlier versions. */
  removed: z._default(z.array(removedSchema), []),
});

const ownershipSchema = z.object({
  ...version,
  kind: z.literal('ownership'),
  /** Id and address of each owner. */
  owners: z.array(z.tuple([z.string(), addressSchema])),
  /** Index of the owner and its term, by shard; null where no owner is known. */
  shards: z.array(z.nullable(z.tuple([z.number(), z.number()]))),
});

/** Identifies a question: id of the start that asks, and its monotonic time when it asked, in milliseconds. */
const questionSchema = z.tuple([z.string(), z.number()]);

const pingSchema = z.object({
  ...version,
  kind: z.literal('ping'),
  /** Address to which the answer is sent. */
  address: addressSchema,
  /** Absent from nodes of earlier versions. */
  question: z.optional(questionSchema),
});

const pongSchema = z.object({
  ...version,
  kind: z.literal('pong'),
  member: memberRowSchema,
  isLeaving: z.boolean(),
  /** That of the ping; absent from nodes of earlier versions, as are the next two. */
  question: z.optional(questionSchema),
  /** Milliseconds from the sender's last contact with the store to this answer. */
  storeAgeMs: z.optional(count),
  configurationVersion: z.optional(z.number()),
});

const reportFields = {
  ...version,
  /** Id of the sender's start. */
  sender: z.string(),
  /** Address to which an answer is sent. */
  address: addressSchema,
  sequence: count,
  lastAsk: count,
  openAsks: z.array(z.number()),
  /** Load of the sender at the receiver's targets. */
  loads: z.record(z.string(), loadSchema),
  /** Limits that the receiver's targets named to the sender, by incarnation; absent from nodes of earlier versions. */
  limits: z._default(z.record(z.string(), limitSchema), {}),
  /**
   * Time since the receiver's targets answered the sender that they do not serve what was sent, in milliseconds; absent
   * from nodes of earlier versions.
   */
  misdirected: z._default(z.record(z.string(), count), {}),
};

const reportSchema = z.object({
  kind: z.literal('report'),
  ...reportFields,
  /** Number of groups that the sender's requests need, by model. */
  demand: z.record(z.string(), z.number()),
  /** Targets that the sender found silent. */
  silent: z.array(z.string()),
  /** Age of the last bytes that the sender got from targets, in milliseconds; absent from nodes of earlier versions. */
  served: z._default(z.record(z.string(), z.number()), {}),
  /** State of heads that are missing from the instance list, by group, as the sender found it. */
  heads: z.record(z.string(), z.enum(['serving', 'idle', 'silent'])),
});

const askSchema = z.object({
  kind: z.literal('ask'),
  ...reportFields,
  failureDomain: z.string(),
  service: z.string(),
  model: z.string(),
  promptTokens: count,
  answerTokens: count,
  isContinuing: z.boolean(),
  /** Objective for the first event, in milliseconds; not sent by nodes of earlier versions. */
  firstEventObjectiveMs: z.optional(z.number()),
  /** Keys of the targets to which the request was already sent, or that the sender may not use. */
  avoided: z.array(z.string()),
  /** Keys of targets to which the sender has an idle connection. */
  connected: z.array(z.string()),
  /**
   * Failure domains in which the request may be run; absent if it may be run in any. Nodes of earlier versions ignore it,
   * so that the sender has to check their grants.
   */
  allowedDomains: z.optional(z.array(z.string())),
});

const grantSchema = z.object({
  ...version,
  kind: z.literal('grant'),
  ask: count,
  target: z.optional(z.string()),
  predictedMs: z.optional(z.number()),
  /** Reason for which no target is granted. */
  reason: z.optional(z.enum(['no-target', 'all-full', 'all-silent', 'no-target-in-homes'])),
  /** Requests that the owner's other targets of the model can take. */
  free: count,
});

const crashesSchema = z.object({
  ...version,
  kind: z.literal('crashes'),
  /** Address to which corrections are sent. */
  address: addressSchema,
  evidence: z.array(evidenceSchema),
});

const messageSchema = z.discriminatedUnion('kind', [
  digestSchema,
  ownershipSchema,
  pingSchema,
  pongSchema,
  reportSchema,
  askSchema,
  grantSchema,
  crashesSchema,
]);

/** A message between two nodes. */
export type PeerMessage = Readonly<z.infer<typeof messageSchema>>;
/** State of a node, as it is gossiped to the other nodes. */
export type Digest = Readonly<z.infer<typeof digestSchema>>;
/** Owners of the shards. */
export type OwnershipMessage = Readonly<z.infer<typeof ownershipSchema>>;
/** A question to a node whether it is there. */
export type PingMessage = Readonly<z.infer<typeof pingSchema>>;
export type PongMessage = Readonly<z.infer<typeof pongSchema>>;
/** State of a node, as it reports it to an owner. */
export type ReportMessage = Readonly<z.infer<typeof reportSchema>>;
/** A request to an owner to assign a target. */
export type AskMessage = Readonly<z.infer<typeof askSchema>>;
/** An owner's answer. */
export type GrantMessage = Readonly<z.infer<typeof grantSchema>>;
/** New evidence about what crashes targets. */
export type CrashMessage = Readonly<z.infer<typeof crashesSchema>>;
/** Limits by incarnation of an instance. */
export type LimitRows = Readonly<Record<string, z.infer<typeof limitSchema>>>;
/** A removed instance in a digest. */
export type RemovedRow = Readonly<z.infer<typeof removedSchema>>;
export type EvidenceRow = z.infer<typeof evidenceSchema>;

/** A datagram is no message of this system. */
export class PeerMessageError extends MonsoonreachError {
  readonly code = 'peer-message';
}

/** Encodes a message without its version. */
export function encodePeerMessage(message: WithoutVersion<PeerMessage>): Buffer {
  return Buffer.from(JSON.stringify({ version: MESSAGE_VERSION, ...message }));
}

/** @throws PeerMessageError */
export function decodePeerMessage(bytes: Buffer): PeerMessage {
  if (bytes.length > MAX_MESSAGE_BYTES)
    throw new PeerMessageError(`The datagram has ${bytes.length} bytes; allowed: ${MAX_MESSAGE_BYTES}.`);
  let value: unknown;
  try {
    value = JSON.parse(bytes.toString('utf8'));
  } catch (error) {
    throw new PeerMessageError('The datagram is not valid JSON.', { cause: error });
  }
  const result = z.safeParse(messageSchema, value);
  if (result.success) return result.data;
  const [issue] = result.error.issues;
  throw new PeerMessageError(
    `The datagram does not match its schema at "${issue?.path.join('.') ?? ''}": ${issue?.message ?? ''}`,
  );
}

/** A message of each kind without the field that encoding adds. */
export type WithoutVersion<Message> = Message extends unknown ? Omit<Message, 'version'> : never;

export type MemberRow = z.infer<typeof memberRowSchema>;

export function toMemberRow(member: Member): MemberRow {
  const { node, address, failureDomain, capacity } = member;
  return [node, getIncarnation(member), address, failureDomain, capacity];
}

export function toMember([node, incarnation, address, failureDomain, capacity]: MemberRow): Member {
  return { node, id: createMemberId(node, incarnation), address, failureDomain, capacity };
}
