import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import type {SoundRuns, SoundUse} from '@gentianshunt/entryModel';

/** Time constant of the count that tells a part used at all from a new one. */
export const LASTING_DECAY_MS: Milliseconds = 30_000;
/** Time constant of the count that shows whether a part is sound now. */
export const RECENT_DECAY_MS: Milliseconds = 3_000;

export const NO_SOUND_RUNS: SoundRuns = {lasting: 0, recent: 0};

/** Computes what is left of the counts of sound answers. */
export function decaySoundUse(
  use: SoundUse | undefined,
  now: MonotonicTime,
): SoundRuns {
  if (use === undefined) {
    return NO_SOUND_RUNS;
  }
  const ageMs = Math.max(0, now - use.at);
  return {
    lasting: use.lasting * Math.exp(-ageMs / LASTING_DECAY_MS),
    recent: use.recent * Math.exp(-ageMs / RECENT_DECAY_MS),
  };
}

/** Counts one more sound answer. */
export function addSoundRun(
  use: SoundUse | undefined,
  now: MonotonicTime,
): SoundUse {
  const {lasting, recent} = decaySoundUse(use, now);
  return {lasting: lasting + 1, recent: recent + 1, at: now};
}

/** Adds the counts of several entries. */
export function sumSoundRuns(counts: readonly SoundRuns[]): SoundRuns {
  return counts.reduce(
    (sum, {lasting, recent}) => ({
      lasting: sum.lasting + lasting,
      recent: sum.recent + recent,
    }),
    NO_SOUND_RUNS,
  );
}
