import type {OrganisationLimits} from '@gentianshunt/configuration';

import type {RateBucket} from './rateBucket.js';

/** The inputs of an allowance. */
export interface AllowanceInput {
  readonly limits: OrganisationLimits;
  /** Running requests and granted slots at the endpoints of the set. */
  readonly occupied: number;
  /** The refilled bucket; `null` where the rate has no limit. */
  readonly bucket: RateBucket | null;
}

/** Returns whether an organisation has a concurrency or a rate limit. */
export function isLimited(limits: OrganisationLimits): boolean {
  return limits.maxRunning !== null || limits.maxRequestsPerSecond !== null;
}

/** Computes the number of slots that an organisation may be granted now. */
export function computeAllowance(input: AllowanceInput): number {
  const {limits, occupied, bucket} = input;
  const capacity =
    limits.maxRunning === null ? Infinity : limits.maxRunning - occupied;
  const tokens = bucket === null ? Infinity : Math.floor(bucket.tokens);
  return Math.max(0, Math.min(capacity, tokens));
}

/**
 * Computes how many requests of a limited organisation may wait in one queue of
 * an entry; more are refused, since they could not start within seconds.
 */
export function computeWaitingLimit(limits: OrganisationLimits): number {
  return isLimited(limits)
    ? Math.ceil(
        Math.max(limits.maxRunning ?? 0, limits.maxRequestsPerSecond ?? 0, 1),
      )
    : Infinity;
}
