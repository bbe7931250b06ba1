import { parse } from 'ini';
import type { z } from 'zod';
import { MonsoonreachError } from './errors.js';

/** One fault of a document: where it is, what was found and what is allowed. */
export interface DocumentFault {
  readonly section: string;
  readonly key: string;
  /** Counted from 1; 0 when the key is missing. */
  readonly line: number;
  readonly message: string;
}

/** A settings or configuration document is invalid. */
export class DocumentError extends MonsoonreachError {
  readonly code = 'document';

  constructor(readonly faults: readonly DocumentFault[]) {
    super(faults.map(describeFault).join('\n'));
  }
}

/** Formats a fault as one line for people. */
export function describeFault(fault: DocumentFault): string {
  const place = fault.line > 0 ? `line ${fault.line}: ` : '';
  const key = fault.key === '' ? '' : ` ${fault.key}`;
  return `${place}[${fault.section}]${key}: ${fault.message}`;
}

/**
 * Parses an INI document and validates it against a schema.
 * @throws DocumentError that lists every fault.
 */
export function parseDocument<Shape>(text: string, schema: z.ZodType<Shape>): Shape {
  const result = schema.safeParse(parse(text));
  if (result.success) return result.data;
  throw new DocumentError(result.error.issues.flatMap((issue) => toFaults(issue, text)));
}

function toFaults(issue: z.core.$ZodIssue, text: string): readonly DocumentFault[] {
  const path = issue.path.map(String);
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) =>
      toFault([...path, key], 'unknown key; remove it or check its spelling', text),
    );
  }
  const isMissing = issue.code === 'invalid_type' && findLine(text, path) === 0;
  return [toFault(path, isMissing ? 'missing; it is required' : issue.message, text)];
}

function toFault(path: readonly string[], message: string, text: string): DocumentFault {
  const line = findLine(text, path);
  const section = path.slice(0, -1).join('.');
  return { section, key: path.at(-1) ?? '', line, message };
}

/** Finds the line of a key, or of a section when the path names one; 0 when neither is there. */
function findLine(text: string, path: readonly string[]): number {
  const section = path.slice(0, -1).join('.');
  const key = path.at(-1) ?? '';
  const whole = path.join('.');
  let current = '';
  for (const [index, raw] of text.split('\n').entries()) {
    const line = raw.trim();
    const heading = /^\[(.+)\]$/.exec(line)?.[1];
    if (heading !== undefined) current = heading;
    if (heading === whole) return index + 1;
    const isKey = current === section && line.split('=')[0]?.trim() === key;
    if (heading === undefined && isKey) return index + 1;
  }
  return 0;
}
