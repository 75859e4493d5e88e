import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {failDispatched, isQueued, refuseNotRun} from '@gentianshunt/entryModel';
import type {QueuedState, Refusal, RoutePolicy} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';

import {describeShed} from './describeShed.js';
import {endRequest} from './endRequest.js';
import type {LifecycleView, RequestDraft} from './requestDraft.js';

/** Fraction of a caller's patience after which a queued request is shed. */
export const SHED_PATIENCE_FRACTION = 0.8;
/** Retry delay of a refused caller, as a fraction of its time limit. */
const RETRY_AFTER_FRACTION = 0.15;
/** Longest retry delay of a refused caller. */
const MAX_RETRY_AFTER_MS: Milliseconds = 2_000;

/**
 * Checks how long queued requests have waited. A request past its objective is
 * demoted behind the others of its tier. A request whose caller is about to
 * leave is refused while the caller can still use the refusal.
 */
export function checkWaitingTimes(
  view: LifecycleView,
  draft: RequestDraft,
  now: TurnTime,
): void {
  for (const {key} of [...view.board.waiting.iterateFrom()]) {
    const state = draft.read(key.request);
    const routePolicy = state?.request.routePolicy;
    if (state === undefined || routePolicy === undefined || !isQueued(state)) {
      continue;
    }
    const waitedMs = now.monotonic - state.request.arrivedAt;
    if (waitedMs >= SHED_PATIENCE_FRACTION * routePolicy.patienceMs) {
      const refusal = createRefusal(state, routePolicy);
      const ownNode = view.board.identity.address.node;
      draft.addEffect(describeShed(view, state.request, ownNode, now));
      draft.addEffect({kind: 'refuseCaller', refusal});
      endRequest(draft, state, {kind: 'refused', refusal}, now);
    } else if (waitedMs >= routePolicy.objectiveMs) {
      demoteRequest(draft, state);
    }
  }
}

/** Moves a request to the rank after that of its tier. */
function demoteRequest(draft: RequestDraft, state: QueuedState): void {
  const {request} = state;
  if (request.isDeprioritised !== true) {
    const rank = request.rank + 1;
    draft.move({...state, request: {...request, rank, isDeprioritised: true}});
  }
}

function createRefusal(
  state: QueuedState,
  {timeLimitMs}: RoutePolicy,
): Refusal {
  const reason = {kind: 'shed'} as const;
  const retryAfterMs = Math.min(
    MAX_RETRY_AFTER_MS,
    RETRY_AFTER_FRACTION * timeLimitMs,
  );
  switch (state.kind) {
    case 'waiting':
      return refuseNotRun(state, reason, retryAfterMs);
    case 'repeating':
      return failDispatched(state.request.id, reason);
    default:
      return assertNever(state, 'createRefusal');
  }
}
