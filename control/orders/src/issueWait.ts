import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';

/** Maximum time for sending an order to an endpoint. */
export const MAX_ORDER_DELIVERY_MS: Milliseconds = 5_000;

/** Inputs of the earliest time at which an order may be sent. */
export interface IssueWaitOptions {
  /** Whether the endpoint refuses outdated fencing numbers. */
  readonly checksFencing: boolean;
  /** When this entry learned that it leads the set. */
  readonly leadsSince: MonotonicTime;
  /** How long the previous set leader may still act as leader. */
  readonly leaseMs: Milliseconds;
}

/**
 * Computes when an order may be sent. For an endpoint that ignores fencing
 * numbers, a delay keeps outdated orders from arriving later: the lease of the
 * previous set leader must have expired, and an order that it sent at the last
 * moment must have arrived.
 */
export function computeEarliestSendTime(
  options: IssueWaitOptions,
): MonotonicTime {
  const {checksFencing, leadsSince, leaseMs} = options;
  return checksFencing
    ? leadsSince
    : leadsSince + leaseMs + MAX_ORDER_DELIVERY_MS;
}
