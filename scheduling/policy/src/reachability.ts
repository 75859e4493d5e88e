/**
 * Decides whether an entry is cut off from endpoints. What a failed connection
 * shows is a relation between the two ends: while an entry fails at several
 * endpoints, it opens connections to others. If none of them is reached, the entry
 * is cut off, and what it says of endpoints counts for nothing.
 */
import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';

/** Endpoints that fail within `FAILURE_MEMORY_MS` before others are tried. */
export const DOUBTED_ENDPOINTS = 2;
/** Endpoints that are tried at once. */
export const CHECKED_ENDPOINTS = 3;
/** Endpoints that an isolated entry has to reach to return. */
export const RETURN_ENDPOINTS = 2;
/** How long a failed connection raises doubts. */
export const FAILURE_MEMORY_MS: Milliseconds = 1_500;
/**
 * Time without a byte of any endpoint, while requests wait for one, after which
 * endpoints are tried. One silent endpoint among others raises no doubt.
 */
export const SILENCE_MS: Milliseconds = 700;
/** Shortest time between two checks after connections that failed. */
export const CHECK_INTERVAL_MS: Milliseconds = 1_000;
/** Shortest time from a check to one for silence alone. */
export const SILENCE_CHECK_INTERVAL_MS: Milliseconds = 2_000;
/** Time between two rounds of connections of an isolated entry. */
export const RETURN_CHECK_INTERVAL_MS: Milliseconds = 500;
/** Time after which a check without an answer is given up. */
export const MAX_CHECK_MS: Milliseconds = 2_000;

/** What an entry that reaches endpoints has seen lately. */
export interface ReachSigns {
  readonly now: MonotonicTime;
  readonly checkedAt: MonotonicTime;
  /** When a byte of any endpoint arrived last. */
  readonly heardAt: MonotonicTime;
  /** When the oldest request without an answer was sent; `null` without one. */
  readonly oldestSentAt: MonotonicTime | null;
  /** When connections to different endpoints failed. */
  readonly failedAt: readonly MonotonicTime[];
}

/** Returns whether an entry is to check whether it reaches any endpoint. */
export function isCheckDue(signs: ReachSigns): boolean {
  const {now, checkedAt, heardAt, oldestSentAt, failedAt} = signs;
  const recent = failedAt.filter(at => now - at < FAILURE_MEMORY_MS);
  const hasFailed =
    recent.length >= DOUBTED_ENDPOINTS && now - checkedAt >= CHECK_INTERVAL_MS;
  const isSilent =
    oldestSentAt !== null &&
    now - Math.max(oldestSentAt, heardAt) >= SILENCE_MS &&
    now - checkedAt >= SILENCE_CHECK_INTERVAL_MS;
  return hasFailed || isSilent;
}

/** Returns whether an isolated entry that reached some endpoints has returned. */
export function hasReturned(reached: number, known: number): boolean {
  return reached >= Math.min(RETURN_ENDPOINTS, Math.max(1, known));
}
