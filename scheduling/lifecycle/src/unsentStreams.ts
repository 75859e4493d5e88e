/** Handles dispatches of which no byte was sent. */
import type {TurnTime} from '@gentianshunt/board';
import {refuseUnsent, refuseWithheld} from '@gentianshunt/entryModel';
import type {DispatchedState, StreamEnd} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';

import {TRANSIENT_RETRY_AFTER_MS} from './retryDelays.js';
import {completeClaim} from './claimCompletions.js';
import {endRequest} from './endRequest.js';
import {failRequest, failUnknown} from './failRequest.js';
import type {LifecycleView, RequestDraft} from './requestDraft.js';
import {canRetryUnsent, requeueUnsent, requeueWithheld} from './retries.js';

type NotSentEnd = Extract<StreamEnd, {readonly kind: 'notSent'}>;
type WithheldEnd = Extract<StreamEnd, {readonly kind: 'withheld'}>;

/**
 * Retries or fails a request whose last attempt sent no byte. If the stream was
 * being resumed, or an earlier dispatch may have run, the request is not
 * refused as not run.
 */
export function handleNotSent(
  view: LifecycleView,
  draft: RequestDraft,
  state: DispatchedState,
  end: NotSentEnd,
  now: TurnTime,
): void {
  if (canRetryUnsent(state.request)) {
    requeueUnsent(draft, state);
    return;
  }
  if (state.kind === 'answering' || hasEarlierRun(state)) {
    const reason = {kind: 'answerCut', detail: end.detail} as const;
    failUnknown(view, draft, state, reason, now);
    return;
  }
  const refusal = refuseUnsent(state, end, TRANSIENT_RETRY_AFTER_MS);
  failRequest(view, draft, state, refusal, {kind: 'notRun'}, now);
}

/** Handles a dispatch that the front did not send. */
export function handleWithheld(
  view: LifecycleView,
  draft: RequestDraft,
  state: DispatchedState,
  end: WithheldEnd,
  now: TurnTime,
): void {
  switch (end.cause) {
    case 'callerGone':
      completeClaim(view, draft, state.request, {kind: 'notRun'}, now);
      endRequest(draft, state, {kind: 'abandonedWaiting'}, now);
      return;
    case 'timeLimit':
    case 'promptQuarantined':
    case 'requestQuarantined':
      refuseUnsendable(view, draft, state, end, end.cause, now);
      return;
    case 'endpointLeft':
    case 'endpointPaused':
      handleNotSent(
        view,
        draft,
        state,
        {kind: 'notSent', detail: end.cause},
        now,
      );
      return;
    case 'leavesUnknown':
      requeueWithheld(draft, state);
      return;
    default:
      assertNever(end.cause, 'handleWithheld');
  }
}

/** Refuses a request that must not be sent any more. */
function refuseUnsendable(
  view: LifecycleView,
  draft: RequestDraft,
  state: DispatchedState,
  end: WithheldEnd,
  kind: 'timeLimit' | 'promptQuarantined' | 'requestQuarantined',
  now: TurnTime,
): void {
  const reason = {kind};
  if (state.kind === 'answering' || hasEarlierRun(state)) {
    failUnknown(view, draft, state, reason, now);
    return;
  }
  const refusal = refuseWithheld(state, end, reason, TRANSIENT_RETRY_AFTER_MS);
  failRequest(view, draft, state, refusal, {kind: 'notRun'}, now);
}

/** Returns whether an earlier dispatch of the request may have run. */
function hasEarlierRun({resumes, mayHaveRun}: DispatchedState): boolean {
  return resumes > 0 || mayHaveRun === true;
}
