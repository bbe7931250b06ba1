/** Longest time for which a sound instance may be silent, in milliseconds; one that is silent for longer counts as lost. */
export const MAX_SOUND_SILENCE_MS = 1_500;
