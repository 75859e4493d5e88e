import type {BoardView} from '@gentianshunt/board';
import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import type {
  EntrySections,
  Fingerprint,
  SoundRuns,
  SoundUse,
} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';

/** Time constant of the count that tells what was ever sound from the new. */
export const LASTING_DECAY_MS: Milliseconds = 30_000;
/** Time constant of the count that shows what is sound now. */
export const RECENT_DECAY_MS: Milliseconds = 3_000;

export const NO_SOUND_RUNS: SoundRuns = {lasting: 0, recent: 0};

/** Computes what is left of one recent event. */
export function computeRecentWeight(ageMs: Milliseconds): number {
  return Math.exp(-ageMs / RECENT_DECAY_MS);
}

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
    recent: use.recent * computeRecentWeight(ageMs),
  };
}

/** Where an entry counts the sound answers of its own requests. */
export type SoundBoard = Pick<
  BoardView<EntrySections>,
  'soundParts' | 'soundRequests'
>;

/** The sections that count sound answers. */
export type SoundSection = keyof SoundBoard;

/** Picks the section that counts the sound answers of a kind. */
export function pickSoundSection(kind: Fingerprint['kind']): SoundSection {
  switch (kind) {
    case 'promptPart':
      return 'soundParts';
    case 'request':
      return 'soundRequests';
    default:
      return assertNever(kind, 'pickSoundSection');
  }
}

/** Reads the sound answers of this entry with a fingerprint. */
export function readSoundRuns(
  board: SoundBoard,
  {kind, id}: Fingerprint,
  now: MonotonicTime,
): SoundRuns {
  return decaySoundUse(board[pickSoundSection(kind)].get(id), now);
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
