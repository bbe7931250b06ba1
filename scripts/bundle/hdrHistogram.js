/** The builder alone; the library's entry also loads its log formats and their compression at each start. */
export { build } from '../../node_modules/hdr-histogram-js/dist/HistogramBuilder.js';
