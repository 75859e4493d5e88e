/**
 * Fair sharing by virtual time: the weighted service that an organisation has
 * received. The one with the lowest virtual time is served first.
 */
import type {Milliseconds} from '@gentianshunt/clock';

/** Largest lag in virtual time that an organisation can make up later. */
export const MAX_CREDIT_MS: Milliseconds = 10_000;
/** Lag in virtual time from which an organisation counts as underserved. */
const UNDERSERVED_LAG_MS: Milliseconds = 4_000;

/**
 * Limits the lag behind the highest virtual time, so that an idle organisation
 * does not accumulate credit.
 */
export function limitCredit(
  virtualTime: number,
  maxVirtualTime: number,
): number {
  return Math.max(virtualTime, maxVirtualTime - MAX_CREDIT_MS);
}

/** Returns whether an organisation has had clearly less than its fair share. */
export function isUnderserved(
  virtualTime: number,
  maxVirtualTime: number,
): boolean {
  return virtualTime < maxVirtualTime - UNDERSERVED_LAG_MS;
}
