import type {TurnTime} from '@gentianshunt/board';
import {findObject} from '@gentianshunt/configuration';
import {isQueued, iterateWaiting, refuseNotRun} from '@gentianshunt/entryModel';
import type {
  AdmittedRequest,
  Dispatch,
  GrantReply,
  Match,
  QueuedState,
  ShedOrder,
} from '@gentianshunt/entryModel';
import type {DispatchId, RequestId} from '@gentianshunt/identifiers';

import {requestClaim} from './claims.js';
import {describeShed} from './describeShed.js';
import {endRequest, startDispatch} from './endRequest.js';
import {canRepeat} from './repeats.js';
import type {LifecycleView, RequestDraft} from './requestDraft.js';
import {settleClaim} from './settlements.js';

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
    if (match !== undefined && state !== undefined && isQueued(state)) {
      applyMatch(view, draft, state, match, now);
    }
  }
}

function applyMatch(
  view: LifecycleView,
  draft: RequestDraft,
  state: QueuedState,
  match: Match,
  now: TurnTime,
): void {
  const {request} = state;
  const isRepeatable =
    request.isIdempotent === true && canRepeat(view, draft, request, now);
  const dispatch: Dispatch = {
    id: formatDispatchId(request),
    grant: match.grant,
    target: match.target,
    at: now.monotonic,
    ...(isRepeatable ? {isRepeatable} : {}),
  };
  if (state.kind === 'repeating') {
    startDispatch(draft, request, dispatch, now, true);
    return;
  }
  if (request.claim === null || state.holdsClaim === true) {
    startDispatch(draft, request, dispatch, now);
    return;
  }
  const {deadline} = match;
  draft.move({kind: 'claiming', request, dispatch, deadline});
  requestClaim(view, draft, request, now);
}

function formatDispatchId({id, tried}: AdmittedRequest): DispatchId {
  const repeats = tried?.length ?? 0;
  return `${id}.d${repeats === 0 ? '' : repeats + 1}` as DispatchId;
}

/** Refuses the requests that the set leader ordered shed. */
export function handleShedOrders(
  view: LifecycleView,
  draft: RequestDraft,
  reply: GrantReply,
  now: TurnTime,
): void {
  const {board} = view;
  const leader = findObject(board.configuration, 'setLeadership', reply.set);
  const decidedBy = leader?.node ?? board.identity.address.node;
  for (const order of reply.shed) {
    for (const request of pickShed(view, reply, order)) {
      const state = draft.read(request.id);
      if (state?.kind === 'waiting') {
        if (state.holdsClaim === true) {
          settleClaim(view, draft, request, {kind: 'notRun'}, now);
        }
        const {retryAfterMs} = order;
        const refusal = refuseNotRun(state, {kind: 'shed'}, retryAfterMs);
        draft.order(describeShed(view, request, decidedBy, now));
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
