import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {failDispatched} from '@gentianshunt/entryModel';
import type {
  DispatchedState,
  Refusal,
  RefusalReason,
  RelayedState,
} from '@gentianshunt/entryModel';
import type {ClaimOutcome} from '@gentianshunt/messages';

import {completeClaim} from './claimCompletions.js';
import {endRequest} from './endRequest.js';
import type {LifecycleView, RequestDraft} from './requestDraft.js';

/** Fails a request that may have reached an endpoint. */
export function failRequest(
  view: LifecycleView,
  draft: RequestDraft,
  state: DispatchedState,
  refusal: Refusal,
  outcome: ClaimOutcome,
  now: TurnTime,
): void {
  completeClaim(view, draft, state.request, outcome, now);
  draft.addEffect({kind: 'refuseCaller', refusal});
  endRequest(draft, state, {kind: 'refused', refusal}, now);
}

/** Fails a request that was passed on to another entry. */
export function failRelayed(
  draft: RequestDraft,
  state: RelayedState,
  refusal: Refusal,
  now: TurnTime,
): void {
  draft.addEffect({kind: 'refuseCaller', refusal});
  endRequest(draft, state, {kind: 'refused', refusal}, now);
}

/** Fails a request of which nobody knows whether it ran. */
export function failUnknown(
  view: LifecycleView,
  draft: RequestDraft,
  state: DispatchedState,
  reason: RefusalReason,
  now: TurnTime,
  retryAfterMs: Milliseconds | null = null,
): void {
  const refusal = failDispatched(state.request.id, reason, retryAfterMs);
  failRequest(view, draft, state, refusal, {kind: 'unknown'}, now);
}
