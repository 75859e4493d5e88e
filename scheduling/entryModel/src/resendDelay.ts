// When a request to the leading control daemon may have been lost.
import type {Milliseconds} from '@gentianshunt/clock';

import type {ControlStatus} from './controlStatus.js';

/** Time to a second sending, in usual round trips. */
const RESEND_ROUND_TRIPS = 2;

/**
 * Computes how long a reply is awaited before the request is sent again: by the
 * measured round trips, and at least for a time.
 */
export function computeResendDelayMs(
  {roundTripMs}: Pick<ControlStatus, 'roundTripMs'>,
  minDelayMs: Milliseconds,
): Milliseconds {
  return Math.max(minDelayMs, RESEND_ROUND_TRIPS * (roundTripMs ?? 0));
}
