/**
 * Decides whether a call joins the queue of its entry. It answers the load of a
 * set that is used up: a call that cannot start near the time for which it aims is
 * refused at once, so that its caller comes back when there is room, instead of
 * waiting in vain in front of calls that could still be in time.
 */
import type {Milliseconds} from '@gentianshunt/clock';

/**
 * Objectives within which a call has to start. Estimates vary with few requests an
 * entry, and a late answer is worth something to its caller.
 */
const START_OBJECTIVES = 2;
/** Shortest time after which a refused caller may come back. */
const MIN_RETRY_AFTER_MS: Milliseconds = 250;
/** The longest such time, as a fraction of the time limit of the call. */
const MAX_RETRY_AFTER_FRACTION = 0.15;

/** What is known of a call and of the queue that it would join. */
export interface AdmissionInput {
  /** Whether requests of the set wait for capacity anywhere. */
  readonly isUsedUp: boolean;
  /** Waiting requests of this entry that go before it. */
  readonly ahead: number;
  /** Waiting requests of the same tier. */
  readonly ownTier: number;
  /** Requests that this entry dispatches to the set. */
  readonly dispatchedPerSecond: number;
  /** Arrivals of higher tiers at this entry. */
  readonly higherPerSecond: number;
  readonly objectiveMs: Milliseconds;
  readonly timeLimitMs: Milliseconds;
}

/** What is done with a call that arrives. */
export type AdmissionDecision =
  | {readonly kind: 'admit'}
  | {readonly kind: 'refuse'; readonly retryAfterMs: Milliseconds};

const MILLISECONDS_PER_SECOND = 1_000;

/** Decides on a call; the first of its tier is admitted in any case. */
export function decideAdmission(input: AdmissionInput): AdmissionDecision {
  const {isUsedUp, ownTier, objectiveMs, timeLimitMs} = input;
  if (!isUsedUp || ownTier === 0) {
    return {kind: 'admit'};
  }
  const waitMs = estimateWait(input);
  if (waitMs <= START_OBJECTIVES * objectiveMs) {
    return {kind: 'admit'};
  }
  const longestMs = MAX_RETRY_AFTER_FRACTION * timeLimitMs;
  const retryAfterMs = Math.max(
    MIN_RETRY_AFTER_MS,
    Math.min(longestMs, waitMs),
  );
  return {kind: 'refuse', retryAfterMs};
}

/** Estimates when a call would be dispatched; infinite if higher tiers take all. */
function estimateWait({
  ahead,
  dispatchedPerSecond,
  higherPerSecond,
}: AdmissionInput): Milliseconds {
  const perSecond = dispatchedPerSecond - higherPerSecond;
  return perSecond <= 0
    ? Number.POSITIVE_INFINITY
    : (MILLISECONDS_PER_SECOND * (ahead + 1)) / perSecond;
}
