/**
 * Passes requests on to other entries while this one reaches no endpoint. The other
 * entry handles them like those of its own callers: its queues, quotas, retry
 * budget and records of streams count, and it passes none on again.
 */
import type {TurnTime} from '@gentianshunt/board';
import {
  failDispatched,
  isIsolated,
  isQueued,
  refuseUnrelayed,
} from '@gentianshunt/entryModel';
import type {
  AdmittedRequest,
  EntryObservation,
  RelayedState,
} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';
import {hashText} from '@gentianshunt/hashing';
import type {NodeId, RelayId, RequestId} from '@gentianshunt/identifiers';
import type {DirectoryEntry, EntryAddress} from '@gentianshunt/messages';
import {SILENCE_MS} from '@gentianshunt/policy';

import {endRequest} from './endRequest.js';
import {failRelayed} from './failRequest.js';
import type {LifecycleView, RequestDraft} from './requestDraft.js';
import {requeueIfRetryable, spendRelayRetry} from './retries.js';
import {TRANSIENT_RETRY_AFTER_MS} from './retryDelays.js';

/** Most entries to which a request is passed on, one after the other. */
export const MAX_RELAYS = 3;

type RelayEnded = Extract<EntryObservation, {readonly kind: 'relayEnded'}>;

/** What becomes of a request that is to be passed on. */
export interface RelayedRequest {
  readonly request: AdmittedRequest;
  /** Entries that did not take it before. */
  readonly tried: readonly NodeId[];
  readonly mayHaveRun: boolean;
}

/**
 * Passes a request on, if this entry reaches no endpoint and knows another one that
 * may. Returns whether it did.
 */
export function forwardRequest(
  view: LifecycleView,
  draft: RequestDraft,
  {request, tried, mayHaveRun}: RelayedRequest,
  now: TurnTime,
): boolean {
  const {reach} = view.board;
  const isOwn = request.isRelayed !== true && request.claim === null;
  if (!isIsolated(reach) || !isOwn || tried.length >= MAX_RELAYS) {
    return false;
  }
  const to = pickRelayEntry(view, request.id, tried);
  if (to?.relay === undefined) {
    return false;
  }
  const id = `${request.id}.r${tried.length + 1}` as RelayId;
  const relay = {id, to: to.node, address: to.relay};
  draft.move({kind: 'relayed', request, relay, tried, mayHaveRun});
  draft.addEffect({kind: 'relayCall', request, relay});
  draft.addEffect({
    kind: 'logDecision',
    decision: {
      kind: 'requestRelayed',
      request: request.id,
      set: request.set,
      to: to.node,
      attempt: tried.length + 1,
      waitedMs: now.monotonic - request.arrivedAt,
    },
  });
  return true;
}

/**
 * Picks another entry that reaches endpoints: of the same failure domain if there
 * is one, otherwise of the same region, a different one for each request.
 */
function pickRelayEntry(
  {board}: LifecycleView,
  request: RequestId,
  tried: readonly NodeId[],
): EntryAddress | undefined {
  const {node: self, region, domain, relay} = board.identity.address;
  const usable = board.control.directory.entries.filter(
    ({address, draining, isIsolated: isCutOff}: DirectoryEntry) =>
      relay !== undefined &&
      address.relay !== undefined &&
      !draining &&
      isCutOff !== true &&
      address.node !== self &&
      !tried.includes(address.node),
  );
  const inRegion = usable.filter(({address}) => address.region === region);
  const inDomain = inRegion.filter(({address}) => address.domain === domain);
  const near = [inDomain, inRegion, usable].find(({length}) => length > 0);
  return near?.[hashText(`${request}/${tried.length}`) % near.length]?.address;
}

/**
 * Passes on what waits at this entry when it has become isolated, and what it sent
 * to endpoints that stay silent and may run again.
 */
export function forwardOpenRequests(
  view: LifecycleView,
  draft: RequestDraft,
  now: TurnTime,
): void {
  if (!isIsolated(view.board.reach)) {
    return;
  }
  for (const request of view.board.dispatches.values()) {
    const state = draft.read(request);
    if (
      state?.kind === 'dispatched' &&
      !hasBegun(state.request) &&
      now.monotonic - state.dispatch.at >= SILENCE_MS &&
      requeueIfRetryable(view, draft, state, now)
    ) {
      draft.addEffect({kind: 'cancelStream', dispatch: state.dispatch});
    }
  }
  for (const request of [...view.board.requests.keys()]) {
    const state = draft.read(request);
    if (state !== undefined && isQueued(state) && !hasBegun(state.request)) {
      const mayHaveRun = state.kind === 'repeating';
      forwardRequest(
        view,
        draft,
        {request: state.request, tried: [], mayHaveRun},
        now,
      );
    }
  }
}

/**
 * Returns whether the caller may have a part of the stream. Another entry does not
 * know where to go on.
 */
function hasBegun({origin}: AdmittedRequest): boolean {
  return origin !== undefined;
}

/** Ends a request that was passed on, or passes it on to another entry. */
export function handleRelayEnded(
  view: LifecycleView,
  draft: RequestDraft,
  {request, relay, end}: RelayEnded,
  now: TurnTime,
): void {
  const state = draft.read(request);
  if (state?.kind !== 'relayed' || state.relay.id !== relay) {
    return;
  }
  switch (end.kind) {
    case 'complete':
      endRequest(draft, state, {kind: 'answered'}, now);
      return;
    case 'notSent':
      handleNotRelayed(view, draft, state, end, now);
      return;
    case 'cut':
      handleCutRelay(view, draft, state, end, now);
      return;
    default:
      assertNever(end, 'handleRelayEnded');
  }
}

function handleNotRelayed(
  view: LifecycleView,
  draft: RequestDraft,
  state: RelayedState,
  end: Extract<RelayEnded['end'], {readonly kind: 'notSent'}>,
  now: TurnTime,
): void {
  const {request, relay, tried, mayHaveRun} = state;
  const others = [...tried, relay.to];
  if (
    forwardRequest(view, draft, {request, tried: others, mayHaveRun}, now) ||
    requeueReached(view, draft, state)
  ) {
    return;
  }
  const refusal = mayHaveRun
    ? failDispatched(request.id, {
        kind: 'endpointFailed',
        detail: end.detail,
      })
    : refuseUnrelayed({...state, mayHaveRun}, end, TRANSIENT_RETRY_AFTER_MS);
  failRelayed(draft, state, refusal, now);
}

/** The other entry may have run it: it is passed on again only if it may run twice. */
function handleCutRelay(
  view: LifecycleView,
  draft: RequestDraft,
  state: RelayedState,
  {detail, hasBegun}: Extract<RelayEnded['end'], {readonly kind: 'cut'}>,
  now: TurnTime,
): void {
  const {request, relay, tried} = state;
  const others = [...tried, relay.to];
  const isRetryable =
    request.isIdempotent === true &&
    !hasBegun &&
    spendRelayRetry(view, draft, request, now);
  if (
    isRetryable &&
    forwardRequest(view, draft, {request, tried: others, mayHaveRun: true}, now)
  ) {
    return;
  }
  const reason = {kind: 'answerCut', detail} as const;
  failRelayed(draft, state, failDispatched(request.id, reason), now);
}

/** Queues a request here if this entry reaches endpoints again. */
function requeueReached(
  view: LifecycleView,
  draft: RequestDraft,
  {request, mayHaveRun}: RelayedState,
): boolean {
  if (isIsolated(view.board.reach)) {
    return false;
  }
  draft.move(
    mayHaveRun ? {kind: 'repeating', request} : {kind: 'waiting', request},
  );
  return true;
}
