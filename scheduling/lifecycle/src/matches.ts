import type {TurnTime} from '@gentianshunt/board';
import {findObject} from '@gentianshunt/configuration';
import {isQueued, iterateWaiting, refuseNotRun} from '@gentianshunt/entryModel';
import type {
  AdmittedRequest,
  Dispatch,
  GrantReply,
  QueuedState,
  ShedInstruction,
  SlotMatch,
} from '@gentianshunt/entryModel';
import type {DispatchId, RequestId} from '@gentianshunt/identifiers';

import {requestClaim} from './claims.js';
import {describeShed} from './describeShed.js';
import {endRequest, startDispatch} from './endRequest.js';
import {findRequestRefusal, refuseQuarantined} from './quarantinedRequests.js';
import {canRetry} from './retries.js';
import type {LifecycleView, RequestDraft} from './requestDraft.js';
import {completeClaim} from './claimCompletions.js';

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

/** Dispatches a matched request, or first requests its claim. */
function applyMatch(
  view: LifecycleView,
  draft: RequestDraft,
  state: QueuedState,
  match: SlotMatch,
  now: TurnTime,
): void {
  const {request} = state;
  const found = findRequestRefusal(view, request, now);
  if (found !== undefined) {
    refuseQuarantined(view, draft, state, found, now);
    return;
  }
  const isRetryable =
    request.isIdempotent === true && canRetry(view, draft, request, now);
  const dispatch: Dispatch = {
    id: formatDispatchId(request),
    grant: match.grant,
    target: match.target,
    at: now.monotonic,
    stateAt: match.stateAt,
    ...(isRetryable ? {isRetryable} : {}),
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

/** Formats an identifier that differs for each dispatch of a request. */
function formatDispatchId({id, tried}: AdmittedRequest): DispatchId {
  const retries = tried?.length ?? 0;
  return `${id}.d${retries === 0 ? '' : retries + 1}` as DispatchId;
}

/** Refuses the waiting requests that the set leader has chosen to shed. */
export function handleShedInstructions(
  view: LifecycleView,
  draft: RequestDraft,
  reply: GrantReply,
  now: TurnTime,
): void {
  const {board} = view;
  const leadership = findObject(
    board.configuration,
    'setLeadership',
    reply.set,
  );
  const decidedBy = leadership?.node ?? board.identity.address.node;
  for (const instruction of reply.shed) {
    for (const request of pickRequestsToShed(view, reply, instruction)) {
      const state = draft.read(request.id);
      if (state?.kind === 'waiting') {
        if (state.holdsClaim === true) {
          completeClaim(view, draft, request, {kind: 'notRun'}, now);
        }
        const {retryAfterMs} = instruction;
        const refusal = refuseNotRun(state, {kind: 'shed'}, retryAfterMs);
        draft.addEffect(describeShed(view, request, decidedBy, now));
        draft.addEffect({kind: 'refuseCaller', refusal});
        endRequest(draft, state, {kind: 'refused', refusal}, now);
      }
    }
  }
}

/** Picks the latest arrivals of a queue, which have waited least. */
function pickRequestsToShed(
  view: LifecycleView,
  reply: GrantReply,
  instruction: ShedInstruction,
): readonly AdmittedRequest[] {
  const {rank, organisation} = instruction;
  const queue = {set: reply.set, rank, organisation};
  const waiting = [...iterateWaiting(view.board.waiting, queue)];
  return waiting.slice(-instruction.count).map(entry => entry.value);
}
