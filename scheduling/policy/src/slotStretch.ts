/**
 * Decides how many slots of a plain service are granted for each request that it
 * processes at once. It answers the load of short requests at many entries: most
 * slots are on their way, to an entry or back, while endpoints have nothing to do.
 */

import type {Milliseconds} from '@gentianshunt/clock';

/** Most slots for each request, however long messages take. */
export const MAX_SLOT_STRETCH = 64;
/**
 * Time in which they may double. What runs is known late, so that it looks little
 * while the load rises.
 */
const DOUBLING_MS: Milliseconds = 700;

/** Means over the same time, and what followed from earlier ones. */
export interface SlotUse {
  /** Slots for each request so far. */
  readonly stretch: number;
  /** Time since that was computed. */
  readonly elapsedMs: Milliseconds;
  /** Slots that the leader counts as occupied. */
  readonly occupied: number;
  /** Requests that run. */
  readonly running: number;
}

/**
 * Computes slots for each request that is processed at once, so that as many run
 * on average as can. As requests wait at endpoints, more run, and it falls.
 */
export function computeSlotStretch({
  stretch,
  elapsedMs,
  occupied,
  running,
}: SlotUse): number {
  const wanted = running <= 0 ? 1 : Math.max(1, occupied / running);
  const reachable = stretch * 2 ** (elapsedMs / DOUBLING_MS);
  return Math.min(MAX_SLOT_STRETCH, wanted, reachable);
}
