import * as z from 'zod';

const DURATION_UNITS_MS: Readonly<Record<string, number>> = { ms: 1, s: 1000, m: 60_000, h: 3_600_000 };
const SIZE_UNITS_BYTES: Readonly<Record<string, number>> = { B: 1, KiB: 1024, MiB: 1_048_576 };
const SWITCHES: Readonly<Record<string, boolean>> = { yes: true, true: true, no: false, false: false };

const text = z.union([z.string(), z.number(), z.boolean()]).transform(String);

function parseUnit(value: string, units: Readonly<Record<string, number>>): number | undefined {
  const match = /^(\d+(?:\.\d+)?)\s*([A-Za-z]+)$/.exec(value.trim());
  const unit = units[match?.[2] ?? ''];
  return match && unit !== undefined ? Number(match[1]) * unit : undefined;
}

function unitField(units: Readonly<Record<string, number>>, allowed: string) {
  return text.transform((value, context) => {
    const parsed = parseUnit(value, units);
    if (parsed !== undefined) return parsed;
    context.addIssue({ code: 'custom', message: `found "${value}"; allowed: ${allowed}` });
    return z.NEVER;
  });
}

/** A duration with its unit, such as `1500ms`, `3s`, `15m` or `1h`; read as milliseconds. */
export const durationField = unitField(DURATION_UNITS_MS, 'a number with ms, s, m or h, such as 500ms or 3s');

/** A size with its unit, such as `64KiB`; read as bytes. */
export const sizeField = unitField(SIZE_UNITS_BYTES, 'a number with B, KiB or MiB, such as 64KiB');

/** Text that is not empty. */
export const textField = text.refine((value) => value.trim() !== '', {
  message: 'found an empty value; allowed: text that is not empty',
});

/** `yes` or `no`. */
export const switchField = text.transform((value, context) => {
  const parsed = SWITCHES[value.trim().toLowerCase()];
  if (parsed !== undefined) return parsed;
  context.addIssue({ code: 'custom', message: `found "${value}"; allowed: yes or no` });
  return z.NEVER;
});

/** A number within a range, limits included. */
export function numberField(options: {
  readonly min: number;
  readonly max: number;
  readonly isWhole?: boolean;
}) {
  const kind = options.isWhole === false ? 'a number' : 'a whole number';
  return text.transform((value, context) => {
    const parsed = Number(value);
    const isRight = value.trim() !== '' && (options.isWhole === false || Number.isInteger(parsed));
    if (isRight && parsed >= options.min && parsed <= options.max) return parsed;
    const message = `found "${value}"; allowed: ${kind} from ${options.min} to ${options.max}`;
    context.addIssue({ code: 'custom', message });
    return z.NEVER;
  });
}

/** Texts separated by commas. */
export const listField = text.transform((value): readonly string[] =>
  value
    .split(',')
    .map((part) => part.trim())
    .filter((part) => part !== ''),
);

/** `ip:port`, IPv6 in brackets. */
export const addressField = text.refine((value) => isAddress(value), {
  message: 'allowed: an IP number and a port, such as 127.0.0.1:7000',
});

/** Addresses separated by commas. */
export const addressListField = listField.refine((values) => values.every(isAddress), {
  message: 'allowed: IP numbers with ports, separated by commas, such as 127.0.0.1:7000,127.0.0.1:7001',
});

function isAddress(value: string): boolean {
  return /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/.test(value.trim());
}
