import type {EndpointCrash, SoundRuns, Suspect} from '@gentianshunt/entryModel';
import type {NodeId, PromptPartId} from '@gentianshunt/identifiers';

import {listSuspectedRuns} from './crashRecords.js';

/** Crashes after which a part without any sound answer is held. */
const MIN_CRASHES = 2;
/**
 * Fraction of all crashes since its first one in which such a part must be
 * involved; endpoints that fail for another reason involve many parts.
 */
const MIN_CRASH_FRACTION = 0.75;
/** Crashes after which a part is held that was sound before. */
const MIN_CRASHES_OF_SOUND_PART = 3;
const MIN_CRASH_FRACTION_OF_SOUND_PART = 0.5;
/** Fewer sound answers than this count as none. */
const NEGLIGIBLE_SOUND_RUNS = 0.1;

/** Counts the sound answers of all entries with a prompt part. */
export type SoundCounter = (part: PromptPartId) => SoundRuns;

/** A prompt part that crashes endpoints, by the evidence of all entries. */
export interface DecidedSuspect {
  readonly part: PromptPartId;
  readonly crashes: number;
  readonly reporters: number;
}

/** What is known of one suspected part. */
interface PartEvidence {
  crashes: number;
  /** Index of the first crash in which it was involved. */
  readonly firstIndex: number;
  readonly reporters: Set<NodeId>;
}

/**
 * Decides which of some prompt parts are to be held: those involved in several
 * crashes and hardly ever in a sound answer.
 */
export function decideSuspects(
  candidates: ReadonlySet<PromptPartId>,
  crashes: readonly EndpointCrash[],
  countSoundRuns: SoundCounter,
): readonly DecidedSuspect[] {
  if (candidates.size === 0) {
    return [];
  }
  return [...collectEvidence(candidates, crashes)]
    .filter(([part, evidence]) =>
      isHeld(evidence, countSoundRuns(part), crashes.length),
    )
    .map(([part, evidence]) => ({
      part,
      crashes: evidence.crashes,
      reporters: evidence.reporters.size,
    }));
}

function isHeld(
  {crashes, firstIndex}: PartEvidence,
  {lasting, recent}: SoundRuns,
  crashCount: number,
): boolean {
  const fraction = crashes / (crashCount - firstIndex);
  const wasNeverSound =
    lasting < NEGLIGIBLE_SOUND_RUNS &&
    crashes >= MIN_CRASHES &&
    fraction >= MIN_CRASH_FRACTION;
  const isSoundNoMore =
    crashes > recent &&
    crashes >= MIN_CRASHES_OF_SOUND_PART &&
    fraction >= MIN_CRASH_FRACTION_OF_SOUND_PART;
  return wasNeverSound || isSoundNoMore;
}

function collectEvidence(
  candidates: ReadonlySet<PromptPartId>,
  crashes: readonly EndpointCrash[],
): ReadonlyMap<PromptPartId, PartEvidence> {
  const evidence = new Map<PromptPartId, PartEvidence>();
  crashes.forEach((crash, index) => {
    const suspects = new Set<PromptPartId>();
    for (const {reporter, parts} of listSuspectedRuns(crash)) {
      if (!parts.some(({part}) => candidates.has(part))) {
        continue;
      }
      for (const part of pickLeastSound(parts)) {
        const known = evidence.get(part) ?? {
          crashes: 0,
          firstIndex: index,
          reporters: new Set<NodeId>(),
        };
        known.reporters.add(reporter);
        evidence.set(part, known);
        suspects.add(part);
      }
    }
    for (const part of suspects) {
      evidence.get(part)!.crashes += 1;
    }
  });
  return evidence;
}

/**
 * Picks the parts of one run that were sound least often at its entry. They
 * explain a crash best; the parts that they came with are not blamed for it.
 */
function pickLeastSound(parts: readonly Suspect[]): readonly PromptPartId[] {
  const counts = parts.map(({lasting}) => lasting);
  const least = Math.max(NEGLIGIBLE_SOUND_RUNS, Math.min(...counts));
  return parts.filter(({lasting}) => lasting <= least).map(({part}) => part);
}
