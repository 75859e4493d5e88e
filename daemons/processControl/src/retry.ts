/** Decides how long a step of the start is tried again. */

/** A step that failed. */
export interface FailedAttempt {
  /** Whether the step may succeed later without a change by an operator. */
  readonly isTemporary: boolean;
  /** Time since the first attempt. */
  readonly waitedMs: number;
}

/** For how long, and how often, a step is tried again. */
export interface RetryLimits {
  readonly limitMs: number;
  readonly intervalMs: number;
}

/** What to do after a step has failed. */
export type RetryDecision =
  | {readonly kind: 'retry'; readonly delayMs: number}
  | {readonly kind: 'giveUp'};

/** Decides what to do after a step has failed. */
export function decideRetry(
  {isTemporary, waitedMs}: FailedAttempt,
  {limitMs, intervalMs}: RetryLimits,
): RetryDecision {
  const timeLeftMs = limitMs - waitedMs;
  return isTemporary && timeLeftMs > 0
    ? {kind: 'retry', delayMs: Math.min(intervalMs, timeLeftMs)}
    : {kind: 'giveUp'};
}
