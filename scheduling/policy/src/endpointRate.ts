import type {Milliseconds} from '@gentianshunt/clock';

/** Weight of a new sample in a learned rate. */
const SAMPLE_WEIGHT = 0.3;
/** How many times the set's middle rate makes an endpoint count as slowed. */
export const SLOWED_FACTOR = 3;
/** Places of a slowed endpoint that are used to find out whether it recovers. */
export const PROBE_CONCURRENCY = 1;
/** Rate over the middle one up to which an endpoint takes the highest tier. */
export const TOP_TIER_RATE_FACTOR = 0.9;
/** Rates up to this many times the fastest one count as fast in any case. */
export const NEAR_FASTEST_FACTOR = 1.5;
/** After this wait a request takes any endpoint that is not slowed. */
export const MAX_WAIT_FOR_RATE_MS: Milliseconds = 1_000;

/** Mixes a sample into a learned rate. */
export function learnRate(
  before: Milliseconds | undefined,
  sample: Milliseconds,
): Milliseconds {
  return before === undefined
    ? sample
    : before + SAMPLE_WEIGHT * (sample - before);
}

/** Tells the middle of the rates of a set. */
export function readMiddleRate(rates: readonly Milliseconds[]): Milliseconds {
  const sorted = [...rates].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

/** Tells how many places of an endpoint are of use at its present rate. */
export function limitConcurrency(
  concurrency: number,
  rate: Milliseconds,
  middle: Milliseconds,
): number {
  return rate > SLOWED_FACTOR * middle
    ? Math.min(PROBE_CONCURRENCY, concurrency)
    : concurrency;
}

/** Whether a request of a tier takes a place at an endpoint. */
export function isRateAccepted(input: {
  readonly rank: number;
  readonly waitedMs: Milliseconds;
  readonly rate: Milliseconds;
  readonly middle: Milliseconds;
  readonly fastest: Milliseconds;
}): boolean {
  const {rank, waitedMs, rate, middle, fastest} = input;
  if (rank > 1) {
    return true;
  }
  return waitedMs > MAX_WAIT_FOR_RATE_MS
    ? rate <= SLOWED_FACTOR * middle
    : rate <=
        Math.max(TOP_TIER_RATE_FACTOR * middle, NEAR_FASTEST_FACTOR * fastest);
}
