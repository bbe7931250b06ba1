#!/usr/bin/env node
import { readFileSync, writeSync } from 'node:fs';
import { DocumentError, FailureReporter, systemClock } from '@monsoonreach/core';
import { Node } from './node.js';
import { type NodeSettings, parseNodeSettings } from './settings.js';

/**
 * Exit codes. `settings`: the settings are missing or invalid; `forced`: requests remained when draining ended. Those
 * of a failure are in `FailureExitCode`.
 */
const ExitCode = { done: 0, settings: 2, forced: 3 } as const;

function readSettings(): NodeSettings {
  const path = process.argv[2] ?? process.env.MONSOONREACH_NODE_FILE;
  if (path === undefined) {
    process.stderr.write(
      'Usage: monsoonreach-node <settings.ini>\nThe path may also be given in MONSOONREACH_NODE_FILE.\n',
    );
    process.exit(ExitCode.settings);
  }
  try {
    return parseNodeSettings(readFileSync(path, 'utf8'));
  } catch (error) {
    process.stderr.write(`${path}:\n${error instanceof DocumentError ? error.message : String(error)}\n`);
    process.exit(ExitCode.settings);
  }
}

const failures = new FailureReporter({
  clock: systemClock,
  readText: (path) => readFileSync(path, 'utf8'),
  write: writeSync,
});
failures.install();
const node = new Node(readSettings(), systemClock);
// Replaces the listener that prints warnings as text.
process.removeAllListeners('warning').on('warning', (warning) => {
  node.logWarning(warning);
});
process.on('SIGTERM', () => {
  void node.drain().then((unfinished) => process.exit(unfinished === 0 ? ExitCode.done : ExitCode.forced));
});
process.on('SIGHUP', () => {
  node.reload();
});
try {
  await node.start();
} catch (error) {
  failures.endAfterFailedStart(error);
}
