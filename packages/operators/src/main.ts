#!/usr/bin/env node
import { Builtins, Cli } from 'clipanion';
import {
  CheckCommand,
  DiffCommand,
  DrainCommand,
  ExplainCommand,
  InitCommand,
  PublishCommand,
  StatusCommand,
} from './commands.js';

const cli = new Cli({ binaryName: 'monsoonreach', binaryLabel: 'monsoonreach', binaryVersion: '0.1.0' });
const commands = [
  CheckCommand,
  DiffCommand,
  DrainCommand,
  ExplainCommand,
  InitCommand,
  PublishCommand,
  StatusCommand,
];
for (const command of [...commands, Builtins.HelpCommand, Builtins.VersionCommand]) cli.register(command);

await cli.runExit(process.argv.slice(2));
