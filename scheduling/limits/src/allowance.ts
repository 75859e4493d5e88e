import type {OrganisationLimits} from '@gentianshunt/configuration';

import type {RateBucket} from './rateBucket.js';

/** What an allowance is worked out from. */
export interface AllowanceInput {
  readonly limits: OrganisationLimits;
  /** Requests running, and slots granted, at the endpoints of the set. */
  readonly occupied: number;
  /** The refilled bucket; `null` where the rate has no limit. */
  readonly bucket: RateBucket | null;
}

/** Tells whether an organisation has a limit of either kind. */
export function isLimited(limits: OrganisationLimits): boolean {
  return limits.maxRunning !== null || limits.maxRequestsPerSecond !== null;
}

/** Counts the slots that an organisation may be granted now. */
export function readAllowance(input: AllowanceInput): number {
  const {limits, occupied, bucket} = input;
  const places =
    limits.maxRunning === null ? Infinity : limits.maxRunning - occupied;
  const tokens = bucket === null ? Infinity : Math.floor(bucket.tokens);
  return Math.max(0, Math.min(places, tokens));
}

/**
 * Counts the requests of a limited organisation that may wait in one line of
 * an entry; more are refused, since they could not start within seconds.
 */
export function readWaitingLimit(limits: OrganisationLimits): number {
  return isLimited(limits)
    ? Math.ceil(
        Math.max(limits.maxRunning ?? 0, limits.maxRequestsPerSecond ?? 0, 1),
      )
    : Infinity;
}
