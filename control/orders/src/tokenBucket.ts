/** Rate limit for loads from the weight store. */
export interface WeightStoreRate {
  /** Maximum number of loads that may start at once. */
  readonly burst: number;
  readonly loadsPerMinute: number;
}

/** The rate that applies until operators configure another. */
export const DEFAULT_WEIGHT_STORE_RATE: WeightStoreRate = {
  burst: 2,
  loadsPerMinute: 6,
};

/** Number of loads that may start, as of a time. */
export interface TokenBucket {
  readonly tokens: number;
  readonly updatedAtMs: number;
}

/** A bucket that the first refill fills to the burst. */
export const INITIAL_BUCKET: TokenBucket = {tokens: 0, updatedAtMs: 0};

const MS_PER_MINUTE = 60_000;

/** Adds the tokens for the elapsed time; a clock set back adds none. */
export function refillBucket(
  bucket: TokenBucket,
  rate: WeightStoreRate,
  atMs: number,
): TokenBucket {
  const updatedAtMs = Math.max(bucket.updatedAtMs, atMs);
  const earned =
    ((updatedAtMs - bucket.updatedAtMs) * rate.loadsPerMinute) / MS_PER_MINUTE;
  return {tokens: Math.min(rate.burst, bucket.tokens + earned), updatedAtMs};
}

/** Takes a token from the bucket; returns `undefined` if there is none. */
export function takeToken(
  bucket: TokenBucket,
  rate: WeightStoreRate,
  atMs: number,
): TokenBucket | undefined {
  const filled = refillBucket(bucket, rate, atMs);
  return filled.tokens < 1 ? undefined : {...filled, tokens: filled.tokens - 1};
}
