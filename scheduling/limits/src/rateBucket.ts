import type {MonotonicTime} from '@gentianshunt/clock';

/** Requests an organisation may start at once after a pause, in seconds. */
export const BURST_SECONDS = 1;

const MS_PER_SECOND = 1_000;

/** Requests that an organisation may start, as of an instant. */
export interface RateBucket {
  readonly tokens: number;
  readonly at: MonotonicTime;
}

/** Fills a bucket for the time since it was last looked at. */
export function refillBucket(
  bucket: RateBucket | undefined,
  requestsPerSecond: number,
  now: MonotonicTime,
): RateBucket {
  const capacity = Math.max(1, requestsPerSecond * BURST_SECONDS);
  return refillTokens(bucket, {perSecond: requestsPerSecond, capacity}, now);
}

/** How a bucket fills up. */
export interface BucketRate {
  readonly perSecond: number;
  readonly capacity: number;
}

/** Fills a bucket of any rate; one that was never used is full. */
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

/** Takes what was granted out of a bucket. */
export function spendBucket(bucket: RateBucket, count: number): RateBucket {
  return {...bucket, tokens: bucket.tokens - count};
}
