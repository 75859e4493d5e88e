import type {TurnTime} from '@gentianshunt/board';
import {iterateWaiting} from '@gentianshunt/entryModel';
import type {
  AdmittedRequest,
  EntrySections,
  QueueKey,
} from '@gentianshunt/entryModel';
import type {BoardView} from '@gentianshunt/board';
import type {EndpointRates} from '@gentianshunt/policy';
import {
  DEFAULT_RATES,
  estimateSurvival,
  estimateWork,
  isReady,
  isReadyEarly,
  scoreCall,
  scoreCandidate,
  toGeneralClass,
  toRequestClass,
} from '@gentianshunt/policy';

/** Requests of a queue that are compared, starting with the longest waiting. */
export const MAX_CANDIDATES_PER_QUEUE = 64;

/** A waiting request with its dispatch estimate. */
export interface Candidate {
  readonly request: AdmittedRequest;
  /** Whether the request need not be deferred. */
  readonly ready: boolean;
  /** The same, if its organisation is underserved. */
  readonly readyEarly: boolean;
  /** Candidates with a higher score are dispatched first. */
  readonly score: number;
  /** Endpoint time that the request is expected to use. */
  readonly costMs: number;
}

/** The board sections that the dispatch order of a queue depends on. */
export type CandidateSections = Pick<
  BoardView<EntrySections>,
  'waiting' | 'matches' | 'patience' | 'decodeRates'
>;

/** Lists the unmatched requests of a queue in dispatch order. */
export function listCandidates(
  board: CandidateSections,
  queue: QueueKey,
  now: TurnTime,
): readonly Candidate[] {
  const rates = computeMeanRates(board, queue.set);
  const candidates: Candidate[] = [];
  for (const {key, value} of iterateWaiting(board.waiting, queue)) {
    if (candidates.length === MAX_CANDIDATES_PER_QUEUE) {
      break;
    }
    if (!board.matches.has(key.request)) {
      candidates.push(createCandidate(board, value, rates, now));
    }
  }
  return candidates.sort(compareCandidates);
}

/**
 * Computes the mean decoding rate of a set's endpoints. The prefill rate, which
 * is not observed, is scaled from its default by the same factor.
 */
function computeMeanRates(
  board: CandidateSections,
  set: QueueKey['set'],
): EndpointRates {
  const learned = [...board.decodeRates.values()]
    .filter(rate => rate.set === set)
    .map(rate => rate.decodeMsPerToken);
  if (learned.length === 0) {
    return DEFAULT_RATES;
  }
  const speed = learned.reduce((sum, rate) => sum + 1 / rate, 0);
  const decodeMsPerToken = learned.length / speed;
  const slowness = decodeMsPerToken / DEFAULT_RATES.decodeMsPerToken;
  return {
    decodeMsPerToken,
    prefillMsPerToken: slowness * DEFAULT_RATES.prefillMsPerToken,
  };
}

function compareCandidates(left: Candidate, right: Candidate): number {
  if (left.ready !== right.ready) {
    return left.ready ? -1 : 1;
  }
  return right.score - left.score;
}

function createCandidate(
  board: CandidateSections,
  request: AdmittedRequest,
  rates: EndpointRates,
  now: TurnTime,
): Candidate {
  const work = estimateWork(request, rates);
  const waitedMs = now.monotonic - request.arrivedAt;
  const {routePolicy} = request;
  if (routePolicy !== undefined) {
    const {objectiveMs} = routePolicy;
    const score = scoreCall({waitedMs, objectiveMs});
    const {costMs} = work;
    return {request, ready: true, readyEarly: true, score, costMs};
  }
  const survival = estimateSurvival({
    own: board.patience.get(toRequestClass(request)),
    general: board.patience.get(toGeneralClass(request)),
    waitedMs,
    remainingMs: work.serviceMs,
  });
  const {rank, value} = request;
  const estimate = {rank, value, survival, costMs: work.costMs, waitedMs};
  return {
    request,
    ready: isReady(estimate),
    readyEarly: isReadyEarly(estimate),
    score: scoreCandidate(estimate),
    costMs: work.costMs,
  };
}
