import type {TurnTime} from '@gentianshunt/board';
import {defineEntryController} from '@gentianshunt/entryModel';
import type {
  DispatchedState,
  EntryController,
  EntryDecision,
  StreamEnd,
} from '@gentianshunt/entryModel';

type BrokenAnswerReads = 'requests' | 'dispatches';

/**
 * Creates the controller that logs each answer that broke off, with the parts of
 * its prompt, so that failures of different endpoints can be related.
 */
export function createBrokenAnswerController(): EntryController {
  return defineEntryController<BrokenAnswerReads, never>({
    name: 'brokenAnswers',
    reads: ['requests', 'dispatches'],
    writes: [],
    observes: ['streamEnded'],
    run: (view, now) => {
      const {observation} = view;
      if (observation?.kind !== 'streamEnded') {
        return [];
      }
      const {dispatch, end} = observation;
      const request = view.board.dispatches.get(dispatch);
      const state =
        request === undefined ? undefined : view.board.requests.get(request);
      const isRunning =
        state?.kind === 'dispatched' || state?.kind === 'answering';
      if (end.kind !== 'cut' || !isRunning) {
        return [];
      }
      const decision = describeBrokenAnswer(state, end, now);
      return [{kind: 'effect', effect: {kind: 'logDecision', decision}}];
    },
  });
}

function describeBrokenAnswer(
  {request, dispatch}: DispatchedState,
  {progress}: Extract<StreamEnd, {readonly kind: 'cut'}>,
  now: TurnTime,
): EntryDecision {
  return {
    kind: 'answerBroken',
    request: request.id,
    set: request.set,
    organisation: request.organisation,
    endpoint: dispatch.target.endpoint,
    attempt: (request.tried?.length ?? 0) + 1,
    progress,
    sinceDispatchMs: now.monotonic - dispatch.at,
    promptParts: request.promptParts ?? [],
  };
}
