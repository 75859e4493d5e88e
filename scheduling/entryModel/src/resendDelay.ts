// When a request to the leading control daemon may have been lost.
import type {Milliseconds} from '@gentianshunt/clock';

import type {ControlStatus} from './controlStatus.js';

/** Time to a second sending, in usual round trips. */
const RESEND_ROUND_TRIPS = 2;
/** Longest time to a second sending, which callers still wait for. */
const MAX_RESEND_DELAY_MS: Milliseconds = 2_000;

/**
 * Computes how long a reply is awaited before the request is sent again: by the
 * measured round trips, and at least for a time. Round trips are long after a
 * standstill, so they count up to a limit.
 */
export function computeResendDelayMs(
  {roundTripMs}: Pick<ControlStatus, 'roundTripMs'>,
  minDelayMs: Milliseconds,
): Milliseconds {
  const wantedMs = RESEND_ROUND_TRIPS * (roundTripMs ?? 0);
  return Math.max(minDelayMs, Math.min(MAX_RESEND_DELAY_MS, wantedMs));
}
