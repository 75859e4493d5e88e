/** Counts of sound answers that other entries reported to this one. */
import {compareBy, createOrderedDraft} from '@gentianshunt/board';
import type {TurnTime} from '@gentianshunt/board';
import type {SoundUseKey, Suspect} from '@gentianshunt/entryModel';
import type {NodeId} from '@gentianshunt/identifiers';

import type {SoundCounter} from './decideSuspects.js';
import type {QuarantineView, SoundUseDraft} from './quarantineView.js';
import {decaySoundUse, readSoundRuns, sumSoundRuns} from './soundUse.js';

/** Most counts of sound answers that an entry keeps of others. */
const MAX_REPORTED_SOUND_USE = 2_048;
/** Smaller counts of sound answers are dropped. */
const MIN_SOUND_RUNS = 0.01;

/** Replaces the counts of sound answers that an entry has reported. */
export function recordReportedSoundUse(
  {board}: QuarantineView,
  node: NodeId,
  uses: readonly Suspect[],
  now: TurnTime,
): SoundUseDraft {
  const draft = createOrderedDraft({
    view: board.reportedSoundUse,
    compare: compareBy('fingerprint', 'node'),
  });
  for (const {fingerprint, lasting, recent} of uses) {
    const key = {fingerprint: fingerprint.id, node};
    const isKnown = draft.get(key) !== undefined;
    // Most whole requests are new and must not fill the table.
    const isNew =
      lasting >= MIN_SOUND_RUNS && draft.size < MAX_REPORTED_SOUND_USE;
    if (isKnown || isNew) {
      draft.put(key, {lasting, recent, at: now.monotonic});
    }
  }
  return draft;
}

/** Counts the sound answers of this entry and those that were reported. */
export function createSoundCounter(
  {board}: QuarantineView,
  reported: SoundUseDraft,
  now: TurnTime,
): SoundCounter {
  const self = board.identity.address.node;
  return fingerprint => {
    const counts = [readSoundRuns(board, fingerprint, now.monotonic)];
    const first = {fingerprint: fingerprint.id, node: '' as NodeId};
    for (const {key, value} of reported.iterateFrom(first)) {
      if (key.fingerprint !== fingerprint.id) {
        break;
      }
      if (key.node !== self) {
        counts.push(decaySoundUse(value, now.monotonic));
      }
    }
    return sumSoundRuns(counts);
  };
}

/** Lists the counts that have decayed. */
export function listFadedSoundUse(
  uses: QuarantineView['board']['reportedSoundUse'],
  now: TurnTime,
): readonly SoundUseKey[] {
  return [...uses.iterateFrom()]
    .filter(
      ({value}) => decaySoundUse(value, now.monotonic).lasting < MIN_SOUND_RUNS,
    )
    .map(({key}) => key);
}
