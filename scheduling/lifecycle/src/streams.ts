import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {findObject} from '@gentianshunt/configuration';
import {
  failDispatched,
  refuseNotExecuted,
  refuseUnsent,
} from '@gentianshunt/entryModel';
import type {
  DispatchedState,
  Refusal,
  StoredAnswer,
  StreamEnd,
} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';
import type {ClaimOutcome} from '@gentianshunt/messages';
import type {DispatchId, RequestId} from '@gentianshunt/identifiers';

import {TRANSIENT_RETRY_AFTER_MS} from './admitRequest.js';
import {endRequest} from './endRequest.js';
import {
  canRepeat,
  canResend,
  returnToLine,
  returnUnsent,
  retryElsewhere,
} from './repeats.js';
import type {LifecycleView, RequestDraft} from './requestDraft.js';
import {settleClaim} from './settlements.js';

/** Longest silence of an endpoint in the middle of an answer. */
export const ANSWER_SILENCE_MS: Milliseconds = 30_000;
/** How often a cut stream is resumed before its caller is told. */
export const MAX_RESUMES = 2;

/** Statuses by which an endpoint says that it is busy. */
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

/** Notes the first byte of an answer, or that a stream still delivers. */
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
      silentAt: now.monotonic + ANSWER_SILENCE_MS,
      firstTokenAt:
        state.kind === 'answering' ? state.firstTokenAt : now.monotonic,
    });
  }
}

/** Ends a request as its stream ended, or resumes the stream. */
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
      settleClaim(view, draft, state.request, toAnsweredOutcome(stored), now);
      endRequest(draft, state, {kind: 'answered'}, now);
      return;
    case 'notSent':
      handleNotSent(view, draft, state, end, now);
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
      handleCut(view, draft, state, end, now);
      return;
    default:
      assertNever(end, 'handleStreamEnded');
  }
}

/** A resumed stream's dispatch had been sent, whatever the last attempt. */
function handleNotSent(
  view: LifecycleView,
  draft: RequestDraft,
  state: DispatchedState,
  end: Extract<StreamEnd, {readonly kind: 'notSent'}>,
  now: TurnTime,
): void {
  if (canResend(state.request)) {
    returnUnsent(draft, state);
    return;
  }
  if (state.kind === 'answering' || state.resumes > 0 || state.mayHaveRun) {
    const reason = {kind: 'answerCut', detail: end.detail} as const;
    const refusal = failDispatched(state.request.id, reason);
    fail(view, draft, state, refusal, {kind: 'unknown'}, now);
    return;
  }
  const refusal = refuseUnsent(state, end, TRANSIENT_RETRY_AFTER_MS);
  fail(view, draft, state, refusal, {kind: 'notRun'}, now);
}

/** The endpoint vouches that the request has not run and will not. */
function handleNotExecuted(
  view: LifecycleView,
  draft: RequestDraft,
  state: DispatchedState,
  end: Extract<StreamEnd, {readonly kind: 'notExecuted'}>,
  now: TurnTime,
): void {
  if (canRepeat(view, draft, state.request, now)) {
    returnToLine(view, draft, state, false, now);
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
  fail(view, draft, state, refusal, outcome, now);
}

/** The endpoint ran the request and failed; another may do better. */
function handleFailed(
  view: LifecycleView,
  draft: RequestDraft,
  state: DispatchedState,
  status: number,
  now: TurnTime,
): void {
  const {request} = state;
  if (retryElsewhere(view, draft, state, now)) {
    return;
  }
  const reason = {kind: 'endpointFailed', detail: `status ${status}`} as const;
  const refusal = failDispatched(request.id, reason);
  fail(view, draft, state, refusal, {kind: 'unknown'}, now);
}

/** The endpoint has seen the request, so it may not count as not run. */
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
  const refusal = failDispatched(state.request.id, reason, retryAfterMs);
  fail(view, draft, state, refusal, {kind: 'unknown'}, now);
}

function handleCut(
  view: LifecycleView,
  draft: RequestDraft,
  state: DispatchedState,
  end: Extract<StreamEnd, {readonly kind: 'cut'}>,
  now: TurnTime,
): void {
  const {request, dispatch, resumes} = state;
  const {terms} = request;
  if (terms !== undefined) {
    handleCutCall(view, draft, state, end, now);
    return;
  }
  if (resumes < MAX_RESUMES && canResume(view, state)) {
    draft.move({
      ...state,
      resumes: resumes + 1,
      silentAt: now.monotonic + ANSWER_SILENCE_MS,
    });
    const fromEvent = end.events;
    draft.order({kind: 'resumeStream', request, dispatch, fromEvent});
    return;
  }
  const reason = {kind: 'answerCut', detail: end.detail} as const;
  const refusal = failDispatched(request.id, reason);
  fail(view, draft, state, refusal, {kind: 'unknown'}, now);
}

/** A call whose caller has seen nothing, or can be resumed, goes on. */
function handleCutCall(
  view: LifecycleView,
  draft: RequestDraft,
  state: DispatchedState,
  end: Extract<StreamEnd, {readonly kind: 'cut'}>,
  now: TurnTime,
): void {
  const {request} = state;
  const isOpen =
    state.kind === 'dispatched' || request.terms?.isResumable === true;
  if (isOpen && retryElsewhere(view, draft, state, now)) {
    return;
  }
  const reason = {kind: 'answerCut', detail: end.detail} as const;
  const refusal = failDispatched(request.id, reason);
  fail(view, draft, state, refusal, {kind: 'unknown'}, now);
}

/** Model engines keep a stream for a while; plain services do not. */
function canResume(view: LifecycleView, state: DispatchedState): boolean {
  const {configuration} = view.board;
  const set = findObject(configuration, 'endpointSet', state.request.set);
  return set?.service.kind === 'model';
}

function fail(
  view: LifecycleView,
  draft: RequestDraft,
  state: DispatchedState,
  refusal: Refusal,
  outcome: ClaimOutcome,
  now: TurnTime,
): void {
  settleClaim(view, draft, state.request, outcome, now);
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

/** Ends the requests whose endpoint has delivered nothing for too long. */
export function endSilentStreams(
  view: LifecycleView,
  draft: RequestDraft,
  now: TurnTime,
): void {
  for (const {key, value} of view.board.silences.iterateFrom()) {
    if (key.silentAt > now.monotonic) {
      return;
    }
    const state = draft.read(value);
    if (state?.kind === 'dispatched' || state?.kind === 'answering') {
      draft.order({kind: 'cancelStream', dispatch: state.dispatch});
      if (retryElsewhere(view, draft, state, now)) {
        continue;
      }
      const reason = {kind: 'answerCut', detail: 'endpoint silent'} as const;
      const refusal = failDispatched(state.request.id, reason);
      fail(view, draft, state, refusal, {kind: 'unknown'}, now);
    }
  }
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
      if (state.holdsClaim === true) {
        settleClaim(view, draft, state.request, {kind: 'notRun'}, now);
      }
      endRequest(draft, state, {kind: 'abandonedWaiting'}, now);
      return;
    case 'awaitingAllotment':
    case 'repeating':
      endRequest(draft, state, {kind: 'abandonedWaiting'}, now);
      return;
    case 'awaitingOutcome':
    case 'claiming':
      // An open question may still be answered by a grant of the claim.
      settleClaim(view, draft, state.request, {kind: 'notRun'}, now);
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
