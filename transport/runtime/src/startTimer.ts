import type {Milliseconds} from '@gentianshunt/clock';

/** Longest delay of a timer of Node.js; with a longer one it fires at once. */
export const MAX_TIMER_MS: Milliseconds = 2 ** 31 - 1;

/**
 * Starts a timer whose delay may come from outside, such as a time limit of the
 * configuration. A longer delay than the longest one counts as that one.
 */
export function startTimer(
  onDue: () => void,
  delayMs: Milliseconds,
): NodeJS.Timeout {
  return setTimeout(onDue, Math.min(delayMs, MAX_TIMER_MS));
}
