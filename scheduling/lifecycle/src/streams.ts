import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {isModelSet} from '@gentianshunt/configuration';
import {failDispatched, refuseNotExecuted} from '@gentianshunt/entryModel';
import type {
  DispatchedState,
  StoredAnswer,
  StreamEnd,
} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';
import {isSuspected} from '@gentianshunt/quarantine';
import type {ClaimOutcome} from '@gentianshunt/messages';
import type {DispatchId, RequestId} from '@gentianshunt/identifiers';

import {TRANSIENT_RETRY_AFTER_MS} from './retryDelays.js';
import {endRequest} from './endRequest.js';
import {failRequest, failUnknown} from './failRequest.js';
import {canRetry, requeueForRetry, requeueIfRetryable} from './retries.js';
import type {LifecycleView, RequestDraft} from './requestDraft.js';
import {completeClaim} from './claimCompletions.js';
import {handleNotSent, handleWithheld} from './unsentStreams.js';

/** Longest time without data in the middle of an answer. */
export const ANSWER_IDLE_TIMEOUT_MS: Milliseconds = 30_000;
/** How often a broken stream is resumed before its request fails. */
export const MAX_RESUMES = 2;

/** HTTP statuses by which an endpoint reports that it is busy. */
const BUSY_STATUSES: ReadonlySet<number> = new Set([429, 503]);

/** Finds the dispatched request that a stream belongs to. */
function findDispatched(
  view: LifecycleView,
  draft: RequestDraft,
  dispatch: DispatchId,
): DispatchedState | undefined {
  const request = view.board.dispatches.get(dispatch);
  const state = request === undefined ? undefined : draft.read(request);
  return state?.kind === 'dispatched' || state?.kind === 'answering'
    ? state
    : undefined;
}

/** Records the first byte of an answer, or that its stream still delivers. */
export function handleStreamProgress(
  view: LifecycleView,
  draft: RequestDraft,
  dispatch: DispatchId,
  now: TurnTime,
): void {
  const state = findDispatched(view, draft, dispatch);
  if (state !== undefined) {
    draft.move({
      ...state,
      kind: 'answering',
      silentAt: now.monotonic + ANSWER_IDLE_TIMEOUT_MS,
      firstTokenAt:
        state.kind === 'answering' ? state.firstTokenAt : now.monotonic,
    });
  }
}

/**
 * Ends a request by the way its stream ended, unless the request is retried or
 * the stream is resumed.
 */
export function handleStreamEnded(
  view: LifecycleView,
  draft: RequestDraft,
  dispatch: DispatchId,
  end: StreamEnd,
  stored: StoredAnswer | null,
  now: TurnTime,
): void {
  const state = findDispatched(view, draft, dispatch);
  if (state === undefined) {
    return;
  }
  switch (end.kind) {
    case 'complete':
      completeClaim(view, draft, state.request, toAnsweredOutcome(stored), now);
      endRequest(draft, state, {kind: 'answered'}, now);
      return;
    case 'notSent':
      handleNotSent(view, draft, state, end, now);
      return;
    case 'withheld':
      handleWithheld(view, draft, state, end, now);
      return;
    case 'rejected':
      handleRejected(view, draft, state, end.status, now);
      return;
    case 'notExecuted':
      handleNotExecuted(view, draft, state, end, now);
      return;
    case 'failed':
      handleFailed(view, draft, state, end.status, now);
      return;
    case 'cut':
      handleBrokenStream(view, draft, state, end, now);
      return;
    default:
      assertNever(end, 'handleStreamEnded');
  }
}

/**
 * Retries or refuses a request. Its endpoint guarantees that it has not run and
 * will not run.
 */
function handleNotExecuted(
  view: LifecycleView,
  draft: RequestDraft,
  state: DispatchedState,
  end: Extract<StreamEnd, {readonly kind: 'notExecuted'}>,
  now: TurnTime,
): void {
  if (canRetry(view, draft, state.request, now)) {
    requeueForRetry(view, draft, state, false, now);
    return;
  }
  const hasRun = state.kind === 'answering' || state.mayHaveRun === true;
  const refusal = hasRun
    ? failDispatched(state.request.id, {
        kind: 'endpointFailed',
        detail: end.detail,
      })
    : refuseNotExecuted(state, end, TRANSIENT_RETRY_AFTER_MS);
  const outcome = {kind: hasRun ? 'unknown' : 'notRun'} as const;
  failRequest(view, draft, state, refusal, outcome, now);
}

/**
 * Retries or fails a request that failed at its endpoint; another endpoint may
 * succeed.
 */
function handleFailed(
  view: LifecycleView,
  draft: RequestDraft,
  state: DispatchedState,
  status: number,
  now: TurnTime,
): void {
  if (requeueIfRetryable(view, draft, state, now)) {
    return;
  }
  const reason = {kind: 'endpointFailed', detail: `status ${status}`} as const;
  failUnknown(view, draft, state, reason, now);
}

/**
 * Fails a request that the endpoint rejected. The endpoint has received it, so
 * it must not be reported as not run.
 */
function handleRejected(
  view: LifecycleView,
  draft: RequestDraft,
  state: DispatchedState,
  status: number,
  now: TurnTime,
): void {
  const reason = {kind: 'endpointFailed', detail: `status ${status}`} as const;
  const retryAfterMs = BUSY_STATUSES.has(status)
    ? TRANSIENT_RETRY_AFTER_MS
    : null;
  failUnknown(view, draft, state, reason, now, retryAfterMs);
}

