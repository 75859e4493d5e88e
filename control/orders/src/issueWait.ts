import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';

/** Longest time an order may be on its way to an endpoint. */
export const ORDER_FLIGHT_MS: Milliseconds = 5_000;

/** What the earliest sending of an order depends on. */
export interface IssueWaitOptions {
  /** Whether the endpoint refuses low fencing numbers by itself. */
  readonly checksFencing: boolean;
  /** When this issuer learned that it leads the set. */
  readonly leadsSince: MonotonicTime;
  /** How long an earlier issuer may believe that it leads. */
  readonly leaseMs: Milliseconds;
}

/**
 * Tells when an order may be sent. An endpoint that ignores fencing numbers is
 * protected by time: the lease of an earlier issuer must have run out, and
 * whatever it sent at the last moment must have arrived.
 */
export function readEarliestSending(options: IssueWaitOptions): MonotonicTime {
  const {checksFencing, leadsSince, leaseMs} = options;
  return checksFencing ? leadsSince : leadsSince + leaseMs + ORDER_FLIGHT_MS;
}
