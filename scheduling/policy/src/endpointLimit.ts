/** Request rates that endpoints name for all entries together. */
import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';

/** The latest limit that an endpoint named; `null` for none any more. */
export interface EndpointLimit {
  readonly perSecond: number | null;
  readonly namedAt: MonotonicTime;
}

/** Lowest rate, by which an endpoint that takes nothing can say so again. */
export const MIN_LIMIT_PER_SECOND = 0.2;
/** How long a limit holds fully after the last answer that named it. */
export const LIMIT_HOLD_MS: Milliseconds = 5_000;
/** Time in which a limit that no answer names or ends doubles after that. */
export const LIMIT_DOUBLING_MS: Milliseconds = 5_000;
/** A limit is forgotten after this time without an answer. */
export const LIMIT_RETENTION_MS: Milliseconds = 60_000;
/** Seconds whose requests may reach an endpoint at once. */
const BURST_SECONDS = 0.5;

/** Computes the rate that holds now; `undefined` without a limit. */
export function computeEndpointRate(
  limit: EndpointLimit | undefined,
  now: MonotonicTime,
): number | undefined {
  const ageMs = limit === undefined ? 0 : now - limit.namedAt;
  const perSecond = limit?.perSecond ?? null;
  if (perSecond === null || ageMs >= LIMIT_RETENTION_MS) {
    return undefined;
  }
  const silentMs = Math.max(0, ageMs - LIMIT_HOLD_MS);
  const doublings = Math.floor(silentMs / LIMIT_DOUBLING_MS);
  return Math.max(MIN_LIMIT_PER_SECOND, perSecond) * 2 ** doublings;
}

/** Computes how many requests may reach a limited endpoint at once. */
export function computeEndpointBurst(perSecond: number): number {
  return Math.max(1, perSecond * BURST_SECONDS);
}

/** The part of a limit that one entry may use without a grant. */
export interface UngrantedRate {
  readonly perSecond: number;
  readonly capacity: number;
}

/**
 * Computes the part of a limit that one of many entries may use while the set
 * has no leader. A limit may be far less than one request for each entry, so
 * about as many entries as it has requests a second use it, and others nothing.
 * `position` is a number from 0 to 1 that differs by entry and endpoint.
 */
export function computeUngrantedRate(
  perSecond: number,
  entries: number,
  position: number,
): UngrantedRate {
  const fraction = Math.min(1, perSecond / Math.max(1, entries));
  return position < fraction
    ? {perSecond: perSecond / (entries * fraction), capacity: 1}
    : {perSecond: 0, capacity: 0};
}

/**
 * Computes how many requests one of many entries may run without a grant at an
 * endpoint that must not get more than it runs at once. `position` is a number from
 * 0 to 1 that differs by entry and endpoint.
 */
export function computeUngrantedShare(
  concurrency: number,
  entries: number,
  position: number,
): number {
  const share = concurrency / Math.max(1, entries);
  const whole = Math.floor(share);
  return whole + (position < share - whole ? 1 : 0);
}

/** Longest time for which an entry leaves a brittle endpoint alone. */
const MAX_REJECTION_PAUSE_MS: Milliseconds = 5_000;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Computes how long an entry leaves a brittle endpoint alone that has turned a
 * request away, so that all entries together cause no more rejections than it bears.
 */
export function computeRejectionPause(
  rejectionsPerSecond: number,
  entries: number,
): Milliseconds {
  const pauseMs =
    (MILLISECONDS_PER_SECOND * Math.max(1, entries)) /
    Math.max(1, rejectionsPerSecond);
  return Math.min(MAX_REJECTION_PAUSE_MS, pauseMs);
}
