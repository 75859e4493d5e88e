import type {TurnTime} from '@gentianshunt/board';
import {refuseNotRun} from '@gentianshunt/entryModel';
import type {
  AdmittedRequest,
  RefusalReason,
  UndispatchedState,
} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';
import type {ClaimAnswer, ClaimKey, ClaimOutcome} from '@gentianshunt/messages';
import type {RequestId} from '@gentianshunt/identifiers';

import {endRequest, startDispatch} from './endRequest.js';
import type {LifecycleView, RequestDraft} from './requestDraft.js';

/** Asks the control log for the claim on a request's idempotency key. */
export function requestClaim(
  view: LifecycleView,
  draft: RequestDraft,
  request: AdmittedRequest,
): void {
  const {leader} = view.board.control;
  if (leader === null || request.claim === null) {
    return;
  }
  draft.order({
    kind: 'sendControl',
    to: leader,
    message: {
      kind: 'claimRequest',
      key: toClaimKey(request, request.claim.idempotencyKey),
      digest: request.claim.digest,
      request: request.id,
    },
  });
}

/** Tells the control log how a claimed request ended. */
export function settleClaim(
  view: LifecycleView,
  draft: RequestDraft,
  request: AdmittedRequest,
  outcome: ClaimOutcome,
): void {
  const {leader} = view.board.control;
  if (leader === null || request.claim === null) {
    return;
  }
  draft.order({
    kind: 'sendControl',
    to: leader,
    message: {
      kind: 'settleRequest',
      key: toClaimKey(request, request.claim.idempotencyKey),
      request: request.id,
      outcome,
    },
  });
}

function toClaimKey(
  request: AdmittedRequest,
  idempotencyKey: string,
): ClaimKey {
  return {organisation: request.organisation, idempotencyKey};
}

/** Acts on the control log's answer to a claim. */
export function handleClaimAnswer(
  view: LifecycleView,
  draft: RequestDraft,
  requestId: RequestId,
  answer: ClaimAnswer,
  now: TurnTime,
): void {
  const state = draft.read(requestId);
  if (state?.kind !== 'claiming' && state?.kind !== 'awaitingOutcome') {
    return;
  }
  switch (answer.kind) {
    case 'granted':
      handleGranted(view, draft, state, now);
      return;
    case 'running':
      draft.move({kind: 'awaitingOutcome', request: state.request});
      return;
    case 'settled':
      handleSettled(draft, state, answer.outcome, now);
      return;
    case 'digestMismatch':
      refuse(draft, state, {kind: 'idempotencyKeyReused'}, null, now);
      return;
    case 'full':
      refuse(
        draft,
        state,
        {kind: 'claimsUnavailable'},
        answer.retryAfterMs,
        now,
      );
      return;
    default:
      assertNever(answer, 'handleClaimAnswer');
  }
}

function handleGranted(
  view: LifecycleView,
  draft: RequestDraft,
  state: UndispatchedState,
  now: TurnTime,
): void {
  if (state.kind === 'claiming' && state.deadline > now.monotonic) {
    startDispatch(draft, state.request, state.dispatch);
    return;
  }
  // The slot ran out meanwhile: the claim is returned and the request waits.
  settleClaim(view, draft, state.request, {kind: 'notRun'});
  draft.move({kind: 'waiting', request: state.request});
}

function handleSettled(
  draft: RequestDraft,
  state: UndispatchedState,
  outcome: ClaimOutcome,
  now: TurnTime,
): void {
  switch (outcome.kind) {
    case 'answered':
    case 'answeredNotKept':
      draft.order({
        kind: 'repeatAnswer',
        request: state.request.id,
        outcome,
      });
      endRequest(draft, state, {kind: 'repeated', outcome}, now);
      return;
    case 'notRun':
      draft.move({kind: 'waiting', request: state.request});
      return;
    case 'unknown':
      refuse(draft, state, {kind: 'outcomeUnknown'}, null, now);
      return;
    default:
      assertNever(outcome, 'handleSettled');
  }
}

function refuse(
  draft: RequestDraft,
  state: UndispatchedState,
  reason: RefusalReason,
  retryAfterMs: number | null,
  now: TurnTime,
): void {
  const refusal = refuseNotRun(state, reason, retryAfterMs);
  draft.order({kind: 'refuseCaller', refusal});
  endRequest(draft, state, {kind: 'refused', refusal}, now);
}

/** Sends the open claims again, after a change of leader or a lost message. */
export function repeatClaims(view: LifecycleView, draft: RequestDraft): void {
  for (const state of view.board.requests.values()) {
    if (state.kind === 'claiming' || state.kind === 'awaitingOutcome') {
      requestClaim(view, draft, state.request);
    }
  }
}
