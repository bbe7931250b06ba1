import { readFileSync } from 'node:fs';
import { DocumentError } from '@monsoonreach/core';

/** Exit codes of the daemons. */
export const ExitCode = { done: 0, failed: 1, settings: 2, forced: 3 } as const;

/** A daemon that can be started and stopped in order. */
export interface Daemon {
  start(): Promise<void>;
  /** Finishes what is in progress; returns how many requests were cut. */
  drain(): Promise<number>;
  /** Cuts what is in progress; returns how many requests were cut. */
  cut(): number;
}

/**
 * Runs a daemon from a settings file until a signal ends it: the first drains it, a second one forces the end.
 */
export async function runDaemon(create: (settingsText: string) => Daemon): Promise<void> {
  const path = process.argv[2];
  if (path === undefined) {
    process.stderr.write(`Usage: ${process.argv[1] ?? 'monsoonreach'} <settings.ini>\n`);
    process.exit(ExitCode.settings);
  }
  const daemon = createOrExit(create, path);
  let isDraining = false;
  const onSignal = () => {
    if (isDraining) {
      process.stderr.write(`Forced to stop; requests cut: ${daemon.cut()}\n`);
      process.exit(ExitCode.forced);
    }
    isDraining = true;
    void daemon.drain().then((cutRequests) => {
      process.stderr.write(`Stopped; requests cut: ${cutRequests}\n`);
      process.exit(cutRequests === 0 ? ExitCode.done : ExitCode.forced);
    });
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
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
