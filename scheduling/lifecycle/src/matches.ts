import type {TurnTime} from '@gentianshunt/board';
import {iterateWaiting, refuseNotRun} from '@gentianshunt/entryModel';
import type {
  AdmittedRequest,
  Dispatch,
  GrantReply,
  Match,
  ShedOrder,
  UndispatchedState,
} from '@gentianshunt/entryModel';
import type {DispatchId, RequestId} from '@gentianshunt/identifiers';

import {requestClaim} from './claims.js';
import {endRequest, startDispatch} from './endRequest.js';
import type {LifecycleView, RequestDraft} from './requestDraft.js';
import {settleClaim} from './settlements.js';

type WaitingState = Extract<UndispatchedState, {readonly kind: 'waiting'}>;

/** Dispatches the requests that have been matched to slots. */
export function handleMatches(
  view: LifecycleView,
  draft: RequestDraft,
  now: TurnTime,
): void {
  for (const key of view.readChanges('matches')) {
    const request = key as RequestId;
    const match = view.board.matches.get(request);
    const state = draft.read(request);
    if (match !== undefined && state?.kind === 'waiting') {
      applyMatch(view, draft, state, match, now);
    }
  }
}

function applyMatch(
  view: LifecycleView,
  draft: RequestDraft,
  state: WaitingState,
  match: Match,
  now: TurnTime,
): void {
  const {request} = state;
  const dispatch: Dispatch = {
    // A request is dispatched at most once, so its name serves for both.
    id: `${request.id}.d` as DispatchId,
    grant: match.grant,
    target: match.target,
    at: now.monotonic,
  };
  if (request.claim === null || state.holdsClaim === true) {
    startDispatch(draft, request, dispatch, now);
    return;
  }
  const {deadline} = match;
  draft.move({kind: 'claiming', request, dispatch, deadline});
  requestClaim(view, draft, request, now);
}

/** Refuses the requests that the set leader ordered shed. */
export function handleShedOrders(
  view: LifecycleView,
  draft: RequestDraft,
  reply: GrantReply,
  now: TurnTime,
): void {
  for (const order of reply.shed) {
    for (const request of pickShed(view, reply, order)) {
      const state = draft.read(request.id);
      if (state?.kind === 'waiting') {
        if (state.holdsClaim === true) {
          settleClaim(view, draft, request, {kind: 'notRun'}, now);
        }
        const {retryAfterMs} = order;
        const refusal = refuseNotRun(state, {kind: 'shed'}, retryAfterMs);
        draft.order({kind: 'refuseCaller', refusal});
        endRequest(draft, state, {kind: 'refused', refusal}, now);
      }
    }
  }
}

/** Picks the latest arrivals of a line, which have waited least. */
function pickShed(
  view: LifecycleView,
  reply: GrantReply,
  order: ShedOrder,
): readonly AdmittedRequest[] {
  const {rank, organisation} = order;
  const line = {set: reply.set, rank, organisation};
  const waiting = [...iterateWaiting(view.board.waiting, line)];
  return waiting.slice(-order.count).map(entry => entry.value);
}
