import {
  checkServingConfiguration,
  type ConfigurationFinding,
  describeServingConfiguration,
  DocumentError,
  parseConfiguration,
} from '@monsoonreach/core';
import { decodeConfiguration, DecodeError } from '@monsoonreach/platform';
import { type Difference, diffDocuments, diffValues } from './documentDiff.js';

/** Rule of findings about a document that does not match its schema. */
const UNREADABLE = 'document';

/** A document to check, with the name of its file. */
export interface NamedText {
  readonly file: string;
  readonly text: string;
}

/** What is wrong with a document, and what it would change. */
export interface DocumentCheck {
  readonly file: string;
  readonly findings: readonly DocumentFinding[];
  /** Undefined if there is no document to compare with, or either cannot be read. */
  readonly differences: readonly Difference[] | undefined;
}

export interface DocumentFinding extends ConfigurationFinding {
  readonly file: string;
  /** Counted from 1; undefined where no line is known. */
  readonly line?: number;
}

/** Checks a configuration of a deployment (INI) or of the serving nodes (JSON), and compares it with the one in force. */
export function checkDocument(document: NamedText, inForce?: NamedText): DocumentCheck {
  return isServing(document) ? checkServing(document, inForce) : checkDeployment(document, inForce);
}

/** Formats a finding as one line of text. */
export function describeFinding({ file, line, severity, rule, subject, message }: DocumentFinding): string {
  const place = line === undefined ? '' : `line ${line}: `;
  return rule === UNREADABLE
    ? `${file}: ${place}${subject}: ${message}`
    : `${file}: ${severity}: ${subject}: ${message} (${rule})`;
}

function isServing({ text }: NamedText): boolean {
  return text.trimStart().startsWith('{');
}

function checkServing(document: NamedText, inForce: NamedText | undefined): DocumentCheck {
  const { file } = document;
  const findings: DocumentFinding[] = [];
  const decode = ({ file, text }: NamedText) => {
    try {
      return decodeConfiguration(Buffer.from(text));
    } catch (error) {
      if (!(error instanceof DecodeError)) throw error;
      const message = error.message.replaceAll(/\s+/g, ' ');
      findings.push({ file, severity: 'error', rule: UNREADABLE, subject: 'configuration', message });
      return undefined;
    }
  };
  const current = inForce && decode(inForce);
  const configuration = decode(document);
  if (!configuration) return { file, findings, differences: undefined };
  const found = checkServingConfiguration(configuration, current);
  return {
    file,
    findings: [...findings, ...found.map((finding) => ({ file, ...finding }))],
    differences:
      current &&
      diffValues(describeServingConfiguration(current), describeServingConfiguration(configuration)),
  };
}

function checkDeployment(document: NamedText, inForce: NamedText | undefined): DocumentCheck {
  const { file, text } = document;
  const differences = inForce && diffDocuments(inForce.text, text);
  try {
    parseConfiguration(text);
    return { file, findings: [], differences };
  } catch (error) {
    if (!(error instanceof DocumentError)) throw error;
    const findings = error.faults.map(({ section, key, line, message }) => ({
      file,
      severity: 'error' as const,
      rule: UNREADABLE,
      subject: `[${section}]${key === '' ? '' : ` ${key}`}`,
      message,
      ...(line > 0 ? { line } : {}),
    }));
    return { file, findings, differences };
  }
}
