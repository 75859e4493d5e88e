import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {failDispatched, refuseNotRun} from '@gentianshunt/entryModel';
import type {
  AdmittedRequest,
  OpenClaim,
  RefusalReason,
  UndispatchedState,
} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';
import type {ClaimAnswer, ClaimOutcome} from '@gentianshunt/messages';
import type {RequestId} from '@gentianshunt/identifiers';

import {TRANSIENT_RETRY_AFTER_MS} from './admitRequest.js';
import {endRequest, startDispatch} from './endRequest.js';
import type {LifecycleView, RequestDraft} from './requestDraft.js';
import {
  MAX_REPEATS_PER_TURN,
  returnLateClaim,
  settleClaim,
} from './settlements.js';

/** Time after which an unanswered claim is asked for again. */
export const CLAIM_REPEAT_MS: Milliseconds = 250;
/** Longest time between two questions after the outcome of another run. */
export const MAX_OUTCOME_REPEAT_MS: Milliseconds = 4_000;
/** After this time without an answer the request is refused as not run. */
export const CLAIM_TIMEOUT_MS: Milliseconds = 5_000;

/** A request that has asked for a claim. */
type ClaimingState = Extract<
  UndispatchedState,
  {readonly kind: 'claiming' | 'awaitingOutcome'}
>;

/** Asks the control log for the claim on a request's idempotency key. */
export function requestClaim(
  view: LifecycleView,
  draft: RequestDraft,
  request: AdmittedRequest,
  now: TurnTime,
): void {
  const startedAt = now.monotonic;
  const open = {startedAt, askedAt: startedAt, asks: 0};
  askAgain(view, draft, request, open, now);
}

function askAgain(
  view: LifecycleView,
  draft: RequestDraft,
  request: AdmittedRequest,
  open: OpenClaim,
  now: TurnTime,
): void {
  const {claim, organisation, id} = request;
  if (claim === null) {
    return;
  }
  draft.putOpenClaim(id, {
    ...open,
    askedAt: now.monotonic,
    asks: open.asks + 1,
  });
  const {leader} = view.board.control;
  if (leader !== null) {
    const {idempotencyKey, digest} = claim;
    const key = {organisation, idempotencyKey};
    draft.order({
      kind: 'sendControl',
      to: leader,
      message: {kind: 'claimRequest', key, digest, request: id},
    });
  }
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
  if (state === undefined && answer.kind === 'granted') {
    returnLateClaim(view, draft, requestId, now);
    return;
  }
  if (state?.kind !== 'claiming' && state?.kind !== 'awaitingOutcome') {
    return;
  }
  switch (answer.kind) {
    case 'granted':
      handleGranted(draft, state, now);
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

/**
 * Dispatches, or keeps the claim when the slot has run out meanwhile. The
 * claim is not returned and asked for again, since a late copy of the return
 * could then free a key whose request runs.
 */
function handleGranted(
  draft: RequestDraft,
  state: ClaimingState,
  now: TurnTime,
): void {
  if (state.kind === 'claiming' && state.deadline > now.monotonic) {
    startDispatch(draft, state.request, state.dispatch, now);
    return;
  }
  draft.move({kind: 'waiting', request: state.request, holdsClaim: true});
}

function handleSettled(
  draft: RequestDraft,
  state: ClaimingState,
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
      refuseUnknown(draft, state, now);
      return;
    default:
      assertNever(outcome, 'handleSettled');
  }
}

/** An earlier run of the same call may have been completed. */
function refuseUnknown(
  draft: RequestDraft,
  state: ClaimingState,
  now: TurnTime,
): void {
  const refusal = failDispatched(state.request.id, {kind: 'outcomeUnknown'});
  draft.order({kind: 'refuseCaller', refusal});
  endRequest(draft, state, {kind: 'refused', refusal}, now);
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

/** Asks again for claims whose answer is late, or gives them up. */
export function repeatClaims(
  view: LifecycleView,
  draft: RequestDraft,
  now: TurnTime,
): void {
  let repeats = 0;
  for (const [id, open] of view.board.openClaims) {
    const state = draft.read(id);
    if (state?.kind !== 'claiming' && state?.kind !== 'awaitingOutcome') {
      continue;
    }
    const openMs = now.monotonic - open.startedAt;
    if (state.kind === 'claiming' && openMs >= CLAIM_TIMEOUT_MS) {
      abandonClaim(view, draft, state, now);
    } else if (
      now.monotonic - open.askedAt >= readRepeatDelay(state, open) &&
      repeats < MAX_REPEATS_PER_TURN
    ) {
      repeats += 1;
      askAgain(view, draft, state.request, open, now);
    }
  }
}

/** Questions after another run's outcome come less and less often. */
function readRepeatDelay(state: ClaimingState, open: OpenClaim): Milliseconds {
  return state.kind === 'claiming'
    ? CLAIM_REPEAT_MS
    : Math.min(CLAIM_REPEAT_MS * 2 ** open.asks, MAX_OUTCOME_REPEAT_MS);
}

function abandonClaim(
  view: LifecycleView,
  draft: RequestDraft,
  state: ClaimingState,
  now: TurnTime,
): void {
  settleClaim(view, draft, state.request, {kind: 'notRun'}, now);
  const reason = {kind: 'claimsUnavailable'} as const;
  refuse(draft, state, reason, TRANSIENT_RETRY_AFTER_MS, now);
}
