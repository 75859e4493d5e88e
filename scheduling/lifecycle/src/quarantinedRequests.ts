/** Keeps requests with quarantined prompt parts from endpoints. */
import type {TurnTime} from '@gentianshunt/board';
import {failDispatched, isQueued, refuseNotRun} from '@gentianshunt/entryModel';
import type {
  AdmittedRequest,
  Quarantine,
  QueuedState,
  RequestAttributes,
} from '@gentianshunt/entryModel';
import {
  computeQuarantineRetry,
  decaySoundUse,
  findQuarantine,
} from '@gentianshunt/promptQuarantine';

import {completeClaim} from './claimCompletions.js';
import {endRequest} from './endRequest.js';
import type {LifecycleView, RequestDraft} from './requestDraft.js';

const REASON = {kind: 'promptQuarantined'} as const;
/** Sound answers after which a part is not suspected of a single crash. */
const MIN_SOUND_RUNS = 0.5;

/** Finds a quarantine by which a request must not be dispatched. */
export function findRequestQuarantine(
  {board}: LifecycleView,
  request: Pick<RequestAttributes, 'id' | 'promptParts'>,
  now: TurnTime,
): Quarantine | undefined {
  const {quarantines, requests, identity} = board;
  const query = {
    quarantines,
    requests,
    self: identity.address.node,
    now: now.monotonic,
  };
  return findQuarantine(query, request);
}

/** Refuses a queued request; one that may have run is not called unrun. */
export function refuseQuarantined(
  view: LifecycleView,
  draft: RequestDraft,
  state: QueuedState,
  quarantine: Quarantine,
  now: TurnTime,
): void {
  const retryAfterMs = computeQuarantineRetry(quarantine, now.monotonic);
  const refusal =
    state.kind === 'repeating'
      ? failDispatched(state.request.id, REASON)
      : refuseNotRun(state, REASON, retryAfterMs);
  if (state.kind === 'waiting' && state.holdsClaim === true) {
    completeClaim(view, draft, state.request, {kind: 'notRun'}, now);
  }
  draft.addEffect({kind: 'refuseCaller', refusal});
  endRequest(draft, state, {kind: 'refused', refusal}, now);
}

/** Refuses the queued requests whose parts have been quarantined. */
export function refuseQueuedQuarantined(
  view: LifecycleView,
  draft: RequestDraft,
  now: TurnTime,
): void {
  if (view.board.quarantines.size === 0) {
    return;
  }
  for (const {request} of view.board.requests.values()) {
    const state = draft.read(request.id);
    const quarantine = findRequestQuarantine(view, request, now);
    if (quarantine !== undefined && state !== undefined && isQueued(state)) {
      refuseQuarantined(view, draft, state, quarantine, now);
    }
  }
}

/**
 * Returns whether a request may have caused the failure of its endpoint: it has
 * prompt parts that no recent sound answer of this entry had.
 */
export function isSuspected(
  {board}: LifecycleView,
  {promptParts = []}: AdmittedRequest,
  now: TurnTime,
): boolean {
  return promptParts.some(
    part =>
      decaySoundUse(board.soundParts.get(part), now.monotonic).lasting <
      MIN_SOUND_RUNS,
  );
}
