import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {
  computeResendDelayMs,
  failDispatched,
  refuseNotRun,
} from '@gentianshunt/entryModel';
import type {
  AdmittedRequest,
  OpenClaim,
  RefusalReason,
  UndispatchedState,
} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';
import type {ClaimAnswer, ClaimOutcome} from '@gentianshunt/messages';
import type {RequestId} from '@gentianshunt/identifiers';

import {TRANSIENT_RETRY_AFTER_MS} from './retryDelays.js';
import {endRequest, startDispatch} from './endRequest.js';
import type {LifecycleView, RequestDraft} from './requestDraft.js';
import {
  completeClaim,
  MAX_RESENDS_PER_TURN,
  releaseLateClaim,
} from './claimCompletions.js';

/** Shortest time after which an unanswered claim request is sent again. */
export const CLAIM_RESEND_MS: Milliseconds = 250;
/** Longest time between two queries for the outcome of another run. */
export const MAX_OUTCOME_POLL_MS: Milliseconds = 4_000;
/** Time without an answer after which a request is refused as not run. */
export const CLAIM_TIMEOUT_MS: Milliseconds = 5_000;

/** A request that waits for an answer to its claim request. */
type ClaimingState = Extract<
  UndispatchedState,
  {readonly kind: 'claiming' | 'awaitingOutcome'}
>;

/**
 * Requests the claim on a request's idempotency key from the control log. Only
 * the request that holds the claim may be dispatched.
 */
export function requestClaim(
  view: LifecycleView,
  draft: RequestDraft,
  request: AdmittedRequest,
  now: TurnTime,
): void {
  const startedAt = now.monotonic;
  const openClaim = {startedAt, requestedAt: startedAt, requestCount: 0};
  sendClaimRequest(view, draft, request, openClaim, now);
}

function sendClaimRequest(
  view: LifecycleView,
  draft: RequestDraft,
  request: AdmittedRequest,
  openClaim: OpenClaim,
  now: TurnTime,
): void {
  const {claim, organisation, id} = request;
  if (claim === null) {
    return;
  }
  draft.putOpenClaim(id, {
    ...openClaim,
    requestedAt: now.monotonic,
    requestCount: openClaim.requestCount + 1,
  });
  const {leader} = view.board.control;
  if (leader !== null) {
    const {idempotencyKey, digest} = claim;
    const key = {organisation, idempotencyKey};
    draft.addEffect({
      kind: 'sendControl',
      to: leader,
      message: {kind: 'claimRequest', key, digest, request: id},
    });
  }
}

/** Applies the control log's answer to a claim request. */
export function handleClaimAnswer(
  view: LifecycleView,
  draft: RequestDraft,
  requestId: RequestId,
  answer: ClaimAnswer,
  now: TurnTime,
): void {
  const state = draft.read(requestId);
  if (state === undefined && answer.kind === 'granted') {
    releaseLateClaim(view, draft, requestId, now);
    return;
  }
  if (state?.kind !== 'claiming' && state?.kind !== 'awaitingOutcome') {
    return;
  }
  switch (answer.kind) {
    case 'granted':
      handleClaimGranted(view, draft, state, now);
      return;
    case 'running':
      draft.move({kind: 'awaitingOutcome', request: state.request});
      return;
    case 'settled':
      handleClaimCompleted(draft, state, answer.outcome, now);
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
 * Dispatches the request, or requeues it with its claim if the slot's deadline
 * has passed or its endpoint has left meanwhile. The claim is not released and
 * requested again, since a late copy of the release could then free the key
 * while the request runs.
 */
function handleClaimGranted(
  {board}: LifecycleView,
  draft: RequestDraft,
  state: ClaimingState,
  now: TurnTime,
): void {
  if (
    state.kind === 'claiming' &&
    state.deadline > now.monotonic &&
    !board.withdrawnEndpoints.has(state.dispatch.target.endpoint)
  ) {
    startDispatch(draft, state.request, state.dispatch, now);
    return;
  }
  draft.move({kind: 'waiting', request: state.request, holdsClaim: true});
}

/** Applies the outcome of an earlier run with the same idempotency key. */
function handleClaimCompleted(
  draft: RequestDraft,
  state: ClaimingState,
  outcome: ClaimOutcome,
  now: TurnTime,
): void {
  switch (outcome.kind) {
    case 'answered':
    case 'answeredNotKept':
      draft.addEffect({
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
      refuseOutcomeUnknown(draft, state, now);
      return;
    default:
      assertNever(outcome, 'handleClaimCompleted');
  }
}

/** Refuses the caller, since an earlier run of the call may have finished. */
function refuseOutcomeUnknown(
  draft: RequestDraft,
  state: ClaimingState,
  now: TurnTime,
): void {
  const refusal = failDispatched(state.request.id, {kind: 'outcomeUnknown'});
  draft.addEffect({kind: 'refuseCaller', refusal});
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
  draft.addEffect({kind: 'refuseCaller', refusal});
  endRequest(draft, state, {kind: 'refused', refusal}, now);
}

/**
 * Resends claim requests whose answer is late, and refuses the requests whose
 * claim was not answered within the timeout.
 */
export function resendClaimRequests(
  view: LifecycleView,
  draft: RequestDraft,
  now: TurnTime,
): void {
  let resends = 0;
  for (const [id, openClaim] of view.board.openClaims) {
    const state = draft.read(id);
    if (state?.kind !== 'claiming' && state?.kind !== 'awaitingOutcome') {
      continue;
    }
    const openMs = now.monotonic - openClaim.startedAt;
    if (state.kind === 'claiming' && openMs >= CLAIM_TIMEOUT_MS) {
      abandonClaim(view, draft, state, now);
    } else if (
      now.monotonic - openClaim.requestedAt >=
        computeResendDelay(view, state, openClaim) &&
      resends < MAX_RESENDS_PER_TURN
    ) {
      resends += 1;
      sendClaimRequest(view, draft, state.request, openClaim, now);
    }
  }
}

/** Doubles the delay of each query for another run's outcome, up to a limit. */
function computeResendDelay(
  {board}: LifecycleView,
  state: ClaimingState,
  openClaim: OpenClaim,
): Milliseconds {
  const delayMs = computeResendDelayMs(board.control, CLAIM_RESEND_MS);
  return state.kind === 'claiming'
    ? delayMs
    : Math.min(delayMs * 2 ** openClaim.requestCount, MAX_OUTCOME_POLL_MS);
}

/**
 * Refuses a request whose claim was not answered in time. If the claim is
 * granted later, it is released.
 */
function abandonClaim(
  view: LifecycleView,
  draft: RequestDraft,
  state: ClaimingState,
  now: TurnTime,
): void {
  completeClaim(view, draft, state.request, {kind: 'notRun'}, now);
  const reason = {kind: 'claimsUnavailable'} as const;
  refuse(draft, state, reason, TRANSIENT_RETRY_AFTER_MS, now);
}
