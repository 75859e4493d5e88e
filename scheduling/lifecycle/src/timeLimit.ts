import type {TurnTime} from '@gentianshunt/board';
import {failDispatched, refuseNotRun} from '@gentianshunt/entryModel';
import type {Refusal, RequestState} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';
import type {RequestId} from '@gentianshunt/identifiers';

import {TRANSIENT_RETRY_AFTER_MS} from './retryDelays.js';
import {endRequest} from './endRequest.js';
import type {LifecycleView, RequestDraft} from './requestDraft.js';
import {completeClaim} from './claimCompletions.js';

/** Refuses a request whose time limit has passed, and stops its stream. */
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
    draft.addEffect({kind: 'cancelStream', dispatch: state.dispatch});
  }
  if (state.kind === 'relayed') {
    draft.addEffect({kind: 'cancelRelay', relay: state.relay});
  }
  const outcome = {kind: refusal.notRun ? 'notRun' : 'unknown'} as const;
  completeClaim(view, draft, state.request, outcome, now);
  draft.addEffect({kind: 'refuseCaller', refusal});
  endRequest(draft, state, {kind: 'refused', refusal}, now);
}

function createRefusal(state: RequestState): Refusal {
  const reason = {kind: 'timeLimit'} as const;
  switch (state.kind) {
    case 'waiting':
    case 'awaitingTest':
    case 'awaitingOrigin':
    case 'awaitingAllotment':
    case 'claiming':
    case 'awaitingOutcome':
      return refuseNotRun(state, reason, TRANSIENT_RETRY_AFTER_MS);
    case 'repeating':
    case 'dispatched':
    case 'answering':
    case 'relayed':
      return failDispatched(state.request.id, reason);
    default:
      return assertNever(state, 'createRefusal');
  }
}
