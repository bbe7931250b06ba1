import type { Clock, Counters, LogStyle } from '@monsoonreach/core';
import { Logger } from 'tslog';

/** Lines that a process may write per second; further lines are only counted. */
const MAX_LINES_PER_S = 150;
/** Burst of lines that may be written after an idle period. */
const MAX_BURST_LINES = 600;

/** Number of the info level in tslog. */
const INFO_LEVEL = 3;
/** Bytes that may be buffered for a slow reader of standard output; further lines are dropped. */
const MAX_BUFFERED_BYTES = 262_144;

type Fields = Readonly<Record<string, unknown>>;

/** Writes one structured line per decision to standard output, at a limited rate. */
export class DecisionLog {
  private readonly _log: Logger<unknown>;
  private _tokens = MAX_BURST_LINES;
  private _refilledAtMs = 0;
  private _droppedLines = 0;

  constructor(
    name: string,
    style: LogStyle,
    private readonly _clock: Clock,
    private readonly _counters: Counters,
  ) {
    this._log = new Logger({
      name,
      type: style,
      minLevel: INFO_LEVEL,
      hideLogPositionForProduction: true,
      overwrite: style === 'json' ? { transportJSON: writeLine } : {},
    });
    makeOutputAsynchronous();
  }

  info(message: string, fields: Fields): void {
    if (this._tryTakeToken()) this._log.info(message, fields);
  }

  warn(message: string, fields: Fields): void {
    if (this._tryTakeToken()) this._log.warn(message, fields);
  }

  private _tryTakeToken(): boolean {
    const nowMs = this._clock.monotonic();
    const refill = ((nowMs - this._refilledAtMs) * MAX_LINES_PER_S) / 1_000;
    this._tokens = Math.min(MAX_BURST_LINES, this._tokens + refill);
    this._refilledAtMs = nowMs;
    if (this._tokens < 1) {
      this._droppedLines++;
      this._counters.add('monsoonreach_log_lines_dropped_total');
      return false;
    }
    this._tokens--;
    if (this._droppedLines > 0) {
      this._log.warn('log lines dropped', { lines: this._droppedLines });
      this._droppedLines = 0;
    }
    return true;
  }
}

/** Writes one line: time, level and message first, then the fields. */
function writeLine(json: unknown): void {
  const { 0: message, 1: fields, _meta: meta } = json as TslogLine;
  if (process.stdout.writableLength > MAX_BUFFERED_BYTES) return;
  const line = { time: meta.date, level: meta.logLevelName, message, ...fields };
  process.stdout.write(`${JSON.stringify(line)}\n`);
}

interface TslogLine {
  readonly 0: string;
  readonly 1: Fields;
  readonly _meta: { readonly date: string; readonly logLevelName: string };
}

/** Makes writes to pipes asynchronous. By default they are synchronous, and a stalled reader would block the process. */
function makeOutputAsynchronous(): void {
  const { _handle: handle } = process.stdout as unknown as {
    readonly _handle?: { readonly setBlocking?: (isBlocking: boolean) => void };
  };
  handle?.setBlocking?.(false);
}

/** Joins the messages of an error and of its causes to one text for a log line. */
export function describeError(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  const cause = error.cause === undefined ? '' : ` Cause: ${describeError(error.cause)}`;
  return `${error.message}${cause}`;
}
