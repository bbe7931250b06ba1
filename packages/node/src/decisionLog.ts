import type { Clock, Counters, LogStyle } from '@monsoonreach/core';
import { Logger } from 'tslog';

/** Lines that a process may write each second, beyond which they are counted instead. */
const LINES_PER_S = 150;
/** Lines that may be written at once after a quiet time. */
const LINE_BURST = 600;

/** tslog's number of the level of information. */
const INFO_LEVEL = 3;
/** Bytes that may wait for a slow reader of standard output, beyond which lines are dropped. */
const MAX_WAITING_BYTES = 262_144;

type Fields = Readonly<Record<string, unknown>>;

/** Structured lines on standard output: one a decision, bounded in number. */
export class DecisionLog {
  private readonly _log: Logger<unknown>;
  private _allowance = LINE_BURST;
  private _allowedAtMs = 0;
  private _dropped = 0;

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
    if (this._take()) this._log.info(message, fields);
  }

  warn(message: string, fields: Fields): void {
    if (this._take()) this._log.warn(message, fields);
  }

  private _take(): boolean {
    const nowMs = this._clock.monotonic();
    const earned = ((nowMs - this._allowedAtMs) * LINES_PER_S) / 1_000;
    this._allowance = Math.min(LINE_BURST, this._allowance + earned);
    this._allowedAtMs = nowMs;
    if (this._allowance < 1) {
      this._dropped++;
      this._counters.add('monsoonreach_log_lines_dropped_total');
      return false;
    }
    this._allowance--;
    if (this._dropped > 0) {
      this._log.warn('log lines dropped', { lines: this._dropped });
      this._dropped = 0;
    }
    return true;
  }
}

/** Writes one line: time, level and message first, then the fields. */
function writeLine(json: unknown): void {
  const { 0: message, 1: fields, _meta: meta } = json as TslogLine;
  if (process.stdout.writableLength > MAX_WAITING_BYTES) return;
  const line = { time: meta.date, level: meta.logLevelName, message, ...fields };
  process.stdout.write(`${JSON.stringify(line)}\n`);
}

interface TslogLine {
  readonly 0: string;
  readonly 1: Fields;
  readonly _meta: { readonly date: string; readonly logLevelName: string };
}

/** Pipes are written synchronously by default, so that a reader that stands still would stop the process. */
function makeOutputAsynchronous(): void {
  const { _handle: handle } = process.stdout as unknown as {
    readonly _handle?: { readonly setBlocking?: (isBlocking: boolean) => void };
  };
  handle?.setBlocking?.(false);
}

/** An error and what caused it, as one text for a log line. */
export function describeError(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  const cause = error.cause === undefined ? '' : ` Cause: ${describeError(error.cause)}`;
  return `${error.message}${cause}`;
}
