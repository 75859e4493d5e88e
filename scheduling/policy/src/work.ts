import type {Milliseconds} from '@gentianshunt/clock';

/** How fast an endpoint works while its batch is full. */
export interface EndpointRates {
  readonly prefillMsPerToken: Milliseconds;
  readonly decodeMsPerToken: Milliseconds;
}

/** Rates assumed of an endpoint of which nothing is known. */
export const DEFAULT_RATES: EndpointRates = {
  prefillMsPerToken: 0.2,
  decodeMsPerToken: 30,
};

/** Part of the allowed answer that is used on average. */
export const MEAN_ANSWER_SHARE = 0.5;
/** Part of an endpoint's time that processing a prompt takes up. */
const PREFILL_OCCUPANCY = 0.5;
/** Part of an endpoint's time that decoding one answer of a batch takes up. */
const DECODE_OCCUPANCY = 1 / 16;

/** The size of a request, as far as it is known before it runs. */
export interface RequestSize {
  readonly promptTokens: number;
  readonly maxTokens: number;
}

/** Work expected of a request. */
export interface WorkEstimate {
  /** Time from dispatch to the end of the answer. */
  readonly serviceMs: Milliseconds;
  /** Time of a whole endpoint that the request uses up. */
  readonly costMs: Milliseconds;
}

/** Estimates the work of a request at an endpoint. */
export function estimateWork(
  size: RequestSize,
  rates: EndpointRates,
): WorkEstimate {
  const prefillMs = size.promptTokens * rates.prefillMsPerToken;
  const answerTokens = size.maxTokens * MEAN_ANSWER_SHARE;
  const decodeMs = answerTokens * rates.decodeMsPerToken;
  return {
    serviceMs: prefillMs + decodeMs,
    costMs: prefillMs * PREFILL_OCCUPANCY + decodeMs * DECODE_OCCUPANCY,
  };
}
