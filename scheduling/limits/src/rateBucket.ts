/** Token buckets, where a token is one request that may start. */
import type {MonotonicTime} from '@gentianshunt/clock';

/** Burst after a pause: the requests of this many seconds may start at once. */
export const BURST_SECONDS = 1;

const MS_PER_SECOND = 1_000;

/** The fill level of a token bucket at an instant. */
export interface RateBucket {
  readonly tokens: number;
  readonly at: MonotonicTime;
}

/** Refills the bucket of a request rate up to the present time. */
export function refillBucket(
  bucket: RateBucket | undefined,
  requestsPerSecond: number,
  now: MonotonicTime,
): RateBucket {
  const capacity = Math.max(1, requestsPerSecond * BURST_SECONDS);
  return refillTokens(bucket, {perSecond: requestsPerSecond, capacity}, now);
}

/** The refill rate and the capacity of a bucket. */
export interface BucketRate {
  readonly perSecond: number;
  readonly capacity: number;
}

/** Refills a bucket up to the present time; an unused bucket is full. */
export function refillTokens(
  bucket: RateBucket | undefined,
  rate: BucketRate,
  now: MonotonicTime,
): RateBucket {
  if (bucket === undefined) {
    return {tokens: rate.capacity, at: now};
  }
  const elapsedSeconds = Math.max(0, now - bucket.at) / MS_PER_SECOND;
  const tokens = bucket.tokens + elapsedSeconds * rate.perSecond;
  return {tokens: Math.min(rate.capacity, tokens), at: now};
}

/** Removes the granted tokens from a bucket. */
export function spendBucket(bucket: RateBucket, count: number): RateBucket {
  return {...bucket, tokens: bucket.tokens - count};
}
