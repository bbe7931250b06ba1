import * as z from 'zod';
import { parseDocument } from './document.js';
import {
  addressField,
  addressListField,
  durationField,
  numberField,
  switchField,
  textField,
} from './fields.js';

const nodeSchema = z.strictObject({
  /** Address at which peers reach this process; also its name among them. */
  'peers-address': addressField,
  'operators-address': addressField,
  'failure-domain': textField,
  region: textField.default('local'),
  log: z.enum(['json', 'pretty', 'hidden']).default('json'),
});

const platformSchema = z.strictObject({
  log: addressField,
  'live-list': addressField,
});

const peersSchema = z.strictObject({
  seeds: addressListField.default([]),
  secret: textField,
  certificate: textField.optional(),
  key: textField.optional(),
  ca: textField.optional(),
  /** Number of nodes per failure domain that read the log for the others. */
  relays: numberField({ min: 1, max: 16 }).default(2),
});

const callersSchema = z.strictObject({
  address: addressField,
  'balancer-delay': durationField.default(2_000),
  'drain-timeout': durationField.default(120_000),
  'header-timeout': durationField.default(5_000),
  'request-timeout': durationField.default(15_000),
});

const planningSchema = z.strictObject({
  enabled: switchField.default(true),
  'checkpoint-every': numberField({ min: 10, max: 1_000_000 }).default(5_000),
});

const entrySchema = z.strictObject({
  node: nodeSchema,
  platform: platformSchema,
  peers: peersSchema,
  callers: callersSchema,
});

const stewardSchema = z.strictObject({
  node: nodeSchema,
  platform: platformSchema,
  peers: peersSchema,
  planning: planningSchema.prefault({}),
});

/** Settings of one `monsoonreach-entry` process. */
export type EntrySettings = Readonly<z.infer<typeof entrySchema>>;
/** Settings of one `monsoonreach-steward` process. */
export type StewardSettings = Readonly<z.infer<typeof stewardSchema>>;
/** Settings for peer traffic, common to both daemons. */
export type PeersSettings = Readonly<z.infer<typeof peersSchema>>;

/** @throws DocumentError that lists every fault. */
export function parseEntrySettings(text: string): EntrySettings {
  return parseDocument(text, entrySchema);
}

/** @throws DocumentError that lists every fault. */
export function parseStewardSettings(text: string): StewardSettings {
  return parseDocument(text, stewardSchema);
}

/** Splits `ip:port`. */
export function splitAddress(address: string): { readonly host: string; readonly port: number } {
  const at = address.lastIndexOf(':');
  const host = address.slice(0, at).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(at + 1)) };
}

/** Whether a text is a host and a port, as in `10.0.0.1:80`. */
export function isAddress(text: string): boolean {
  const port = Number(/^(?:\[[\da-f:.]+\]|[\w.-]+):(\d{1,5})$/i.exec(text)?.[1]);
  return port > 0 && port < 65_536 && URL.canParse(`http://${text}`);
}
