import type {Milliseconds} from '@gentianshunt/clock';

/** Survival probability of the caller below which a request is deferred. */
export const DEFER_BELOW_SURVIVAL = 0.75;
/** Longest time for which a request is deferred. */
export const MAX_DEFER_MS: Milliseconds = 20_000;
/** `DEFER_BELOW_SURVIVAL` for an underserved organisation. */
export const UNDERSERVED_DEFER_BELOW_SURVIVAL = 0.45;
/** `MAX_DEFER_MS` for an underserved organisation. */
export const UNDERSERVED_MAX_DEFER_MS: Milliseconds = 6_000;
/** Tiers down to this rank are never deferred; rank 1 is the highest tier. */
export const MAX_UNDEFERRED_RANK = 1;

/** A request that may be dispatched, with the inputs of its score. */
export interface DispatchCandidate {
  readonly rank: number;
  readonly value: number;
  /** Probability that the caller stays until the end of the answer. */
  readonly survival: number;
  readonly costMs: Milliseconds;
  readonly waitedMs: Milliseconds;
}

/** Computes the expected value per millisecond of an endpoint's time. */
export function scoreCandidate({
  value,
  survival,
  costMs,
}: DispatchCandidate): number {
  return (value * survival) / Math.max(1, costMs);
}

/** A call to a route that may be dispatched, with the inputs of its score. */
export interface CallCandidate {
  readonly waitedMs: Milliseconds;
  /** Time to the first byte that the caller expects. */
  readonly objectiveMs: Milliseconds;
}

/**
 * Computes the fraction of its objective that a call has waited. The call with
 * the highest fraction is dispatched first.
 */
export function scoreCall({waitedMs, objectiveMs}: CallCandidate): number {
  return waitedMs / Math.max(1, objectiveMs);
}

/**
 * Returns whether a request may be dispatched. A request whose caller is likely
 * to leave is deferred: callers who leave early then cost no endpoint time, and
 * those who remain are more likely to stay until the answer ends.
 */
export function isReady({
  rank,
  survival,
  waitedMs,
}: DispatchCandidate): boolean {
  return (
    rank <= MAX_UNDEFERRED_RANK ||
    survival >= DEFER_BELOW_SURVIVAL ||
    waitedMs >= MAX_DEFER_MS
  );
}

/** Returns whether a request of an underserved organisation is ready. */
export function isReadyEarly(candidate: DispatchCandidate): boolean {
  return (
    isReady(candidate) ||
    candidate.survival >= UNDERSERVED_DEFER_BELOW_SURVIVAL ||
    candidate.waitedMs >= UNDERSERVED_MAX_DEFER_MS
  );
}
