import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {failDispatched, isQueued, refuseNotRun} from '@gentianshunt/entryModel';
import type {QueuedState, Refusal, RouteTerms} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';

import {describeShed} from './describeShed.js';
import {endRequest} from './endRequest.js';
import type {LifecycleView, RequestDraft} from './requestDraft.js';

/** Part of a caller's patience after which a request in line is given up. */
export const PATIENCE_USED = 0.8;
/** Part of its time limit that a refused caller is asked to stay away. */
const RETRY_AFTER_SHARE = 0.15;
/** Longest time for which a refused caller is asked to stay away. */
const MAX_RETRY_AFTER_MS: Milliseconds = 2_000;

/**
 * Looks at the requests in line: those that can no longer be on time go
 * behind the others of their tier, and those whose callers are about to leave
 * are refused while that still helps.
 */
export function handleOverdue(
  view: LifecycleView,
  draft: RequestDraft,
  now: TurnTime,
): void {
  for (const {key} of [...view.board.waiting.iterateFrom()]) {
    const state = draft.read(key.request);
    const terms = state?.request.terms;
    if (state === undefined || terms === undefined || !isQueued(state)) {
      continue;
    }
    const waitedMs = now.monotonic - state.request.arrivedAt;
    if (waitedMs >= PATIENCE_USED * terms.patienceMs) {
      const refusal = createRefusal(state, terms);
      const self = view.board.identity.address.node;
      draft.order(describeShed(view, state.request, self, now));
      draft.order({kind: 'refuseCaller', refusal});
      endRequest(draft, state, {kind: 'refused', refusal}, now);
    } else if (waitedMs >= terms.objectiveMs) {
      setBehindTier(draft, state);
    }
  }
}

/** The rank behind a tier's own is that of its late requests. */
function setBehindTier(draft: RequestDraft, state: QueuedState): void {
  const {request} = state;
  if (request.isLate !== true) {
    const rank = request.rank + 1;
    draft.move({...state, request: {...request, rank, isLate: true}});
  }
}

function createRefusal(state: QueuedState, {timeLimitMs}: RouteTerms): Refusal {
  const reason = {kind: 'shed'} as const;
  const retryAfterMs = Math.min(
    MAX_RETRY_AFTER_MS,
    RETRY_AFTER_SHARE * timeLimitMs,
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
