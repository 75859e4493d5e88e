// Decides which messages may wait to be sent.

/** Bytes of short messages that a link may always queue. */
const MIN_LINK_QUEUE_BYTES = 64 * 1_024;
/** Fraction of the bound for large messages; the rest is kept for short ones. */
const LARGE_FRACTION = 0.75;

/** A message that is to be queued, and what is queued already. */
export interface QueueRequest {
  readonly bytes: number;
  readonly isLarge: boolean;
  /** Bytes that wait on the same link; `undefined` without a connection. */
  readonly linkBytes: number | undefined;
  /** Bytes that wait on all links. */
  readonly readTotalBytes: () => number;
  /** Most bytes that may wait on all links. */
  readonly maxBytes: number;
}

/** Returns whether a message may be queued; otherwise it is dropped. */
export function canQueueMessage(request: QueueRequest): boolean {
  const {bytes, isLarge, linkBytes, readTotalBytes, maxBytes} = request;
  const isGuaranteed =
    !isLarge &&
    linkBytes !== undefined &&
    linkBytes + bytes <= MIN_LINK_QUEUE_BYTES;
  if (isGuaranteed) {
    return true;
  }
  const limit = isLarge ? maxBytes * LARGE_FRACTION : maxBytes;
  return readTotalBytes() + bytes <= limit;
}
