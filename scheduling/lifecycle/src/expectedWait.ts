import type {TurnTime} from '@gentianshunt/board';
import {isModelSet} from '@gentianshunt/configuration';
import {ANY_ORGANISATION, iterateQueues} from '@gentianshunt/entryModel';
import type {AdmittedRequest, QueueKey} from '@gentianshunt/entryModel';
import {
  computeRate,
  decideAdmission,
  MAX_DEMAND_AGE_MS,
} from '@gentianshunt/policy';
import type {AdmissionDecision} from '@gentianshunt/policy';

import type {LifecycleView} from './requestDraft.js';

/**
 * Decides whether a call to model engines joins its queue. Requests without a
 * route, and those that take up a stream, always do.
 */
export function checkExpectedWait(
  view: LifecycleView,
  request: AdmittedRequest,
  now: TurnTime,
): AdmissionDecision {
  const {board} = view;
  const {set, rank, routePolicy, resumed} = request;
  if (
    routePolicy === undefined ||
    resumed !== undefined ||
    !isModelSet(board.configuration, set)
  ) {
    return {kind: 'admit'};
  }
  const queues = [...iterateQueues(board.queues, set)];
  const {objectiveMs, timeLimitMs} = routePolicy;
  return decideAdmission({
    isUsedUp: isUsedUp(view, request, now),
    ahead: sumCounts(queues.filter(({key}) => key.rank <= rank)),
    ownTier: sumCounts(queues.filter(({key}) => key.rank === rank)),
    dispatchedPerSecond: computeRate(board.dispatchRates.get(set), now),
    higherPerSecond: sumHigherArrivals(view, request, now),
    objectiveMs,
    timeLimitMs,
  });
}

/** Returns whether the set leader said lately that requests wait. */
function isUsedUp(
  {board}: LifecycleView,
  {set}: AdmittedRequest,
  now: TurnTime,
): boolean {
  const demand = board.setDemands.get(set);
  return (
    demand !== undefined &&
    demand.waitingRank !== null &&
    now.monotonic - demand.knownAt < MAX_DEMAND_AGE_MS
  );
}

function sumHigherArrivals(
  {board}: LifecycleView,
  {set, rank}: AdmittedRequest,
  now: TurnTime,
): number {
  let perSecond = 0;
  for (const {key, value} of iterateQueues(board.arrivalRates, set)) {
    if (key.rank < rank && key.organisation === ANY_ORGANISATION) {
      perSecond += computeRate(value, now);
    }
  }
  return perSecond;
}

function sumCounts(
  queues: readonly {
    readonly key: QueueKey;
    readonly value: {readonly count: number};
  }[],
): number {
  return queues.reduce((sum, {value}) => sum + value.count, 0);
}
