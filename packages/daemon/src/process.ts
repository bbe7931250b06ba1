import { readFileSync, writeSync } from 'node:fs';
import { DocumentError, FailureReporter, systemClock } from '@monsoonreach/core';

/** Exit codes: stopped, invalid settings or usage, stopped with requests aborted; others are in `FailureExitCode`. */
export const ExitCode = { done: 0, settings: 2, forced: 3 } as const;

/** A daemon that can be drained before it stops. */
export interface Daemon {
  start(): Promise<void>;
  /** Finishes the requests in progress and stops; returns how many had to be aborted. */
  drain(): Promise<number>;
  /** Aborts the requests in progress at once; returns how many. */
  abortRequests(): number;
  /** Logs a warning of the runtime. */
  logWarning(warning: Error): void;
}

/** Runs a daemon from a settings file. The first SIGTERM or SIGINT drains it; a second one ends the process at once. */
export async function runDaemon(create: (settingsText: string) => Daemon): Promise<void> {
  const failures = new FailureReporter({
    clock: systemClock,
    readText: (file) => readFileSync(file, 'utf8'),
    write: writeSync,
  });
  failures.install();
  const path = process.argv[2];
  if (path === undefined) {
    process.stderr.write(`Usage: ${process.argv[1] ?? 'monsoonreach'} <settings.ini>\n`);
    process.exit(ExitCode.settings);
  }
  const daemon = createOrExit(create, path);
  // Replaces the listener that prints warnings as text.
  process.removeAllListeners('warning').on('warning', (warning) => {
    daemon.logWarning(warning);
  });
  let isDraining = false;
  const handleSignal = () => {
    if (isDraining) {
      process.stderr.write(`Forced to stop; requests aborted: ${daemon.abortRequests()}\n`);
      process.exit(ExitCode.forced);
    }
    isDraining = true;
    void daemon.drain().then((abortedRequests) => {
      process.stderr.write(`Stopped; requests aborted: ${abortedRequests}\n`);
      process.exit(abortedRequests === 0 ? ExitCode.done : ExitCode.forced);
    });
  };
  process.on('SIGTERM', handleSignal);
  process.on('SIGINT', handleSignal);
  try {
    await daemon.start();
  } catch (error) {
    failures.endAfterFailedStart(error);
  }
}

function createOrExit(create: (settingsText: string) => Daemon, path: string): Daemon {
  try {
    return create(readFileSync(path, 'utf8'));
  } catch (error) {
    const message = error instanceof DocumentError ? `${path}:\n${error.message}` : String(error);
    process.stderr.write(`${message}\n`);
    process.exit(ExitCode.settings);
  }
}
