import { createStateLog, type Clock, type Counters, type LogStyle, type StateLog } from '@monsoonreach/core';

/** Lines that a process may write each second, beyond which they are counted instead. */
const LINES_PER_S = 150;
/** Lines that may be written at once after a quiet time. */
const LINE_BURST = 600;

type Fields = Readonly<Record<string, unknown>>;

/** Structured lines on standard output: one a decision, bounded in number. */
export class DecisionLog {
  private readonly _log: StateLog;
  private _allowance = LINE_BURST;
  private _allowedAtMs = 0;
  private _dropped = 0;

  constructor(
    name: string,
    style: LogStyle,
    private readonly _clock: Clock,
    private readonly _counters: Counters,
  ) {
    this._log = createStateLog(name, style);
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
