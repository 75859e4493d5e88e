import type {BoardView, TurnTime, View} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {
  isIsolated,
  iterateQueues,
  iterateRunning,
  iterateSlots,
  iterateWaiting,
} from '@gentianshunt/entryModel';
import type {
  DemandReport,
  EntryObservation,
  EntrySections,
  QueueDemand,
  QueueKey,
  RunningCount,
  ReportedDecodeRate,
  ReportedFailures,
  UnspentSlots,
} from '@gentianshunt/entryModel';
import type {EndpointSetId} from '@gentianshunt/identifiers';
import {decayFailureRate, UNREACHABLE_MS} from '@gentianshunt/policy';

import {estimateExpectedArrivals} from './arrivalController.js';
import {listCandidates} from './dispatchOrder.js';
import type {CandidateSections} from './dispatchOrder.js';
import {computeMeanRunning} from './setUseController.js';

/** The board sections that demand reporting reads. */
export type ReportingReads =
  | 'identity'
  | 'control'
  | 'configuration'
  | 'queues'
  | 'arrivalRates'
  | 'waiting'
  | 'running'
  | 'slots'
  | 'matches'
  | 'patience'
  | 'decodeRates'
  | 'endpointHealth'
  | 'reach'
  | 'knownEndpoints'
  | 'demandReporting'
  | 'acceptedReply'
  | 'openCapacities'
  | 'setUse'
  | 'usedSlots';

/** The board as demand reporting reads it. */
export type ReportingView = View<
  EntrySections,
  ReportingReads,
  EntryObservation
>;

/** Creates the demand report of this entry for one set. */
export function createDemandReport(
  view: ReportingView,
  set: EndpointSetId,
  epoch: number,
  sequence: number,
  now: TurnTime,
): DemandReport {
  const {board} = view;
  return {
    set,
    epoch,
    sequence,
    waiting: listWaitingQueues(view, set, now),
    running: listRunning(view, set),
    unspent: listUnspent(view, set, now),
    rates: listRates(view.board, set, now),
    troubles:
      // What fails for an isolated entry says nothing of the endpoints.
      isIsolated(board.reach) ? [] : listEndpointFailures(board, set, now),
    endpointsDigest: board.knownEndpoints.get(set)?.digest ?? 0,
    meanRunning: computeMeanRunning(board.setUse.get(set), now),
    roundTripMs: board.demandReporting.get(set)?.roundTripMs ?? 0,
  };
}

/** Lists what runs, without slots that are about to go back to the leader. */
function listRunning(
  {board}: ReportingView,
  set: EndpointSetId,
): readonly RunningCount[] {
  const returning = new Map<string, number>();
  for (const slot of board.usedSlots.values()) {
    if (slot.isReturning && slot.set === set) {
      const key = `${slot.target.endpoint}/${slot.organisation}`;
      returning.set(key, (returning.get(key) ?? 0) + 1);
    }
  }
  return [...iterateRunning(board.running, set)]
    .map(({key: {endpoint, organisation}, value}) => {
      const left = returning.get(`${endpoint}/${organisation}`) ?? 0;
      return {endpoint, organisation, count: value.count - left};
    })
    .filter(({count}) => count > 0);
}

function listUnspent(
  view: ReportingView,
  set: EndpointSetId,
  now: TurnTime,
): readonly UnspentSlots[] {
  const unspent = new Map<string, UnspentSlots>();
  for (const {key, value} of iterateSlots(view.board.slots, set)) {
    if (value.deadline <= now.monotonic) {
      continue;
    }
    const {rank, organisation} = key;
    const {endpoint} = value.grant.target;
    const group = `${rank}/${organisation}/${endpoint}`;
    const count = (unspent.get(group)?.count ?? 0) + value.remaining;
    unspent.set(group, {endpoint, rank, organisation, count});
  }
  return [...unspent.values()];
}

/**
 * Lists the queues that have requests, then the arrivals that are expected in
 * each tier.
 */
