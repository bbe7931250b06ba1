#!/usr/bin/env node
import { readFileSync } from 'node:fs';
import { DocumentError, systemClock } from '@monsoonreach/core';
import { Node } from './node.js';
import { type NodeSettings, parseNodeSettings } from './settings.js';

/** Exit codes. `settings`: the settings are missing or invalid; `forced`: requests remained when draining ended. */
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

const node = new Node(readSettings(), systemClock);
process.on('SIGTERM', () => {
  void node.drain().then((cut) => process.exit(cut === 0 ? ExitCode.done : ExitCode.forced));
});
process.on('SIGHUP', () => {
  node.reload();
});
await node.start();
