// Round trips, and when a request to another daemon may have been lost.
import type {Milliseconds} from '@gentianshunt/clock';

import type {ControlStatus} from './controlStatus.js';

/** Time to a second sending, in usual round trips. */
const RESEND_ROUND_TRIPS = 2;
/** The weight of the latest round trip in the smoothed one. */
const ROUND_TRIP_WEIGHT = 0.25;
/** Longest time to a second sending, which callers still wait for. */
const MAX_RESEND_DELAY_MS: Milliseconds = 2_000;
/** Bytes of a document that daemons pass on in a millisecond at least. */
const DOCUMENT_BYTES_PER_MS = 1_000;

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

/** Adds the latest round trip to the smoothed one; `null` before the first. */
export function mixRoundTrip(
  smoothedMs: Milliseconds | null,
  latestMs: Milliseconds,
): Milliseconds {
  return smoothedMs === null
    ? latestMs
    : smoothedMs + (latestMs - smoothedMs) * ROUND_TRIP_WEIGHT;
}

/** Estimates how long a document is on its way at most. */
export function estimateTransferMs({byteLength}: Uint8Array): Milliseconds {
  return byteLength / DOCUMENT_BYTES_PER_MS;
}
