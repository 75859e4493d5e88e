/** Records which fingerprints had sound answers. */
import type {TurnTime} from '@gentianshunt/board';
import type {MonotonicTime} from '@gentianshunt/clock';
import {listFingerprints} from '@gentianshunt/entryModel';
import type {
  DispatchedState,
  EntryMessage,
  Fingerprint,
} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';
import type {DispatchId, FingerprintId} from '@gentianshunt/identifiers';

import {sendSoundUse} from './evidenceMessages.js';
import {findRunning} from './evidenceView.js';
import type {EvidenceView, EvidenceWrite} from './evidenceView.js';
import {addSoundRun, pickSoundSection, readSoundRuns} from './soundUse.js';
import type {SoundSection} from './soundUse.js';

/** Most prompt parts whose sound answers an entry remembers. */
export const MAX_SOUND_PARTS = 16_384;
/** Most whole requests whose sound answers an entry remembers. */
export const MAX_SOUND_REQUESTS = 8_192;
/** A second chunk shows that the first event has passed. */
const SOUND_CHUNKS = 2;
/** Fewer recent sound answers than this say nothing. */
const MIN_REPORTED_SOUND_RUNS = 0.1;

/** Records that an answer has passed its first event, once. */
export function recordProgress(
  view: EvidenceView,
  dispatch: DispatchId,
  answerTokens: number,
  now: TurnTime,
): readonly EvidenceWrite[] {
  const state = findRunning(view, dispatch);
  return state === undefined ||
    answerTokens < SOUND_CHUNKS ||
    hasPassedFirstEvent(view, dispatch)
    ? []
    : recordSoundAnswer(view, state, listSound(state, 'promptPart'), now);
}

/** Records a whole answer. Only this shows that its request is sound. */
export function recordWholeAnswer(
  view: EvidenceView,
  dispatch: DispatchId,
  now: TurnTime,
): readonly EvidenceWrite[] {
  const state = findRunning(view, dispatch);
  if (state === undefined) {
    return [];
  }
  const parts = hasPassedFirstEvent(view, dispatch)
    ? []
    : listSound(state, 'promptPart');
  const sound = [...parts, ...listSound(state, 'request')];
  return recordSoundAnswer(view, state, sound, now);
}

/** Tells the deciding entries of sound answers with new quarantines. */
export function answerQuarantines(
  view: EvidenceView,
  {quarantines}: Extract<EntryMessage, {readonly kind: 'quarantinesReported'}>,
  now: TurnTime,
): readonly EvidenceWrite[] {
  return quarantines
    .filter(({state}) => state.kind === 'held' && state.startsInMs > 0)
    .flatMap(({fingerprint, set}) => {
      const runs = readSoundRuns(view.board, fingerprint, now.monotonic);
      return runs.lasting < MIN_REPORTED_SOUND_RUNS
        ? []
        : sendSoundUse(view, set, [
            {fingerprint, ...runs, isUnderQuarantine: false},
          ]);
    });
}

function hasPassedFirstEvent(
  {board}: EvidenceView,
  dispatch: DispatchId,
): boolean {
  const chunks = board.streamProgress.get(dispatch)?.answerTokens ?? 0;
  return chunks >= SOUND_CHUNKS;
}

function listSound(
  {request}: DispatchedState,
  kind: Fingerprint['kind'],
): readonly Fingerprint[] {
  return listFingerprints(request).filter(
    fingerprint => fingerprint.kind === kind,
  );
}

function recordSoundAnswer(
  view: EvidenceView,
  {request, dispatch}: DispatchedState,
  sound: readonly Fingerprint[],
  now: TurnTime,
): readonly EvidenceWrite[] {
  return [
    ...dropOldest(view, 'promptPart', sound),
    ...dropOldest(view, 'request', sound),
    ...sound.flatMap(fingerprint =>
      putSoundRun(view, fingerprint, now.monotonic),
    ),
    ...sendSoundUse(
      view,
      request.set,
      sound.flatMap(fingerprint => {
        const known = view.board.quarantines.get(fingerprint.id);
        if (known === undefined || known.state.kind === 'lifted') {
          return [];
        }
        const {lasting, recent} = countSoundRun(
          view,
          fingerprint,
          now.monotonic,
        );
        const isUnderQuarantine = dispatch.at > known.changedAt;
        return [{fingerprint, lasting, recent, isUnderQuarantine}];
      }),
    ),
  ];
}

function countSoundRun(
  {board}: EvidenceView,
  {kind, id}: Fingerprint,
  now: MonotonicTime,
) {
  return addSoundRun(board[pickSoundSection(kind)].get(id), now);
}

function putSoundRun(
  view: EvidenceView,
  fingerprint: Fingerprint,
  now: MonotonicTime,
): readonly EvidenceWrite[] {
  const {kind, id: key} = fingerprint;
  const section = pickSoundSection(kind);
  const value = countSoundRun(view, fingerprint, now);
  switch (kind) {
    case 'promptPart':
      return [{kind: 'put', section, key, value}];
    case 'request':
      // Most requests come once; those that recur must outlast them.
      return [
        {kind: 'delete', section, key},
        {kind: 'put', section, key, value},
      ];
    default:
      return assertNever(kind, 'putSoundRun');
  }
}

/** Makes room for new ones; a map lists those first that were put first. */
function dropOldest(
  {board}: EvidenceView,
  kind: Fingerprint['kind'],
  sound: readonly Fingerprint[],
): readonly EvidenceWrite[] {
  const section = pickSoundSection(kind);
  const own = sound.filter(fingerprint => fingerprint.kind === kind);
  const kept = new Set(own.map(({id}) => id));
  const added = own.filter(({id}) => !board[section].has(id)).length;
  const excess = board[section].size + added - readCapacity(section);
  const dropped: FingerprintId[] = [];
  for (const id of excess > 0 ? board[section].keys() : []) {
    if (dropped.length >= excess) {
      break;
    }
    if (!kept.has(id)) {
      dropped.push(id);
    }
  }
  return dropped.map(key => ({kind: 'delete', section, key}));
}

function readCapacity(section: SoundSection): number {
  switch (section) {
    case 'soundParts':
      return MAX_SOUND_PARTS;
    case 'soundRequests':
      return MAX_SOUND_REQUESTS;
    default:
      return assertNever(section, 'readCapacity');
  }
}
