/** Only the histogram builder: the library's entry point also loads log encoding and compression at every start. */
export { build } from '../../node_modules/hdr-histogram-js/dist/HistogramBuilder.js';
