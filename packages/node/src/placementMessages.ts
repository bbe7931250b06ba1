import { z } from 'zod';

/** Load of a node, as it is reported to the coordinator. */
const loadFields = {
  node: z.string(),
  incarnation: z.string(),
  sequence: z.number(),
  lastAsk: z.number(),
  openAsks: z.array(z.number()),
  loads: z.record(z.string(), z.tuple([z.number(), z.number(), z.number()])),
};

const loadSchema = z.object({ kind: z.literal('load'), ...loadFields });

const askSchema = z.object({
  kind: z.literal('ask'),
  ...loadFields,
  /** Address to which the answer is sent. */
  address: z.string(),
  failureDomain: z.string(),
  service: z.string(),
  model: z.string(),
  promptTokens: z.number(),
  answerTokens: z.number(),
  isContinuing: z.boolean(),
  /** Keys of the targets to which the request was already sent, or that the requesting node suspects. */
  avoided: z.array(z.string()),
});

const grantSchema = z.object({
  kind: z.literal('grant'),
  ask: z.number(),
  target: z.string().optional(),
  predictedMs: z.number().optional(),
  /** Reason for which no target is granted. */
  reason: z.enum(['no-target', 'all-full', 'all-silent']).optional(),
});

export const placementMessageSchema = z.discriminatedUnion('kind', [loadSchema, askSchema, grantSchema]);

/** Messages between nodes and the coordinator, which assigns targets. */
export type PlacementMessage = Readonly<z.infer<typeof placementMessageSchema>>;
export type PlacementRequest = Readonly<z.infer<typeof askSchema>>;
export type PlacementGrant = Readonly<z.infer<typeof grantSchema>>;
