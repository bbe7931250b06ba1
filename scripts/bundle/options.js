/** Bundles the node into one file with only the library modules it uses, since start-up time adds to recovery time. */
export const bundleOptions = {
  entryPoints: ['packages/node/lib/main.js'],
  bundle: true,
  alias: {
    undici: './scripts/bundle/undici.js',
    'hdr-histogram-js': './scripts/bundle/hdrHistogram.js',
  },
  platform: 'node',
  format: 'esm',
  minify: true,
  keepNames: true,
  legalComments: 'none',
  // Written beside the bundle and read only when the process fails.
  sourcemap: 'external',
  sourcesContent: false,
  logLevel: 'warning',
  outfile: 'target/monsoonreach-node.mjs',
  banner: { js: "import{createRequire}from'node:module';const require=createRequire(import.meta.url);" },
};
