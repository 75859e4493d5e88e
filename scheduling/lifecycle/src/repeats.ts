import type {TurnTime} from '@gentianshunt/board';
import {readSharedBounds} from '@gentianshunt/entryModel';
import type {AdmittedRequest, DispatchedState} from '@gentianshunt/entryModel';
import type {RateBucket} from '@gentianshunt/limits';

import type {LifecycleView, RequestDraft} from './requestDraft.js';

/** Dispatches that never reached an endpoint, in one request's life. */
export const MAX_UNSENT = 3;

/** A request adds its part to what the set may have repeated. */
export function refillRepeats(
  {board}: LifecycleView,
  draft: RequestDraft,
  {set}: AdmittedRequest,
  now: TurnTime,
): void {
  const bounds = readSharedBounds(board.identity);
  const capacity = readCapacity(board);
  const tokens = readBudget(board, draft, set, now).tokens + bounds.repeatRatio;
  draft.putRetryBudget(set, {
    tokens: Math.min(capacity, tokens),
    at: now.monotonic,
  });
}

/** Tells whether a request may be dispatched once more after this time. */
export function canRepeat(
  view: LifecycleView,
  draft: RequestDraft,
  request: AdmittedRequest,
  now: TurnTime,
): boolean {
  const {terms, tried, unsent} = request;
  const attempts = (tried?.length ?? 0) - (unsent ?? 0) + 1;
  return (
    terms !== undefined &&
    attempts < terms.maxAttempts &&
    readBudget(view.board, draft, request.set, now).tokens >= 1
  );
}

/** Puts a request back into its line after an endpoint had it. */
export function returnToLine(
  view: LifecycleView,
  draft: RequestDraft,
  state: DispatchedState,
  mayHaveRun: boolean,
  now: TurnTime,
): void {
  const {request} = state;
  const budget = readBudget(view.board, draft, request.set, now);
  draft.putRetryBudget(request.set, {...budget, tokens: budget.tokens - 1});
  putInLine(draft, state, noteTried(state), mayHaveRun);
}

/** Repeats a call that may have run; tells whether it could. */
export function retryElsewhere(
  view: LifecycleView,
  draft: RequestDraft,
  state: DispatchedState,
  now: TurnTime,
): boolean {
  const {request} = state;
  if (!request.isIdempotent || !canRepeat(view, draft, request, now)) {
    return false;
  }
  returnToLine(view, draft, state, true, now);
  return true;
}

/** Tells whether a request that never left may be dispatched once more. */
export function canResend({terms, unsent}: AdmittedRequest): boolean {
  return terms !== undefined && (unsent ?? 0) < MAX_UNSENT;
}

/** Puts a request that never left back into its line; it costs no repeat. */
export function returnUnsent(
  draft: RequestDraft,
  state: DispatchedState,
): void {
  const unsent = (state.request.unsent ?? 0) + 1;
  putInLine(draft, state, {...noteTried(state), unsent}, false);
}

function noteTried({request, dispatch}: DispatchedState): AdmittedRequest {
  const tried = [...(request.tried ?? []), dispatch.target.endpoint];
  return {...request, tried};
}

function putInLine(
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

function readBudget(
  board: LifecycleView['board'],
  draft: RequestDraft,
  set: AdmittedRequest['set'],
  now: TurnTime,
): RateBucket {
  return (
    draft.readRetryBudget(set) ?? {
      tokens: readCapacity(board),
      at: now.monotonic,
    }
  );
}

function readCapacity({control, identity}: LifecycleView['board']): number {
  const {repeatBurst} = readSharedBounds(identity);
  return Math.max(
    1,
    repeatBurst / Math.max(1, control.directory.entries.length),
  );
}
