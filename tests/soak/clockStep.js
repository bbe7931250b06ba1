/**
 * Preloaded into a node: SIGUSR2 steps its wall clock, and the next SIGUSR2 steps it back.
 * The monotonic clock, which measures intervals, is left unchanged.
 */
const STEP_MS = Number(process.env.SOAK_CLOCK_STEP_MS ?? 2_000);
const readClock = Date.now;
let offsetMs = 0;
Date.now = () => readClock() + offsetMs;
process.on('SIGUSR2', () => {
  offsetMs = offsetMs === 0 ? STEP_MS : 0;
});
