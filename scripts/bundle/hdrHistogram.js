/** Only the histogram builder: the library's entry point also loads its log formats and their compression at each start. */
export { build } from '../../node_modules/hdr-histogram-js/dist/HistogramBuilder.js';
