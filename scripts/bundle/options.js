/** How the node is bundled into one file; only the parts of libraries that it uses, as start-up decides recovery. */
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
  logLevel: 'warning',
  outfile: 'target/monsoonreach-node.mjs',
  banner: { js: "import{createRequire}from'node:module';const require=createRequire(import.meta.url);" },
};
