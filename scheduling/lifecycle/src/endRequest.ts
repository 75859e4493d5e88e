import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import type {
  AdmittedRequest,
  Dispatch,
  RequestEnd,
  RequestState,
} from '@gentianshunt/entryModel';

import type {RequestDraft} from './requestDraft.js';

/** Longest wait for the first byte of an answer. */
export const FIRST_BYTE_TIMEOUT_MS: Milliseconds = 120_000;

/** Objectives after which a call that may be repeated goes elsewhere. */
export const SILENT_OBJECTIVES = 2;

/** A call that cannot be repeated is left to its endpoint. */
function readSilenceLimit(
  {terms}: AdmittedRequest,
  {isRepeatable}: Dispatch,
): Milliseconds {
  return terms !== undefined && isRepeatable === true
    ? SILENT_OBJECTIVES * terms.objectiveMs
    : FIRST_BYTE_TIMEOUT_MS;
}

/** Removes a request and reports how it ended. */
export function endRequest(
  draft: RequestDraft,
  state: RequestState,
  end: RequestEnd,
  now: TurnTime,
): void {
  draft.remove(state.request.id);
  draft.order({
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
 * Sends a request to an endpoint. Only a call to a route that may be repeated
 * comes here more than once, and never before its last dispatch has ended.
 */
export function startDispatch(
  draft: RequestDraft,
  request: AdmittedRequest,
  dispatch: Dispatch,
  now: TurnTime,
  mayHaveRun = false,
): void {
  const silentAt = now.monotonic + readSilenceLimit(request, dispatch);
  draft.move({
    kind: 'dispatched',
    request,
    dispatch,
    silentAt,
    resumes: 0,
    ...(mayHaveRun ? {mayHaveRun} : {}),
  });
  draft.order({kind: 'openStream', request, dispatch});
}
