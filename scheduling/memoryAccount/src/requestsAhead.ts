/**
 * Decides what happens to what a client sends before it has the answer to an
 * earlier request of the connection. Answers clients that send far more requests
 * than they read answers: each request that is begun or held takes memory.
 */

/** What the runtime holds for a request beside its head, in bytes. */
const REQUEST_OVERHEAD_BYTES = 4 * 1_024;
/** What a connection holds that is not read further, in bytes: two reads. */
export const PAUSED_CONNECTION_BYTES = 2 * 64 * 1_024;

/** What a process holds of requests that were sent ahead. */
export interface AheadLoad {
  /** Whether an earlier request of the connection is not answered yet. */
  readonly isServing: boolean;
  /** Bytes that all connections hold, with what arrives. */
  readonly heldBytes: number;
  /** Most bytes that they may hold. */
  readonly maxBytes: number;
}

/** What is done with a request, or with unparsed bytes, that arrive. */
export type ArrivalDecision =
  | {readonly kind: 'begin'}
  /** It waits until the earlier request is answered. */
  | {readonly kind: 'wait'}
  /** The connection is closed; nothing that waits on it has begun. */
  | {readonly kind: 'close'};

/** Decides on a request or on bytes that arrive on a connection. */
export function decideArrival({
  isServing,
  heldBytes,
  maxBytes,
}: AheadLoad): ArrivalDecision {
  if (!isServing) {
    return {kind: 'begin'};
  }
  return {kind: heldBytes <= maxBytes ? 'wait' : 'close'};
}

/** Estimates the memory of a request from the length of its head, in bytes. */
export function estimateRequestBytes(headBytes: number): number {
  return REQUEST_OVERHEAD_BYTES + headBytes;
}
