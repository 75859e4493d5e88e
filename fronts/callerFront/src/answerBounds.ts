/** Bounds on what is read of an endpoint's answer. */

/** Largest head of an answer, in bytes. */
export const MAX_HEAD_BYTES = 16 * 1024;
/** Longest body that is read although nobody needs it, in bytes. */
export const MAX_DROPPED_BYTES = 64 * 1024;
/** Longest time for which such a body is read, in milliseconds. */
export const DROP_TIMEOUT_MS = 1_000;
