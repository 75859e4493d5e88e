import type {TurnTime} from '@gentianshunt/board';
import {failDispatched, refuseNotRun} from '@gentianshunt/entryModel';
import type {Refusal, RequestState} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';
import type {RequestId} from '@gentianshunt/identifiers';

import {TRANSIENT_RETRY_AFTER_MS} from './admitRequest.js';
import {endRequest} from './endRequest.js';
import type {LifecycleView, RequestDraft} from './requestDraft.js';
import {settleClaim} from './settlements.js';

/** Gives a request its final answer when its time limit has passed. */
export function handleTimeLimit(
  view: LifecycleView,
  draft: RequestDraft,
  id: RequestId,
  now: TurnTime,
): void {
  const state = draft.read(id);
  if (state === undefined) {
    return;
  }
  const refusal = createRefusal(state);
  if (state.kind === 'dispatched' || state.kind === 'answering') {
    draft.order({kind: 'cancelStream', dispatch: state.dispatch});
  }
  const outcome = {kind: refusal.notRun ? 'notRun' : 'unknown'} as const;
  settleClaim(view, draft, state.request, outcome, now);
  draft.order({kind: 'refuseCaller', refusal});
  endRequest(draft, state, {kind: 'refused', refusal}, now);
}

function createRefusal(state: RequestState): Refusal {
  const reason = {kind: 'timeLimit'} as const;
  switch (state.kind) {
    case 'waiting':
    case 'awaitingAllotment':
    case 'claiming':
    case 'awaitingOutcome':
      return refuseNotRun(state, reason, TRANSIENT_RETRY_AFTER_MS);
    case 'repeating':
    case 'dispatched':
    case 'answering':
      return failDispatched(state.request.id, reason);
    default:
      return assertNever(state, 'createRefusal');
  }
}
