#!/usr/bin/env node
import { runDaemon } from '@monsoonreach/daemon';
import { Entry } from './entry.js';

await runDaemon((text) => Entry.fromSettings(text));
