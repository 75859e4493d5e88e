/**
 * Decides how many connections may wait to be accepted. It answers the load of an
 * event loop with long turns, each of which accepts one: a longer queue would hold
 * clients until they leave, and the loop would accept only those that have left.
 */
import type {Milliseconds} from '@gentianshunt/clock';

/** Most connections that wait to be accepted. */
export const MAX_ACCEPT_QUEUE = 32;
/** Fewest; with less, a turn might find none while clients are refused. */
export const MIN_ACCEPT_QUEUE = 2;
/** Longest wait that leaves most of their patience to clients. */
export const MAX_ACCEPT_WAIT_MS: Milliseconds = 250;
/** A shorter wait allows a longer queue again. */
const SHORT_ACCEPT_WAIT_MS: Milliseconds = 25;
/** How long waits must be short before. */
export const LENGTHEN_AFTER_MS: Milliseconds = 1_000;

/** What is known of a queue of connections. */
export interface AcceptQueue {
  readonly length: number;
  /** The shorter of the latest two waits: one alone may show a pause. */
  readonly waitMs: Milliseconds;
  /** How long all waits have been short. */
  readonly shortForMs: Milliseconds;
}

/** Returns whether a wait is short. */
export function isShortAcceptWait(waitMs: Milliseconds): boolean {
  return waitMs <= SHORT_ACCEPT_WAIT_MS;
}

/** Decides the length, so that the last in the queue waits as long as is allowed. */
export function decideAcceptQueue(queue: AcceptQueue): number {
  const {length, waitMs, shortForMs} = queue;
  if (waitMs > MAX_ACCEPT_WAIT_MS) {
    const fitting = Math.floor((length * MAX_ACCEPT_WAIT_MS) / waitMs);
    return Math.max(MIN_ACCEPT_QUEUE, fitting);
  }
  return shortForMs >= LENGTHEN_AFTER_MS
    ? Math.min(MAX_ACCEPT_QUEUE, length * 2)
    : length;
}
