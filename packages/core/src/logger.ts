import { Logger } from 'tslog';

/** Output format of a process's log lines. */
export type LogStyle = 'json' | 'pretty' | 'hidden';

/** Structured logger of a process; logs state changes only. */
export type ProcessLogger = Logger<unknown>;

/** Creates the logger of a process. */
export function createLogger(name: string, style: LogStyle): ProcessLogger {
  return new Logger({ name, type: style, minLevel: 3, hideLogPositionForProduction: true });
}