function listWaitingQueues(
  view: ReportingView,
  set: EndpointSetId,
  now: TurnTime,
): readonly QueueDemand[] {
  const {queues, arrivalRates} = view.board;
  const waiting = [...iterateQueues(queues, set)].map(({key, value}) =>
    describeQueue(view.board, key, value.count, now),
  );
  const expected = [...iterateQueues(arrivalRates, set)]
    .map(({key, value}) => ({
      rank: key.rank,
      organisation: key.organisation,
      count: 0,
      ready: 0,
      readyEarly: 0,
      costMs: 0,
      score: 0,
      expected: estimateExpectedArrivals(value, now),
      oldestWaitMs: 0,
      objectiveMs: null,
      part: null,
    }))
    .filter(queue => queue.expected > 0);
  return [...waiting, ...expected];
}

/**
 * Most decoding rates in a demand report. All entries of a large set together
 * still report each of its endpoints.
 */
export const MAX_REPORTED_RATES = 16;

/**
 * Lists the decoding rates that this entry observed at a set's endpoints, the
 * latest first.
 */
function listRates(
  board: CandidateSections,
  set: EndpointSetId,
  now: TurnTime,
): readonly ReportedDecodeRate[] {
  return [...board.decodeRates.values()]
    .filter(rate => rate.set === set)
    .sort((left, right) => right.observedAt - left.observedAt)
    .slice(0, MAX_REPORTED_RATES)
    .map(({endpoint, decodeMsPerToken, observedAt}) => ({
      endpoint,
      decodeMsPerToken,
      ageMs: now.monotonic - observedAt,
    }));
}

/** Lower failure rates are left out of demand reports. */
const MIN_REPORTED_FAILURE_RATE = 0.1;

/**
 * Lists the recent failure rates of a set's endpoints and whether this entry
 * could connect to them.
 */
export function listEndpointFailures(
  board: Pick<BoardView<EntrySections>, 'endpointHealth'>,
  set: EndpointSetId,
  now: TurnTime,
): readonly ReportedFailures[] {
  const failures: ReportedFailures[] = [];
  for (const health of board.endpointHealth.values()) {
    const {endpoint, observedAt, unreachableAt} = health;
    const ageMs = now.monotonic - observedAt;
    const failureShare = decayFailureRate(health.failureRate, ageMs);
    const isUnreachable = now.monotonic - unreachableAt < UNREACHABLE_MS;
    if (
      health.set === set &&
      (isUnreachable || failureShare >= MIN_REPORTED_FAILURE_RATE)
    ) {
      failures.push({endpoint, failureShare, isUnreachable});
    }
  }
  return failures;
}

/** Summarises the requests of a queue for the set leader. */
function describeQueue(
  board: CandidateSections,
  key: QueueKey,
  count: number,
  now: TurnTime,
): QueueDemand {
  const candidates = listCandidates(board, key, now);
  const next = candidates[0];
  const ready = candidates.filter(candidate => candidate.ready).length;
  const early = candidates.filter(candidate => candidate.readyEarly).length;
  return {
    rank: key.rank,
    organisation: key.organisation,
    count,
    // Only the first requests of a queue become candidates. When all of them
    // are ready, the rest of the queue counts as ready as well.
    ready: ready < candidates.length ? ready : Math.max(ready, count),
    readyEarly: early < candidates.length ? early : Math.max(early, count),
    costMs: next?.costMs ?? 0,
    score: next?.score ?? 0,
    expected: 0,
    oldestWaitMs: computeOldestWait(board, key, now),
    objectiveMs: next?.request.routePolicy?.objectiveMs ?? null,
    part: next?.request.promptParts?.at(-1) ?? null,
  };
}

function computeOldestWait(
  board: CandidateSections,
  queue: QueueKey,
  now: TurnTime,
): Milliseconds {
  const oldest = iterateWaiting(board.waiting, queue).next();
  return oldest.done === true ? 0 : now.monotonic - oldest.value.key.arrivedAt;
}
