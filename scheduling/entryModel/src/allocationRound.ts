import type {MonotonicTime} from '@gentianshunt/clock';

/** The pace at which a set leader allocates the capacity of a set. */
export interface AllocationRound {
  /** Earliest time of the next allocation. */
  readonly nextAt: MonotonicTime;
  /** Whether demand or capacity changed since the previous allocation. */
  readonly isPending: boolean;
}
