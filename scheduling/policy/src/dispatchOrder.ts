import type {Milliseconds} from '@gentianshunt/clock';

/** Least chance to be answered at which a request is dispatched at once. */
export const HOLD_SURVIVAL = 0.75;
/** Longest time a request is held for its caller's sake. */
export const MAX_HOLD_MS: Milliseconds = 20_000;
/** As above, for an organisation that has had less than its share. */
export const BEHIND_HOLD_SURVIVAL = 0.45;
/** As above, for an organisation that has had less than its share. */
export const BEHIND_MAX_HOLD_MS: Milliseconds = 6_000;
/** Tiers down to this rank are never held. */
export const UNHELD_RANK = 1;

/** What the place of a request in the order of dispatch depends on. */
export interface DispatchBet {
  readonly rank: number;
  readonly value: number;
  /** Chance that the caller stays until the end. */
  readonly survival: number;
  readonly costMs: Milliseconds;
  readonly waitedMs: Milliseconds;
}

/** Value expected for each millisecond of an endpoint's time. */
export function scoreBet({value, survival, costMs}: DispatchBet): number {
  return (value * survival) / Math.max(1, costMs);
}

/** What the place of a call to a route depends on. */
export interface CallBet {
  readonly waitedMs: Milliseconds;
  /** Time to the first byte that the caller expects. */
  readonly objectiveMs: Milliseconds;
}

/** Calls go in the order in which they use up their objective. */
export function scoreCall({waitedMs, objectiveMs}: CallBet): number {
  return waitedMs / Math.max(1, objectiveMs);
}

/**
 * Tells whether a request goes ahead. The callers who leave early do so while
 * the request waits, at no cost; those who stay longer are the better bet.
 */
export function isReady({rank, survival, waitedMs}: DispatchBet): boolean {
  return (
    rank <= UNHELD_RANK || survival >= HOLD_SURVIVAL || waitedMs >= MAX_HOLD_MS
  );
}

/** Tells whether a request of an organisation behind its share goes ahead. */
export function isReadyEarly(bet: DispatchBet): boolean {
  return (
    isReady(bet) ||
    bet.survival >= BEHIND_HOLD_SURVIVAL ||
    bet.waitedMs >= BEHIND_MAX_HOLD_MS
  );
}
