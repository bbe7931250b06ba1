import { addressField, addressListField, parseDocument, textField } from '@monsoonreach/core';
import * as z from 'zod';

const settingsSchema = z.strictObject({
  operator: z.strictObject({ name: textField }),
  platform: z.strictObject({ log: addressField }),
  nodes: z.strictObject({
    /** Addresses of the operators' server of every entry and steward. */
    operators: addressListField,
  }),
});

/** Settings of the `monsoonreach` command line. */
export type OperatorSettings = Readonly<z.infer<typeof settingsSchema>>;

/** @throws DocumentError listing every error of the text. */
export function parseOperatorSettings(text: string): OperatorSettings {
  return parseDocument(text, settingsSchema);
}
