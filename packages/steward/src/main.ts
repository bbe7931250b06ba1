#!/usr/bin/env node
import { runDaemon } from '@monsoonreach/daemon';
import { Steward } from './steward.js';

await runDaemon((text) => Steward.fromSettings(text));
