import { Logger } from 'tslog';

/** How a process writes its log lines. */
export type LogStyle = 'json' | 'pretty' | 'hidden';

/** The structured log of a process; lines are for changes of state only. */
export type StateLog = Logger<unknown>;

/** Makes the log of a process. */
export function createStateLog(name: string, style: LogStyle): StateLog {
  return new Logger({ name, type: style, minLevel: 3, hideLogPositionForProduction: true });
}
