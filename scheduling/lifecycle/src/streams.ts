import type {TurnTime} from '@gentianshunt/board';
import {failDispatched} from '@gentianshunt/entryModel';
import type {
  DispatchedState,
  RefusalReason,
  StoredAnswer,
  StreamEnd,
} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';
import type {ClaimOutcome} from '@gentianshunt/messages';
import type {DispatchId, RequestId} from '@gentianshunt/identifiers';

import {settleClaim} from './claims.js';
import {endRequest} from './endRequest.js';
import type {LifecycleView, RequestDraft} from './requestDraft.js';

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

/** Notes the first byte of an answer. */
export function handleStreamStarted(
  view: LifecycleView,
  draft: RequestDraft,
  dispatch: DispatchId,
  now: TurnTime,
): void {
  const state = findDispatched(view, draft, dispatch);
  if (state?.kind === 'dispatched') {
    draft.move({
      kind: 'answering',
      request: state.request,
      dispatch: state.dispatch,
      firstTokenAt: now.monotonic,
    });
  }
}

/** Ends a request as its stream ended. */
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
      settleClaim(view, draft, state.request, toAnsweredOutcome(stored));
      endRequest(draft, state, {kind: 'answered'}, now);
      return;
    case 'notSent':
      fail(view, draft, state, now, {
        reason: {kind: 'endpointFailed', detail: end.detail},
        outcome: {kind: 'notRun'},
      });
      return;
    case 'rejected':
      fail(view, draft, state, now, {
        reason: {kind: 'endpointFailed', detail: `status ${end.status}`},
        outcome: {kind: 'unknown'},
      });
      return;
    case 'cut':
      fail(view, draft, state, now, {
        reason: {kind: 'answerCut', detail: end.detail},
        outcome: {kind: 'unknown'},
      });
      return;
    default:
      assertNever(end, 'handleStreamEnded');
  }
}

interface StreamFailure {
  readonly reason: RefusalReason;
  readonly outcome: ClaimOutcome;
}

function fail(
  view: LifecycleView,
  draft: RequestDraft,
  state: DispatchedState,
  now: TurnTime,
  failure: StreamFailure,
): void {
  const refusal = failDispatched(state.request.id, failure.reason);
  settleClaim(view, draft, state.request, failure.outcome);
  draft.order({kind: 'refuseCaller', refusal});
  endRequest(draft, state, {kind: 'refused', refusal}, now);
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

/** Stops the work of a caller that has left. */
export function handleCallerGone(
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
    case 'awaitingOutcome':
      endRequest(draft, state, {kind: 'abandonedWaiting'}, now);
      return;
    case 'claiming':
      settleClaim(view, draft, state.request, {kind: 'notRun'});
      endRequest(draft, state, {kind: 'abandonedWaiting'}, now);
      return;
    case 'dispatched':
    case 'answering':
      abandonRunning(draft, state, now);
      return;
    default:
      assertNever(state, 'handleCallerGone');
  }
}

function abandonRunning(
  draft: RequestDraft,
  state: DispatchedState,
  now: TurnTime,
): void {
  // A non-idempotent call runs to its end, so that its outcome is known.
  if (state.request.claim !== null) {
    return;
  }
  draft.order({kind: 'cancelStream', dispatch: state.dispatch});
  const prefilled = state.kind === 'answering';
  endRequest(draft, state, {kind: 'abandonedRunning', prefilled}, now);
}
