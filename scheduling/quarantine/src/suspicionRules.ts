import type {Fingerprint, SoundRuns} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';

/** Fewer sound answers than this count as none. */
export const NEGLIGIBLE_SOUND_RUNS = 0.1;
/** Crashes after which what had no sound answer is held. */
const MIN_CRASHES = 2;
/**
 * Fraction of all crashes since its first one in which such a part must be
 * involved; endpoints that fail for another reason involve many parts.
 */
const MIN_CRASH_FRACTION = 0.75;
/** Crashes after which a part is held that was sound before. */
const MIN_CRASHES_OF_SOUND_PART = 3;
const MIN_CRASH_FRACTION_OF_SOUND_PART = 0.5;
/** The same for a whole request. */
const MIN_MOMENTS_OF_SOUND_REQUEST = 4;
const MIN_CRASH_FRACTION_OF_SOUND_REQUEST = 0.75;
/** The same for a request without sound answers that was never alone. */
const MIN_MOMENTS_IN_COMPANY = 3;
/** Lower than for parts: few requests recur, so few can be there by chance. */
const MIN_CRASH_FRACTION_IN_COMPANY = 0.25;

/** The crashes in which a fingerprint was involved. */
export interface CrashCounts {
  readonly crashes: number;
  /** Crashes in which no other run was suspected. */
  readonly crashesAlone: number;
  /** Moments at which there were crashes, as several may have one cause. */
  readonly moments: number;
  /** Their count, decayed like that of recent sound answers. */
  readonly recentMoments: number;
  /** Fraction of all crashes since its first one. */
  readonly fraction: number;
}

/** Returns whether crashes and sound answers speak against a fingerprint. */
export function isBlamed(
  kind: Fingerprint['kind'],
  counts: CrashCounts,
  soundRuns: SoundRuns,
): boolean {
  const wasNeverSound =
    soundRuns.lasting < NEGLIGIBLE_SOUND_RUNS && hasCrashedEnough(kind, counts);
  return wasNeverSound || hasTurned(kind, counts, soundRuns);
}

/** Returns whether a fingerprint that was sound crashes endpoints instead. */
function hasTurned(
  kind: Fingerprint['kind'],
  {crashes, crashesAlone, moments, recentMoments, fraction}: CrashCounts,
  {recent}: SoundRuns,
): boolean {
  switch (kind) {
    case 'promptPart':
      return (
        crashes >= MIN_CRASHES_OF_SOUND_PART &&
        fraction >= MIN_CRASH_FRACTION_OF_SOUND_PART &&
        crashes > recent
      );
    case 'request':
      // Many callers may send the same request, so that some run of it is at
      // most endpoints, whatever ends them, even a whole set.
      return (
        crashesAlone > 0 &&
        moments >= MIN_MOMENTS_OF_SOUND_REQUEST &&
        fraction >= MIN_CRASH_FRACTION_OF_SOUND_REQUEST &&
        recentMoments > recent
      );
    default:
      return assertNever(kind, 'hasTurned');
  }
}

/** Returns whether a fingerprint without sound answers is to be held. */
function hasCrashedEnough(
  kind: Fingerprint['kind'],
  {crashes, crashesAlone, moments, fraction}: CrashCounts,
): boolean {
  switch (kind) {
    case 'promptPart':
      return crashes >= MIN_CRASHES && fraction >= MIN_CRASH_FRACTION;
    case 'request':
      return crashesAlone > 0
        ? moments >= MIN_CRASHES
        : moments >= MIN_MOMENTS_IN_COMPANY &&
            fraction >= MIN_CRASH_FRACTION_IN_COMPANY;
    default:
      return assertNever(kind, 'hasCrashedEnough');
  }
}
