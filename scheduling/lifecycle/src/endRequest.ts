import type {TurnTime} from '@gentianshunt/board';
import type {
  AdmittedRequest,
  Dispatch,
  RequestEnd,
  RequestState,
} from '@gentianshunt/entryModel';

import type {RequestDraft} from './requestDraft.js';

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

/** Sends a request to its endpoint; it happens once in a request's life. */
export function startDispatch(
  draft: RequestDraft,
  request: AdmittedRequest,
  dispatch: Dispatch,
): void {
  draft.move({kind: 'dispatched', request, dispatch});
  draft.order({kind: 'openStream', request, dispatch});
}
