/** Keeps requests with quarantined fingerprints from endpoints. */
import type {TurnTime} from '@gentianshunt/board';
import {failDispatched, isQueued, refuseNotRun} from '@gentianshunt/entryModel';
import type {QueuedState} from '@gentianshunt/entryModel';
import {findQuarantineRefusal} from '@gentianshunt/quarantine';
import type {
  FingerprintedRequest,
  QuarantineRefusal,
} from '@gentianshunt/quarantine';

import {completeClaim} from './claimCompletions.js';
import {endRequest} from './endRequest.js';
import type {LifecycleView, RequestDraft} from './requestDraft.js';

/** Finds a quarantine by which a request must not be dispatched. */
export function findRequestRefusal(
  {board}: LifecycleView,
  request: FingerprintedRequest,
  now: TurnTime,
): QuarantineRefusal | undefined {
  const {configuration, quarantines, requests, identity} = board;
  const query = {
    configuration,
    quarantines,
    requests,
    self: identity.address.node,
    now: now.monotonic,
  };
  return findQuarantineRefusal(query, request);
}

/** Refuses a queued request; one that may have run is not called unrun. */
export function refuseQuarantined(
  view: LifecycleView,
  draft: RequestDraft,
  state: QueuedState,
  {reason, retryAfterMs}: QuarantineRefusal,
  now: TurnTime,
): void {
  const refusal =
    state.kind === 'repeating'
      ? failDispatched(state.request.id, reason)
      : refuseNotRun(state, reason, retryAfterMs);
  if (state.kind === 'waiting' && state.holdsClaim === true) {
    completeClaim(view, draft, state.request, {kind: 'notRun'}, now);
  }
  draft.addEffect({kind: 'refuseCaller', refusal});
  endRequest(draft, state, {kind: 'refused', refusal}, now);
}

/** Refuses the queued requests that have been quarantined. */
export function refuseQueuedQuarantined(
  view: LifecycleView,
  draft: RequestDraft,
  now: TurnTime,
): void {
  for (const {key, value: request} of view.board.waiting.iterateFrom()) {
    const state = draft.read(key.request);
    const found = findRequestRefusal(view, request, now);
    if (found !== undefined && state !== undefined && isQueued(state)) {
      refuseQuarantined(view, draft, state, found, now);
    }
  }
}
