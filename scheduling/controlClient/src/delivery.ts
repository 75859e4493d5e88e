// When a request is sent to the leading control daemon again.
import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import type {RequestDelivery} from '@gentianshunt/entryModel';
import type {NodeId} from '@gentianshunt/identifiers';

/** Time after the first sending before the same daemon gets a request again. */
export const FIRST_RESEND_MS: Milliseconds = 1_000;
/** Factor by which the time grows with each sending. */
const BACKOFF_FACTOR = 2;

/**
 * Returns whether a request is to be sent to a daemon: at once if it went to
 * another one before, otherwise after a backoff.
 */
export function isSendingDue(
  delivery: RequestDelivery | null,
  to: NodeId,
  now: TurnTime,
): boolean {
  if (delivery === null || delivery.to !== to) {
    return true;
  }
  const waitMs = FIRST_RESEND_MS * BACKOFF_FACTOR ** (delivery.attempts - 1);
  return now.monotonic - delivery.sentAt >= waitMs;
}

/** Records that a request is sent to a daemon. */
export function recordDelivery(
  delivery: RequestDelivery | null,
  to: NodeId,
  now: TurnTime,
): RequestDelivery {
  const earlier = delivery?.to === to ? delivery.attempts : 0;
  return {to, sentAt: now.monotonic, attempts: earlier + 1};
}
