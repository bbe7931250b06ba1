import * as z from 'zod';

/** One run of an instance: its address and the boot id that its engine reports. */
export interface InstanceIdentity {
  readonly address: string;
  readonly boot: string;
}

/** Orders that can be sent to an engine. */
export type OrderKind = 'load' | 'stop';

/** A record of the `control` stream. */
export type ControlBody =
  | { readonly kind: 'lease'; readonly shard: string; readonly basis: number }
  | {
      readonly kind: 'assign';
      readonly shard: string;
      readonly lease: number;
      readonly group: string;
      readonly model: string;
      readonly version: string;
      readonly fabricDomain: string;
      readonly members: readonly InstanceIdentity[];
    }
  | {
      readonly kind: 'dissolve';
      readonly shard: string;
      readonly lease: number;
      readonly group: string;
      readonly epoch: number;
      readonly reason: string;
    }
  | {
      readonly kind: 'release';
      readonly instance: InstanceIdentity;
      /** Position that the observer knew for the instance before its status read showed it idle; 0 for none. */
      readonly basis: number;
      /** Positions of intents that the observer has watched for longer than an order can be delayed. */
      readonly settled: readonly number[];
    }
  | {
      readonly kind: 'intent';
      readonly address: string;
      readonly order: OrderKind;
      readonly group: string;
      readonly epoch: number;
    }
  | { readonly kind: 'outcome'; readonly address: string; readonly intent: number }
  | { readonly kind: 'drain'; readonly address: string; readonly isLeaving: boolean }
  | { readonly kind: 'quarantine'; readonly fingerprint: string; readonly untilMs: number }
  | { readonly kind: 'checkpoint'; readonly chunk: unknown };

/** Why a control record is rejected. */
export type ControlRejection =
  | 'lease-superseded'
  | 'group-exists'
  | 'group-unknown'
  | 'epoch-superseded'
  | 'instance-not-released'
  | 'instance-repeated'
  | 'instance-in-group'
  | 'instance-changed'
  | 'already-released'
  | 'order-unsettled'
  | 'order-not-current'
  | 'intent-unknown';

const identitySchema = z.object({ address: z.string().min(1), boot: z.string().min(1) });
const position = z.number().int().nonnegative();
const planFields = { shard: z.string(), lease: position, group: z.string().min(1) };

/** Schema of a control record. */
export const controlBodySchema: z.ZodType<ControlBody> = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('lease'), shard: z.string(), basis: position }),
  z.object({
    kind: z.literal('assign'),
    ...planFields,
    model: z.string(),
    version: z.string(),
    fabricDomain: z.string(),
    members: z.array(identitySchema).min(1),
  }),
  z.object({ kind: z.literal('dissolve'), ...planFields, epoch: position, reason: z.string() }),
  z.object({
    kind: z.literal('release'),
    instance: identitySchema,
    basis: position,
    settled: z.array(position),
  }),
  z.object({
    kind: z.literal('intent'),
    address: z.string(),
    order: z.enum(['load', 'stop']),
    group: z.string(),
    epoch: position,
  }),
  z.object({ kind: z.literal('outcome'), address: z.string(), intent: position }),
  z.object({ kind: z.literal('drain'), address: z.string(), isLeaving: z.boolean() }),
  z.object({ kind: z.literal('quarantine'), fingerprint: z.string(), untilMs: z.number() }),
  z.object({ kind: z.literal('checkpoint'), chunk: z.unknown() }),
]);
