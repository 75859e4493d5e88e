import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';

/** Time constant of an exponentially decaying rate. */
export const RATE_DECAY_MS: Milliseconds = 2_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** How often something happens, as a decaying average. */
export interface EventRate {
  readonly perSecond: number;
  readonly at: MonotonicTime;
}

/** The time at which a rate is wanted. */
export interface RateTime {
  readonly monotonic: MonotonicTime;
}

/** Computes what is left of a rate at a time. */
export function computeRate(
  rate: EventRate | undefined,
  now: RateTime,
): number {
  if (rate === undefined) {
    return 0;
  }
  const ageMs = now.monotonic - rate.at;
  return rate.perSecond * Math.exp(-ageMs / RATE_DECAY_MS);
}

/** Adds one event to a rate. */
export function countEvent(
  rate: EventRate | undefined,
  now: RateTime,
): EventRate {
  const perSecond =
    computeRate(rate, now) + MILLISECONDS_PER_SECOND / RATE_DECAY_MS;
  return {perSecond, at: now.monotonic};
}
