import type {Milliseconds} from '@gentianshunt/clock';

/** How fast an endpoint works while its batch is full. */
export interface EndpointRates {
  readonly prefillMsPerToken: Milliseconds;
  readonly decodeMsPerToken: Milliseconds;
}

/** Rates assumed for an endpoint without observations. */
export const DEFAULT_RATES: EndpointRates = {
  prefillMsPerToken: 0.2,
  decodeMsPerToken: 30,
};

/** Fraction of the allowed answer tokens that is used on average. */
export const MEAN_ANSWER_FRACTION = 0.5;
/** Fraction of an endpoint's capacity that processing a prompt occupies. */
const PREFILL_OCCUPANCY = 0.5;
/** Fraction of an endpoint's capacity that decoding one answer occupies. */
const DECODE_OCCUPANCY = 1 / 16;

/** The size of a request, as declared before it runs. */
export interface RequestSize {
  readonly promptTokens: number;
  readonly maxTokens: number;
}

/** Expected work of a request. */
export interface WorkEstimate {
  /** Time from dispatch to the end of the answer. */
  readonly serviceMs: Milliseconds;
  /** Endpoint time that the request consumes, at full capacity. */
  readonly costMs: Milliseconds;
}

/** Estimates the work of a request at an endpoint. */
export function estimateWork(
  size: RequestSize,
  rates: EndpointRates,
): WorkEstimate {
  const prefillMs = size.promptTokens * rates.prefillMsPerToken;
  const answerTokens = size.maxTokens * MEAN_ANSWER_FRACTION;
  const decodeMs = answerTokens * rates.decodeMsPerToken;
  return {
    serviceMs: prefillMs + decodeMs,
    costMs: prefillMs * PREFILL_OCCUPANCY + decodeMs * DECODE_OCCUPANCY,
  };
}
