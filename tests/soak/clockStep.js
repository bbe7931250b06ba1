/**
 * Loaded into a node before its program: a signal moves its time of day, and the next one moves it back.
 * Intervals are measured by the steady clock, which stays as it is.
 */
const STEP_MS = Number(process.env.SOAK_CLOCK_STEP_MS ?? 2_000);
const readClock = Date.now;
let offsetMs = 0;
Date.now = () => readClock() + offsetMs;
process.on('SIGUSR2', () => {
  offsetMs = offsetMs === 0 ? STEP_MS : 0;
});
