/** Rates are milliseconds per decoded token: a lower rate is faster. */
import type {Milliseconds} from '@gentianshunt/clock';

/** Weight of a new sample in a learned rate. */
const SAMPLE_WEIGHT = 0.3;
/** Multiple of the median rate above which an endpoint counts as slowed. */
export const SLOWED_FACTOR = 3;
/** Concurrency of a slowed endpoint, which shows whether it recovers. */
export const PROBE_CONCURRENCY = 1;
/** Multiple of the median rate up to which an endpoint serves the top tier. */
export const TOP_TIER_RATE_FACTOR = 0.9;
/** Multiple of the fastest rate up to which an endpoint serves the top tier. */
export const NEAR_FASTEST_FACTOR = 1.5;
/** Wait after which a request accepts any endpoint that is not slowed. */
export const MAX_WAIT_FOR_RATE_MS: Milliseconds = 1_000;
/** The same, as a fraction of the time to the first byte that it aims for. */
export const MAX_WAIT_FOR_RATE_FRACTION = 0.1;

/** Updates a learned rate (an exponential moving average) with a sample. */
export function learnRate(
  before: Milliseconds | undefined,
  sample: Milliseconds,
): Milliseconds {
  return before === undefined
    ? sample
    : before + SAMPLE_WEIGHT * (sample - before);
}

/** Computes the median rate of a set; 0 without rates. */
export function computeMedianRate(
  rates: readonly Milliseconds[],
): Milliseconds {
  const sorted = [...rates].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

/** Limits the concurrency of a slowed endpoint. */
export function limitConcurrency(
  concurrency: number,
  rate: Milliseconds,
  medianRate: Milliseconds,
): number {
  return rate > SLOWED_FACTOR * medianRate
    ? Math.min(PROBE_CONCURRENCY, concurrency)
    : concurrency;
}

/**
 * Returns whether a request accepts an endpoint of a rate. Requests below the
 * highest tier accept every endpoint.
 */
export function isRateAccepted(input: {
  readonly rank: number;
  readonly waitedMs: Milliseconds;
  /** Time to the first byte for which the request aims; `null` without one. */
  readonly objectiveMs: Milliseconds | null;
  readonly rate: Milliseconds;
  /** The median rate of the set. */
  readonly medianRate: Milliseconds;
  /** The lowest rate of the set. */
  readonly fastestRate: Milliseconds;
}): boolean {
  const {rank, waitedMs, objectiveMs, rate, medianRate, fastestRate} = input;
  if (rank > 1) {
    return true;
  }
  const maxWaitMs =
    objectiveMs === null
      ? MAX_WAIT_FOR_RATE_MS
      : Math.min(
          MAX_WAIT_FOR_RATE_MS,
          MAX_WAIT_FOR_RATE_FRACTION * objectiveMs,
        );
  return waitedMs > maxWaitMs
    ? rate <= SLOWED_FACTOR * medianRate
    : rate <=
        Math.max(
          TOP_TIER_RATE_FACTOR * medianRate,
          NEAR_FASTEST_FACTOR * fastestRate,
        );
}
