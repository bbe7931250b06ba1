import { z } from 'zod';

/** What a node has in progress, as it tells the node that gives places. */
const stateFields = {
  node: z.string(),
  incarnation: z.string(),
  sequence: z.number(),
  lastAsk: z.number(),
  openAsks: z.array(z.number()),
  loads: z.record(z.string(), z.tuple([z.number(), z.number(), z.number()])),
};

const loadSchema = z.object({ kind: z.literal('load'), ...stateFields });

const askSchema = z.object({
  kind: z.literal('ask'),
  ...stateFields,
  /** Where the answer goes. */
  address: z.string(),
  failureDomain: z.string(),
  service: z.string(),
  model: z.string(),
  promptTokens: z.number(),
  answerTokens: z.number(),
  isContinuing: z.boolean(),
  /** Targets that the request has been to, or that the asking node finds silent. */
  avoided: z.array(z.string()),
});

const grantSchema = z.object({
  kind: z.literal('grant'),
  ask: z.number(),
  target: z.string().optional(),
  predictedMs: z.number().optional(),
  /** Why there is no target. */
  reason: z.enum(['no-target', 'all-full', 'all-silent']).optional(),
});

export const placementMessageSchema = z.discriminatedUnion('kind', [loadSchema, askSchema, grantSchema]);

/** What nodes and the one that gives places tell each other. */
export type PlacementMessage = Readonly<z.infer<typeof placementMessageSchema>>;
export type PlacementAsk = Readonly<z.infer<typeof askSchema>>;
export type PlacementGrant = Readonly<z.infer<typeof grantSchema>>;
