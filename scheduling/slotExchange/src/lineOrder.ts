import type {TurnTime} from '@gentianshunt/board';
import {iterateWaiting} from '@gentianshunt/entryModel';
import type {
  AdmittedRequest,
  EntrySections,
  LineKey,
} from '@gentianshunt/entryModel';
import type {BoardView} from '@gentianshunt/board';
import type {EndpointRates} from '@gentianshunt/policy';
import {
  DEFAULT_RATES,
  estimateSurvival,
  estimateWork,
  isReady,
  isReadyEarly,
  scoreBet,
  scoreCall,
  toGeneralClass,
  toRequestClass,
} from '@gentianshunt/policy';

/** Requests of a line that are weighed, the longest waiting first. */
export const WEIGHED_PER_LINE = 64;

/** A waiting request with what it promises and costs. */
export interface Candidate {
  readonly request: AdmittedRequest;
  readonly ready: boolean;
  readonly readyEarly: boolean;
  readonly score: number;
  readonly costMs: number;
}

/** The sections that the order of a line depends on. */
export type LineSections = Pick<
  BoardView<EntrySections>,
  'waiting' | 'matches' | 'patience' | 'endpointRates'
>;

/** Lists the unmatched requests of a line in their order of dispatch. */
export function listCandidates(
  board: LineSections,
  line: LineKey,
  now: TurnTime,
): readonly Candidate[] {
  const rates = readMeanRates(board, line.set);
  const candidates: Candidate[] = [];
  for (const {key, value} of iterateWaiting(board.waiting, line)) {
    if (candidates.length === WEIGHED_PER_LINE) {
      break;
    }
    if (!board.matches.has(key.request)) {
      candidates.push(weighRequest(board, value, rates, now));
    }
  }
  return candidates.sort(compareCandidates);
}

/** The rates at which the endpoints of a set work on average. */
function readMeanRates(
  board: LineSections,
  set: LineKey['set'],
): EndpointRates {
  const learned = [...board.endpointRates.values()]
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

function weighRequest(
  board: LineSections,
  request: AdmittedRequest,
  rates: EndpointRates,
  now: TurnTime,
): Candidate {
  const work = estimateWork(request, rates);
  const waitedMs = now.monotonic - request.arrivedAt;
  const {terms} = request;
  if (terms !== undefined) {
    const {objectiveMs} = terms;
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
  const bet = {rank, value, survival, costMs: work.costMs, waitedMs};
  return {
    request,
    ready: isReady(bet),
    readyEarly: isReadyEarly(bet),
    score: scoreBet(bet),
    costMs: work.costMs,
  };
}
