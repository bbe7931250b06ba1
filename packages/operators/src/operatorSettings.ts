import { addressField, addressListField, parseDocument, textField } from '@monsoonreach/core';
import { z } from 'zod';

const settingsSchema = z.strictObject({
  operator: z.strictObject({ name: textField }),
  platform: z.strictObject({ log: addressField }),
  nodes: z.strictObject({
    /** The operators' addresses of every entry and steward. */
    operators: addressListField,
  }),
});

/** Settings of the operators' client. */
export type OperatorSettings = Readonly<z.infer<typeof settingsSchema>>;

/** @throws DocumentError that lists every fault. */
export function parseOperatorSettings(text: string): OperatorSettings {
  return parseDocument(text, settingsSchema);
}
