import { build } from 'esbuild';
import { bundleOptions } from './options.js';

await build(bundleOptions);
