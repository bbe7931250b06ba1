import { readFileSync } from 'node:fs';
import { DocumentError } from '@monsoonreach/core';

/** Exit codes: stopped, failed, invalid settings or usage, stopped with requests aborted. */
export const ExitCode = { done: 0, failed: 1, settings: 2, forced: 3 } as const;

/** A daemon that can be drained before it stops. */
export interface Daemon {
  start(): Promise<void>;
  /** Finishes the requests in progress and stops; returns how many had to be aborted. */
  drain(): Promise<number>;
  /** Aborts the requests in progress at once; returns how many. */
  abortRequests(): number;
}

/** Runs a daemon from a settings file. The first SIGTERM or SIGINT drains it; a second one ends the process at once. */
export async function runDaemon(create: (settingsText: string) => Daemon): Promise<void> {
  const path = process.argv[2];
  if (path === undefined) {
    process.stderr.write(`Usage: ${process.argv[1] ?? 'monsoonreach'} <settings.ini>\n`);
    process.exit(ExitCode.settings);
  }
  const daemon = createOrExit(create, path);
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
  await daemon.start();
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
