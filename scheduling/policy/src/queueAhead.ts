/**
 * Decides how many requests endpoints get beyond those that they process at once.
 * It answers the load of a set that is used up while the reports of its entries
 * are late: capacity that is free already still counts as occupied.
 */
import type {Milliseconds} from '@gentianshunt/clock';

import {MAX_REUSE_MS} from './slotReuse.js';

/** Largest part of its concurrency that an endpoint gets in addition. */
const MAX_FRACTION = 0.5;

/**
 * Computes how many requests an endpoint may have in its queue, from the time in
 * which its capacity comes back to the leader and is granted again.
 */
export function computeQueueAhead(
  concurrency: number,
  turnaroundMs: Milliseconds,
): number {
  const returning = (concurrency * turnaroundMs) / MAX_REUSE_MS;
  return Math.min(Math.floor(concurrency * MAX_FRACTION), Math.ceil(returning));
}
