import { SourceMap, type SourceMapPayload } from 'node:module';
import { dirname, resolve, sep } from 'node:path';
import type { Clock } from './clock.js';
import { createErrorReport, type SourceLookup, type SourcePosition } from './errorReport.js';

/** Exit codes of a process that fails; each comes with a line on standard output. */
export const FailureExitCode = {
  /** The process could not start, for instance because an address is in use. */
  start: 4,
  /** An error reached no handler. */
  uncaught: 70,
} as const;

const STANDARD_OUTPUT = 1;
const STANDARD_ERROR = 2;
/** Time for which a full output is tried again before the next one is used, in milliseconds. */
const MAX_WRITE_MS = 500;
/** Pause between two such tries, in milliseconds. */
const WRITE_RETRY_MS = 5;

/** Dependencies of {@link FailureReporter}. */
export interface FailureReporterOptions {
  readonly clock: Clock;
  /** Reads a text file. */
  readonly readText: (path: string) => string;
  /** Writes to a file descriptor without delay; returns the number of bytes written. */
  readonly write: (descriptor: number, bytes: Uint8Array) => number;
}

/**
 * Ends the process with one structured line when an error reaches no handler, or when the start fails. The line is
 * written synchronously and not limited in rate; lines that still wait for a slow reader are lost.
 */
export class FailureReporter {
  private readonly _maps = new Map<string, SourceMap | undefined>();

  constructor(private readonly _options: FailureReporterOptions) {}

  /** Reports uncaught errors and unhandled rejections from now on. */
  install(): void {
    process.on('uncaughtException', (error: unknown, origin) => {
      this._endProcess('process failed', FailureExitCode.uncaught, origin, error);
    });
    // Requests are served on when the reader of the log has ended.
    for (const output of [process.stdout, process.stderr]) output.on('error', () => undefined);
  }

  /** Reports that the process could not start, and ends it. */
  endAfterFailedStart(error: unknown): never {
    return this._endProcess('start failed', FailureExitCode.start, 'start', error);
  }

  private _endProcess(message: string, exitCode: number, origin: string, error: unknown): never {
    try {
      const line = {
        time: new Date(this._options.clock.now()),
        level: 'FATAL',
        message,
        error: createErrorReport(error, this._lookup),
        origin,
        exitCode,
        uptimeMs: Math.round(process.uptime() * 1_000),
      };
      this._writeLine(JSON.stringify(line));
    } finally {
      process.exit(exitCode);
    }
  }

  private _writeLine(line: string): void {
    // A line that waits for a slow reader may have been written in part.
    const separator = process.stdout.writableLength > 0 ? '\n' : '';
    const bytes = Buffer.from(`${separator}${line}\n`);
    if (!this._tryWrite(STANDARD_OUTPUT, bytes)) this._tryWrite(STANDARD_ERROR, bytes);
  }

  /** Writes all bytes; returns false if the output is closed, or stays full for too long. */
  private _tryWrite(descriptor: number, bytes: Uint8Array): boolean {
    const { clock, write } = this._options;
    const endsAtMs = clock.monotonic() + MAX_WRITE_MS;
    for (let written = 0; written < bytes.length;) {
      try {
        written += write(descriptor, bytes.subarray(written));
      } catch (error) {
        if ((error as NodeJS.ErrnoException).code !== 'EAGAIN' || clock.monotonic() >= endsAtMs) return false;
        blockThread(WRITE_RETRY_MS);
      }
    }
    return true;
  }

  /** Finds a position in the source code by the source map beside the program file, which is read only now. */
  private readonly _lookup: SourceLookup = (position: SourcePosition) => {
    const entry = this._readMap(position.file)?.findEntry(position.line - 1, position.column - 1);
    if (!entry || !('originalSource' in entry)) return undefined;
    return {
      file: toShortPath(resolve(dirname(position.file), entry.originalSource)),
      line: entry.originalLine + 1,
      column: entry.originalColumn + 1,
    };
  };

  private _readMap(file: string): SourceMap | undefined {
    if (this._maps.has(file)) return this._maps.get(file);
    let map: SourceMap | undefined;
    try {
      map = new SourceMap(JSON.parse(this._options.readText(`${file}.map`)) as SourceMapPayload);
    } catch {
      // Without a readable source map, positions in the program file are reported.
    }
    this._maps.set(file, map);
    return map;
  }
}

function blockThread(ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}

/** Path relative to the working directory if it lies therein. */
function toShortPath(path: string): string {
  const directory = process.cwd() + sep;
  return path.startsWith(directory) ? path.slice(directory.length) : path;
}
