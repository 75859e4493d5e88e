/** Keeps requests with quarantined prompt parts from endpoints. */
import type {TurnTime} from '@gentianshunt/board';
import {failDispatched, isQueued, refuseNotRun} from '@gentianshunt/entryModel';
import type {
  AdmittedRequest,
  QueuedState,
  RequestAttributes,
} from '@gentianshunt/entryModel';
import {decaySoundUse, findQuarantineRefusal} from '@gentianshunt/quarantine';
import type {QuarantineRefusal} from '@gentianshunt/quarantine';

import {completeClaim} from './claimCompletions.js';
import {endRequest} from './endRequest.js';
import type {LifecycleView, RequestDraft} from './requestDraft.js';

const REASON = {kind: 'promptQuarantined'} as const;
/** Sound answers after which a part is not suspected of a single crash. */
const MIN_SOUND_RUNS = 0.5;

/** Finds a prompt part by which a request must not be dispatched. */
export function findRequestRefusal(
  {board}: LifecycleView,
  request: Pick<RequestAttributes, 'id' | 'promptParts'>,
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
  {retryAfterMs}: QuarantineRefusal,
  now: TurnTime,
): void {
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
  for (const {key, value: request} of view.board.waiting.iterateFrom()) {
    const state = draft.read(key.request);
    const found = findRequestRefusal(view, request, now);
    if (found !== undefined && state !== undefined && isQueued(state)) {
      refuseQuarantined(view, draft, state, found, now);
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