/** Resumes or fails a request whose stream ended without its end mark. */
function handleBrokenStream(
  view: LifecycleView,
  draft: RequestDraft,
  state: DispatchedState,
  end: Extract<StreamEnd, {readonly kind: 'cut'}>,
  now: TurnTime,
): void {
  const {request, dispatch, resumes} = state;
  const {routePolicy} = request;
  if (routePolicy !== undefined) {
    handleBrokenCall(view, draft, state, end, now);
    return;
  }
  if (resumes < MAX_RESUMES && canResume(view, state)) {
    draft.move({
      ...state,
      resumes: resumes + 1,
      silentAt: now.monotonic + ANSWER_IDLE_TIMEOUT_MS,
    });
    const fromEvent = end.events;
    draft.addEffect({kind: 'resumeStream', request, dispatch, fromEvent});
    return;
  }
  const reason = {kind: 'answerCut', detail: end.detail} as const;
  failUnknown(view, draft, state, reason, now);
}

/**
 * Retries a call to a route if its caller has received nothing yet, or if its
 * route allows a stream to continue from another endpoint.
 */
function handleBrokenCall(
  view: LifecycleView,
  draft: RequestDraft,
  state: DispatchedState,
  end: Extract<StreamEnd, {readonly kind: 'cut'}>,
  now: TurnTime,
): void {
  const {request, dispatch} = state;
  const isOpen =
    state.kind === 'dispatched' || request.routePolicy?.isResumable === true;
  const broken = {request, dispatch: dispatch.id, progress: end.progress};
  const mayBeCause = isSuspected(view.board, broken, now.monotonic);
  const canContinue = isOpen && !mayBeCause;
  if (canContinue && requeueIfRetryable(view, draft, state, now)) {
    return;
  }
  const reason = {kind: 'answerCut', detail: end.detail} as const;
  failUnknown(view, draft, state, reason, now);
}

/**
 * Returns whether the endpoint can resume a stream. Model engines keep a stream
 * for a while; other services do not.
 */
function canResume(view: LifecycleView, state: DispatchedState): boolean {
  return isModelSet(view.board.configuration, state.request.set);
}

function toAnsweredOutcome(stored: StoredAnswer | null): ClaimOutcome {
  if (stored === null) {
    return {kind: 'unknown'};
  }
  if (stored.body === null) {
    return {kind: 'answeredNotKept', status: stored.status};
  }
  return {
    kind: 'answered',
    status: stored.status,
    contentType: stored.contentType,
    body: stored.body,
  };
}

/** Retries or fails requests whose endpoint has been silent for too long. */
export function endSilentStreams(
  view: LifecycleView,
  draft: RequestDraft,
  now: TurnTime,
): void {
  for (const {key, value} of view.board.silenceDeadlines.iterateFrom()) {
    if (key.silentAt > now.monotonic) {
      return;
    }
    const state = draft.read(value);
    if (state?.kind === 'dispatched' || state?.kind === 'answering') {
      draft.addEffect({kind: 'cancelStream', dispatch: state.dispatch});
      if (requeueIfRetryable(view, draft, state, now)) {
        continue;
      }
      const reason = {kind: 'answerCut', detail: 'endpoint silent'} as const;
      failUnknown(view, draft, state, reason, now);
    }
  }
}

/** Ends a request whose caller disconnected, unless its outcome is needed. */
export function handleCallerDisconnected(
  view: LifecycleView,
  draft: RequestDraft,
  request: RequestId,
  now: TurnTime,
): void {
  const state = draft.read(request);
  if (state === undefined) {
    return;
  }
  switch (state.kind) {
    case 'waiting':
      if (state.holdsClaim === true) {
        completeClaim(view, draft, state.request, {kind: 'notRun'}, now);
      }
      endRequest(draft, state, {kind: 'abandonedWaiting'}, now);
      return;
    case 'awaitingTest':
    case 'awaitingOrigin':
    case 'awaitingAllotment':
    case 'repeating':
      endRequest(draft, state, {kind: 'abandonedWaiting'}, now);
      return;
    case 'awaitingOutcome':
    case 'claiming':
      // The open claim request may still be granted, so the claim is released.
      completeClaim(view, draft, state.request, {kind: 'notRun'}, now);
      endRequest(draft, state, {kind: 'abandonedWaiting'}, now);
      return;
    case 'dispatched':
    case 'answering':
      abandonRunningRequest(draft, state, now);
      return;
    case 'relayed':
      draft.addEffect({kind: 'cancelRelay', relay: state.relay});
      endRequest(
        draft,
        state,
        {kind: 'abandonedRunning', prefilled: false},
        now,
      );
      return;
    default:
      assertNever(state, 'handleCallerDisconnected');
  }
}

function abandonRunningRequest(
  draft: RequestDraft,
  state: DispatchedState,
  now: TurnTime,
): void {
  // A call with a claim runs to its end, so that its outcome is recorded.
  if (state.request.claim !== null) {
    return;
  }
  draft.addEffect({kind: 'cancelStream', dispatch: state.dispatch});
  const prefilled = state.kind === 'answering';
  endRequest(draft, state, {kind: 'abandonedRunning', prefilled}, now);
}
