import {
  addressField,
  durationField,
  numberField,
  parseDocument,
  sizeField,
  switchField,
  textField,
} from '@monsoonreach/core';
import * as z from 'zod';

const settingsSchema = z.strictObject({
  node: z.strictObject({
    name: textField,
    'failure-domain': textField,
    /** Processor cores of the instance, and the share of them that the node may use. */
    cores: numberField({ min: 0.01, max: 1_024, isWhole: false }).default(1),
    'processor-share': numberField({ min: 0.001, max: 1_024, isWhole: false }).default(1),
    /** Whether the whole system starts for the first time, so that there has been no traffic yet. */
    'first-start': switchField.default(false),
    /** Memory of the instance; the smallest that the platform has by default. */
    memory: sizeField.default(262_144_000),
    /** Descriptors that the instance allows the process; by default what the system allows it. */
    descriptors: numberField({ min: 1, max: 10_000_000 }).optional(),
    log: z.enum(['json', 'pretty', 'hidden']).default('json'),
  }),
  callers: z.strictObject({
    address: addressField,
    /** Address at which the balancer checks whether this node accepts new connections. */
    readiness: addressField,
    /** Time from SIGTERM until the process is killed. */
    'drain-timeout': durationField,
  }),
  store: z.strictObject({ address: addressField }),
  peers: z.strictObject({
    address: addressField,
    metrics: addressField,
  }),
  bounds: z.strictObject({
    /** Longest time for which a key may still be accepted after it was revoked. */
    'key-trust': durationField,
    /** Retries allowed for a service within one window: a share of its requests plus a fixed number. */
    'retry-share': numberField({ min: 0, max: 10, isWhole: false }),
    'retry-window': durationField,
    'retry-slack': numberField({ min: 0, max: 1_000_000, isWhole: false }),
    /**
     * Requests that may reach a cold target in any second: its rate times a factor, plus a fixed number. Without the
     * factor, cold targets get as many as others.
     */
    'cold-overrun': numberField({ min: 0, max: 1_000, isWhole: false }).optional(),
    'cold-slack': numberField({ min: 0, max: 1_000_000, isWhole: false }).optional(),
    /** Time from an evacuation's order until no request reaches the zone; without it, orders exclude the zone at once. */
    evacuation: durationField.optional(),
  }),
  /** Region of each failure domain; one that is not listed is a region of its own name. */
  regions: z.record(z.string(), textField).default({}),
  routing: z
    .strictObject({
      /** Whether the delay that reading a prompt causes to other requests at a group counts in the choice of the group. */
      'prompt-harm': switchField.default(false),
    })
    .prefault({}),
});

/** Settings of one `monsoonreach-node` process. */
export type NodeSettings = Readonly<z.infer<typeof settingsSchema>>;

/** @throws DocumentError that lists every invalid setting. */
export function parseNodeSettings(text: string): NodeSettings {
  return parseDocument(text, settingsSchema);
}
