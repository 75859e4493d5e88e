// Decides which messages may wait to be sent.

/** Bytes of short messages that a link may always queue. */
const MIN_LINK_QUEUE_BYTES = 64 * 1_024;
/** Fraction of the bound for large messages; the rest is kept for short ones. */
const LARGE_FRACTION = 0.75;

/** A message that is to be queued, and what is queued already. */
export interface QueueRequest {
  readonly bytes: number;
  readonly isLarge: boolean;
  /**
   * Bytes of short messages that wait on the same link; `undefined` without a
   * connection.
   */
  readonly shortBytes: number | undefined;
  /** Bytes that wait on all links. */
  readonly readTotalBytes: () => number;
  /** Most bytes that may wait on all links. */
  readonly maxBytes: number;
}

/** Returns whether a message may be queued; otherwise it is dropped. */
export function canQueueMessage(request: QueueRequest): boolean {
  const {bytes, isLarge, shortBytes, readTotalBytes, maxBytes} = request;
  const isGuaranteed =
    !isLarge &&
    shortBytes !== undefined &&
    shortBytes + bytes <= MIN_LINK_QUEUE_BYTES;
  if (isGuaranteed) {
    return true;
  }
  const totalBytes = readTotalBytes();
  if (!isLarge) {
    return totalBytes + bytes <= maxBytes;
  }
  // A message beyond the bound is sent alone; otherwise it never would be.
  const isAlone = totalBytes <= maxBytes * (1 - LARGE_FRACTION);
  return isAlone || totalBytes + bytes <= maxBytes * LARGE_FRACTION;
}
