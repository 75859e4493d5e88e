import type {TurnTime} from '@gentianshunt/board';
import {readSharedBounds, toStreamOrigin} from '@gentianshunt/entryModel';
import type {AdmittedRequest, DispatchedState} from '@gentianshunt/entryModel';
import type {RateBucket} from '@gentianshunt/limits';

import type {LifecycleView, RequestDraft} from './requestDraft.js';

/** Most retries of one request after dispatches that sent no byte. */
export const MAX_UNSENT_RETRIES = 3;

/** Adds the fraction of a retry that a request earns to its set's budget. */
export function refillRetryBudget(
  {board}: LifecycleView,
  draft: RequestDraft,
  {set}: AdmittedRequest,
  now: TurnTime,
): void {
  const bounds = readSharedBounds(board.identity);
  const capacity = computeBudgetCapacity(board);
  const tokens =
    readSetBudget(board, draft, set, now).tokens + bounds.repeatRatio;
  draft.putRetryBudget(set, {
    tokens: Math.min(capacity, tokens),
    at: now.monotonic,
  });
}

/**
 * Returns whether a request may be retried after its current dispatch: it has
 * attempts left, and the retry budget of its set is not used up.
 */
export function canRetry(
  view: LifecycleView,
  draft: RequestDraft,
  request: AdmittedRequest,
  now: TurnTime,
): boolean {
  const {routePolicy, tried, unsentCount} = request;
  const attempts = (tried?.length ?? 0) - (unsentCount ?? 0) + 1;
  return (
    routePolicy !== undefined &&
    attempts < routePolicy.maxAttempts &&
    readSetBudget(view.board, draft, request.set, now).tokens >= 1
  );
}

/** Requeues a request that an endpoint received; costs retry budget. */
export function requeueForRetry(
  view: LifecycleView,
  draft: RequestDraft,
  state: DispatchedState,
  mayHaveRun: boolean,
  now: TurnTime,
): void {
  const {request} = state;
  const budget = readSetBudget(view.board, draft, request.set, now);
  draft.putRetryBudget(request.set, {...budget, tokens: budget.tokens - 1});
  requeueRequest(draft, state, addTriedEndpoint(state), mayHaveRun);
}

/**
 * Requeues a call that may have run, if it is idempotent and may be retried.
 * Returns whether it was requeued.
 */
export function requeueIfRetryable(
  view: LifecycleView,
  draft: RequestDraft,
  state: DispatchedState,
  now: TurnTime,
): boolean {
  const {request} = state;
  if (!request.isIdempotent || !canRetry(view, draft, request, now)) {
    return false;
  }
  requeueForRetry(view, draft, state, true, now);
  return true;
}

/**
 * Spends retry budget for a request whose entry failed after it was passed on.
 * Returns whether there was any.
 */
export function spendRelayRetry(
  {board}: LifecycleView,
  draft: RequestDraft,
  {set}: AdmittedRequest,
  now: TurnTime,
): boolean {
  const budget = readSetBudget(board, draft, set, now);
  if (budget.tokens < 1) {
    return false;
  }
  draft.putRetryBudget(set, {...budget, tokens: budget.tokens - 1});
  return true;
}

/** Returns whether a request may be retried after a dispatch sent no byte. */
export function canRetryUnsent({
  routePolicy,
  unsentCount,
}: AdmittedRequest): boolean {
  return routePolicy !== undefined && (unsentCount ?? 0) < MAX_UNSENT_RETRIES;
}

/** Requeues a request whose dispatch sent no byte; costs no retry budget. */
export function requeueUnsent(
  draft: RequestDraft,
  state: DispatchedState,
): void {
  const unsent = (state.request.unsentCount ?? 0) + 1;
  requeueRequest(
    draft,
    state,
    {...addTriedEndpoint(state), unsentCount: unsent},
    false,
  );
}

/** Requeues a request that the entry withheld for a reason of its own. */
export function requeueWithheld(
  draft: RequestDraft,
  state: DispatchedState,
): void {
  requeueRequest(draft, state, state.request, false);
}

/**
 * Records the endpoint of the current dispatch in the request, and what began
 * its stream if the caller may have received a part of it.
 */
function addTriedEndpoint({
  kind,
  request,
  dispatch: {target},
}: DispatchedState): AdmittedRequest {
  const tried = [...(request.tried ?? []), target.endpoint];
  const hasBegun = kind === 'answering' && request.routePolicy?.isStream;
  return hasBegun && request.origin === undefined
    ? {...request, tried, origin: toStreamOrigin(target)}
    : {...request, tried};
}

/**
 * Requeues a request. One that may have run becomes `repeating`, so that it is
 * never refused as not run.
 */
function requeueRequest(
  draft: RequestDraft,
  state: DispatchedState,
  request: AdmittedRequest,
  mayHaveRun: boolean,
): void {
  const hasRun = mayHaveRun || state.mayHaveRun === true;
  const isAnswering = state.kind === 'answering';
  draft.move(
    hasRun || isAnswering
      ? {kind: 'repeating', request}
      : {kind: 'waiting', request},
  );
}

/** Reads the retry budget of a set, which is full before its first use. */
function readSetBudget(
  board: LifecycleView['board'],
  draft: RequestDraft,
  set: AdmittedRequest['set'],
  now: TurnTime,
): RateBucket {
  return (
    draft.readRetryBudget(set) ?? {
      tokens: computeBudgetCapacity(board),
      at: now.monotonic,
    }
  );
}

/** Computes the largest retry budget, an equal fraction for each entry. */
function computeBudgetCapacity({
  control,
  identity,
}: LifecycleView['board']): number {
  const {repeatBurst} = readSharedBounds(identity);
  return Math.max(
    1,
    repeatBurst / Math.max(1, control.directory.entries.length),
  );
}
