/** The rate at which the weight store may be read. */
export interface WeightStoreRate {
  /** Loads that may begin at once. */
  readonly burst: number;
  readonly loadsPerMinute: number;
}

/** Used until operators set another rate. */
export const DEFAULT_WEIGHT_STORE_RATE: WeightStoreRate = {
  burst: 2,
  loadsPerMinute: 6,
};

/** How many loads may begin, as of an instant. */
export interface TokenBucket {
  readonly tokens: number;
  readonly updatedAtMs: number;
}

/** A bucket that fills to its burst at the first look. */
export const INITIAL_BUCKET: TokenBucket = {tokens: 0, updatedAtMs: 0};

const MS_PER_MINUTE = 60_000;

/** Adds the tokens of the time that has passed; time never runs back. */
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

/** Takes a token; `undefined` when there is none. */
export function takeToken(
  bucket: TokenBucket,
  rate: WeightStoreRate,
  atMs: number,
): TokenBucket | undefined {
  const filled = refillBucket(bucket, rate, atMs);
  return filled.tokens < 1 ? undefined : {...filled, tokens: filled.tokens - 1};
}
