/** Finds endpoints for streams that go on at the software that began them. */
import type {TurnTime} from '@gentianshunt/board';
import {canServe} from '@gentianshunt/entryModel';
import type {
  AdmittedRequest,
  EndpointTarget,
  KnownEndpoints,
  ListedEndpoint,
} from '@gentianshunt/entryModel';
import type {
  EndpointId,
  EndpointSetId,
  GrantId,
} from '@gentianshunt/identifiers';

import type {CandidatePicker} from './candidatePicker.js';
import {countRunning, listFailing} from './openTargets.js';
import {isPaused} from './pauseController.js';
import {UNGRANTED_LIFETIME_MS} from './slotView.js';
import type {SlotView, SlotWrite} from './slotView.js';
import {isLimited} from './ungrantedUse.js';

/**
 * Matches the continuations in a queue to endpoints without a grant, in a set that
 * runs several versions of software: its leader grants slots at any of them, and
 * callers of broken streams do not wait for the one that fits. Other sets grant
 * slots that fit, and need nothing here.
 */
export function matchContinuations(
  view: SlotView,
  list: KnownEndpoints,
  waiting: CandidatePicker,
  now: TurnTime,
): readonly SlotWrite[] {
  const {set} = list;
  const endpoints = list.endpoints.filter(({target}) =>
    isUsable(view, target, now),
  );
  const running = countRunning(view.board, set);
  const failing = listFailing(view.board, set, now);
  const findTarget = (request: AdmittedRequest): EndpointTarget | undefined =>
    request.origin === undefined
      ? undefined
      : takeTarget(request, {endpoints, running, failing});
  return waiting.takeAll(findTarget).map(({request, target}) => ({
    kind: 'put',
    section: 'matches',
    key: request.id,
    value: {
      grant: `${set}.continued` as GrantId,
      target,
      stateAt: list.receivedAt,
      deadline: now.monotonic + UNGRANTED_LIFETIME_MS,
    },
  }));
}

/** Finds the endpoints of a set if they run several versions of software. */
export function findMixedList(
  {board: {identity, knownEndpoints}}: SlotView,
  set: EndpointSetId,
): KnownEndpoints | undefined {
  const list = knownEndpoints.get(set);
  const [first] = list?.endpoints ?? [];
  const isMixed = list?.endpoints.some(
    ({target}) => target.software !== first?.target.software,
  );
  // Elsewhere endpoints must not get more requests than were granted.
  const mayExceedGrants =
    identity.leaderSilence?.kind === 'useFallbackCapacity';
  return isMixed === true && mayExceedGrants ? list : undefined;
}

/** What the continuations of a queue may use. */
interface ContinuationTargets {
  readonly endpoints: readonly ListedEndpoint[];
  /** Own requests at each endpoint, with those that were just matched. */
  readonly running: Map<EndpointId, number>;
  readonly failing: ReadonlySet<EndpointId>;
}

/**
 * Takes the fitting endpoint that this entry uses least for its capacity. One
 * that was tried or that fails is better than none: nothing else may go on.
 */
function takeTarget(
  request: AdmittedRequest,
  {endpoints, running, failing}: ContinuationTargets,
): EndpointTarget | undefined {
  const isDoubtful = ({endpoint}: EndpointTarget): boolean =>
    failing.has(endpoint) || request.tried?.includes(endpoint) === true;
  const computeLoad = ({target, concurrency}: ListedEndpoint): number =>
    (running.get(target.endpoint) ?? 0) / concurrency;
  const [picked] = endpoints
    .filter(({target}) => canServe(target, request))
    .sort(
      (left, right) =>
        Number(isDoubtful(left.target)) - Number(isDoubtful(right.target)) ||
        computeLoad(left) - computeLoad(right),
    );
  if (picked === undefined) {
    return undefined;
  }
  const {endpoint} = picked.target;
  running.set(endpoint, (running.get(endpoint) ?? 0) + 1);
  return picked.target;
}

function isUsable(
  {board}: SlotView,
  {endpoint}: EndpointTarget,
  now: TurnTime,
): boolean {
  return (
    !board.withdrawnEndpoints.has(endpoint) &&
    !isPaused(board, endpoint, now) &&
    !isLimited(board, endpoint, now)
  );
}
