import type {TurnTime} from '@gentianshunt/board';
import {defineEntryController} from '@gentianshunt/entryModel';
import type {EntryController} from '@gentianshunt/entryModel';
import type {EndpointSetId} from '@gentianshunt/identifiers';

import {recordBrokenRun} from './brokenRuns.js';
import {sendBrokenRuns} from './evidenceMessages.js';
import {
  EVIDENCE_READS,
  EVIDENCE_SECTIONS,
  findRunning,
} from './evidenceView.js';
import type {
  EvidenceReads,
  EvidenceSections,
  EvidenceView,
  EvidenceWrite,
} from './evidenceView.js';
import {
  answerQuarantines,
  recordProgress,
  recordWholeAnswer,
} from './soundAnswers.js';

/**
 * Creates the controller that records which fingerprints had sound answers and
 * which were at endpoints that failed, and reports both to the entries that
 * decide on quarantines.
 */
export function createEvidenceController(): EntryController {
  return defineEntryController<EvidenceReads, EvidenceSections>({
    name: 'evidence',
    reads: EVIDENCE_READS,
    writes: EVIDENCE_SECTIONS,
    observes: [
      'streamEnded',
      'failedAnswerBroken',
      'tokensStreamed',
      'entryMessage',
    ],
    run: (view, now) => [
      ...handleObservation(view, now),
      ...reportToNewLeaders(view, now),
    ],
  });
}

function handleObservation(
  view: EvidenceView,
  now: TurnTime,
): readonly EvidenceWrite[] {
  const {observation} = view;
  switch (observation?.kind) {
    case 'tokensStreamed': {
      const {dispatch, answerTokens} = observation;
      return recordProgress(view, dispatch, answerTokens, now);
    }
    case 'streamEnded': {
      const {dispatch, end} = observation;
      switch (end.kind) {
        case 'complete':
          return recordWholeAnswer(view, dispatch, now);
        case 'cut': {
          const state = findRunning(view, dispatch);
          const {progress} = end;
          return state === undefined
            ? []
            : recordBrokenRun(view, {...state, progress}, now);
        }
        default:
          return [];
      }
    }
    case 'failedAnswerBroken': {
      const {request, dispatch} = observation;
      const progress = 'awaitingFirstEvent';
      return recordBrokenRun(view, {request, dispatch, progress}, now);
    }
    case 'entryMessage':
      return observation.message.kind === 'quarantinesReported'
        ? answerQuarantines(view, observation.message, now)
        : [];
    default:
      return [];
  }
}

/** A new set leader has none of the evidence that the previous one had. */
function reportToNewLeaders(
  view: EvidenceView,
  now: TurnTime,
): readonly EvidenceWrite[] {
  return [...view.readChanges('leaderChanges')].flatMap(key => {
    const set = key as EndpointSetId;
    const runs = view.board.brokenRuns.filter(run => run.set === set);
    return runs.length === 0 ? [] : sendBrokenRuns(view, set, runs, now);
  });
}
