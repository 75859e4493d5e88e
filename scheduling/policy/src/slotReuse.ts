/**
 * Decides whether an entry goes on using the capacity of a request that has
 * ended. It answers the load of a set that is used up by entries whose reports and
 * grants take long: while the leader learns of the end and grants the capacity
 * again, the endpoint would have nothing to do.
 */
import type {Milliseconds} from '@gentianshunt/clock';

/** Longest time for which capacity stays with an entry without a new grant. */
export const MAX_REUSE_MS: Milliseconds = 8_000;
/** Part of it that differs, so that capacity does not all return together. */
const SPREAD_FRACTION = 0.5;
/** Part of a request's time from which a turnaround is worth announcing. */
const SLOW_TURNAROUND_FRACTION = 0.5;
/** Age from which it is not known which tiers wait at other entries. */
export const MAX_DEMAND_AGE_MS: Milliseconds = 1_000;

/** Capacity that has become free, and the best request that could use it. */
export interface ReuseInput {
  /** Time since the set leader granted it. */
  readonly heldMs: Milliseconds;
  /** How long the next request is expected to use it. */
  readonly expectedMs: Milliseconds;
  /** Usual time until capacity that is reported free is granted again. */
  readonly turnaroundMs: Milliseconds;
  /** Differs from slot to slot; from 0 to 1. */
  readonly spread: number;
  /** Rank of the best waiting request of this entry. */
  readonly ownRank: number;
  /** The highest tier that waits at any entry; `null` if none does. */
  readonly waitingRank: number | null;
  /** Time since that was known. */
  readonly demandAgeMs: Milliseconds;
  /** Whether the endpoint has failed requests of this entry lately. */
  readonly isFailing: boolean;
}

/** What is done with capacity that has become free. */
export type ReuseDecision =
  /** After the last use the leader grants it anew, and learns that beforehand. */
  | {readonly kind: 'reuse'; readonly isLast: boolean}
  /** The leader grants it anew, to whichever entry comes first. */
  | {readonly kind: 'return'; readonly cause: ReturnCause};

/** Why capacity goes back to the leader. */
export type ReturnCause =
  | 'heldLong'
  /** A grant for the waiting request is on its way, and would be left over. */
  | 'nothingWaits'
  | 'demandUnknown'
  | 'higherTierWaits'
  | 'endpointFailing';

/**
 * Decides on free capacity. It goes back now and then, so that the leader can
 * balance entries, organisations and endpoints, and whenever a higher tier may
 * wait for it elsewhere.
 */
export function decideReuse({
  heldMs,
  expectedMs,
  turnaroundMs,
  spread,
  ownRank,
  waitingRank,
  demandAgeMs,
  isFailing,
}: ReuseInput): ReuseDecision {
  if (isFailing) {
    return {kind: 'return', cause: 'endpointFailing'};
  }
  const maxHeldMs = MAX_REUSE_MS * (1 - SPREAD_FRACTION * spread);
  if (heldMs >= maxHeldMs) {
    return {kind: 'return', cause: 'heldLong'};
  }
  if (demandAgeMs >= MAX_DEMAND_AGE_MS) {
    return {kind: 'return', cause: 'demandUnknown'};
  }
  if (waitingRank === null) {
    return {kind: 'return', cause: 'nothingWaits'};
  }
  if (waitingRank < ownRank) {
    return {kind: 'return', cause: 'higherTierWaits'};
  }
  // Where grants are quick, the next request would come before this one ends.
  const isSlow = turnaroundMs >= SLOW_TURNAROUND_FRACTION * expectedMs;
  return {kind: 'reuse', isLast: isSlow && heldMs + expectedMs >= maxHeldMs};
}
