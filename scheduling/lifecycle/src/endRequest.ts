import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import type {
  AdmittedRequest,
  Dispatch,
  RequestEnd,
  RequestState,
} from '@gentianshunt/entryModel';

import type {RequestDraft} from './requestDraft.js';

/** Longest wait for the first byte of a call that cannot be retried. */
export const FIRST_BYTE_TIMEOUT_MS: Milliseconds = 120_000;

/**
 * How long a retryable call waits for the first byte before another endpoint is
 * tried, as a multiple of its objective.
 */
export const RETRY_TIMEOUT_OBJECTIVES = 2;

/**
 * Computes how long to wait for the first byte. A call that cannot be retried
 * stays with its endpoint for the long timeout.
 */
function computeFirstByteTimeout(
  {routePolicy}: AdmittedRequest,
  {isRetryable}: Dispatch,
): Milliseconds {
  return routePolicy !== undefined && isRetryable === true
    ? RETRY_TIMEOUT_OBJECTIVES * routePolicy.objectiveMs
    : FIRST_BYTE_TIMEOUT_MS;
}

/** Removes a request from the board and records how it ended. */
export function endRequest(
  draft: RequestDraft,
  state: RequestState,
  end: RequestEnd,
  now: TurnTime,
): void {
  draft.remove(state.request.id);
  draft.addEffect({
    kind: 'recordEnd',
    request: state.request,
    end,
    waitedMs: now.monotonic - state.request.arrivedAt,
    firstTokenMs:
      state.kind === 'answering'
        ? state.firstTokenAt - state.request.arrivedAt
        : null,
  });
}

/**
 * Dispatches a request to an endpoint. Only a call to a route that may be
 * retried is dispatched more than once, and only after its previous dispatch
 * has ended.
 */
export function startDispatch(
  draft: RequestDraft,
  request: AdmittedRequest,
  dispatch: Dispatch,
  now: TurnTime,
  mayHaveRun = false,
): void {
  const silentAt = now.monotonic + computeFirstByteTimeout(request, dispatch);
  draft.move({
    kind: 'dispatched',
    request,
    dispatch,
    silentAt,
    resumes: 0,
    ...(mayHaveRun ? {mayHaveRun} : {}),
  });
  draft.addEffect({kind: 'openStream', request, dispatch});
}
