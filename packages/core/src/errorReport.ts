/** A position in a program file; lines and columns start at 1. */
export interface SourcePosition {
  readonly file: string;
  readonly line: number;
  readonly column: number;
}

/** Finds the position in the source code from which a program position was built; undefined if it is not known. */
export type SourceLookup = (position: SourcePosition) => SourcePosition | undefined;

/** An error as fields of a log line. */
export interface ErrorReport {
  readonly name: string;
  readonly message: string;
  readonly code?: string;
  /** Stack frames: function and position, the innermost first. */
  readonly stack: readonly string[];
  /** What the error was caused by, the nearest first. */
  readonly causes: readonly ErrorReport[];
}

/** Causes that a report contains; causes may form a cycle. */
const MAX_CAUSES = 5;
/** Stack frames that a report contains for each error. */
const MAX_FRAMES = 20;
/** Characters of a message that a report contains. */
const MAX_MESSAGE_LENGTH = 2_000;

/** Type of a method's receiver in a stack frame. */
const TYPE_PREFIX = /(?<=^|^async )[\w$]+\.(?=[\w$])/;

/** Describes an error and its causes; never throws. */
export function createErrorReport(error: unknown, lookup: SourceLookup = () => undefined): ErrorReport {
  const causes: ErrorReport[] = [];
  for (let cause = readCause(error); cause !== undefined; cause = readCause(cause)) {
    if (causes.length === MAX_CAUSES) break;
    causes.push(describe(cause, lookup));
  }
  return { ...describe(error, lookup), causes };
}

function describe(error: unknown, lookup: SourceLookup): ErrorReport {
  if (!(error instanceof Error)) return { name: typeof error, message: toText(error), stack: [], causes: [] };
  const { code } = error as NodeJS.ErrnoException;
  return {
    name: error.name,
    message: error.message.slice(0, MAX_MESSAGE_LENGTH),
    ...(typeof code === 'string' ? { code } : {}),
    stack: readFrames(error.stack ?? '', lookup),
    causes: [],
  };
}

/** The cause of an error; of several errors that one stands for, the first. */
function readCause(error: unknown): unknown {
  if (!(error instanceof Error)) return undefined;
  return error.cause ?? (error instanceof AggregateError ? (error.errors as unknown[])[0] : undefined);
}

function toText(value: unknown): string {
  try {
    return String(value).slice(0, MAX_MESSAGE_LENGTH);
  } catch {
    return 'a value that cannot be shown as text';
  }
}

function readFrames(stack: string, lookup: SourceLookup): readonly string[] {
  return stack
    .split('\n')
    .filter((line) => /^ +at /.test(line))
    .slice(0, MAX_FRAMES)
    .map((line) => toFrame(line.trim().slice('at '.length), lookup));
}

function toFrame(text: string, lookup: SourceLookup): string {
  const match = /^(?:(.+) \()?(?:file:\/\/)?([^()]+):(\d+):(\d+)\)?$/.exec(text);
  if (!match) return text;
  const [, name = '<anonymous>', file = '', line, column] = match;
  const position = { file, line: Number(line), column: Number(column) };
  const found = lookup(position);
  if (!found) return `${name} (${file}:${position.line}:${position.column})`;
  // The bundle's names of types are shortened; the source file tells the type.
  return `${name.replace(TYPE_PREFIX, '')} (${found.file}:${found.line}:${found.column})`;
}
